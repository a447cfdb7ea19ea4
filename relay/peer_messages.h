// What routers tell each other, as CBOR in websocket messages.
//
//   PeerMessage out;
//   out.kind = PeerMessageKind::kHoldWanted;
//   send(EncodePeerMessage(out));
//   if (auto in = DecodePeerMessage(bytes)) switch (in->kind) {...}
//
// One type holds the fields of all kinds; a comment says which kinds use which.
// A field that is absent has the value that it is initialized with here, and
// fields and kinds that aren't known are skipped, so that routers of different
// builds understand each other. The names on the wire are older than those of
// the code: the table below and FromJson map them.
//
// Units: tokens. Any message may be lost; none is answered by the link itself.

#ifndef QUAYTRACK_RELAY_PEER_MESSAGES_H_
#define QUAYTRACK_RELAY_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_table.h"
#include "base/ids.h"
#include "dispatch/prefill_speed.h"
#include "dispatch/rate_limits.h"
#include "fleet/closed_halls.h"
#include "fleet/target_registry.h"
#include "relay/feed_news.h"
#include "rollout/rollout.h"

namespace quaytrack {

enum class PeerMessageKind {
  kHello,           // who is at this end
  kPing,            // nothing but a sign of life, with the version in force
  kTransferWanted,  // transfer some of your grant of a customer's budget to me
  kTransfer,        // running total of what I have transferred to you
  kHoldWanted,      // hold so much of a customer's budget for a request
  kHoldAnswer,      // whether it is held
  kSettle,          // what the request has cost
  kSettled,         // the cost is counted
  kPromptSent,      // an engine was sent a prompt that keeps it busy
  kConfigWanted,    // send me the configuration
  kConfig,          // the configuration, as the store has it
  kNews,            // changes that a reader of the store has seen
  kStateWanted,     // send me what has changed of a feed, or all of it
  kState,           // a page of that
  kCrashes,         // crashes of targets that the sender has seen
  kRateLimits,      // what targets say of their rate limits
};

template <>
struct EnumTable<PeerMessageKind> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PeerMessageKind>>(
      {{PeerMessageKind::kHello, "hello"},
       {PeerMessageKind::kPing, "ping"},
       {PeerMessageKind::kTransferWanted, "ask"},
       {PeerMessageKind::kTransfer, "move"},
       {PeerMessageKind::kHoldWanted, "hold"},
       {PeerMessageKind::kHoldAnswer, "hold_answer"},
       {PeerMessageKind::kSettle, "settle"},
       {PeerMessageKind::kSettled, "settled"},
       {PeerMessageKind::kPromptSent, "sent"},
       {PeerMessageKind::kConfigWanted, "config_wanted"},
       {PeerMessageKind::kConfig, "config"},
       {PeerMessageKind::kNews, "news"},
       {PeerMessageKind::kStateWanted, "state_wanted"},
       {PeerMessageKind::kState, "state"},
       {PeerMessageKind::kCrashes, "crashes"},
       {PeerMessageKind::kRateLimits, "rate_limits"}});
};

// A holder's answer to kHoldWanted.
enum class HoldAnswer {
  kHeld,
  kShort,      // what this holder can reach doesn't hold it
  kExhausted,  // the budget doesn't hold it
  kElsewhere,  // this router keeps no budgets, or no longer: ask another
};

template <>
struct EnumTable<HoldAnswer> {
  static constexpr auto kEntries = std::to_array<EnumEntry<HoldAnswer>>(
      {{HoldAnswer::kHeld, "held"},
       {HoldAnswer::kShort, "short"},
       {HoldAnswer::kExhausted, "exhausted"},
       {HoldAnswer::kElsewhere, "elsewhere"}});
};

struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kPing;
  Incarnation from;
  // kTransferWanted, kTransfer, kHoldWanted.
  CustomerName customer;
  // The same kinds: what is wanted, the running total, the worst case. kSettle:
  // the cost. kPromptSent: what is to be prefilled.
  Tokens amount = 0;
  // kTransferWanted: everything idle may go; otherwise half is kept.
  bool all = false;
  // kHoldWanted, kHoldAnswer, kSettle, kSettled.
  RequestId request;
  HoldAnswer answer = HoldAnswer::kElsewhere;
  // kHello: where the sender is.
  HallName hall;
  std::string address;
  // kHello: fleet/fleet.h.
  int size_class = 0;
  // kHello, kPing: the configuration in force at the sender, and whether it
  // keeps grants of prepaid budgets.
  std::uint64_t config_version = 0;
  bool keeps_budgets = false;
  // Revision of the latest change of the list of targets that the sender knows.
  StoreRevision targets_revision;
  // kHello, kPing: the latest era of the store that the sender has seen.
  std::int64_t store_era = 0;
  // kHello, kPing: how fast the engines of each service prefill, as the sender
  // has learned it.
  std::map<ServiceName, SpeedLine> engine_speeds;
  // kHello, kPing: what the sender knows of each feed, if it is a reader; and
  // how many routers are on its list.
  std::map<FeedName, FeedMark> marks;
  std::uint64_t routers = 0;
  // kHello, kPing, kConfig: the halls that operators have closed, or have
  // opened again, as the sender knows them.
  HallStates halls;
  // kHello, kPing: targets that have said that they leave, though their entries
  // at the sender don't.
  LeavingStarts leaving;
  // kHello: all that the sender knows; kRateLimits: what is new.
  RateReports rate_limits;
  // kHello, kPing: what the sender knows of services that move to another
  // version.
  std::map<ServiceName, RolloutReport> rollouts;
  // kNews, kState; kStateWanted has no changes.
  FeedNews news;
  // kPromptSent: the engine.
  TargetName target;
  // kConfig, kCrashes: key and value of the store's item; of the second only
  // what is new in it.
  std::string item_key;
  std::string item_value;
};

std::string EncodePeerMessage(const PeerMessage& message);
// Empty when `bytes` is no message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESSAGES_H_
