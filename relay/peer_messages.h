// What routers tell each other, as CBOR in websocket messages.

#ifndef QUAYTRACK_RELAY_PEER_MESSAGES_H_
#define QUAYTRACK_RELAY_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_table.h"
#include "base/ids.h"

namespace quaytrack {

enum class PeerMessageKind {
  kHello,         // who is at this end
  kPing,          // nothing but a sign of life, with the version in force
  kAsk,           // give me some of a customer's budget
  kMove,          // running total of what I gave you
  kHold,          // hold so much of a customer's budget for a request
  kHoldAnswer,    // whether it is held
  kSettle,        // what the request has cost
  kSettled,       // the cost is counted
  kConfigWanted,  // send me the configuration
  kConfig,        // the configuration, as the store has it
};

template <>
struct EnumTable<PeerMessageKind> {
  static constexpr auto kEntries = std::to_array<EnumEntry<PeerMessageKind>>(
      {{PeerMessageKind::kHello, "hello"},
       {PeerMessageKind::kPing, "ping"},
       {PeerMessageKind::kAsk, "ask"},
       {PeerMessageKind::kMove, "move"},
       {PeerMessageKind::kHold, "hold"},
       {PeerMessageKind::kHoldAnswer, "hold_answer"},
       {PeerMessageKind::kSettle, "settle"},
       {PeerMessageKind::kSettled, "settled"},
       {PeerMessageKind::kConfigWanted, "config_wanted"},
       {PeerMessageKind::kConfig, "config"}});
};

// A holder's answer to kHold.
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
  // kAsk, kMove, kHold; `amount` also of kSettle.
  CustomerName customer;
  Tokens amount = 0;
  bool all = false;
  // kHold, kHoldAnswer, kSettle, kSettled.
  RequestId request;
  HoldAnswer answer = HoldAnswer::kElsewhere;
  // kHello: where the sender is.
  HallName hall;
  std::string address;
  // kHello, kPing: the configuration in force at the sender, and whether it
  // takes part in the prepaid record.
  std::uint64_t config_version = 0;
  bool keeps_budgets = false;
  // Revision of the latest change of the list of targets that the sender knows.
  std::int64_t targets_revision = 0;
  // kConfig: key and value of the store's item.
  std::string item_key;
  std::string item_value;
};

std::string EncodePeerMessage(const PeerMessage& message);
// Empty when `bytes` is no message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESSAGES_H_
