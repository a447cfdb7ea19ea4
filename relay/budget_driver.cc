#include "relay/budget_driver.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "base/log.h"
#include "relay/relay_flow.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRecordKey[] = "quaytrack/prepaid";
constexpr char kSpendPrefix[] = "quaytrack/spend/";
constexpr Duration kPumpEvery = milliseconds(100);
constexpr Duration kWaitingTick = milliseconds(10);
// While a request waits: the store is asked first, then peers for half of what
// they don't use, then for all of it. After `kPatience` it is refused.
constexpr Duration kAskPeersAfter = milliseconds(25);
constexpr Duration kAskAllAfter = milliseconds(70);
constexpr Duration kPatience = milliseconds(160);
// Writers that were refused for a newer revision try again within this.
constexpr int kConflictJitterMs = 8;
// Asked for beyond what waits, so that the next request finds something.
constexpr Tokens kSpare = 30000;

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
                           const PrepaidLedger::Identity& identity,
                           PrepaidPolicy policy)
    : loop_(loop),
      clock_(clock),
      store_(store),
      self_(identity.self),
      ledger_(identity, policy) {}

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

// --- Requests ----------------------------------------------------------------

PrepaidVerdict BudgetDriver::Hold(const std::shared_ptr<RelayFlow>& flow) {
  WaitingList& list = waiting_[flow->customer()];
  // Later requests don't overtake one that waits.
  if (list.empty()) {
    const PrepaidVerdict out =
        ledger_.Hold(clock_.Now(), flow->customer(), flow->worst_case());
    if (out != PrepaidVerdict::kShort) return out;
  }
  list.push_back({flow, clock_.Now(), 0});
  UpdateWaiting(flow->customer(), list);
  if (!waiting_timer_) {
    waiting_timer_ = loop_.Every(kWaitingTick, [this] { TickWaiting(); });
  }
  loop_.Post([this] { Pump(); });
  return PrepaidVerdict::kShort;
}

void BudgetDriver::Forget(const std::shared_ptr<RelayFlow>& flow) {
  WaitingList& list = waiting_[flow->customer()];
  std::erase_if(list, [&](const Waiting& it) { return it.flow == flow; });
  UpdateWaiting(flow->customer(), list);
}

void BudgetDriver::Settle(const CustomerName& customer, Tokens held,
                          Tokens cost) {
  ledger_.Settle(customer, held, cost);
  const auto list = waiting_.find(customer);
  if (list != waiting_.end() && !list->second.empty()) ServeWaiting();
}

void BudgetDriver::UpdateWaiting(const CustomerName& customer,
                                 const WaitingList& list) {
  const Tokens sum = std::accumulate(
      list.begin(), list.end(), Tokens{0},
      [](Tokens n, const Waiting& it) { return n + it.flow->worst_case(); });
  ledger_.SetWaiting(customer, sum);
}

void BudgetDriver::ServeWaiting() {
  for (auto& [customer, list] : waiting_) ServeList(customer, list);
}

void BudgetDriver::ServeList(const CustomerName& customer, WaitingList& list) {
  while (!list.empty()) {
    const auto flow = list.front().flow;
    const PrepaidVerdict verdict =
        ledger_.Hold(clock_.Now(), customer, flow->worst_case());
    if (verdict == PrepaidVerdict::kShort) break;
    list.pop_front();
    UpdateWaiting(customer, list);
    // Posted: the flow may end, and change the list that is being read.
    loop_.Post([flow, verdict] {
      if (verdict == PrepaidVerdict::kHeld) return flow->OnHeld();
      flow->OnHoldRefused(true);
    });
  }
}

void BudgetDriver::TickWaiting() {
  const Instant now = clock_.Now();
  bool any = false;
  for (auto& [customer, list] : waiting_) {
    while (!list.empty() && now - list.front().since >= kPatience) {
      const auto flow = list.front().flow;
      list.pop_front();
      LogShort(customer, flow->worst_case());
      loop_.Post([flow] { flow->OnHoldRefused(false); });
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
  if (!any) waiting_timer_.reset();
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
  Tokens sum = all ? 0 : kSpare;
  for (const Waiting& it : list) sum += it.flow->worst_case();
  PeerMessage ask;
  ask.kind = PeerMessageKind::kAsk;
  ask.from = self_;
  ask.customer = customer;
  ask.amount =
      sum - std::max<Tokens>(0, ledger_.Allowance(clock_.Now(), customer));
  ask.all = all;
  if (on_.broadcast) on_.broadcast(ask);
}

void BudgetDriver::OnPeer(const PeerMessage& message) {
  ledger_.OnPeerSeen(message.from);
  if (message.kind == PeerMessageKind::kMove) {
    ledger_.OnMove(message.customer, message.from, message.amount);
    return ServeWaiting();
  }
  if (message.kind != PeerMessageKind::kAsk) return;
  const auto total = ledger_.Give(clock_.Now(), message.customer, message.from,
                                  message.amount, message.all);
  if (!total) return;
  PeerMessage move;
  move.kind = PeerMessageKind::kMove;
  move.from = self_;
  move.customer = message.customer;
  move.amount = *total;
  LogEvent(Event::kMoveGiven, {{"customer", message.customer.value},
                               {"to", message.from.value},
                               {"total", std::to_string(*total)}});
  on_.tell(message.from, move);
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
  loop_.Post([done = std::shared_ptr<KvStore::Call>(std::move(call_))] {});
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
  loop_.Post([done = std::shared_ptr<KvStore::Call>(std::move(call_))] {});
  SetReachable(snapshot.end == StoreEnd::kDone);
  const bool read = snapshot.end == StoreEnd::kDone;
  if (!read || !ReadRecord(snapshot.items)) {
    return ledger_.OnReadFailed(clock_.Now());
  }
  ledger_.OnRead(clock_.Now(), read_);
  NoticeMembers();
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
  loop_.Post([done = std::shared_ptr<KvStore::Call>(std::move(call_))] {});
  SetReachable(written.end == StoreEnd::kDone ||
               written.end == StoreEnd::kRejected);
  ledger_.OnWritten(clock_.Now(), OutcomeOf(written.end), written.revision);
  if (written.end == StoreEnd::kRejected) OnRejected(written.present);
  if (written.end == StoreEnd::kDone) {
    LogClosings(sent_.closings);
    LogWritten(written.revision);
    ServeWaiting();
  }
  NoticeMembers();
}

void BudgetDriver::NoticeMembers() {
  const auto members = ledger_.Peers();
  if (members == members_) return;
  members_ = members;
  if (on_.members_changed) on_.members_changed();
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
