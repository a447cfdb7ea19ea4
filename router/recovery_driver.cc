#include "router/recovery_driver.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "etcd/etcd_json.h"
#include "etcd/keys.h"
#include "router/ledger_codec.h"
#include "router/sse_relay.h"

namespace quaytrack {
namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(1);
constexpr Duration kQueryTimeout = std::chrono::seconds(2);
// Number of batches at the end of the dead router's journal in which its copied
// bills are searched for. A copy is deleted when its batch is known to be
// written, so only the last few batches can have bills that are also copies.
constexpr std::uint64_t kJournalOverlap = 64;

}  // namespace

RecoveryDriver::RecoveryDriver(Loop& loop, EtcdClient& kv, HttpClient& http,
                               const RetentionLease& retention,
                               LedgerDriver& ledger, Membership& members,
                               PeerDriver& peers, Incarnation self)
    : loop_(loop),
      kv_(kv),
      http_(http),
      retention_(retention),
      ledger_(ledger),
      members_(members),
      peers_(peers),
      self_(std::move(self)),
      timer_(loop.Every(kCheckInterval, [this] { CheckWriters(); })) {}

void RecoveryDriver::CheckWriters() {
  stranded_ = 0;
  for (int shard = 0; shard < kLedgerShards; ++shard) {
    const ShardState* state = ledger_.sync().CachedShard(shard);
    if (state == nullptr) continue;
    for (const auto& [writer, entry] : state->record.writers) {
      if (writer == self_ || jobs_.contains(writer)) continue;
      if (!members_.ProvenDead(writer, entry.registered)) continue;
      Consider(writer, entry, state->record);
    }
  }
}

void RecoveryDriver::Consider(const Incarnation& writer,
                              const WriterEntry& entry,
                              const LedgerRecord& record) {
  if (entry.witness == self_) {
    if (auto copy = peers_.store().Of(writer)) Recover(writer, *copy, true);
    return;
  }
  if (!HoldsGrants(record, writer)) {
    if (!HoldsGrantsAnywhere(writer)) Recover(writer, {}, false);
    return;
  }
  // A live witness recovers the grants itself; without one, they stay
  // outstanding.
  const bool witness_is_alive =
      members_.registry().entries().contains(entry.witness);
  if (witness_is_alive) return;
  for (const auto& [name, it] : record.budgets) {
    stranded_ += it.GrantOf(writer);
  }
}

bool RecoveryDriver::HoldsGrantsAnywhere(const Incarnation& writer) const {
  for (int shard = 0; shard < kLedgerShards; ++shard) {
    const ShardState* state = ledger_.sync().CachedShard(shard);
    if (state != nullptr && HoldsGrants(state->record, writer)) return true;
  }
  return false;
}

void RecoveryDriver::Recover(const Incarnation& dead, const WitnessCopy& copy,
                             bool as_witness) {
  auto job = std::make_shared<Job>();
  job->as_witness = as_witness;
  job->input.dead = dead;
  job->input.copy = copy;
  jobs_[dead] = job;
  job->pending_queries = copy.intents.size();
  if (job->pending_queries == 0) return ReadSnapshot(job);
  for (const auto& [request, it] : copy.intents) QueryTarget(job, it);
}

// Queries a target for the cost of a request of the dead router. This also ends
// the request.
void RecoveryDriver::QueryTarget(const JobPtr& job, const Intent& intent) {
  if (intent.target_address.empty()) {
    return OnTargetReply(job, intent, HttpResult{});
  }
  HttpRequest request;
  request.address = intent.target_address;
  request.method = "POST";
  request.path =
      "/v1/requests/" + intent.worst_case.request_id.value + "/cancel";
  request.idle_timeout = kQueryTimeout;
  HttpCall::Handlers on;
  on.end = [this, job, intent](const HttpResult& result) {
    OnTargetReply(job, intent, result);
  };
  http_.Start(std::move(request), std::move(on));
}

