// PrepaidPolicy: the constants by which routers share a prepaid budget.
//
// Grant sizes balance two risks. A router that keeps too little refuses
// requests while the store is unreachable. A router that keeps too much takes
// tokens from the others, and if all routers lose power, whatever they might
// have spent is charged to the customer, because the true amount is unknown.
//
// Shares are fractions of 1. prepaid/grant_sizing.h describes how the sizes are
// used, prepaid/prepaid_ledger.h how the times are used.

#ifndef QUAYTRACK_PREPAID_PREPAID_POLICY_H_
#define QUAYTRACK_PREPAID_PREPAID_POLICY_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

struct PrepaidPolicy {
  // --- Sizes of grants -------------------------------------------------------

  // All routers together keep granted, in equal amounts, what they spend of a
  // budget in this time, so that they serve its customer while the store is
  // away (flag --baseline-s).
  Duration baseline_time = std::chrono::seconds(60);
  // Upper bound of that, as a fraction of the remaining tokens, and its amount
  // until the rate of spending is known (flag --standing-share).
  double baseline_share = 0.3;
  // A router keeps as much as it spends in this time, if that is more than its
  // baseline (flag --cover-s).
  Duration headroom = std::chrono::seconds(5);
  // Upper bound of the headroom, as a fraction of the remaining tokens.
  double max_headroom_share = 0.6;
  // Charges without proof reduce baseline and headroom of the same budget, in
  // proportion to their part of what `baseline_share` of the limit allows, but
  // not below this fraction. So several losses of power together cost a budget
  // little more than one, and a router still keeps enough to answer without
  // asking the store for each request.
  double min_risk_factor = 0.2;
  // Baseline and headroom apply in full while the remaining tokens last this
  // long at the rate at which all routers spend them; if the tokens last for
  // less, baseline and headroom fall in proportion. Tokens that an outage
  // leaves unspent can be spent after it, but tokens charged after a power loss
  // are gone.
  Duration full_size_horizon = std::chrono::seconds(30);
  // Fraction of a grant's target size that a router may spend before
  // `withhold_time` has passed. What is spent beyond the reports of that time
  // is charged at its worst if the router dies.
  double spendable_share = 0.25;
  // How long after a write the withheld tokens may not be spent.
  Duration withhold_time = std::chrono::milliseconds(2000);
  // Fraction of a limit that is never granted, as a margin for counting errors.
  double reserve = 0.01;

  // --- Scarce budgets --------------------------------------------------------

  // While the tokens within reach don't cover a customer's demand over this
  // time, less urgent requests leave to the more urgent ones what these are
  // expected to need (prepaid/scarcity.h; flag --scarce-horizon-s). Zero turns
  // this off.
  Duration scarce_horizon{};

  // --- Times of writes -------------------------------------------------------

  // Longest time that spending stays unreported. Shorter times cost store calls
  // for each router; longer ones charge more when a router dies.
  Duration report_every = std::chrono::milliseconds(1000);
  // Longest time that transfers stay unrecorded while the store answers.
  Duration record_transfers_every = std::chrono::milliseconds(1500);
  // Shortest time between two writes.
  Duration spacing = std::chrono::milliseconds(400);
  // Shortest time between two writes while a request waits for a grant.
  Duration urgent_spacing = std::chrono::milliseconds(10);
  // Pause after a call that the store didn't answer, before the next write and
  // before a read that is due only because the record is old.
  Duration retry_after_failure = std::chrono::milliseconds(300);

  // --- After the store was restored from an older copy -----------------------

  // Longest time that granting stops while members have yet to declare what
  // they spent and hold.
  Duration declaration_timeout = std::chrono::seconds(30);
  // How long a router that has declared itself still grants nothing, in case
  // members that no record shows are yet to declare themselves.
  Duration post_declaration_wait = std::chrono::seconds(1);

  // --- Times of reads --------------------------------------------------------

  // Age at which the record is read again.
  Duration refresh_every = std::chrono::seconds(6);
  // Age per member of the record at which the record is read again, if that
  // adds up to more than `refresh_every`, so that the fleet's total read rate
  // doesn't grow with its size.
  Duration refresh_per_member = std::chrono::milliseconds(750);
  // Age at which the record is read again while a request waits for more than
  // this router may spend.
  Duration refresh_waiting = std::chrono::milliseconds(400);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_POLICY_H_
