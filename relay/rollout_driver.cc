#include "relay/rollout_driver.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"
#include "relay/read_item.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Upper bound of the random time that a decider waits before it writes the
// status of a roll-out. The bound is short compared with the 5 s within which a
// bad version must be noticed.
constexpr Duration kWriteSpread = milliseconds(400);
// Delay from a failed write to the next try.
constexpr Duration kRetryAfter = milliseconds(300);
// Number of versions of each service that are remembered as not completed.
constexpr std::size_t kMaxBarred = 16;

}  // namespace

RolloutDriver::RolloutDriver(const Context& context,
                             const SharedStateReader& reader,
                             Rollout::Options options, Handlers handlers)
    : context_(context),
      reader_(reader),
      options_(options),
      on_(std::move(handlers)) {}

const Rollout* RolloutDriver::Find(const ServiceName& service) const {
  const auto it = entries_.find(service);
  const bool has = it != entries_.end() && it->second.rollout;
  return has ? &*it->second.rollout : nullptr;
}

std::size_t RolloutDriver::running() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& it) {
        return it.second.rollout && !it.second.rollout->IsOver();
      }));
}

// --- Orders ------------------------------------------------------------------

void RolloutDriver::OnOrder(const ServiceName& service,
                            const RolloutOrder* order) {
  Entry& entry = entries_[service];
  if (order == nullptr) {
    EndOrder(entry);
  } else if (entry.rollout && entry.rollout->order().IsEquivalentTo(*order) &&
             order->revision.era > entry.rollout->order().revision.era) {
    entry.rollout->Renew(*order);
    Redeclare(entry);
  } else {
    EndOrder(entry);
    Begin(entry, *order);
  }
  CheckOne(service, entry);
}

void RolloutDriver::Begin(Entry& entry, const RolloutOrder& order) {
  entry.barred.erase(order.version);
  entry.rollout.emplace(order, context_.clock.Now(), context_.chart, options_);
  entry.logged = RolloutState::kUnconfirmed;
}

void RolloutDriver::EndOrder(Entry& entry) {
  if (!entry.rollout) return;
  if (entry.rollout->state() != RolloutState::kCompleted) {
    Bar(entry, entry.rollout->order().version);
  }
  entry.rollout.reset();
  entry.pending.reset();
  entry.call.reset();
}

void RolloutDriver::Bar(Entry& entry, const VersionName& version) {
  entry.barred.insert(version);
  if (entry.barred.size() > kMaxBarred) {
    entry.barred.erase(entry.barred.begin());
  }
}

// --- Answers and reports -----------------------------------------------------

bool RolloutDriver::IsEvaluating(const ServiceName& service) const {
  const Rollout* it = Find(service);
  return it != nullptr && it->IsEvaluated();
}

void RolloutDriver::OnAnswer(const ServiceName& service,
                             const VersionName& version,
                             const std::string& route,
                             const AttemptOutcome& seen) {
  const auto it = entries_.find(service);
  if (it == entries_.end() || !it->second.rollout) return;
  Rollout& rollout = *it->second.rollout;
  rollout.OnAnswer(route, version == rollout.order().version, seen);
}

void RolloutDriver::OnPeer(const PeerMessage& message) {
  for (const auto& [service, report] : message.rollouts) {
    const auto it = entries_.find(service);
    if (it == entries_.end() || !it->second.rollout) continue;
    Entry& entry = it->second;
    entry.rollout->OnReport(context_.clock.Now(), message.from,
                            on_.is_decider(message.from), report,
                            SceneOf(*entry.rollout));
    CheckOne(service, entry);
  }
}

void RolloutDriver::Fill(PeerMessage& message) const {
  for (const auto& [service, entry] : entries_) {
    if (!entry.rollout) continue;
    message.rollouts[service] =
        entry.rollout->Report(context_.clock.Now(), SceneOf(*entry.rollout));
  }
}

RolloutContext RolloutDriver::SceneOf(const Rollout& rollout) const {
  const RolloutOrder& order = rollout.order();
  RolloutContext out = on_.scene();
  out.has_next = on_.has_version(order.service, order.version);
  out.running_at_other_versions =
      on_.running_elsewhere(order.service, order.version);
  return out;
}

// --- Steps -------------------------------------------------------------------

void RolloutDriver::Check() {
  for (auto& [service, entry] : entries_) CheckOne(service, entry);
}

void RolloutDriver::CheckOne(const ServiceName& service, Entry& entry) {
  if (entry.rollout) {
    const Instant now = context_.clock.Now();
    switch (entry.rollout->Step(now, SceneOf(*entry.rollout))) {
      case RolloutAction::kNone:
        break;
      case RolloutAction::kReportCompleted:
        RequestWrite(entry, RolloutEvent::kCompleted);
        break;
      case RolloutAction::kReportReverted:
        RequestWrite(entry, RolloutEvent::kReverted);
        break;
    }
    RequestMissingWrite(entry);
    LogState(service, entry);
    if (entry.pending && !entry.call && now >= entry.write_at) {
      Write(service, entry);
    }
  }
  SetRule(service, entry);
}

void RolloutDriver::SetRule(const ServiceName& service, Entry& entry) {
  VersionRule rule;
  rule.barred = entry.barred;
  if (entry.rollout) {
    const RolloutRule it =
        entry.rollout->Rule(context_.clock.Now(), SceneOf(*entry.rollout));
    rule.next = entry.rollout->order().version;
    rule.share = it.share;
    rule.allow_others = it.allow_others;
    rule.allow_next_alone = it.allow_next_alone;
  }
  if (rule == entry.rule) return;
  entry.rule = rule;
  std::uniform_real_distribution<double> begin(0, 1);
  on_.rule(service, rule, begin(random_));
}

