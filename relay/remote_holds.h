// RemoteHolds manages this router's holds on budgets whose grants are kept by
// other routers, the holders (fleet/fleet.h).
//
//   holds.RequestHold(now, {id, customer, amount, holders, done});
//   ...                           // done(verdict), when a holder has answered
//   holds.Settle(now, id, cost);  // the tokens to charge, 0 if nothing ran
//   holds.CheckTimeouts(now);     // every few milliseconds until `Idle`
//
// The holder counts an amount as held until it receives the cost, so no more
// than its grant is spent, whichever messages are lost:
//   - An answer that is lost: the next holder is asked, and the first one
//     receives a cost of zero, as the request has not been sent yet.
//   - A cost that isn't acknowledged is sent again while the same incarnation
//     (run of the router's process) of the holder lives. After its death the
//     hold is part of what was charged for it (prepaid/prepaid_record.h, Dead
//     members).
//   - This router's death: the holder charges the full amount when a later
//     incarnation of this VM sends its hello (relay/served_holds.h).
//
// A holder that doesn't answer in time (relay/holder_answers.h) is skipped, so
// that a request is refused at the next `CheckTimeouts` if no other holder is
// left. Such a holder is probed with holds of zero tokens until it answers.
//
// `LacksHolder` is true while requests are refused because no holder is linked
// or answers, as this router then serves no customer that has a budget.
//
// Requests of a customer that sends many draw from holds in advance
// (prepaid/hold_advance.h), which are asked for like the hold of a request:
//
//   if (holds.Draw(now, id, customer, amount)) ...  // held, without a message
//   holds.AskInAdvance(now, customer, holders);     // if one is needed
//   holds.ReturnAdvances(now);           // before this router leaves
//
// Nothing is drawn from an advance whose holder isn't linked. A holder of an
// older build answers without the amount that it gave; it held all that was
// asked for, and isn't asked in advance again, as such a hold waits in its
// queue like a large request.
//
// Owns the pending holds, the granted holds and the unacknowledged costs. Links
// to peers may lose any message. A holder's timeout is defined in
// relay/hold_patience.h. Units: tokens.

