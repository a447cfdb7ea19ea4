#include "router/router.h"

#include <cstdio>
#include <utility>

#include "base/digest.h"
#include "base/log.h"

namespace quaytrack {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
// Maximum time after --drain-ms, at the end of a planned stop, to write the
// last bills and return grants.
constexpr Duration kGrantReturnTime = std::chrono::seconds(3);
// The share of kGrantReturnTime kept for requests that are ended early: at most
// 1 s until an engine has reported its usage (router/forward_attempt_impl.h),
// 0.4 s by default until an answer is sent without a safe bill
// (--bill-patience-ms), and time for a ledger write. Before that, requests may
// still end normally.
constexpr Duration kEndRequestsTime = std::chrono::seconds(2);
constexpr int kExitFenced = 75;

// Returns "<vm>@<start in ms>-<random>", which is unique even if the clock is
// set back.
Incarnation MakeIncarnation(const std::string& vm, const Clock& clock) {
  constexpr std::size_t kRandomBytes = 4;
  const auto ms = clock.WallNow().time_since_epoch().count();
  return Incarnation(vm + "@" + std::to_string(ms) + "-" +
                     RandomHex(kRandomBytes));
}

TargetTableOptions TargetOptions(const RouterSettings& settings) {
  TargetTableOptions out;
  out.local_hall = HallName(settings.hall);
  return out;
}

LedgerSyncOptions LedgerOptions(const RouterSettings& settings) {
  LedgerSyncOptions out;
  out.commit_spacing = settings.commit_spacing;
  return out;
}

TargetSpec SpecOf(const TargetSetting& it) {
  TargetSpec out;
  out.name = it.name;
  out.hall = it.hall;
  out.slots = it.slots;
  out.leaving = it.leaving;
  for (const ModelName& model : it.models) out.groups.push_back(GroupOf(model));
  if (!it.service.empty()) out.groups.push_back(GroupOf(it.service));
  return out;
}

}  // namespace

Router::Router(Loop& loop, const Clock& clock, RouterSettings settings,
               const RouterCharts& charts)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      self_(MakeIncarnation(settings_.vm, clock)),
      http_(loop),
      kv_(loop, http_, {settings_.kv}),
      retention_(loop, kv_, clock, std::chrono::hours(24)),
      targets_(TargetOptions(settings_), StableHash(self_.value)),
      gate_(settings_.bill_timeout,
            [this](const RequestId& request, BillSafety safety) {
              requests_.With(request, [&](auto& it) { it.OnBillSafe(safety); });
            }),
      ledger_(loop, kv_, clock, retention_, self_, LedgerOptions(settings_),
              [this](const LedgerEvent& it) { OnLedgerEvent(it); }),
      claims_(loop, kv_, clock, retention_, self_, charts.claim,
              [this](const ClaimEvent& it) { OnClaimEvent(it); }),
      bundles_(loop, kv_, settings_.operator_keys,
               [this] { OnBundleAccepted(); }),
      peers_(loop, self_, PeerHandlers()),
      loads_(loop, http_, clock, targets_,
             [this](const TargetName& target) {
               requests_.ForEach(
                   [&](auto& it) { it.OnTargetUnresponsive(target); });
             }),
      context_(MakeContext(charts.forward)),
      caller_api_(context_, requests_, settings_.default_deadline),
      admin_api_(
          {settings_, context_, kv_, bundles_, requests_, members_, recovery_},
          {[this] { return Ready(); },
           [this] { return NameOf(drain_.state()); }, [this] { Drain(); }}),
      caller_server_(loop, {settings_.max_body_bytes}),
      admin_server_(loop, {}),
      drain_(charts.drain),
      tick_(loop.Every(kTick, [this] { Tick(); })) {
  caller_server_.Serve([this](const std::shared_ptr<HttpExchange>& it) {
    caller_api_.Handle(it);
  });
  admin_server_.Serve([this](const std::shared_ptr<HttpExchange>& it) {
    admin_api_.Handle(it);
  });
}

RouterContext Router::MakeContext(const ForwardChart& chart) {
  return {loop_,
          clock_,
          http_,
          metrics_,
          ledger_,
          claims_,
          targets_,
          retries_,
          gate_,
          peers_,
          chart,
          self_,
          queues_,
          addresses_,
          [this](const ClaimEntry& it) {
            return members_->ProvenDead(it.owner, it.owner_registered);
          },
          [this](const GroupName& it) { PumpLater(it); },
          [this](const RequestId& it) {
            loop_.Post([this, it] { requests_.Remove(it); });
          }};
}

PeerDriver::Handlers Router::PeerHandlers() {
  PeerDriver::Handlers out;
  out.caught_up = [this](const Incarnation& witness) {
    ledger_.sync().SetWitness(witness);
    ledger_.Kick();
  };
  out.witnessed = [this](const Incarnation& witness, const RequestId& it) {
    // Recovery uses only the copies of the witness that the ledger records.
    if (ledger_.sync().recorded_witness() == witness) gate_.OnWitnessed(it);
  };
  out.link = [this](bool up) { ledger_.sync().SetWitnessLink(up); };
  return out;
}

