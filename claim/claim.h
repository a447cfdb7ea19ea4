// Claims: a call that must not be repeated runs at most once.
//
// Before such a call is sent, its (customer, key) is claimed by creating a key
// in the key-value service that must not exist yet. Whoever finds the key there
// doesn't send. So two routers with the same retry can't both send, and a
// router that dies after claiming leaves a mark that stops everybody else: the
// call may have run, nobody can know, and the caller is told so ("unknown").
//
//   ClaimBook claims(self, {}, chart);
//   switch (claims.Begin(now, key, digest, request).kind) {
//     case ClaimAnswerKind::kWait: ...   // a ClaimEvent follows
//     case ClaimAnswerKind::kReplay: ... // done before; same answer again
//     ...
//   }
//   while (auto commit = claims.Next(now)) {
//     perform it as one transaction, then claims.OnCommit(...);
//   }
//
// Writes are grouped: one transaction carries up to `max_group` claims. A
// rejected transaction returns the present values of all its keys, from which
// each claim in it is resolved by itself. A claim whose write got no answer is
// written again with the same content; the request id in it tells a router its
// own claim from another's, so a lost answer costs nothing but time.
//
// Time alone never frees a claim. A claim is deleted only by its owner, when it
// knows that nothing of the call ran. Otherwise it stays for the retention
// period, which the service's own lease ends.

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

// What is stored of a claimed call.
enum class ClaimState {
  kClaimed,  // may be running, or may have died with its router
  kDone,     // ran; the answer is kept
  kUnknown,  // was sent and the answer was lost; will never be run again
};

template <>
struct EnumTable<ClaimState> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<ClaimState>>({{ClaimState::kClaimed, "claimed"},
                                            {ClaimState::kDone, "done"},
                                            {ClaimState::kUnknown, "unknown"}});
};

// The target's answer, kept so that a retry gets the same one.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // The body was larger than the limit and is not kept.
  bool too_large = false;

  bool operator==(const KeptAnswer&) const = default;
};

struct ClaimEntry {
  ClaimState state{};
  Incarnation owner;
  // Revision at which the owner registered; tells it from its successor.
  std::int64_t owner_registered = 0;
  RequestId request;
  // Digest of method, path and body: the same key with another call is an
  // error of the caller.
  std::string digest;
  KeptAnswer answer;
  std::int64_t at_ms = 0;

  bool operator==(const ClaimEntry&) const = default;
};

std::string EncodeClaim(const ClaimEntry& entry);
std::optional<ClaimEntry> DecodeClaim(std::string_view text);

enum class ClaimAnswerKind {
  kWait,       // being written; an event follows
  kJoin,       // running on this router under another request; an event follows
  kReplay,     // done before: give `entry.answer`
  kUnknown,    // may have run: never run again
  kMismatch,   // the key was used for another call
  kElsewhere,  // claimed by another router; come back later
};

struct ClaimAnswer {
  ClaimAnswerKind kind{};
  ClaimEntry entry;
};

// One write of a group.
enum class ClaimWriteKind { kCreate, kReplace, kDelete };

struct ClaimWrite {
  ClaimWriteKind kind{};
  ClaimKey key;
  ClaimEntry entry;
  // For kReplace and kDelete: the revision that must still be current.
  std::int64_t revision = 0;
};

// One transaction: all writes, or none and the present values.
struct ClaimCommit {
  std::vector<ClaimWrite> writes;
};

enum class ClaimOutcome { kApplied, kRejected, kUnknown };

// A present value, in the order of the commit's writes.
struct FoundClaim {
  bool exists = false;
  std::int64_t revision = 0;
  ClaimEntry entry;
};

enum class ClaimEventKind {
  kClaimed,   // `request` owns the claim: send the call
  kResolved,  // `request` waited and `answer` says what to tell its caller
  kStored,    // `request`'s end is stored: a retry anywhere finds it
};

struct ClaimEvent {
  ClaimEventKind kind{};
  RequestId request;
  ClaimAnswer answer;
};

// None is measured.
struct ClaimOptions {
  // How long the first claim of a group waits for others.
  Duration group_delay = std::chrono::milliseconds(3);
  // Pause after a write that got no answer.
  Duration retry_after_failure = std::chrono::milliseconds(100);
  // Claims in one transaction; well under the 128 operations of a kind that the
  // service allows.
  std::size_t max_group = 40;
  // Resolved claims remembered in memory, so that most retries need no read.
  std::size_t remembered = 10000;
};

class ClaimBook {
 public:
  // The chart must outlive the book.
  ClaimBook(Incarnation self, ClaimOptions options, const ClaimChart& chart);

  // The revision at which this incarnation registered.
  void SetRegistered(std::int64_t revision) { registered_ = revision; }

  ClaimAnswer Begin(Instant now, const ClaimKey& key, const std::string& digest,
                    const RequestId& request, std::int64_t wall_ms);

  // `request` ends and nothing of its call ran: its caller gave up before the
  // claim was written, or the target refused the call. The claim is withdrawn
  // as soon as its write is resolved.
  void Abandon(Instant now, const ClaimKey& key, const RequestId& request);

  // The owner's call was sent: it ran, or it may have run.
  void Done(Instant now, const ClaimKey& key, KeptAnswer answer);
  void Lost(Instant now, const ClaimKey& key);

  std::optional<ClaimCommit> Next(Instant now);
  // `found` is given with kRejected, one for each write.
  void OnCommit(Instant now, ClaimOutcome outcome, std::int64_t revision,
                const std::vector<FoundClaim>& found);

  std::vector<ClaimEvent> TakeEvents();

  // Claims of this router that are not stored in their last form.
  std::size_t Unstored() const { return queue_.size() + in_flight_.size(); }

 private:
  // A claim of this router that is not in its last form yet.
  struct Local {
    Local(const ClaimChart& chart, ClaimEntry e)
        : entry(std::move(e)), machine(chart) {}

    ClaimEntry entry;
    std::int64_t revision = 0;
    ChartMachine<ClaimPhase, ClaimStep, ClaimDeed> machine;
    // Requests that wait for the same call's end.
    std::vector<RequestId> joined;
  };

  ClaimAnswer AnswerFrom(const ClaimEntry& entry,
                         const std::string& digest) const;
  void Apply(Instant now, const ClaimKey& key, ClaimStep step);
  void Do(Instant now, const ClaimKey& key, Local& local, ClaimDeed deed);
  void Enqueue(Instant now, ClaimWrite write);
  void OnPresent(Instant now, const ClaimWrite& write, const FoundClaim& found);
  void OnWritten(Instant now, const ClaimWrite& write, std::int64_t revision);
  void TellJoined(Local& local);
  void Remember(const ClaimKey& key, const ClaimEntry& entry);

  Incarnation self_;
  std::int64_t registered_ = 0;
  ClaimOptions options_;
  const ClaimChart& chart_;
  std::map<ClaimKey, Local> locals_;
  // Ended claims, of this router and of others, and the order they came in.
  std::map<ClaimKey, ClaimEntry> known_;
  std::deque<ClaimKey> remembered_;
  std::deque<ClaimWrite> queue_;
  std::vector<ClaimWrite> in_flight_;
  Instant due_{};
  std::vector<ClaimEvent> events_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLAIM_CLAIM_H_
