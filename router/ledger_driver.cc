#include "router/ledger_driver.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/parse_number.h"
#include "etcd/keys.h"
#include "router/ledger_codec.h"

namespace quaytrack {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(25);
constexpr Duration kWatchRetry = std::chrono::milliseconds(500);

CommitOutcome OutcomeOf(const EtcdTxnReply& reply) {
  if (reply.end == EtcdEnd::kUnknown) return CommitOutcome::kUnknown;
  const bool applied = reply.end == EtcdEnd::kOk && reply.succeeded;
  return applied ? CommitOutcome::kApplied : CommitOutcome::kRejected;
}

}  // namespace

LedgerDriver::LedgerDriver(Loop& loop, EtcdClient& kv, const Clock& clock,
                           const RetentionLease& retention, Incarnation self,
                           LedgerSyncOptions options, EventHandler handler)
    : loop_(loop),
      kv_(kv),
      clock_(clock),
      retention_(retention),
      self_(self),
      sync_(std::move(self), options),
      handler_(std::move(handler)),
      timer_(loop.Every(kTick, [this] { Pump(); })) {}

void LedgerDriver::Kick() {
  if (std::exchange(kicked_, true)) return;
  loop_.Post([this] {
    kicked_ = false;
    Pump();
  });
}

void LedgerDriver::Pump() {
  const Instant now = clock_.Now();
  sync_.Tick(now);
  if (auto action = sync_.Next(now)) Perform(*action);
  for (const LedgerEvent& it : sync_.TakeEvents()) handler_(it);
}

void LedgerDriver::Perform(const LedgerAction& action) {
  if (const auto* read = std::get_if<ReadShards>(&action)) {
    Read(*read);
  } else {
    Commit(std::get<LedgerCommit>(action));
  }
}

void LedgerDriver::Read(const ReadShards& read) {
  // A single transaction without comparisons reads one snapshot.
  EtcdTxn txn;
  for (int it : read.shards) txn.gets.push_back({keys::Ledger(it)});
  for (const std::string& it : read.markers) {
    txn.gets.push_back({keys::Billed(it)});
  }
  kv_.Txn(txn, [this, read](const EtcdTxnReply& reply) {
    const Instant now = clock_.Now();
    if (reply.end != EtcdEnd::kOk) {
      sync_.OnRead(now, std::nullopt, {});
    } else {
      std::vector<ShardState> states;
      for (std::size_t n = 0; n < read.shards.size(); ++n) {
        states.push_back(ShardFromKv(read.shards[n], reply.found[n]));
      }
      std::set<std::string> existing;
      for (std::size_t n = 0; n < read.markers.size(); ++n) {
        if (reply.found[read.shards.size() + n].empty()) continue;
        existing.insert(read.markers[n]);
      }
      revision_ = std::max(revision_, reply.revision);
      sync_.OnRead(now, std::move(states), existing);
      if (!watch_) StartWatch();
    }
    ReportReachability();
    Pump();
  });
}

void LedgerDriver::Commit(const LedgerCommit& commit) {
  const EtcdTxn txn = TxnFor(self_, commit, retention_.lease());
  kv_.Txn(txn, [this](const EtcdTxnReply& reply) {
    revision_ = std::max(revision_, reply.revision);
    sync_.OnCommit(clock_.Now(), OutcomeOf(reply), reply.revision);
    ReportReachability();
    Pump();
  });
}

void LedgerDriver::ReportReachability() {
  const bool reachable = sync_.KvReachable();
  if (reachable == was_reachable_) return;
  was_reachable_ = reachable;
  LogEvent(reachable ? Event::kKvBack : Event::kKvLost, {{"by", "ledger"}});
}

void LedgerDriver::StartWatch() {
  EtcdClient::WatchHandlers on;
  on.events = [this](std::int64_t revision,
                     const std::vector<EtcdWatchEvent>& events) {
    revision_ = std::max(revision_, revision);
    OnWatchEvents(events);
  };
  on.broken = [this] {
    LogEvent(Event::kWatchRestarted, {{"prefix", keys::kNeedPrefix}});
    // Changes during the interruption were missed, so all records are read.
    watch_retry_ = loop_.After(kWatchRetry, [this] {
      sync_.Refresh();
      StartWatch();
    });
  };
  watch_ = kv_.StartWatch(keys::kNeedPrefix, revision_, std::move(on));
}

void LedgerDriver::OnWatchEvents(const std::vector<EtcdWatchEvent>& events) {
  for (const EtcdWatchEvent& it : events) {
    const std::string_view name = it.item.key;
    const std::string_view number = name.substr(keys::kNeedPrefix.size());
    const auto shard = ParseNumber<int>(number);
    if (shard && it.item.value != self_.value) sync_.OnNeed(*shard);
  }
  Pump();
}

}  // namespace quaytrack
