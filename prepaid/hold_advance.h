// Holds in advance: a router without a grant holds a lump sum at a holder, from
// which its requests then draw without a message.
//
// `HoldAdvances` decides for the router that asks:
//
//   advances.Count(now, customer, worst_case);          // each request
//   if (advances.Draw(now, request, customer, worst_case, is_linked)) ...
//   else ask a holder for the request;
//   if (const Tokens n = advances.AmountToAsk(now, customer)) ask for n;
//   advances.OnAsked(customer); later OnGiven(...) or OnRefused(...)
//   advances.Settle(request, cost);                     // ends a draw
//   for (const auto& it : advances.TakeFinished(now)) settle it at its holder;
//
// `AdvanceToGive` decides for the holder.
//
// The sum of what is spent and of what running requests may spend never exceeds
// an advance. The holder counts the whole advance as held until it is settled,
// so the time limits below bound only how long tokens lie unused, and how long
// a router goes on after its holder has died.
//
// An advance is closed, that is, nothing more is drawn from it, when its time
// is up, when it has been unused for `unused_after`, when a later one serves
// what it can't, or by `Close`. It is finished when no draw runs any more; its
// cost is then the sum of the costs of its draws.
//
// Owns the advances, the draws and the rates. Time is passed in. Units: tokens.
// It reports no errors.

#ifndef QUAYTRACK_PREPAID_HOLD_ADVANCE_H_
#define QUAYTRACK_PREPAID_HOLD_ADVANCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"

namespace quaytrack {

struct AdvancePolicy {
  // --- The router that asks --------------------------------------------------

  // An advance covers this much of the customer's spending at this router.
  Duration cover = std::chrono::milliseconds(250);
  // Nothing is asked for unless `cover` is likely to have this many requests,
  // as a plain hold then costs no more messages.
  int min_requests = 3;
  // Time over which the rate of requests is averaged.
  Duration rate_time = std::chrono::milliseconds(500);
  // How long after the ask an advance may be drawn from. Less than the
  // shortest deadline of the requests, until which a plain hold is in use.
  Duration lifetime = std::chrono::milliseconds(2000);
  Duration unused_after = std::chrono::milliseconds(1000);
  // Pause after a refusal.
  Duration retry_after = std::chrono::milliseconds(1000);

  // --- The holder ------------------------------------------------------------

  // Largest advance, as a fraction of what the holder may spend at present.
  double max_share = 0.125;
  // Largest sum of a customer's advances, as a fraction of that and of the
  // advances together.
  double max_total_share = 0.5;
  // An advance of less than this fraction of what was asked for is refused, as
  // few requests would fit into it.
  double min_given = 0.25;
};

// Returns how much a holder gives of `asked`; 0 refuses. `allowance` is what it
// may spend now, `given` the sum of the customer's advances that aren't
// settled.
Tokens AdvanceToGive(const AdvancePolicy& policy, Tokens asked,
                     Tokens allowance, Tokens given);

class HoldAdvances {
 public:
  struct Finished {
    RequestId id;
    Incarnation holder;
    CustomerName customer;
    Tokens amount = 0;
    Tokens cost = 0;
  };

  HoldAdvances() = default;
  explicit HoldAdvances(const AdvancePolicy& policy) : policy_(policy) {}

  // Counts a request, whether it is drawn or held at a holder.
  void Count(Instant now, const CustomerName& customer, Tokens amount);
  // Takes `amount` for the request from an advance of a linked holder. Returns
  // false if none has as much.
  bool Draw(Instant now, const RequestId& request, const CustomerName& customer,
            Tokens amount,
            const std::function<bool(const Incarnation&)>& is_linked);
  bool IsDrawn(const RequestId& request) const {
    return draws_.contains(request);
  }
  // Ends the request's draw.
  void Settle(const RequestId& request, Tokens cost);

  // How much to ask a holder for now; 0: nothing.
  Tokens AmountToAsk(Instant now, const CustomerName& customer) const;
  void OnAsked(const CustomerName& customer);
  // The holder gave `amount` under `id`, for what was asked at `asked_at`.
  void OnGiven(Instant now, const RequestId& id, const Incarnation& holder,
               const CustomerName& customer, Tokens amount, Instant asked_at);
  void OnRefused(Instant now, const CustomerName& customer);

  void Close(const RequestId& id, const Incarnation& holder);
  void CloseAt(const Incarnation& holder);
  void CloseFor(const CustomerName& customer);
  void CloseAll();

  // Closes what has expired, and returns the advances that are finished. They
  // are gone after that.
  std::vector<Finished> TakeFinished(Instant now);

  bool empty() const { return advances_.empty(); }
  std::size_t size() const { return advances_.size(); }
  // Number of draws so far.
  std::uint64_t drawn() const { return drawn_; }

 private:
  struct Advance {
    RequestId id;
    Incarnation holder;
    CustomerName customer;
    Tokens amount = 0;
    Tokens spent = 0;
    // The sum of the draws that run, and their number.
    Tokens in_use = 0;
    std::size_t draws = 0;
    Instant asked_at{};
    Instant last_draw{};
    bool closed = false;

    Tokens Free() const { return amount - spent - in_use; }
  };
  // Oldest first.
  using Advances = std::list<Advance>;
  struct OneDraw {
    Advances::iterator advance;
    Tokens amount = 0;
  };
  struct Demand {
    explicit Demand(Duration time) : tokens(time), requests(time) {}
    DecayingRate tokens;
    DecayingRate requests;
    bool asked = false;
    Instant not_before{};
  };

  bool IsUsable(Instant now, const Advance& it) const;
  bool HasExpired(Instant now, const Advance& it) const;
  Demand& DemandOf(const CustomerName& customer);
  void CloseIf(const std::function<bool(const Advance&)>& matches);

  AdvancePolicy policy_;
  Advances advances_;
  std::map<RequestId, OneDraw> draws_;
  std::map<CustomerName, Demand> demand_;
  std::uint64_t drawn_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_HOLD_ADVANCE_H_
