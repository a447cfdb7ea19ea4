// Connects this router to its witness, and acts as witness for other routers
// (ledger/witness.h explains witnesses).
//
// As an owner it chooses a witness from the registry, keeps one link to it, and
// sends it the messages of WitnessFeed; the handlers are called for what the
// witness has stored. A witness that fails several attempts in a row is
// replaced if there is another one. As a witness it stores the messages of
// owners and acknowledges each message once it is stored.
//
// PeerDriver owns the links, the feed and the store. From an owner, a message
// that can't be decoded or precedes the hello is logged and dropped.

#ifndef QUAYTRACK_ROUTER_PEER_DRIVER_H_
#define QUAYTRACK_ROUTER_PEER_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ledger/witness.h"
#include "member/registry.h"
#include "net/loop.h"
#include "net/peer_link.h"
#include "router/peer_codec.h"

namespace quaytrack {

class PeerDriver {
 public:
  struct Handlers {
    // Called when the witness has copies of all open requests and bills of this
    // router.
    std::function<void(const Incarnation& witness)> caught_up;
    // Called when `witness` has stored the bill of `request`.
    std::function<void(const Incarnation& witness, const RequestId& request)>
        witnessed;
    // Called when the link to the witness has opened or closed.
    std::function<void(bool up)> link;
  };

  PeerDriver(Loop& loop, Incarnation self, Handlers handlers);

  // Accepts links from owners at `address`. Returns the bound port, or 0 if
  // binding fails.
  std::uint16_t Listen(const std::string& address);

  // Keeps the present witness while it is registered, otherwise chooses one.
  void OnRegistry(const RouterRegistry& registry, const RouterEntry& self);

  // Events of this router's requests, for the witness.
  void OnIntent(const Intent& it);
  void OnBill(const Bill& it, std::uint64_t seq);
  void OnRelease(const RequestId& it);
  void OnWritten(std::uint64_t seq);

  const WitnessStore& store() const { return store_; }
  void Forget(const Incarnation& owner) { store_.Forget(owner); }

 private:
  // A link on which another router is the owner.
  struct Owner {
    std::shared_ptr<PeerLink> link;
    Incarnation name;
    // Number of messages stored on this link.
    std::uint64_t stored_count = 0;
  };

  void Accept(std::shared_ptr<PeerLink> link);
  void OnOwnerMessage(Owner& owner, const std::string& bytes);
  void Connect();
  void OnWitnessMessage(const std::string& bytes);
  void OnLinkClosed();
  void ChooseWitness();
  void Flush();

  Loop& loop_;
  Incarnation self_;
  Handlers handlers_;
  PeerServer server_;
  WitnessStore store_;
  WitnessFeed feed_;
  std::map<PeerLink*, Owner> owners_;
  Incarnation witness_;
  std::string witness_address_;
  std::shared_ptr<PeerLink> link_;
  std::unique_ptr<Timer> retry_timer_;
  bool caught_up_ = false;
  // Failed attempts since the link was last open.
  int failed_attempts_ = 0;
  // The last witness that could not be reached.
  Incarnation avoided_witness_;
  const RouterRegistry* registry_ = nullptr;
  RouterEntry self_entry_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_PEER_DRIVER_H_
