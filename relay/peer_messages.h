// The messages between routers, as CBOR in websocket messages.
//
//   PeerMessage out;
//   out.kind = PeerMessageKind::kHoldRequest;
//   send(EncodePeerMessage(out));
//   if (auto in = DecodePeerMessage(bytes)) switch (in->kind) {...}
//
// One type holds the fields of all kinds; a comment says which kinds use which.
// An absent field has the value that it is initialized with here, and unknown
// fields and kinds are skipped, so that routers of different builds understand
// each other. The names on the wire are older than those of the code: the table
// below and FromJson map them.
//
// Units: tokens. Any message may be lost; the link itself answers none.

#ifndef QUAYTRACK_RELAY_PEER_MESSAGES_H_
#define QUAYTRACK_RELAY_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "dispatch/prefill_speed.h"
#include "dispatch/rate_limits.h"
#include "dispatch/rejection_limits.h"
#include "fleet/closed_halls.h"
#include "fleet/target_registry.h"
#include "relay/feed_news.h"
#include "relay/stream_versions.h"
#include "rollout/rollout.h"

namespace quaytrack {

enum class PeerMessageKind {
  kHello,            // identifies the sender
  kPing,             // a heartbeat, with the state of the sender
  kTransferRequest,  // requests a transfer of unused grant of a customer's
                     // budget
  kTransfer,         // running total of what the sender has transferred
  kHoldRequest,      // requests a hold on a customer's budget for a request
  kHoldAnswer,       // the answer to a hold request
  kSettle,           // the cost of a request that was held
  kSettled,          // acknowledges a kSettle
  kPromptSent,       // a prompt was sent that keeps its engine busy
  kConfigRequest,    // requests the configuration
  kConfig,           // the configuration, as the store has it
  kUpdate,           // changes that a reader has received from the store
  kStateRequest,     // requests the changes of a feed, or all of its items
  kState,            // a page of the answer
  kMarkRequest,      // asks how current the receiver is on a feed
  kMark,             // the answer: `update` without changes
  kStreamBegan,      // at which version a stream began, and where it runs
  kVersionRequest,   // asks for the same
  kVersion,          // the answer
  kRunQuestion,      // asks whether the receiver serves a run to its caller
  kRunAnswer,        // the answer
  kCrashes,          // crashes of targets that the sender observed
  kRateLimits,       // rate limits that targets have announced
};

template <>
struct EnumTable<PeerMessageKind> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PeerMessageKind>>(
      {{PeerMessageKind::kHello, "hello"},
       {PeerMessageKind::kPing, "ping"},
       {PeerMessageKind::kTransferRequest, "ask"},
       {PeerMessageKind::kTransfer, "move"},
       {PeerMessageKind::kHoldRequest, "hold"},
       {PeerMessageKind::kHoldAnswer, "hold_answer"},
       {PeerMessageKind::kSettle, "settle"},
       {PeerMessageKind::kSettled, "settled"},
       {PeerMessageKind::kPromptSent, "sent"},
       {PeerMessageKind::kConfigRequest, "config_wanted"},
       {PeerMessageKind::kConfig, "config"},
       {PeerMessageKind::kUpdate, "news"},
       {PeerMessageKind::kStateRequest, "state_wanted"},
       {PeerMessageKind::kState, "state"},
       {PeerMessageKind::kMarkRequest, "mark_wanted"},
       {PeerMessageKind::kMark, "mark"},
       {PeerMessageKind::kStreamBegan, "stream_began"},
       {PeerMessageKind::kVersionRequest, "version_wanted"},
       {PeerMessageKind::kVersion, "version"},
       {PeerMessageKind::kRunQuestion, "run_wanted"},
       {PeerMessageKind::kRunAnswer, "run"},
       {PeerMessageKind::kCrashes, "crashes"},
       {PeerMessageKind::kRateLimits, "rate_limits"}});
};

// A holder's answer to kHoldRequest.
enum class HoldAnswer {
  kHeld,
  kShort,      // the grants within this holder's reach are too small
  kExhausted,  // the budget is too small
  kNotHolder,  // this router keeps no grants, or no longer: try another
};

template <>
struct EnumTable<HoldAnswer> {
  static constexpr auto kEntries = std::to_array<EnumEntry<HoldAnswer>>(
      {{HoldAnswer::kHeld, "held"},
       {HoldAnswer::kShort, "short"},
       {HoldAnswer::kExhausted, "exhausted"},
       {HoldAnswer::kNotHolder, "elsewhere"}});
};

struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kPing;
  Incarnation from;
  // kTransferRequest, kTransfer, kHoldRequest.
  CustomerName customer;
  // kTransferRequest: the amount requested. kTransfer: the running total.
  // kHoldRequest: the worst case. kHoldAnswer: what was given in advance.
  // kSettle: the cost. kPromptSent: the tokens to be prefilled.
  Tokens amount = 0;
  // kTransferRequest: the peer may transfer all its unused grant; otherwise it
  // keeps half.
  bool all = false;
  // kHoldRequest, kHoldAnswer, kSettle, kSettled, kStreamBegan,
  // kVersionRequest, kVersion, kRunQuestion, kRunAnswer.
  RequestId request;
  HoldAnswer answer = HoldAnswer::kNotHolder;
  // kHoldRequest: the urgency of the request; 0 is the most urgent.
  int urgency = 0;
  // kHoldAnswer: if not zero, the hold was refused because the budget is kept
  // for more urgent requests, and its caller should retry after this time. The
  // answer is then kShort, which earlier builds understand.
  Duration retry_after{};
  // kHoldRequest: the hold is one in advance, from which the sender's requests
  // draw (prepaid/hold_advance.h).
  bool advance = false;
  // kHello: the sender's hall and the address that it listens on.
  HallName hall;
  std::string address;
  // kHello: the size class of fleet/fleet.h.
  int size_class = 0;
  // kHello, kPing, kMark: the version of the configuration in force at the
  // sender. kHello, kPing: whether the sender keeps grants of prepaid budgets.
  std::uint64_t config_version = 0;
  bool keeps_budgets = false;
  // Revision of the latest change of the list of targets that the sender knows.
  StoreRevision targets_revision;
  // kHello, kPing: the latest era of the store that the sender has seen.
  std::int64_t store_era = 0;
  // kHello, kPing: rejection limits that targets stated to the sender lately.
  RejectionReports rejections;
  // kHello, kPing: services that the sender's own links don't reach.
  std::set<ServiceName> cut_off;
  // kHello, kPing: the prefill speed of each service's engines, as the sender
  // has learned it.
  std::map<ServiceName, SpeedLine> engine_speeds;
  // kHello, kPing: if the sender is a reader, its mark of each feed and the
  // number of routers on its list.
  std::map<FeedName, FeedMark> marks;
  std::uint64_t routers = 0;
  // kHello, kPing, kConfig: the halls that operators have closed or reopened,
  // as the sender knows them.
  HallStates halls;
  // kHello, kPing: targets that have announced that they leave, while their
  // entries at the sender don't show it.
  LeavingStarts leaving;
  // kHello: all rate limits that the sender knows; kRateLimits: the new ones.
  RateReports rate_limits;
  // kHello, kPing: the sender's reports on services that move to another
  // version.
  std::map<ServiceName, RolloutReport> rollouts;
  // kUpdate, kState, and kStateRequest, kMarkRequest and kMark, which have no
  // changes. kMark: `revision` and `age` as in a FeedMark.
  FeedUpdate update;
  // kStateRequest, kMarkRequest: when the request was sent, in milliseconds of
  // the sender's steady clock. kState, kMark: that time, unchanged. 0 if
  // unknown.
  std::int64_t asked_ms = 0;
  // kStreamBegan, kVersion: the software version of the stream's targets.
  VersionName version;
  // kVersion: whether the sender knows `version`. kRunAnswer: whether it serves
  // the run to its caller.
  bool is_known = false;
  // kVersionRequest: the sender asks on behalf of another router.
  bool for_other = false;
  // kStreamBegan: how long the stream's caller may come back.
  Duration keep_for{};
  // kStreamBegan, kVersion: the run that has the stream; unset if unknown, as
  // in messages of earlier builds.
  std::optional<StreamRun> run;
  // kStreamBegan, kVersion: what the tries of the stream's caller have in
  // common. kVersionRequest: asks by this; `request` then repeats it.
  Fingerprint fingerprint;
  // kPromptSent: the engine that the prompt was sent to.
  TargetName target;
  // kConfig, kCrashes: key and value of the store's item; for kCrashes the
  // value holds only the new crashes.
  std::string item_key;
  std::string item_value;
  // kStateRequest, kConfigRequest: the sender accepts packed values
  // (base/packed_text.h). kState, kConfig: the values are packed; decoding
  // unpacks them.
  bool packed = false;
};

// The value of `PeerMessage::asked_ms` for a request that is sent at `now`.
std::int64_t AskedMs(Instant now);
// When this router sent the request that `answer` answers; std::nullopt if the
// answer names no time that has passed. Answers of earlier builds name none.
std::optional<Instant> AskedAt(const PeerMessage& answer, Instant now);

std::string EncodePeerMessage(const PeerMessage& message);
// Returns std::nullopt if `bytes` is no valid message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESSAGES_H_
