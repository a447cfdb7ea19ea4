#include "relay/prepaid_store.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kRecordKey[] = "quaytrack/prepaid";
constexpr char kSpendPrefix[] = "quaytrack/spend/";
// How often the ledger is polled for due work, in addition to the events that
// make work due.
constexpr Duration kCycleInterval = milliseconds(100);
// Maximum of the random delay, in milliseconds, after which a router retries a
// write that was rejected because another router had changed the record. The
// maximum doubles with each further rejection up to `kMaxRetryJitterMs`: when
// fifteen holders reach the store again after a cut, each has to change the
// record, which takes some 30 ms from the read to the write.
constexpr int kRetryJitterMs = 8;
constexpr int kMaxRetryJitterMs = 128;

// After its work on the record, a cycle pauses this many times as long as the
// work took, so that a router that keeps budgets can answer other routers in
// between. The pause has an upper bound, as requests wait for grants.
constexpr int kRestFactor = 3;
constexpr Duration kMaxRest = milliseconds(200);

std::string KeyIn(std::int64_t era, const std::string& key) {
  return era == 0 ? key : key + '/' + std::to_string(era);
}

std::string RecordKeyIn(std::int64_t era) { return KeyIn(era, kRecordKey); }

std::string SpendKeyOf(const Incarnation& it, std::int64_t era) {
  return KeyIn(era, kSpendPrefix + it.value);
}

// A key without its era, and the era.
struct EraKey {
  std::string key;
  std::int64_t era = 0;
};

// Splits off the era, which is the number after the last slash, if that slash
// is at `min_slash` or later and a number follows it.
EraKey SplitKey(const std::string& key, std::size_t min_slash) {
  const std::size_t slash = key.rfind('/');
  EraKey out{key, 0};
  if (slash == std::string::npos || slash < min_slash) return out;
  const char* end = key.data() + key.size();
  const auto [stop, error] =
      std::from_chars(key.data() + slash + 1, end, out.era);
  if (error == std::errc() && stop == end) {
    out.key.resize(slash);
  } else {
    out.era = 0;
  }
  return out;
}

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

PrepaidStore::PrepaidStore(Loop& loop, const Clock& clock, KvStore& store,
                           Incarnation self, PrepaidLedger& ledger,
                           Handlers handlers)
    : loop_(loop),
      clock_(clock),
      store_(store),
      self_(std::move(self)),
      ledger_(ledger),
      on_(std::move(handlers)),
      max_jitter_ms_(kRetryJitterMs),
      pacer_(kRestFactor, kMaxRest) {}

void PrepaidStore::Start() {
  cycle_timer_ = loop_.Every(kCycleInterval, [this] { RunCycle(); });
  RunCycle();
}

void PrepaidStore::RunCycle() {
  const Instant started = clock_.Now();
  if (call_ || !pacer_.MayWork(started)) return;
  ledger_.OnStoreEra(store_.era());
  if (ledger_.NeedsRead(started)) return ReadSpends();
  const auto write = ledger_.NextWrite(started);
  if (!write) return;
  write_ = *write;
  call_ = store_.Write(ToStore(*write),
                       [this](const StoreWritten& it) { OnWritten(it); });
  pacer_.OnWork(started, clock_.Now());
}

void PrepaidStore::ScheduleCycle() {
  std::uniform_int_distribution<int> jitter(0, max_jitter_ms_);
  delayed_cycle_timer_ =
      loop_.After(milliseconds(jitter(random_)), [this] { RunCycle(); });
}

// --- Reading -----------------------------------------------------------------

// The accounts are read before the record, so that the record is never older
// than the accounts are (PrepaidLedger::OnRead).
void PrepaidStore::ReadSpends() {
  const std::string prefix = kSpendPrefix + VmOf(self_).value + "@";
  call_ =
      store_.Range(prefix, [this](const StoreSnapshot& it) { OnSpends(it); });
}

void PrepaidStore::OnSpends(const StoreSnapshot& snapshot) {
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  if (snapshot.end != StoreEnd::kDone) {
    return ledger_.OnReadFailed(clock_.Now());
  }
  read_ = {};
  read_.era = snapshot.revision.era;
  for (const StoreItem& it : snapshot.items) {
    const auto spend = DecodeSpend(it.value);
    if (!spend) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      continue;
    }
    const std::size_t begin = sizeof kSpendPrefix - 1;
    const EraKey key = SplitKey(it.key, begin);
    StoredSpend& at = read_.spends[Incarnation(key.key.substr(begin))];
    if (at.revision != 0 && at.key_era > key.era) continue;
    at = {it.revision.number, *spend, key.era};
  }
  call_ = store_.Range(kRecordKey,
                       [this](const StoreSnapshot& it) { OnRecord(it); });
}

void PrepaidStore::OnRecord(const StoreSnapshot& snapshot) {
  const Instant started = clock_.Now();
  call_.reset();
  SetReachable(snapshot.end == StoreEnd::kDone);
  const bool answered = snapshot.end == StoreEnd::kDone;
  // The accounts, which were read first, may be of an era that has ended.
  const bool same_era = snapshot.revision.era == read_.era;
  if (!answered || !same_era || !DecodeRecord(snapshot.items)) {
    return ledger_.OnReadFailed(clock_.Now());
  }
  ledger_.OnRead(clock_.Now(), read_);
  on_.ledger_changed();
  pacer_.OnWork(started, clock_.Now());
  ScheduleCycle();
}

