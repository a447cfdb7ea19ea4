// ServedHolds manages the holds that this router, as a holder of grants, keeps
// for peers without a grant. It is the counterpart of relay/remote_holds.h.
//
//   holds.OnHoldWanted(message);   // the answer follows: held, or refused
//   holds.OnSettle(message);       // acknowledged, each time that it arrives
//   holds.OnHello(peer);           // an earlier process on that VM is dead
//
// A hold is kept until its cost arrives, or until a later incarnation (run of
// the router's process) on the asker's VM proves that the asker has died. In
// that case the full amount counts as spent, since the actual cost is unknown.
// Time alone ends no hold: an asker that was frozen may continue to spend.
//
// A hold in advance (prepaid/hold_advance.h) is given immediately, in whole or
// in part, or refused. The holder takes advances back when it stops: it tells
// the asker, which draws nothing more and settles.
//
// Messages may be lost, duplicated and delayed. A repeated hold request changes
// nothing, and one that arrives after its own settlement holds nothing.
//
// Owns the holds of peers. Relies on the handlers for the grant itself: a
// peer's hold waits in the same queue as this router's requests
// (relay/hold_queue.h). Units: tokens.

#ifndef QUAYTRACK_RELAY_SERVED_HOLDS_H_
#define QUAYTRACK_RELAY_SERVED_HOLDS_H_

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "relay/hold_waiter.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class ServedHolds {
 public:
  struct Handlers {
    // Whether this router's configuration has a budget for the customer.
    std::function<bool(const CustomerName&)> has_budget;
    // `hold`, `forget` and `settle` act on this router's grants. `hold` is
    // answered through the waiter's callbacks.
    std::function<void(const HoldWaiterPtr&)> hold;
    std::function<void(const HoldWaiterPtr&)> forget;
    std::function<void(const CustomerName&, Tokens held, Tokens cost)> settle;
    std::function<void(const Incarnation&, const PeerMessage&)> send;
    // Holds up to `asked` tokens in advance, and returns how many; 0 refuses.
    // `given` is the sum of the customer's advances. Without this handler,
    // nothing is given.
    std::function<Tokens(const CustomerName&, Tokens asked, Tokens given)>
        hold_in_advance;
    // Called with the new sum of the customer's advances.
    std::function<void(const CustomerName&, Tokens given)> advances_changed;
  };

  explicit ServedHolds(Handlers handlers) : on_(std::move(handlers)) {}

  void OnHoldWanted(const PeerMessage& message);
  void OnSettle(const PeerMessage& message);
  // Called when a router sent its hello: earlier incarnations of its VM are
  // dead.
  void OnHello(const Incarnation& peer);
  // Refers waiting and new hold requests to other holders.
  void Stop();
  std::size_t size() const { return holds_.size(); }
  // The sum of all advances that aren't settled.
  Tokens Advanced() const;

 private:
  struct Key {
    Incarnation asker;
    RequestId request;
    auto operator<=>(const Key&) const = default;
  };
  struct PeerHold : HoldWaiter {
    PeerHold(ServedHolds& owner, Key key, const PeerMessage& message)
        : owner_(owner),
          key_(std::move(key)),
          customer_(message.customer),
          amount_(message.amount),
          urgency_(message.urgency) {}
    const RequestId& id() const override { return key_.request; }
    const CustomerName& customer() const override { return customer_; }
    Tokens worst_case() const override { return amount_; }
    int urgency() const override { return urgency_; }
    void OnHeld() override;
    void OnHoldRefused(bool exhausted) override;
    void OnHoldReserved(Duration retry_after) override;
    void Refuse(HoldAnswer answer, Duration retry_after);

    ServedHolds& owner_;
    Key key_;
    CustomerName customer_;
    Tokens amount_;
    int urgency_;
    bool held = false;
    bool ended = false;
    bool advance = false;
  };
  using PeerHoldPtr = std::shared_ptr<PeerHold>;

  // What an answer states besides the verdict; zero if it doesn't apply.
  struct AnswerDetails {
    // Given by an advance.
    Tokens amount = 0;
    // When the caller of a request that was refused should retry.
    Duration retry_after{};
  };

  void Answer(const Key& key, HoldAnswer answer);
  void Answer(const Key& key, HoldAnswer answer, AnswerDetails details);
  void OnAdvanceWanted(const Key& key, const PeerMessage& message);
  void ChangeAdvances(const CustomerName& customer, Tokens change);
  void Finish(const PeerHoldPtr& hold, Tokens cost);
  void RememberSettled(const Key& key);

  Handlers on_;
  std::map<Key, PeerHoldPtr> holds_;
  std::map<CustomerName, Tokens> advanced_;
  // Recently settled holds, so that a hold request that arrives after its
  // settlement is ignored; `settled_order_` is the order of eviction.
  std::set<Key> settled_;
  std::deque<Key> settled_order_;
  bool stopped_ = false;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_SERVED_HOLDS_H_