// Logs the state of the roll-out if it has changed. A decider then also sends a
// heartbeat to its peers at once.
void RolloutDriver::LogState(const ServiceName& service, Entry& entry) {
  const Rollout& rollout = *entry.rollout;
  if (rollout.state() == entry.logged) return;
  entry.logged = rollout.state();
  const RolloutContext scene = SceneOf(rollout);
  const VersionEvidence total = rollout.Total(scene);
  const VersionEvaluator::Finding& worst = rollout.evaluator().worst();
  LogEvent(Event::kRolloutState,
           {{"service", service.value},
            {"version", rollout.order().version.value},
            {"state", std::string(NameOf(rollout.state()))},
            {"decides", scene.is_decider ? "yes" : "no"},
            {"answers", std::to_string(AnswersOf(total.next))},
            {"answers_elsewhere", std::to_string(AnswersOf(total.current))},
            {"route", worst.route},
            {"symptom", std::string(NameOf(worst.symptom))},
            {"bad", std::to_string(worst.bad)},
            {"of", std::to_string(worst.answers)},
            {"usual", std::to_string(worst.baseline)},
            {"sum", std::to_string(worst.sum)}});
  if (scene.is_decider) on_.broadcast_heartbeat();
}

// --- The status in the store -------------------------------------------------

void RolloutDriver::RequestWrite(Entry& entry, RolloutEvent event) {
  if (entry.pending == event) return;
  entry.pending = event;
  entry.call.reset();
  entry.write_at = context_.clock.Now() + Jittered(random_, kWriteSpread, 0, 1);
}

// Requests a write that another decider may have started and not finished.
void RolloutDriver::RequestMissingWrite(Entry& entry) {
  const RolloutState state = entry.rollout->state();
  if (!SceneOf(*entry.rollout).is_decider) return entry.pending.reset();
  if (state == RolloutState::kUnconfirmed) {
    RequestWrite(entry, RolloutEvent::kStarted);
  } else if (state == RolloutState::kWithdrawn) {
    RequestWrite(entry, RolloutEvent::kReverted);
  } else if (entry.pending == RolloutEvent::kStarted &&
             entry.written.number != 0) {
    entry.pending.reset();
  }
}

void RolloutDriver::Write(const ServiceName& service, Entry& entry) {
  const RolloutEvent event = *entry.pending;
  const std::string key = reader_.RolloutStatusKey(service);
  StoreWrite write;
  write.conditions.push_back({key, entry.written});
  write.puts.push_back({key,
                        reader_.EncodeRolloutStatus(
                            {service, entry.rollout->order().version, event}),
                        0});
  entry.call = context_.store.Write(
      write, [this, service, event](const StoreWritten& it) {
        OnWritten(service, event, it);
      });
}

void RolloutDriver::OnWritten(const ServiceName& service, RolloutEvent event,
                              const StoreWritten& written) {
  Entry& entry = entries_.at(service);
  entry.call.reset();
  const Instant now = context_.clock.Now();
  switch (written.end) {
    case StoreEnd::kDone:
      entry.written = written.revision;
      LogEvent(Event::kRolloutWritten,
               {{"service", service.value},
                {"version", entry.rollout->order().version.value},
                {"said", std::string(NameOf(event))},
                {"revision", ToText(written.revision)}});
      entry.pending.reset();
      entry.rollout->OnStored(event, now);
      break;
    case StoreEnd::kRejected:
      OnConflict(entry, written);
      break;
    case StoreEnd::kRefused:
    case StoreEnd::kUnknown:
      entry.write_at = now + Jittered(random_, kRetryAfter, 0.7, 1.3);
      return;
  }
  CheckOne(service, entry);
}

// Applies the status that another decider has written meanwhile, and drops the
// pending write if that status replaces it.
void RolloutDriver::OnConflict(Entry& entry, const StoreWritten& written) {
  entry.written = {};
  for (const StoreItem& it : written.present) {
    entry.written = it.revision;
    const auto status =
        ReadOrLog(it, [&] { return reader_.ReadRolloutStatus(it); });
    const RolloutOrder& order = entry.rollout->order();
    const bool is_of_order = status && status->version == order.version &&
                             it.revision > order.revision;
    if (!is_of_order) continue;
    const RolloutEvent event = status->event;
    entry.rollout->OnStored(event, context_.clock.Now());
    const bool is_there = event != RolloutEvent::kStarted ||
                          entry.pending == RolloutEvent::kStarted;
    if (is_there) entry.pending.reset();
  }
  entry.write_at = context_.clock.Now();
}

void RolloutDriver::OnStoreEra() {
  for (auto& [service, entry] : entries_) {
    entry.written = {};
    entry.call.reset();
    if (entry.rollout) Redeclare(entry);
  }
}

// Requests that the status is written again in a later era of the store: it
// counts only if it was written after the order.
void RolloutDriver::Redeclare(Entry& entry) {
  switch (entry.rollout->state()) {
    case RolloutState::kUnconfirmed:
      return;
    case RolloutState::kCompleted:
      return RequestWrite(entry, RolloutEvent::kCompleted);
    case RolloutState::kReverted:
    case RolloutState::kWithdrawn:
      return RequestWrite(entry, RolloutEvent::kReverted);
    default:
      return RequestWrite(entry, RolloutEvent::kStarted);
  }
}

}  // namespace quaytrack
