// Messages between routers, as CBOR.

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

// From the witness: the first `count` messages after the hello are stored.
struct AckMessage {
  std::uint64_t count = 0;
};

using PeerMessage = std::variant<HelloMessage, AckMessage, WitnessMessage>;

std::string EncodePeerMessage(const PeerMessage& message);

// Empty when `bytes` isn't a message.
std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_PEER_CODEC_H_
