// Messages between the routers of `quaytrack router`, as CBOR.
//
//   link->Send(EncodePeerMessage(HelloMessage{self}));
//   if (const auto message = DecodePeerMessage(bytes)) ...
//
// The owner of a link first sends a hello; then it sends its updates for the
// witness (ledger/witness.h), and the witness acknowledges them. Each message
// is a map with its type under "t". Routers of different versions exchange
// these messages, so fields may be added but must never change their meaning.
// Pure functions.

#ifndef QUAYTRACK_ROUTER_PEER_CODEC_H_
#define QUAYTRACK_ROUTER_PEER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/ids.h"
#include "ledger/witness.h"

namespace quaytrack {

// First message of an owner on a new link.
struct HelloMessage {
  Incarnation owner;
};

// Sent by the witness: the first `count` messages after the hello are stored.
struct AckMessage {
  std::uint64_t count = 0;
};

using PeerMessage = std::variant<HelloMessage, AckMessage, WitnessMessage>;

std::string EncodePeerMessage(const PeerMessage& message);

// Returns std::nullopt if `bytes` isn't a valid message.
std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_PEER_CODEC_H_
