// Links to other routers. Whom to dial comes from the list of routers
// (fleet/fleet.h); the links stay up while the store is away.
//
// Either side may dial, and each says first who it is. A link on which nothing
// was heard for a while is closed and dialled again, since a cut says nothing.
// A later incarnation of a VM ends the links to an earlier one.

#ifndef QUAYTRACK_RELAY_PEER_MESH_H_
#define QUAYTRACK_RELAY_PEER_MESH_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet.h"
#include "net/loop.h"
#include "net/peer_link.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class PeerMesh {
 public:
  struct Handlers {
    std::function<void(const PeerMessage& message)> message;
    // Adds what is in force here to a sign of life, and where this router is to
    // one that opens a link.
    std::function<void(PeerMessage& sign)> describe;
    // The last link to a peer is gone.
    std::function<void(const Incarnation& peer)> lost;
  };

  PeerMesh(Loop& loop, const Clock& clock, Incarnation self, Handlers handlers);

  // Returns the bound port, or 0.
  std::uint16_t Listen(const std::string& address);
  // Those to keep a link to.
  void SetDialled(const std::vector<FleetMember>& members);
  void Broadcast(const PeerMessage& message);
  void Tell(const Incarnation& peer, const PeerMessage& message);
  // Tells all peers at once what is in force here.
  void Ping();
  // The incarnation that is linked on a VM; empty if none is.
  Incarnation Linked(const VmName& vm) const;
  std::size_t linked() const;

 private:
  struct Link {
    std::shared_ptr<PeerLink> link;
    // The VM that was dialled; empty if the peer dialled.
    VmName dialled;
    // Empty until the peer has said who it is.
    Incarnation peer;
    Instant heard{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Adopt(const LinkPtr& it);
  void OnMessage(const LinkPtr& it, const std::string& bytes);
  void OnHello(const LinkPtr& it, const Incarnation& peer);
  // A link to the VM is there, or is being opened.
  bool HasLinkTo(const VmName& vm) const;
  void Dial(const FleetMember& member);
  void DialMissing();
  void Tick();
  const Link* FindPeer(const Incarnation& peer) const;
  PeerMessage SignOfLife(PeerMessageKind kind) const;
  void Drop(const LinkPtr& it);

  Loop& loop_;
  const Clock& clock_;
  Incarnation self_;
  Handlers on_;
  PeerServer server_;
  std::vector<FleetMember> dialled_;
  std::set<LinkPtr> links_;
  std::unique_ptr<Timer> tick_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESH_H_
