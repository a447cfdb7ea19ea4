// Keeps the link to this router's witness, and serves as witness for others
// (ledger/witness.h says what a witness is for).
//
// As an owner it chooses a witness from the registry, keeps one link to it, and
// sends it what WitnessFeed has to tell; the handlers hear what the witness has
// stored. A witness that fails several attempts in a row is replaced if there
// is another. As a witness it stores what owners tell and acknowledges each
// message once it is stored.
//
// It owns the links, the feed and the store. A message that isn't one, or comes
// before its hello, is logged and dropped.

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
    // The witness now has everything that is open at this router.
    std::function<void(const Incarnation& witness)> caught_up;
    // `request`'s bill is stored at `witness`.
    std::function<void(const Incarnation& witness, const RequestId& request)>
        witnessed;
    // The link to the witness has opened or closed.
    std::function<void(bool up)> link;
  };

  PeerDriver(Loop& loop, Incarnation self, Handlers handlers);

  // Returns the bound port, or 0.
  std::uint16_t Listen(const std::string& address);

  // Chooses a witness, or keeps the present one while it is registered.
  void OnRegistry(const RouterRegistry& registry, const RouterEntry& self);

  // What happens to this router's requests.
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
    std::uint64_t stored = 0;
  };

  void Accept(std::shared_ptr<PeerLink> link);
  void OnOwnerMessage(Owner& owner, const std::string& bytes);
  void Connect();
  void OnWitnessMessage(const std::string& bytes);
  void OnLinkClosed();
  void Choose();
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
  std::unique_ptr<Timer> retry_;
  bool caught_up_ = false;
  // Attempts since the link was last open.
  int failures_ = 0;
  // A witness that could not be reached.
  Incarnation avoid_;
  const RouterRegistry* registry_ = nullptr;
  RouterEntry self_entry_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_PEER_DRIVER_H_
