// Claims ensure that a call that must not be repeated runs at most once.
//
// Before a router sends such a call, it claims the call's (customer, key) by
// creating a key in the key-value service that must not exist yet. A router
// that finds the key there doesn't send. So two routers with the same retry
// can't both send, and the claim of a router that died stops all others: the
// call may have run, and the caller gets the answer "unknown".
//
//   ClaimTracker claims(self, {}, chart);
//   switch (claims.Begin(now, key, digest, request).kind) {
//     case ClaimAnswerKind::kWait: ...    // a ClaimEvent follows
//     case ClaimAnswerKind::kReplay: ...  // done before; same answer again
//     ...
//   }
//   while (auto commit = claims.Next(now)) {
//     // perform it as one transaction, then call claims.OnCommit(...)
//   }
//
// Writes are grouped: one transaction contains up to `max_group` claims. A
// rejected transaction returns the present values of all its keys, from which
// each of its claims is resolved separately. A claim whose write got no answer
// is written again with the same content; its request id distinguishes it from
// another request's claim, so a lost answer costs only time.
//
// No timeout frees a claim. Only its owner deletes it, when it knows that
// nothing of the call ran. Otherwise the claim stays for the retention period,
// until its lease in the service ends.

#ifndef QUAYTRACK_CLAIM_CLAIM_H_
#define QUAYTRACK_CLAIM_CLAIM_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "claim/claim_chart.h"

namespace quaytrack {

struct ClaimKey {
  CustomerName customer;
  IdempotencyKey key;
  auto operator<=>(const ClaimKey&) const = default;
};

// The stored state of a claimed call.
enum class ClaimState {
  kClaimed,  // the call may be running, or its router may have died
  kDone,     // the call ran; the answer is stored
  kUnknown,  // the call was sent, its answer was lost; never send it again
};

template <>
struct EnumTable<ClaimState> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<ClaimState>>({{ClaimState::kClaimed, "claimed"},
                                            {ClaimState::kDone, "done"},
                                            {ClaimState::kUnknown, "unknown"}});
};

// The target's answer, stored so that a retry gets the same one.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // Whether the body was larger than the limit; it is then not stored.
  bool too_large = false;

  bool operator==(const StoredAnswer&) const = default;
};

struct ClaimEntry {
  ClaimState state{};
  Incarnation owner;
  // Revision at which the owner registered; distinguishes the owner from its
  // successor on the same VM.
  std::int64_t owner_registered = 0;
  RequestId request;
  // Digest of method, path and body: using the same key for another call is the
  // caller's error.
  std::string digest;
  StoredAnswer answer;
  // Milliseconds since the Unix epoch.
  std::int64_t at_ms = 0;

  bool operator==(const ClaimEntry&) const = default;
};

std::string EncodeClaim(const ClaimEntry& entry);
std::optional<ClaimEntry> DecodeClaim(std::string_view text);

enum class ClaimAnswerKind {
  kWait,         // the claim is being written; an event follows
  kJoin,         // another request here runs the call; an event follows
  kReplay,       // the call was done before: return `entry.answer`
  kUnknown,      // the call may have run: never send it again
  kMismatch,     // the key was used for another call
  kOtherRouter,  // another router has the claim: retry later
};

struct ClaimAnswer {
  ClaimAnswerKind kind{};
  ClaimEntry entry;
};

// How a write changes its key: creates, replaces or deletes it.
enum class ClaimWriteKind { kCreate, kReplace, kDelete };

struct ClaimWrite {
  ClaimWriteKind kind{};
  ClaimKey key;
  ClaimEntry entry;
  // Revision that the key must still have, for kReplace and kDelete.
  std::int64_t revision = 0;
};

// One transaction: it applies all writes, or applies none and returns the
// present values of their keys.
struct ClaimCommit {
  std::vector<ClaimWrite> writes;
};

enum class ClaimOutcome { kApplied, kRejected, kUnknown };

// The present value of one write's key.
struct FoundClaim {
  bool exists = false;
  std::int64_t revision = 0;
  ClaimEntry entry;
};