// Sets `read_.record` to the record of the latest era in `items`, and leaves it
// empty if there is none. Returns false if a record can't be decoded.
bool PrepaidStore::DecodeRecord(const std::vector<StoreItem>& items) {
  for (const StoreItem& it : items) {
    const EraKey key = SplitKey(it.key, sizeof kRecordKey - 1);
    if (key.key != kRecordKey || it.revision.number == 0) continue;
    const auto record = DecodePrepaid(it.value);
    if (!record) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      return false;
    }
    if (read_.revision != 0 && read_.key_era > key.era) continue;
    read_.key_era = key.era;
    read_.revision = it.revision.number;
    read_.record = *record;
  }
  return true;
}

// --- Writing -----------------------------------------------------------------

StoreWrite PrepaidStore::ToStore(const PrepaidWrite& write) const {
  StoreWrite out;
  const auto expect = [&](const std::string& key, std::int64_t revision) {
    out.conditions.push_back({key, {write.era, revision}});
  };
  const auto remove = [&](const std::string& key, const KeyRevision& at) {
    expect(key, at.revision);
    out.removes.push_back(key);
  };
  const std::string spend_key = SpendKeyOf(self_, write.expected_spend.key_era);
  expect(spend_key, write.expected_spend.revision);
  if (!write.leaves) {
    out.puts.push_back({spend_key, EncodeSpend(write.spend), {}});
  } else if (write.expected_spend.revision != 0) {
    out.removes.push_back(spend_key);
  }
  if (!write.changes_record) return out;
  const KeyRevision& record = write.expected_record;
  expect(RecordKeyIn(record.key_era), record.revision);
  out.puts.push_back(
      {RecordKeyIn(record.key_era), EncodePrepaid(write.record), {}});
  for (const auto& [dead, at] : write.removes) {
    remove(SpendKeyOf(dead, at.key_era), at);
  }
  if (write.earlier_record) {
    remove(RecordKeyIn(write.earlier_record->key_era), *write.earlier_record);
  }
  if (write.earlier_spend) {
    remove(SpendKeyOf(self_, write.earlier_spend->key_era),
           *write.earlier_spend);
  }
  return out;
}

void PrepaidStore::OnWritten(const StoreWritten& written) {
  call_.reset();
  SetReachable(written.end == StoreEnd::kDone ||
               written.end == StoreEnd::kRejected);
  ledger_.OnWritten(clock_.Now(), OutcomeOf(written.end),
                    written.revision.number);
  if (written.end == StoreEnd::kRejected) OnRejected(written.present);
  if (written.end == StoreEnd::kDone) {
    max_jitter_ms_ = kRetryJitterMs;
    LogCharged();
    if (write_.declares) LogDeclared();
    LogWritten(written.revision.number);
    on_.ledger_changed();
  }
}

// Uses the present values, which a rejected write returns. This saves a read if
// only the record has changed, as it does whenever another router writes it.
void PrepaidStore::OnRejected(const std::vector<StoreItem>& present) {
  const Instant started = clock_.Now();
  const std::string spend_key =
      SpendKeyOf(self_, write_.expected_spend.key_era);
  StoreRevision spend_revision(write_.era, 0);
  for (const StoreItem& it : present) {
    if (it.key == spend_key) spend_revision = it.revision;
  }
  const StoreRevision expected(write_.era, write_.expected_spend.revision);
  read_ = {};
  const bool only_record = write_.changes_record && !write_.declares &&
                           spend_revision == expected && write_.removes.empty();
  const bool of_this_era =
      !present.empty() && present.front().revision.era == write_.era;
  if (only_record && of_this_era && DecodeRecord(present) &&
      read_.revision > 0) {
    ledger_.OnNewerRecord(clock_.Now(), read_.revision, read_.record);
  }
  pacer_.OnWork(started, clock_.Now());
  ScheduleCycle();
  max_jitter_ms_ = std::min(max_jitter_ms_ * 2, kMaxRetryJitterMs);
}

// --- Reports -----------------------------------------------------------------

void PrepaidStore::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "budgets"}});
  on_.reachable(reachable);
}

void PrepaidStore::LogCharged() const {
  for (const ChargedPredecessor& it : write_.charged) {
    LogEvent(Event::kPredecessorClosed,
             {{"dead", it.dead.value},
              {"lock", it.withheld_unspent ? "held" : "open"},
              {"age_ms", std::to_string(it.age_ms)},
              {"granted", std::to_string(it.granted)},
              {"spent", std::to_string(it.spent)},
              {"withheld", std::to_string(it.withheld)},
              {"charged", std::to_string(it.charged)}});
  }
  if (!write_.charged.empty()) LogPresumed();
}

// Logs what stands without proof against each budget after a charge.
void PrepaidStore::LogPresumed() const {
  for (const auto& [customer, entry] : write_.record.customers) {
    const Tokens presumed = entry.settled - entry.ProvenSpent();
    if (presumed == 0) continue;
    LogEvent(Event::kBudgetCharged, {{"customer", customer.value},
                                     {"limit", std::to_string(entry.limit)},
                                     {"settled", std::to_string(entry.settled)},
                                     {"presumed", std::to_string(presumed)}});
  }
}

void PrepaidStore::LogDeclared() const {
  const PrepaidRecord& record = write_.record;
  LogEvent(Event::kPrepaidDeclared,
           {{"era", std::to_string(write_.era)},
            {"restored", write_.earlier_record ? "yes" : "no"},
            {"members", std::to_string(record.members.size())},
            {"undeclared", std::to_string(record.undeclared.size())}});
}

void PrepaidStore::LogWritten(std::int64_t revision) const {
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

}  // namespace quaytrack