void RecoveryDriver::OnTargetReply(const JobPtr& job, const Intent& intent,
                                   const HttpResult& result) {
  constexpr int kNotFound = 404;
  const bool never_ran =
      result.end == HttpEnd::kComplete && result.status == kNotFound;
  if (!never_ran) {
    // Without a usage report the request may have run in full, so the bill has
    // its worst-case cost.
    Bill bill = intent.worst_case;
    const auto usage = result.ok() ? UsageFromJson(result.body) : std::nullopt;
    if (usage) {
      const Tokens cost = usage->prompt * intent.price_prompt +
                          usage->output * intent.price_output;
      bill.tokens = std::min(bill.tokens, cost);
    }
    job->input.asked.push_back(bill);
  }
  if (--job->pending_queries == 0) ReadSnapshot(job);
}

void RecoveryDriver::ReadSnapshot(const JobPtr& job) {
  std::uint64_t last = 0;
  EtcdTxn txn;
  for (int shard = 0; shard < kLedgerShards; ++shard) {
    txn.gets.push_back({keys::Ledger(shard)});
    const ShardState* state = ledger_.sync().CachedShard(shard);
    if (state == nullptr) continue;
    auto writer = state->record.writers.find(job->input.dead);
    if (writer == state->record.writers.end()) continue;
    last = std::max(last, writer->second.seq);
  }
  const std::uint64_t from =
      last > kJournalOverlap ? last - kJournalOverlap : 0;
  EtcdGet journal{keys::Journal(job->input.dead, from)};
  journal.end = PrefixEnd(keys::JournalOf(job->input.dead));
  txn.gets.push_back(journal);
  for (const auto& [request, it] : job->input.copy.bills) {
    txn.gets.push_back({keys::Billed(it.bill.marker)});
  }
  for (const Bill& it : job->input.asked) {
    txn.gets.push_back({keys::Billed(it.marker)});
  }
  kv_.Txn(txn,
          [this, job](const EtcdTxnReply& reply) { OnSnapshot(job, reply); });
}

void RecoveryDriver::OnSnapshot(const JobPtr& job, const EtcdTxnReply& reply) {
  if (reply.end != EtcdEnd::kOk) return Finish(job, false);
  RecoveryInput& input = job->input;
  input.shards.clear();
  for (int shard = 0; shard < kLedgerShards; ++shard) {
    const auto& found = reply.found[static_cast<std::size_t>(shard)];
    input.shards.push_back(ShardFromKv(shard, found));
  }
  // A router without copies of the bills may remove a writer only if it has no
  // grants in any record.
  const bool has_grants = std::any_of(
      input.shards.begin(), input.shards.end(),
      [&](const ShardState& it) { return HoldsGrants(it.record, input.dead); });
  if (has_grants && !job->as_witness) return Finish(job, false);
  input.journal.clear();
  for (const EtcdItem& it : reply.found[kLedgerShards]) {
    if (auto batch = DecodeBatch(it.value)) input.journal.push_back(*batch);
  }
  input.existing_markers.clear();
  std::size_t n = kLedgerShards + 1;
  for (const auto& [request, it] : input.copy.bills) {
    if (!reply.found[n++].empty()) {
      input.existing_markers.insert(it.bill.marker);
    }
  }
  for (const Bill& it : input.asked) {
    if (!reply.found[n++].empty()) input.existing_markers.insert(it.marker);
  }
  const auto commit = PlanRecovery(input);
  if (!commit) return Finish(job, true);
  Write(job, *commit);
}

void RecoveryDriver::Write(const JobPtr& job, const LedgerCommit& commit) {
  const EtcdTxn txn = TxnFor(job->input.dead, commit, retention_.lease());
  kv_.Txn(txn, [this, job, commit](const EtcdTxnReply& reply) {
    const bool done = reply.end == EtcdEnd::kOk && reply.succeeded;
    if (done) {
      LogEvent(Event::kRouterRecovered,
               {{"incarnation", job->input.dead.value},
                {"bills", std::to_string(commit.batch.bills.size())}});
    }
    Finish(job, done);
  });
}

// A recovery that failed is restarted by the next check, from a snapshot that
// shows whether this one took effect.
void RecoveryDriver::Finish(const JobPtr& job, bool done) {
  if (done) {
    peers_.Forget(job->input.dead);
  } else {
    LogEvent(Event::kRecoveryFailed, {{"incarnation", job->input.dead.value}});
  }
  loop_.Post([this, dead = job->input.dead] { jobs_.erase(dead); });
}

}  // namespace quaytrack
