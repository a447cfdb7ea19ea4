#include "relay/budget_driver.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

#include "base/log.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRecordKey[] = "quaytrack/prepaid";
constexpr char kSpendPrefix[] = "quaytrack/spend/";
constexpr Duration kPumpEvery = milliseconds(100);
constexpr Duration kTick = milliseconds(10);
// While a request waits: the store is asked first, then peers for half of what
// they don't use, then for all of it. After `kPatience` it is refused.
constexpr Duration kAskPeersAfter = milliseconds(25);
constexpr Duration kAskAllAfter = milliseconds(70);
constexpr Duration kPatience = milliseconds(160);
// Writers that were refused for a newer revision try again within this.
constexpr int kConflictJitterMs = 8;
// Asked for beyond what waits, so that the next requests find something: what
// was held in the last second, and at least this.
constexpr Tokens kLeastSpare = 30000;
constexpr Duration kDemandTime = milliseconds(1000);

PrepaidOutcome OutcomeOf(StoreEnd end) {
  switch (end) {
    case StoreEnd::kDone:
      return PrepaidOutcome::kApplied;
    case StoreEnd::kRejected:
      return PrepaidOutcome::kRejected;
    case StoreEnd::kRefused:
      return PrepaidOutcome::kRefused;
    case StoreEnd::kUnknown:
      return PrepaidOutcome::kUnknown;
  }
  return PrepaidOutcome::kUnknown;
}

}  // namespace

BudgetDriver::BudgetDriver(Loop& loop, const Clock& clock, KvStore& store,
                           const FleetDirectory& fleet,
                           const PrepaidLedger::Identity& identity,
                           PrepaidPolicy policy)
    : loop_(loop),
      clock_(clock),
      store_(store),
      fleet_(fleet),
      self_(identity.self),
      ledger_(identity, policy),
      remote_({}, RemoteHandlers()),
      served_(ServedHandlers()) {}

RemoteHolds::Handlers BudgetDriver::RemoteHandlers() {
  RemoteHolds::Handlers out;
  out.linked = [this](const VmName& vm) { return on_.linked(vm); };
  out.tell = [this](const Incarnation& peer, const PeerMessage& it) {
    Tell(peer, it);
  };
  return out;
}

ServedHolds::Handlers BudgetDriver::ServedHandlers() {
  ServedHolds::Handlers out;
  out.hold = [this](const HoldWaiterPtr& it) { HoldForPeer(it); };
  out.forget = [this](const HoldWaiterPtr& it) { ForgetHere(it); };
  out.settle = [this](const CustomerName& customer, Tokens held, Tokens cost) {
    SettleHere(customer, held, cost);
  };
  out.tell = [this](const Incarnation& peer, const PeerMessage& it) {
    Tell(peer, it);
  };
  return out;
}

void BudgetDriver::Start() {
  pump_timer_ = loop_.Every(kPumpEvery, [this] { Pump(); });
  Pump();
}

void BudgetDriver::SetConfig(const ServiceMap& map) {
  std::vector<PrepaidLimit> limits;
  for (const CustomerRule& it : map.customers()) {
    if (it.prepaid >= 0) limits.push_back({it.name, it.prepaid});
  }
  ledger_.SetLimits(map.version(), limits);
  ServeWaiting();
  PumpSoon();
}

DecayingRate& BudgetDriver::DemandFor(const CustomerName& customer) {
  return demand_.try_emplace(customer, kDemandTime).first->second;
}

void BudgetDriver::TakePartIfHolder() {
  if (ledger_.TakesPart() || !fleet_.IsHolder(VmOf(self_))) return;
  ledger_.TakePart();
  PumpSoon();
}

// --- Requests ----------------------------------------------------------------

PrepaidVerdict BudgetDriver::Hold(const HoldWaiterPtr& request) {
  if (!ledger_.IsLimited(request->customer())) return PrepaidVerdict::kHeld;
  // Requests that come before the list of routers has settled don't wait.
  TakePartIfHolder();
  if (ledger_.TakesPart()) return HoldHere(request);
  HoldElsewhere(request);
  return PrepaidVerdict::kShort;
}

PrepaidVerdict BudgetDriver::HoldHere(const HoldWaiterPtr& waiter) {
  DemandFor(waiter->customer())
      .Add(clock_.Now(), static_cast<double>(waiter->worst_case()));
  WaitingList& list = waiting_[waiter->customer()];
  // Later requests don't overtake one that waits.
  if (list.empty()) {
    const PrepaidVerdict out =
        ledger_.Hold(clock_.Now(), waiter->customer(), waiter->worst_case());
    if (out != PrepaidVerdict::kShort) return out;
  }
  list.push_back({waiter, clock_.Now(), 0});
  UpdateWaiting(waiter->customer(), list);
  StartTicking();
  loop_.Post([this] { Pump(); });
  return PrepaidVerdict::kShort;
}