enum class ClaimEventKind {
  kClaimed,   // `request` owns the claim: send the call
  kResolved,  // `request` waited; `answer` is the answer to its caller
  kStored,    // `request`'s end is stored: a retry at any router finds it
};

struct ClaimEvent {
  ClaimEventKind kind{};
  RequestId request;
  ClaimAnswer answer;
};

struct ClaimOptions {
  // How long the first claim of a group waits for more claims.
  Duration group_delay = std::chrono::milliseconds(3);
  // Pause after a write that got no answer.
  Duration retry_after_failure = std::chrono::milliseconds(100);
  // Maximum number of claims in one transaction; well under the 128 operations
  // of a kind that the service allows.
  std::size_t max_group = 40;
  // Maximum number of resolved claims in memory; a claim in memory saves a
  // retry the read.
  std::size_t max_resolved = 10000;
};

class ClaimTracker {
 public:
  // `chart` must outlive this object.
  ClaimTracker(Incarnation self, ClaimOptions options, const ClaimChart& chart);

  // Sets the revision at which this incarnation registered.
  void SetRegistered(std::int64_t revision) { registered_ = revision; }

  // Claims the call of `request`, or answers from an earlier claim of its key.
  // `wall_ms` is in milliseconds since the Unix epoch.
  ClaimAnswer Begin(Instant now, const ClaimKey& key, const std::string& digest,
                    const RequestId& request, std::int64_t wall_ms);

  // Call when `request` has ended and no part of its call ran, because its
  // caller gave up before the call was sent, or because the router or the
  // target refused the call. If `request` created the claim, the claim is
  // deleted once the result of the write that creates it is known.
  void Abandon(Instant now, const ClaimKey& key, const RequestId& request);

  // Call one of these when the owner's call was sent: MarkDone if the call ran
  // with `answer`, MarkUnknown if the call may have run.
  void MarkDone(Instant now, const ClaimKey& key, StoredAnswer answer);
  void MarkUnknown(Instant now, const ClaimKey& key);

  std::optional<ClaimCommit> Next(Instant now);
  // If `outcome` is kRejected, `found` has one element for each write, in
  // order.
  void OnCommit(Instant now, ClaimOutcome outcome, std::int64_t revision,
                const std::vector<FoundClaim>& found);

  std::vector<ClaimEvent> TakeEvents();

  // Number of writes of this router's claims that aren't known to be stored.
  std::size_t Unstored() const { return queue_.size() + in_flight_.size(); }

 private:
  // A claim of this router whose last write isn't known to be stored.
  struct LocalClaim {
    LocalClaim(const ClaimChart& chart, ClaimEntry e)
        : entry(std::move(e)), machine(chart) {}

    ClaimEntry entry;
    std::int64_t revision = 0;
    ChartMachine<ClaimPhase, ClaimStep, ClaimAction> machine;
    // Other requests on this router that wait for the end of the same call.
    std::vector<RequestId> joined;
  };

  ClaimAnswer AnswerFrom(const ClaimEntry& entry,
                         const std::string& digest) const;
  void Apply(Instant now, const ClaimKey& key, ClaimStep step);
  void PerformAction(Instant now, const ClaimKey& key, LocalClaim& local,
                     ClaimAction action);
  void Enqueue(Instant now, ClaimWrite write);
  void ResolveRejected(Instant now, const ClaimWrite& write,
                       const FoundClaim& found);
  void OnWritten(Instant now, const ClaimWrite& write, std::int64_t revision);
  void NotifyJoined(LocalClaim& local);
  void Remember(const ClaimKey& key, const ClaimEntry& entry);

  Incarnation self_;
  std::int64_t registered_ = 0;
  ClaimOptions options_;
  const ClaimChart& chart_;
  std::map<ClaimKey, LocalClaim> local_claims_;
  // Resolved claims of this and other routers, and the order of their arrival.
  std::map<ClaimKey, ClaimEntry> resolved_;
  std::deque<ClaimKey> resolved_order_;
  std::deque<ClaimWrite> queue_;
  std::vector<ClaimWrite> in_flight_;
  Instant due_{};
  std::vector<ClaimEvent> events_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLAIM_CLAIM_H_
