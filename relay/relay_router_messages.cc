// The part of RelayRouter that is about what it hears and tells: messages of
// peers, the balancer's checks, metrics, and periodic log lines.

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "relay/relay_router.h"
#include "relay/request_log.h"

namespace quaytrack {
namespace {

// Interval between two lines about ended connections of callers.
constexpr Duration kShedLogInterval = std::chrono::seconds(1);

}  // namespace

// --- Messages of peers -------------------------------------------------------

void RelayRouter::OnPeerMessage(const PeerMessage& message) {
  if (message.kind == PeerMessageKind::kHello) {
    fleet_.OnHello({VmOf(message.from), message.hall, message.address,
                    message.size_class});
  }
  versions_.OnPeer(message);
  if (message.kind == PeerMessageKind::kPromptSent) {
    return placement_.OnPeerSent(clock_.Now(), message.target, message.amount);
  }
  CheckStoreEra(message);
  ApplyRateLimits(message);
  for (const auto& [service, max_rejections] :
       placement_.rejection_limits().OnPeer(clock_.Now(), message.rejections)) {
    LogRejectionLimit(service, max_rejections, "peer");
  }
  placement_.SetPeerSpeeds(message.engine_speeds);
  budgets_.OnPeer(message);
  configs_.OnPeer(message);
  targets_.OnPeer(message);
  crashes_.OnPeer(message);
  reach_.OnPeer(message);
  rollouts_.OnPeer(message);
  CheckRouterCount(message);
}

// Sends peers a heartbeat at once, as they may have no other way to learn that
// the target leaves while the store is away.
void RelayRouter::OnTargetLeaving(const TargetEntry& target) {
  placement_.OnLeavingAnnounced(clock_.Now(), target);
  if (targets_.OnLeavingNotice(target)) peers_.BroadcastHeartbeat();
}

// If the peer knows a later era of the store, reads the store: the answer shows
// the era to all parts that need it.
void RelayRouter::CheckStoreEra(const PeerMessage& message) {
  if (message.store_era <= std::max(store_.era(), peer_era_)) return;
  peer_era_ = message.store_era;
  configs_.feed().ReadUpTo({message.store_era, 0});
}

void RelayRouter::ApplyRateLimits(const PeerMessage& message) {
  const auto changed =
      placement_.OnRateReports(clock_.Now(), message.rate_limits);
  for (const TargetStart& it : changed) {
    LogRateLimit(it, placement_.rate_limits(), "peer");
  }
}

// In a large fleet only readers are linked to many routers, so the readers
// forward the reports that they receive.
void RelayRouter::BroadcastRateLimits() {
  const FleetDirectory& directory = fleet_.directory();
  const bool forwards = directory.IsReader(directory.self().vm);
  PeerMessage out;
  out.kind = PeerMessageKind::kRateLimits;
  out.rate_limits = placement_.TakeUnreportedRates(clock_.Now(), forwards);
  if (!out.rate_limits.empty()) Broadcast(std::move(out));
}

void RelayRouter::CheckRouterCount(const PeerMessage& message) {
  const FleetDirectory& directory = fleet_.directory();
  const bool is_from_reader = directory.IsReader(VmOf(message.from)) &&
                              !directory.IsReader(directory.self().vm);
  if (is_from_reader && message.routers > 0)
    fleet_.OnReaderCounts(message.routers);
}

// Announces a prompt to the peers, but only in a small fleet: in a large one a
// router is linked to few others, so few would learn of the prompt, and routers
// with many links would receive too many.
void RelayRouter::BroadcastPrompt(const SentPrompt& sent) {
  if (!fleet_.directory().IsSmall()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kPromptSent;
  out.target = sent.target;
  out.amount = sent.prefill;
  Broadcast(std::move(out));
}

void RelayRouter::FillHeartbeat(PeerMessage& message) {
  message.config_version = configs_.version();
  message.store_era = store_.era();
  message.halls = configs_.halls().states();
  message.targets_revision = targets_.revision();
  message.leaving = targets_.registry().announced_leaving();
  message.keeps_budgets = budgets_.ledger().ActsAsHolder();
  message.engine_speeds = placement_.LearnedSpeeds();
  message.cut_off = reach_.CutOff();
  message.rejections = placement_.rejection_limits().Reports(clock_.Now());
  rollouts_.Fill(message);
  FillMarks(message);
  if (message.kind != PeerMessageKind::kHello) return;
  message.rate_limits = placement_.rate_limits().All(clock_.Now());
  message.size_class = fleet_.directory().self().size_class;
  message.hall = fleet_.directory().self().hall;
  message.address = fleet_.directory().self().address;
}

void RelayRouter::FillMarks(PeerMessage& message) {
  const FleetDirectory& directory = fleet_.directory();
  if (!directory.IsReader(directory.self().vm)) return;
  message.routers = directory.size();
  for (const StateFeed* it : Feeds()) {
    if (const auto mark = it->Mark()) message.marks[it->name()] = *mark;
  }
}

// --- The balancer and operators ----------------------------------------------

bool RelayRouter::IsReady() const {
  return !stop_.started() && configs_.map() != nullptr && !link_.IsBusy() &&
         !LacksPeer();
}

bool RelayRouter::LacksPeer() const {
  return reach_.LacksPath() || budgets_.LacksHolder();
}

void RelayRouter::AnswerAdmin(const std::shared_ptr<CallerConnection>& caller,
                              const CallerRequest& request) {
  HttpHead head;
  head.status = 404;
  if (request.head.Path() == settings_.ready_path) {
    head.status = IsReady() ? 200 : 503;
  }
  caller->Reply(head, "");
}

void RelayRouter::AnswerMetrics(
    const std::shared_ptr<CallerConnection>& caller) {
  metrics_.SetGauge("flows", static_cast<double>(context_.requests.size()));
  metrics_.SetGauge("callers",
                    static_cast<double>(caller_server_.connections()));
  metrics_.SetGauge("peers_linked", static_cast<double>(peers_.peers()));
  metrics_.SetGauge("link_load", link_.load());
  metrics_.SetGauge("connections_closed_unread",
                    static_cast<double>(caller_server_.closed_unread()));
  metrics_.SetGauge("callers_held_bytes",
                    static_cast<double>(caller_server_.held_bytes()));
  metrics_.SetGauge("callers_shed_for_memory",
                    static_cast<double>(caller_server_.shed_for_memory()));
  metrics_.SetGauge("callers_shed_for_room",
                    static_cast<double>(caller_server_.shed_for_room()));
  metrics_.SetGauge("config_version", static_cast<double>(configs_.version()));
  metrics_.SetGauge("cold_targets",
                    static_cast<double>(placement_.cold(clock_.Now())));
  metrics_.SetGauge("limited_targets",
                    static_cast<double>(placement_.rate_limits().size()));
  metrics_.SetGauge("closed_halls",
                    static_cast<double>(configs_.halls().closed().size()));
  for (const StateFeed* it : Feeds()) {
    metrics_.SetGauge(std::string(NameOf(it->name())) + "_age_s",
                      ToSeconds(it->Age()));
  }
  metrics_.SetGauge("suspected_requests",
                    static_cast<double>(crashes_.blame().suspected()));
  metrics_.SetGauge("blamed_requests",
                    static_cast<double>(crashes_.blame().blamed().size()));
  metrics_.SetGauge("services_cut_off",
                    static_cast<double>(reach_.CutOff().size()));
  metrics_.SetGauge("tunnels_used", static_cast<double>(reach_.tunnels()));
  metrics_.SetGauge("tunnels_carried", static_cast<double>(tunnels_.size()));
  metrics_.SetGauge("tunnels_carried_total",
                    static_cast<double>(tunnels_.opened()));
  metrics_.SetGauge("rollouts_running",
                    static_cast<double>(rollouts_.running()));
  metrics_.SetGauge("stream_versions", static_cast<double>(versions_.size()));
  metrics_.SetGauge("scarce_budgets",
                    static_cast<double>(budgets_.CountScarce()));
  metrics_.SetGauge("store_era", static_cast<double>(store_.era()));
  metrics_.SetGauge("store_calls", static_cast<double>(store_.calls()));
  metrics_.SetGauge("target_connections_opened",
                    static_cast<double>(connections_.opened()));
  metrics_.SetGauge("holds_drawn",
                    static_cast<double>(budgets_.advances().drawn()));
  metrics_.SetGauge("advances_open",
                    static_cast<double>(budgets_.advances().size()));
  metrics_.SetGauge("advance_tokens_given",
                    static_cast<double>(budgets_.AdvancesGiven()));
  metrics_.SetGauge("holds_refused_at_once",
                    static_cast<double>(budgets_.refused_at_once()));
  metrics_.SetGauge("log_lines_dropped",
                    static_cast<double>(LogLinesDropped()));
  HttpHead head;
  head.status = 200;
  head.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  caller->Reply(head, metrics_.Text());
}

void RelayRouter::LogColdTargets() {
  for (const Placement::ColdChange& it : placement_.ColdChanges(clock_.Now())) {
    LogEvent(
        it.cold ? Event::kTargetCold : Event::kTargetWarm,
        {{"target", it.target.value}, {"by", std::string(NameOf(it.reason))}});
  }
}

void RelayRouter::CheckLink() {
  if (!link_.Observe()) return;
  LogEvent(link_.IsBusy() ? Event::kLinkBusy : Event::kLinkEased,
           {{"load", std::to_string(link_.load())},
            {"callers", std::to_string(caller_server_.connections())},
            {"requests", std::to_string(context_.requests.size())}});
}

void RelayRouter::LogShedCallers() {
  const std::uint64_t for_memory = caller_server_.shed_for_memory();
  const std::uint64_t for_room = caller_server_.shed_for_room();
  const Instant now = clock_.Now();
  const bool is_soon = now - shed_logged_at_ < kShedLogInterval;
  if (for_memory + for_room == shed_logged_ || is_soon) return;
  shed_logged_ = for_memory + for_room;
  shed_logged_at_ = now;
  const CallerBounds& bounds = caller_server_.bounds();
  LogEvent(Event::kCallersShed,
           {{"for_memory", std::to_string(for_memory)},
            {"held", std::to_string(caller_server_.held_bytes())},
            {"limit", std::to_string(bounds.memory_bytes)},
            {"for_room", std::to_string(for_room)},
            {"open", std::to_string(caller_server_.connections())},
            {"most", std::to_string(bounds.connections)}});
}

void RelayRouter::CheckDelay() {
  if (!accept_gate_.OnTick(clock_.Now())) return;
  LogEvent(accept_gate_.IsLimited() ? Event::kAcceptsLimited
                                    : Event::kAcceptsUnlimited,
           {{"per_s", std::to_string(accept_gate_.rate())},
            {"closed_unread", std::to_string(caller_server_.closed_unread())},
            {"requests", std::to_string(context_.requests.size())}});
}

}  // namespace quaytrack
