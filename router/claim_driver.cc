#include "router/claim_driver.h"

#include <utility>

#include "etcd/keys.h"

namespace quaytrack {
namespace {

constexpr Duration kGroupDelay = std::chrono::milliseconds(3);
constexpr Duration kTick = std::chrono::milliseconds(50);

FoundClaim ToFound(const std::vector<EtcdItem>& items) {
  FoundClaim out;
  if (items.empty()) return out;
  out.exists = true;
  out.revision = items[0].mod_revision;
  // A claim that can't be decoded is read as one with an unknown outcome, so
  // its call never runs again.
  ClaimEntry unreadable;
  unreadable.state = ClaimState::kUnknown;
  out.entry = DecodeClaim(items[0].value).value_or(unreadable);
  return out;
}

EtcdTxn ToTxn(const ClaimCommit& commit, std::int64_t lease) {
  EtcdTxn out;
  for (const ClaimWrite& it : commit.writes) {
    const std::string key = keys::Claim(it.key);
    const bool create = it.kind == ClaimWriteKind::kCreate;
    out.compares.push_back(
        EtcdCompare::Revision(key, create ? 0 : it.revision));
    out.else_gets.push_back({key});
    if (it.kind == ClaimWriteKind::kDelete) {
      out.deletes.push_back(key);
    } else {
      out.puts.push_back({key, EncodeClaim(it.entry), lease});
    }
  }
  return out;
}

ClaimOutcome OutcomeOf(const EtcdTxnReply& reply) {
  if (reply.end != EtcdEnd::kOk) return ClaimOutcome::kUnknown;
  return reply.succeeded ? ClaimOutcome::kApplied : ClaimOutcome::kRejected;
}

}  // namespace

ClaimDriver::ClaimDriver(Loop& loop, EtcdClient& kv, const Clock& clock,
                         const RetentionLease& retention,
                         const Incarnation& self, const ClaimChart& chart,
                         EventHandler handler)
    : loop_(loop),
      kv_(kv),
      clock_(clock),
      retention_(retention),
      tracker_(self, ClaimOptions{.group_delay = kGroupDelay}, chart),
      handler_(std::move(handler)),
      tick_timer_(loop.Every(kTick, [this] { Pump(); })) {}

void ClaimDriver::Kick() {
  if (group_timer_) return;
  // Slightly longer than the group delay, so that the group is due.
  group_timer_ = loop_.After(kGroupDelay + std::chrono::microseconds(200),
                             [this] { Pump(); });
}

void ClaimDriver::Pump() {
  group_timer_.reset();
  if (auto commit = tracker_.Next(clock_.Now())) Perform(*commit);
  for (const ClaimEvent& it : tracker_.TakeEvents()) handler_(it);
}

void ClaimDriver::Perform(const ClaimCommit& commit) {
  kv_.Txn(ToTxn(commit, retention_.lease()), [this](const EtcdTxnReply& reply) {
    std::vector<FoundClaim> found;
    for (const auto& it : reply.found) found.push_back(ToFound(it));
    tracker_.OnCommit(clock_.Now(), OutcomeOf(reply), reply.revision, found);
    Pump();
  });
}

}  // namespace quaytrack
