// PeerMesh keeps the links to other routers, and carries their messages.
//
//   PeerMesh peers(loop, clock, self, handlers);
//   peers.Listen("10.0.0.7:8082");
//   peers.KeepLinksTo(fleet.MembersToLink());
//   peers.Broadcast(message);
//   peers.SendTo(peer, message);      // dropped if the peer isn't linked
//
// Whom to dial comes from the list of routers (fleet/fleet.h). The links don't
// need the store, so they stay up while it is away.
//
// Opening a link. Either side may dial, and each first says who it is (hello).
// If both dial, there are two links between them; a message takes one of them.
// A VM runs one router, so a hello of another incarnation of a VM ends the
// links to the one before it: its process has ended.
//
// Losing a link. A cut says nothing, so a link on which nothing was heard for
// `kMaxSilence` is closed, and dialled again if it is one to keep. Each router
// sends a sign of life on all links every `kCheckInterval`, at moments of its
// own (`DrawFirstCheck`), with the versions that it knows, so that a peer
// learns of a change even if the store doesn't tell it
// (relay/config_follower.h, relay/target_follower.h).
//
// It owns the links and the listener. Messages aren't acknowledged and may be
// lost with a link; who needs an answer asks again. A message that can't be
// read is dropped with a line in the log. Loop and clock must outlive the mesh.

#ifndef QUAYTRACK_RELAY_PEER_MESH_H_
#define QUAYTRACK_RELAY_PEER_MESH_H_

#include <chrono>
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
    // Adds what is in force here to a sign of life, and to a hello also where
    // this router is.
    std::function<void(PeerMessage& sign)> fill;
    // The last link to a peer is gone.
    std::function<void(const Incarnation& peer)> lost;
  };

  // Between two checks of the links, each with a sign of life. Not measured. It
  // bounds, with kOwnWaitFirst (relay/own_wait.h), how soon a router whose
  // store doesn't serve it learns of a configuration: the users allow 2 s.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(1000);
  // A random time to the first check: routers that start together would else
  // send their signs together, and their peers would hear nothing in between.
  static Duration DrawFirstCheck();

  PeerMesh(Loop& loop, const Clock& clock, Incarnation self, Handlers handlers,
           Duration first_check = kCheckInterval);

  // Takes "host:port". Returns the bound port, or 0.
  std::uint16_t Listen(const std::string& address);
  // Dials those of `members` to whom no link is open, now and whenever one is
  // lost. Links that others opened stay.
  void KeepLinksTo(const std::vector<FleetMember>& members);
  // To each linked peer once.
  void Broadcast(const PeerMessage& message);
  // To each linked peer on a VM that `wanted` names, once.
  void SendWhere(const std::function<bool(const VmName&)>& wanted,
                 const PeerMessage& message);
  // To one peer, if it is linked.
  void SendTo(const Incarnation& peer, const PeerMessage& message);
  // Tells all peers at once what is in force here.
  void BroadcastSignOfLife();
  // The incarnation that is linked on a VM; empty if none is.
  Incarnation LinkedOn(const VmName& vm) const;
  // How many peers are linked.
  std::size_t peers() const;

 private:
  struct Link {
    std::shared_ptr<PeerLink> link;
    // The VM that was dialled; empty if the peer dialled.
    VmName dialled;
    // Empty until the peer has said who it is.
    Incarnation peer;
    // When the link was opened or something last came on it.
    Instant heard{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  void AddLink(const LinkPtr& it);
  void SendHello(const Link& it);
  void OnMessage(const LinkPtr& it, const std::string& bytes);
  void OnFirstMessage(const LinkPtr& it, const Incarnation& peer);
  void CloseLinksToOthersOn(const VmName& vm, const Incarnation& peer);
  // A link to the VM is there, or is being opened.
  bool HasLinkTo(const VmName& vm) const;
  void Dial(const FleetMember& member);
  void DialMissing();
  void CheckFrom(Duration first_check);
  void CheckLinks();
  void CloseSilent();
  const Link* FindPeer(const Incarnation& peer) const;
  PeerMessage SignOfLife(PeerMessageKind kind) const;
  // Ends a link from this side.
  void Close(const LinkPtr& it);
  // Forgets a link that has ended.
  void RemoveLink(const LinkPtr& it);

  Loop& loop_;
  const Clock& clock_;
  Incarnation self_;
  Handlers on_;
  PeerServer server_;
  std::vector<FleetMember> to_keep_;
  std::set<LinkPtr> links_;
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESH_H_