bool Router::Listen() {
  // Replaces the port in `address` by the bound one.
  const auto bind = [](const char* flag, std::string& address, auto& server) {
    const std::uint16_t port = server.Listen(address);
    if (port == 0) {
      LogEvent(Event::kSettingRejected,
               {{"flag", flag}, {"value", address}, {"why", "can't bind"}});
      return false;
    }
    address = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    return true;
  };
  const bool all =
      bind("--listen", settings_.listen, caller_server_) &&
      bind("--admin-listen", settings_.admin_listen, admin_server_) &&
      bind("--peer-listen", settings_.peer_listen, peers_);
  if (!all) return false;
  JoinFleet();
  LogEvent(Event::kStarted, {{"incarnation", self_.value},
                             {"listen", settings_.listen},
                             {"admin", settings_.admin_listen}});
  // Reports the bound addresses to the process that started this one.
  std::printf("listening %s %s\n", settings_.listen.c_str(),
              settings_.admin_listen.c_str());
  std::fflush(stdout);
  return true;
}

// Registers this router with the bound addresses.
void Router::JoinFleet() {
  Membership::Options options;
  options.self.incarnation = self_;
  options.self.hall = HallName(settings_.hall);
  options.self.peer_address = settings_.peer_listen;
  options.self.admin_address = settings_.admin_listen;
  options.vm_list_address = settings_.vm_list;
  Membership::Handlers on;
  on.registered = [this](std::int64_t created) {
    ledger_.sync().SetRegistered(created);
    claims_.tracker().SetRegistered(created);
  };
  on.changed = [this] { OnMembersChanged(); };
  members_ = std::make_unique<Membership>(loop_, kv_, http_, clock_, options,
                                          std::move(on));
  recovery_ = std::make_unique<RecoveryDriver>(
      loop_, kv_, http_, retention_, ledger_, *members_, peers_, self_);
}

void Router::OnLedgerEvent(const LedgerEvent& event) {
  switch (event.kind) {
    case LedgerEventKind::kHoldGranted:
      requests_.With(event.request, [](auto& it) { it.OnHoldGranted(); });
      return;
    case LedgerEventKind::kHoldRefused:
      requests_.With(event.request,
                     [&](auto& it) { it.OnHoldRefused(event.refusal); });
      return;
    case LedgerEventKind::kBillsWritten:
      LogEvent(Event::kBillsWritten, {{"seq", std::to_string(event.seq)}});
      gate_.OnWritten(event.seq);
      peers_.OnWritten(event.seq);
      return;
    case LedgerEventKind::kBillDropped:
      LogEvent(Event::kBillDropped, {{"request", event.request.value}});
      return;
    case LedgerEventKind::kFenced:
      LogEvent(Event::kFenced, {{"incarnation", self_.value}});
      exit_code_ = kExitFenced;
      Drain();
      return;
  }
}

void Router::OnClaimEvent(const ClaimEvent& event) {
  requests_.With(event.request, [&](auto& it) {
    switch (event.kind) {
      case ClaimEventKind::kClaimed:
        return it.OnClaimWon();
      case ClaimEventKind::kResolved:
        return it.OnClaimAnswer(event.answer);
      case ClaimEventKind::kStored:
        return it.OnClaimStored();
    }
  });
}

void Router::OnBundleAccepted() {
  const std::shared_ptr<const Bundle> bundle = bundles_.keeper().bundle();
  UpdateTargets(*bundle);
  ledger_.sync().SetBudgets(bundle->version, bundle->budgets);
  ledger_.Kick();
  caller_api_.SetBundle(bundle);
  if (members_) members_->SetBundleVersion(bundle->version);
}

void Router::UpdateTargets(const Bundle& bundle) {
  std::vector<TargetSpec> specs;
  std::vector<LoadPoller::Polled> polled;
  for (const TargetSetting& it : bundle.targets) {
    specs.push_back(SpecOf(it));
    // Requests in flight may still need the address of a removed target.
    addresses_[it.name] = it.address;
    if (it.kind == TargetKind::kEngine) polled.push_back({it.name, it.address});
  }
  targets_.SetTargets(specs);
  loads_.SetTargets(std::move(polled));
  UpdateLeaving();
}

void Router::OnMembersChanged() {
  UpdateLeaving();
  if (!members_) return;
  const RouterRegistry& registry = members_->registry();
  ledger_.sync().SetFleetSize(static_cast<int>(registry.entries().size()));
  peers_.OnRegistry(registry, members_->self());
}