void BudgetDriver::HoldElsewhere(const HoldWaiterPtr& request) {
  RemoteHolds::Request out;
  out.id = request->id();
  out.customer = request->customer();
  out.amount = request->worst_case();
  out.holders = fleet_.HoldersFor(request->customer());
  out.done = [this, request](PrepaidVerdict verdict) {
    AnswerLater(request, verdict);
  };
  remote_.Ask(clock_.Now(), std::move(out));
  StartTicking();
}

void BudgetDriver::HoldForPeer(const HoldWaiterPtr& waiter) {
  const PrepaidVerdict verdict = HoldHere(waiter);
  // Else it waits.
  if (verdict != PrepaidVerdict::kShort) Answer(*waiter, verdict);
}

void BudgetDriver::Answer(HoldWaiter& waiter, PrepaidVerdict verdict) {
  if (verdict == PrepaidVerdict::kHeld) return waiter.OnHeld();
  waiter.OnHoldRefused(verdict == PrepaidVerdict::kExhausted);
}

// Posted: the waiter may end, and change the list that is being gone through.
void BudgetDriver::AnswerLater(const HoldWaiterPtr& waiter,
                               PrepaidVerdict verdict) {
  loop_.Post([waiter, verdict] { Answer(*waiter, verdict); });
}

void BudgetDriver::Forget(const HoldWaiterPtr& request) {
  ForgetHere(request);
  remote_.Forget(clock_.Now(), request->id());
}

void BudgetDriver::ForgetHere(const HoldWaiterPtr& waiter) {
  WaitingList& list = waiting_[waiter->customer()];
  std::erase_if(list, [&](const Waiting& it) { return it.waiter == waiter; });
  UpdateWaiting(waiter->customer(), list);
}

void BudgetDriver::Settle(const HoldWaiter& request, Tokens cost) {
  if (!remote_.Holds(request.id())) {
    return SettleHere(request.customer(), request.worst_case(), cost);
  }
  remote_.Settle(clock_.Now(), request.id(), cost);
  StartTicking();
}

void BudgetDriver::SettleHere(const CustomerName& customer, Tokens held,
                              Tokens cost) {
  ledger_.Settle(clock_.Now(), customer, held, cost);
  const auto list = waiting_.find(customer);
  if (list != waiting_.end() && !list->second.empty()) ServeWaiting();
}

void BudgetDriver::UpdateWaiting(const CustomerName& customer,
                                 const WaitingList& list) {
  const Tokens sum = std::accumulate(
      list.begin(), list.end(), Tokens{0},
      [](Tokens n, const Waiting& it) { return n + it.waiter->worst_case(); });
  ledger_.SetWaiting(customer, sum);
}

void BudgetDriver::ServeWaiting() {
  for (auto& [customer, list] : waiting_) ServeList(customer, list);
}

void BudgetDriver::ServeList(const CustomerName& customer, WaitingList& list) {
  while (!list.empty()) {
    const HoldWaiterPtr waiter = list.front().waiter;
    const PrepaidVerdict verdict =
        ledger_.Hold(clock_.Now(), customer, waiter->worst_case());
    if (verdict == PrepaidVerdict::kShort) break;
    list.pop_front();
    UpdateWaiting(customer, list);
    AnswerLater(waiter, verdict);
  }
}

void BudgetDriver::StartTicking() {
  if (!tick_timer_) tick_timer_ = loop_.Every(kTick, [this] { Tick(); });
}

void BudgetDriver::Tick() {
  remote_.Tick(clock_.Now());
  const bool waiting = TickWaiting();
  if (!waiting && remote_.Idle()) tick_timer_.reset();
}

bool BudgetDriver::TickWaiting() {
  const Instant now = clock_.Now();
  bool any = false;
  for (auto& [customer, list] : waiting_) {
    while (!list.empty() && now - list.front().since >= kPatience) {
      const HoldWaiterPtr waiter = list.front().waiter;
      list.pop_front();
      LogShort(customer, waiter->worst_case());
      AnswerLater(waiter, PrepaidVerdict::kShort);
      UpdateWaiting(customer, list);
    }
    if (list.empty()) continue;
    any = true;
    Waiting& first = list.front();
    const Duration waited = now - first.since;
    const bool ask =
        first.asked == 0 && (waited >= kAskPeersAfter || !store_reachable_);
    const bool ask_all = first.asked == 1 && waited >= kAskAllAfter;
    if (!ask && !ask_all) continue;
    ++first.asked;
    AskPeers(customer, list, ask_all);
  }
  return any;
}