#ifndef QUAYTRACK_RELAY_REMOTE_HOLDS_H_
#define QUAYTRACK_RELAY_REMOTE_HOLDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "prepaid/hold_advance.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/hold_patience.h"
#include "relay/holder_answers.h"
#include "relay/line_limit.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class RemoteHolds {
 public:
  // How long a refusal for want of a holder counts: long enough for the
  // balancer's next check, and short, as a holder may answer again.
  static constexpr Duration kLacksHolderFor = std::chrono::milliseconds(1000);
  // Without any answer for this long, no holder answers: two timeouts of a
  // holder (relay/hold_patience.h).
  static constexpr Duration kMinSilence = std::chrono::milliseconds(400);

  struct Options {
    HoldTimeouts timeouts;
    // Interval at which an unacknowledged cost is sent again.
    Duration resend_every = std::chrono::milliseconds(1000);
    // After this time, an unacknowledged cost is no longer sent; its hold stays
    // charged at the holder.
    Duration give_up_after = std::chrono::seconds(60);
  };
  struct Handlers {
    // The linked incarnation on a VM; empty if none is linked.
    std::function<Incarnation(const VmName&)> linked_incarnation;
    std::function<void(const Incarnation&, const PeerMessage&)> send;
  };
  struct Request {
    RequestId id;
    CustomerName customer;
    Tokens amount = 0;
    // 0 is the most urgent.
    int urgency = 0;
    // The holders to ask, in this order.
    std::vector<VmName> holders;
    // Called with the result, but never from within `RequestHold`. Not called
    // for an advance.
    std::function<void(PrepaidVerdict)> done;
    // Called in place of `done` if the holder keeps the budget for more urgent
    // requests, with the time after which to retry.
    std::function<void(Duration)> reserved;
    bool advance = false;
  };

  RemoteHolds(Options options, Handlers handlers)
      : options_(options), on_(std::move(handlers)) {}

  void RequestHold(Instant now, Request request);
  // Abandons the pending hold without calling `done`.
  void Forget(Instant now, const RequestId& id);
  // Whether a holder has granted a hold for the request, or the request has
  // drawn from an advance.
  bool Holds(const RequestId& id) const {
    return held_.contains(id) || advances_.IsDrawn(id);
  }
  void Settle(Instant now, const RequestId& id, Tokens cost);

  // Holds `amount` for the request from an advance. Returns false if none has
  // as much.
  bool Draw(Instant now, const RequestId& id, const CustomerName& customer,
            Tokens amount);
  // Asks for an advance if the customer's requests here call for one.
  void AskInAdvance(Instant now, const CustomerName& customer,
                    std::vector<VmName> holders);
  // Asks for no more advances. Those that were given stay in use.
  void StopAdvances() { stops_advances_ = true; }
  // Settles all advances, or those of one customer, as soon as their requests
  // have ended; nothing more is drawn from them.
  void ReturnAdvances(Instant now);
  void ReturnAdvancesOf(Instant now, const CustomerName& customer);
  const HoldAdvances& advances() const { return advances_; }

  void OnAnswer(Instant now, const PeerMessage& message);
  void OnAcknowledged(const PeerMessage& message);
  void OnPeerLost(Instant now, const Incarnation& holder);
  // Skips holders that don't answer, ends pending holds without a further
  // holder, and sends unacknowledged costs again.
  void CheckTimeouts(Instant now);
  // Returns true if `CheckTimeouts` has nothing to do.
  bool Idle() const {
    return pending_.empty() && probes_.empty() && unacknowledged_.empty() &&
           advances_.empty();
  }
  // Number of requests that were refused without asking a holder, as none
  // answers in time.
  std::uint64_t refused_at_once() const { return refused_at_once_; }
  bool LacksHolder(Instant now) const {
    return no_holder_at_ != Instant() &&
           now - no_holder_at_ < kLacksHolderFor &&
           now - answered_at_ >= kMinSilence;
  }

 private:
  // A hold that was requested and is not answered yet.
  struct PendingHold {
    Request request;
    // Index in `request.holders` of the holder to ask next.
    std::size_t next = 0;
    // The holder that was asked last; empty if there is none.
    Incarnation holder;
    Instant started_at{};
    Instant asked_at{};
    // The silent holder that was skipped last; empty if none was.
    Incarnation skipped;
  };
  // A hold of zero tokens that shows whether a holder answers.
  struct Probe {
    Incarnation holder;
    Instant asked_at{};
  };
  // A hold at one holder.
  struct HoldKey {
    RequestId request;
    Incarnation holder;
    auto operator<=>(const HoldKey&) const = default;
  };
  struct UnacknowledgedCost {
    Tokens cost = 0;
    Instant started_at{};
    Instant sent_at{};
  };
  using PendingMap = std::map<RequestId, PendingHold>;

  // Bounds the log when a router refuses hundreds of requests a second.
  static constexpr int kRefusalLinesPerSecond = 20;

  void AskNextHolder(Instant now, PendingHold& hold);
  Incarnation NextHolder(Instant now, PendingHold& hold);
  void SendProbe(Instant now, const Incarnation& holder,
                 const CustomerName& customer);
  void OnProbeAnswered(Instant now, const PeerMessage& message);
  void CheckProbes(Instant now);
  void CheckPending(Instant now);
  void CheckForStall(Instant now);
  void CountUnanswered(Instant now, const Incarnation& holder,
                       Instant asked_at);
  void LogRefusedAtOnce(Instant now, const RequestId& id,
                        const PendingHold& hold);
  void ReleaseAtHolder(Instant now, const PendingHold& hold);
  void Finish(Instant now, PendingMap::iterator it, PrepaidVerdict verdict);
  void OnAdvanceGiven(Instant now, const PeerMessage& message);
  void CancelAsks(Instant now,
                  const std::function<bool(const CustomerName&)>& matches);
  void SettleAdvances(Instant now);
  void SendCost(Instant now, const HoldKey& key, Tokens cost);
  void ResendCost(Instant now, const HoldKey& key, UnacknowledgedCost& it);
  void ResendCosts(Instant now);
  bool IsObsolete(Instant now, const HoldKey& key,
                  const UnacknowledgedCost& it) const;

  Options options_;
  Handlers on_;
  PendingMap pending_;
  std::map<RequestId, Probe> probes_;
  std::uint64_t probes_sent_ = 0;
  HoldAdvances advances_;
  std::uint64_t advances_asked_ = 0;
  bool stops_advances_ = false;
  // Holders of an older build, which ignore that a hold is one in advance.
  std::set<Incarnation> without_advances_;
  HolderAnswers answers_;
  // The latest `CheckTimeouts`, or the request that made it necessary.
  Instant last_check_{};
  // Whether the latest check came late, so that answers may lie unread.
  bool stalled_ = false;
  std::uint64_t refused_at_once_ = 0;
  // When a request was last refused because no holder was left to ask.
  Instant no_holder_at_{};
  // When a holder last answered this router, be it with a refusal.
  Instant answered_at_{};
  LineLimit refusal_lines_{kRefusalLinesPerSecond};
  // The holder of each granted hold.
  std::map<RequestId, Incarnation> held_;
  std::map<HoldKey, UnacknowledgedCost> unacknowledged_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_REMOTE_HOLDS_H_