void Router::UpdateLeaving() {
  if (!members_) return;
  const std::shared_ptr<const Bundle> bundle = bundles_.keeper().bundle();
  if (!bundle) return;
  for (const TargetSetting& it : bundle->targets) {
    const auto n = targets_.Find(it.name);
    if (it.vm.empty() || !n) continue;
    const bool before = targets_.Leaving(*n);
    targets_.SetLeaving(it.name, LeavingCause::kVmList,
                        members_->vms().Leaving(it.vm) ||
                            members_->vms().Dropped(clock_.Now(), it.vm));
    if (before || !targets_.Leaving(*n)) continue;
    LogEvent(Event::kTargetLeaving,
             {{"target", it.name.value}, {"vm", it.vm.value}});
  }
}

void Router::PumpLater(const GroupName& group) {
  if (pump_due_.empty()) {
    loop_.Post([this] {
      const auto due = std::exchange(pump_due_, {});
      for (const GroupName& it : due) PumpQueue(it);
    });
  }
  pump_due_.insert(group);
}

void Router::PumpQueue(const GroupName& group) {
  auto found = queues_.find(group);
  if (found == queues_.end()) return;
  WaitQueue& queue = found->second;
  const Instant now = clock_.Now();
  for (const QueuedRequest& it : queue.TakeExpired(now)) {
    const Duration wait = queue.ExpectedWait(now);
    requests_.With(it.request, [&](auto& f) { f.OnQueueExpired(wait); });
  }
  while (auto next = queue.Pop(now)) {
    bool assigned = false;
    const bool known = requests_.With(
        next->request, [&](auto& it) { assigned = it.TryAssign(); });
    if (!known || assigned) continue;
    queue.Restore(std::move(*next));
    return;
  }
}

void Router::Tick() {
  const Instant now = clock_.Now();
  gate_.Tick(now);
  requests_.ForEach([&](auto& it) { it.Tick(now); });
  for (const auto& [group, queue] : queues_) PumpLater(group);
  if (!announced_ready_ && Ready()) {
    announced_ready_ = true;
    LogEvent(Event::kReady, {{"incarnation", self_.value}});
  }
  CheckDrain();
}

bool Router::Ready() const {
  const bool serving = drain_.state() == DrainState::kServing;
  return serving && bundles_.keeper().bundle() != nullptr &&
         ledger_.sync().Primed() && !ledger_.sync().fenced();
}

// --- Planned stop ------------------------------------------------------------

void Router::Drain() { ApplyDrain(DrainEvent::kStopAsked); }

void Router::ApplyDrain(DrainEvent event) {
  switch (drain_.Apply(event)) {
    case DrainAction::kNone:
      return;
    case DrainAction::kReportUnready:
      LogEvent(Event::kDrainStarted, {{"incarnation", self_.value}});
      caller_server_.StartClosing();
      drain_timer_ = loop_.After(settings_.balancer_delay, [this] {
        ApplyDrain(DrainEvent::kBalancerNoticed);
      });
      return;
    case DrainAction::kStopListening:
      caller_server_.StopListening();
      caller_api_.StopAccepting();
      drain_timer_ = loop_.After(settings_.drain_time, [this] {
        LogEvent(Event::kDrainTimedOut,
                 {{"requests", std::to_string(requests_.size())},
                  {"unsent", std::to_string(caller_server_.UnsentReplies())}});
        ApplyDrain(DrainEvent::kTimeUp);
      });
      return;
    case DrainAction::kReturnGrants:
      ledger_.sync().StartDrain();
      ledger_.Kick();
      drain_timer_ = loop_.After(kGrantReturnTime,
                                 [this] { ApplyDrain(DrainEvent::kTimeUp); });
      end_requests_timer_ = loop_.After(kGrantReturnTime - kEndRequestsTime,
                                        [this] { EndRemainingRequests(); });
      return;
    case DrainAction::kExit:
      members_->Leave();
      LogEvent(Event::kDrainFinished, {{"incarnation", self_.value}});
      // Gives the last replies and the lease's revocation time to be sent.
      exit_timer_ = loop_.After(kTick, [this] { loop_.Stop(); });
      return;
  }
}

// Ends the remaining requests while there is still time to answer and bill
// them.
void Router::EndRemainingRequests() {
  requests_.ForEach([](auto& it) { it.OnDrainDeadline(); });
}

void Router::CheckDrain() {
  // An answer that its caller has not fully received is also in flight.
  const bool ended =
      requests_.size() == 0 && caller_server_.UnsentReplies() == 0;
  if (drain_.state() == DrainState::kFinishing && ended) {
    ApplyDrain(DrainEvent::kRequestsEnded);
  }
  if (drain_.state() != DrainState::kReturning) return;
  const bool done =
      ended && ledger_.sync().Drained() && claims_.tracker().Unstored() == 0;
  if (done) ApplyDrain(DrainEvent::kLedgerReturned);
}

}  // namespace quaytrack