void BudgetDriver::LogClosings(
    const std::vector<PrepaidClosing>& closings) const {
  for (const PrepaidClosing& it : closings) {
    LogEvent(Event::kPredecessorClosed,
             {{"dead", it.dead.value},
              {"lock", it.lock_held ? "held" : "open"},
              {"age_ms", std::to_string(it.age_ms)},
              {"charged", std::to_string(it.charged)}});
  }
}

void BudgetDriver::LogWritten(std::int64_t revision) const {
  if (!LogEnabled(Event::kPrepaidWritten)) return;
  for (const auto& [name, entry] : ledger_.LatestRecord()->customers) {
    LogEvent(
        Event::kPrepaidWritten,
        {{"revision", std::to_string(revision)},
         {"customer", name.value},
         {"limit", std::to_string(entry.limit)},
         {"settled", std::to_string(entry.settled)},
         {"granted", std::to_string(entry.Outstanding())},
         {"allowance", std::to_string(ledger_.Allowance(clock_.Now(), name))}});
  }
}

void BudgetDriver::LogShort(const CustomerName& customer, Tokens needed) const {
  PrepaidEntry entry;
  if (const PrepaidRecord* record = ledger_.LatestRecord()) {
    const auto it = record->customers.find(customer);
    if (it != record->customers.end()) entry = it->second;
  }
  LogEvent(
      Event::kPrepaidShort,
      {{"customer", customer.value},
       {"needed", std::to_string(needed)},
       {"allowance", std::to_string(ledger_.Allowance(clock_.Now(), customer))},
       {"limit", std::to_string(entry.limit)},
       {"settled", std::to_string(entry.settled)},
       {"granted", std::to_string(entry.Outstanding())},
       {"store", store_reachable_ ? "up" : "away"}});
}

// --- Peers -------------------------------------------------------------------

void BudgetDriver::AskPeers(const CustomerName& customer,
                            const WaitingList& list, bool all) {
  const double lately =
      DemandFor(customer).PerSecond(clock_.Now()) * ToSeconds(kDemandTime);
  Tokens sum = all ? 0 : std::max<Tokens>(kLeastSpare, std::lround(lately));
  for (const Waiting& it : list) sum += it.waiter->worst_case();
  PeerMessage ask;
  ask.kind = PeerMessageKind::kAsk;
  ask.from = self_;
  ask.customer = customer;
  ask.amount =
      sum - std::max<Tokens>(0, ledger_.Allowance(clock_.Now(), customer));
  ask.all = all;
  if (on_.broadcast) on_.broadcast(ask);
}

void BudgetDriver::Tell(const Incarnation& peer, PeerMessage message) {
  message.from = self_;
  on_.tell(peer, message);
}

void BudgetDriver::OnPeer(const PeerMessage& message) {
  if (message.keeps_budgets) ledger_.OnPeerSeen(message.from);
  switch (message.kind) {
    case PeerMessageKind::kHello:
      served_.OnHello(message.from);
      return;
    case PeerMessageKind::kMove:
      ledger_.OnPeerSeen(message.from);
      ledger_.OnMove(message.customer, message.from, message.amount);
      return ServeWaiting();
    case PeerMessageKind::kAsk:
      return OnAsked(message);
    case PeerMessageKind::kHold:
      return served_.OnHold(message);
    case PeerMessageKind::kSettle:
      return served_.OnSettle(message);
    case PeerMessageKind::kHoldAnswer:
      return remote_.OnAnswer(clock_.Now(), message);
    case PeerMessageKind::kSettled:
      return remote_.OnAcknowledged(message);
    default:
      return;
  }
}

void BudgetDriver::OnPeerLost(const Incarnation& peer) {
  remote_.OnPeerLost(clock_.Now(), peer);
}

void BudgetDriver::OnAsked(const PeerMessage& message) {
  ledger_.OnPeerSeen(message.from);
  const auto total = ledger_.Give(clock_.Now(), message.customer, message.from,
                                  message.amount, message.all);
  if (!total) return;
  PeerMessage move;
  move.kind = PeerMessageKind::kMove;
  move.customer = message.customer;
  move.amount = *total;
  LogEvent(Event::kMoveGiven, {{"customer", message.customer.value},
                               {"to", message.from.value},
                               {"total", std::to_string(*total)}});
  Tell(message.from, move);
}

// --- The store ---------------------------------------------------------------

