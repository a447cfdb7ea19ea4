// PeerMesh maintains the links to other routers, and carries their messages.
//
//   PeerMesh peers(loop, clock, self, handlers);
//   peers.Listen("10.0.0.7:8082");
//   peers.KeepLinksTo(fleet.MembersToLink());
//   peers.Broadcast(message);
//   peers.SendTo(peer, message);      // dropped if the peer isn't linked
//
// The list of routers (fleet/fleet.h) says which routers to dial. The links
// don't need the store, so they stay up during its outages.
//
// Opening a link. Either side may dial, and the first message of each side
// names its sender (hello). If both dial, there are two links between them; a
// message takes one of them. A VM runs one router, so a hello of another
// incarnation (run of the router's process) on a VM closes the links to the
// previous incarnation, whose process has ended.
//
// Losing a link. A cut sends no signal, so a link on which nothing arrived for
// `kMaxSilence` is closed, and dialled again if it is to be kept. Parts of a
// message count: on a slow link a large one takes longer than that, and closing
// the link would lose it. Each
// router sends a heartbeat on all links every `kCheckInterval`, starting at a
// random moment (`DrawFirstCheck`), with the versions that it knows, so that a
// peer learns of a change even if the store doesn't notify it
// (relay/config_follower.h, relay/target_follower.h).
//
// PeerMesh owns the links and the listener. Messages aren't acknowledged and
// may be lost with a link; a sender that needs an answer has to retry. A
// message that can't be decoded is dropped and logged. Loop and clock must
// outlive the mesh.

#ifndef QUAYTRACK_RELAY_PEER_MESH_H_
#define QUAYTRACK_RELAY_PEER_MESH_H_

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
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
    // Fills in a heartbeat with the state of this router; a hello also gets the
    // router's address.
    std::function<void(PeerMessage& heartbeat)> fill;
    // Called when the last link to a peer has closed.
    std::function<void(const Incarnation& peer)> lost;
  };

  // Interval between two checks of the links, each with a heartbeat. Together
  // with kLocalWaitTime (relay/own_wait.h) it bounds how soon a router that the
  // store doesn't serve learns of a configuration: the limit is 2 s.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(1000);
  // Returns a random time until the first check: otherwise routers that start
  // together would send their heartbeats together, and their peers would
  // receive none in between.
  static Duration DrawFirstCheck();

  PeerMesh(Loop& loop, const Clock& clock, Incarnation self, Handlers handlers,
           Duration first_check = kCheckInterval);

  // Listens on `address`, "host:port". Returns the bound port, or 0 on failure.
  std::uint16_t Listen(const std::string& address);
  // Sets the handler for connections that don't open a link (net/peer_link.h).
  void OnOther(PeerServer::Other handler) {
    server_.OnOther(std::move(handler));
  }
  // Dials those of `members` to which no link is open, now and whenever a link
  // is lost. Links that peers opened stay.
  void KeepLinksTo(const std::vector<FleetMember>& members);
  // Sends `message` to each linked peer once.
  void Broadcast(const PeerMessage& message);
  // Sends `message` to each linked peer on a VM for which `matches` is true,
  // once.
  void SendToMatching(const std::function<bool(const VmName&)>& matches,
                      const PeerMessage& message);
  // Sends `message` to one peer, if it is linked.
  void SendTo(const Incarnation& peer, const PeerMessage& message);
  // Sends the state of this router to all peers, without waiting for the next
  // check.
  void BroadcastHeartbeat();
  // The incarnation that is linked on a VM; empty if none is.
  Incarnation LinkedOn(const VmName& vm) const;
  // How many peers are linked.
  std::size_t peers() const { return Linked().size(); }
  std::vector<Incarnation> Linked() const;
  // Bytes that have arrived of a message of the peer that isn't complete
  // (PeerLink::partial).
  std::uint64_t PartialBytes(const Incarnation& peer) const;

 private:
  struct Link {
    std::shared_ptr<PeerLink> link;
    // The VM that was dialled; empty if the peer dialled.
    VmName dialled;
    // Empty until the peer's first message.
    Incarnation peer;
    // When the link was opened or last received bytes, as far as this was
    // noticed, and how many it had received by then.
    Instant last_received{};
    std::uint64_t received = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void AddLink(const LinkPtr& it);
  void SendHello(const Link& it);
  void OnMessage(const LinkPtr& it, const std::string& bytes);
  void OnFirstMessage(const LinkPtr& it, const Incarnation& peer);
  void CloseLinksToPredecessors(const VmName& vm, const Incarnation& peer);
  // Whether a link to the VM is open, or is being opened.
  bool HasLinkTo(const VmName& vm) const;
  void Dial(const FleetMember& member);
  void DialMissing();
  void CheckFrom(Duration first_check);
  void CheckLinks();
  void NoteReceived(Link& it) const;
  void CloseSilent();
  const Link* FindPeer(const Incarnation& peer) const;
  PeerMessage Heartbeat(PeerMessageKind kind) const;
  // Closes a link from this side.
  void Close(const LinkPtr& it);
  // Removes a link that has closed.
  void RemoveLink(const LinkPtr& it);

  Loop& loop_;
  const Clock& clock_;
  Incarnation self_;
  Handlers on_;
  PeerServer server_;
  std::vector<FleetMember> members_to_link_;
  std::set<LinkPtr> links_;
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PEER_MESH_H_