void BudgetDriver::Pump() {
  if (call_) return;
  if (ledger_.NeedsRead(clock_.Now())) return ReadSpends();
  const auto write = ledger_.NextWrite(clock_.Now());
  if (!write) return;
  sent_ = *write;
  call_ = store_.Write(ToStore(*write),
                       [this](const StoreWritten& it) { OnWritten(it); });
}

StoreWrite BudgetDriver::ToStore(const PrepaidWrite& write) const {
  StoreWrite out;
  out.conditions.push_back({KeyOf(self_), write.expected_spend});
  if (write.leaves) {
    out.removes.push_back(KeyOf(self_));
  } else {
    out.puts.push_back({KeyOf(self_), EncodeSpend(write.spend), 0});
  }
  if (!write.changes_record) return out;
  out.conditions.push_back({kRecordKey, write.expected_record});
  out.puts.push_back({kRecordKey, EncodePrepaid(write.record), 0});
  for (const auto& [dead, revision] : write.removes) {
    out.conditions.push_back({KeyOf(dead), revision});
    out.removes.push_back(KeyOf(dead));
  }
  return out;
}

// The accounts come before the record: what the record then shows is never
// older than they are (PrepaidLedger::OnRead).
void BudgetDriver::ReadSpends() {
  const std::string prefix = kSpendPrefix + VmOf(self_).value + "@";
  call_ =
      store_.Range(prefix, [this](const StoreSnapshot& it) { OnSpends(it); });
}

void BudgetDriver::OnSpends(const StoreSnapshot& snapshot) {
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  if (snapshot.end != StoreEnd::kDone) {
    return ledger_.OnReadFailed(clock_.Now());
  }
  read_ = {};
  for (const StoreItem& it : snapshot.items) {
    const auto spend = DecodeSpend(it.value);
    if (!spend) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      continue;
    }
    const Incarnation who(it.key.substr(sizeof kSpendPrefix - 1));
    read_.spends[who] = {it.revision, *spend};
  }
  call_ = store_.Range(kRecordKey,
                       [this](const StoreSnapshot& it) { OnRecord(it); });
}

void BudgetDriver::OnRecord(const StoreSnapshot& snapshot) {
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  const bool read = snapshot.end == StoreEnd::kDone;
  if (!read || !ReadRecord(snapshot.items)) {
    return ledger_.OnReadFailed(clock_.Now());
  }
  ledger_.OnRead(clock_.Now(), read_);
  ServeWaiting();
  PumpSoon();
}

// Fills the record of `read_`; false if it can't be read.
bool BudgetDriver::ReadRecord(const std::vector<StoreItem>& items) {
  for (const StoreItem& it : items) {
    if (it.key != kRecordKey || it.revision == 0) continue;
    const auto record = DecodePrepaid(it.value);
    if (!record) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      return false;
    }
    read_.revision = it.revision;
    read_.record = *record;
    return true;
  }
  return true;
}

// What a rejected write was shown spares a read, if only the record had
// changed.
void BudgetDriver::OnRejected(const std::vector<StoreItem>& present) {
  std::int64_t spend_revision = 0;
  for (const StoreItem& it : present) {
    if (it.key == KeyOf(self_)) spend_revision = it.revision;
  }
  read_ = {};
  const bool only_record = sent_.changes_record &&
                           spend_revision == sent_.expected_spend &&
                           sent_.removes.empty();
  if (only_record && ReadRecord(present) && read_.revision > 0) {
    ledger_.OnNewerRecord(clock_.Now(), read_.revision, read_.record);
  }
  PumpSoon();
}

std::string BudgetDriver::KeyOf(const Incarnation& it) {
  return kSpendPrefix + it.value;
}

void BudgetDriver::OnWritten(const StoreWritten& written) {
  call_.reset();
  SetReachable(written.end == StoreEnd::kDone ||
               written.end == StoreEnd::kRejected);
  ledger_.OnWritten(clock_.Now(), OutcomeOf(written.end), written.revision);
  if (written.end == StoreEnd::kRejected) OnRejected(written.present);
  if (written.end == StoreEnd::kDone) {
    LogClosings(sent_.closings);
    LogWritten(written.revision);
    ServeWaiting();
  }
}

void BudgetDriver::PumpSoon() {
  std::uniform_int_distribution<int> jitter(0, kConflictJitterMs);
  soon_timer_ = loop_.After(milliseconds(jitter(random_)), [this] { Pump(); });
}

void BudgetDriver::SetReachable(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "budgets"}});
  if (on_.store_reachable) on_.store_reachable(reachable);
}

void BudgetDriver::StartLeaving() {
  ledger_.StartLeaving();
  Pump();
}

}  // namespace quaytrack
