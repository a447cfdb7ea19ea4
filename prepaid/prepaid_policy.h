// PrepaidPolicy: the constants by which routers share a prepaid budget.
//
// Two dangers pull against each other. A router that keeps too little refuses
// requests while the store is away. A router that keeps too much takes it from
// the others, and if all power is lost what it might have spent is charged to
// the customer, since nobody knows how much it was. docs/design/prepaid.md has
// the alternatives and the tables of the trials; hashes name commits, whose
// messages have their trials.
//
// Shares are parts of 1. What each constant decides stands with the code that
// uses it: prepaid/grant_sizing.h for the sizes, prepaid/prepaid_ledger.h for
// the times.

#ifndef QUAYTRACK_PREPAID_PREPAID_POLICY_H_
#define QUAYTRACK_PREPAID_PREPAID_POLICY_H_

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

struct PrepaidPolicy {
  // --- Sizes of grants -------------------------------------------------------

  // Part of what remains of a budget that all routers together keep granted,
  // in equal parts (flag --standing-share). docs/design/prepaid.md has the
  // table: 0.55, 0.42 and 0.30 on four days.
  double baseline_share = 0.3;
  // A router keeps its own spending of this long, if that is more than its
  // baseline (flag --cover-s). 3f13dcd chose; docs/design/prepaid.md has the
  // table: 0, 4, 5, 8 and 10 s.
  Duration headroom = std::chrono::seconds(5);
  // Most that the headroom may take of what remains. 02163af; not measured.
  double most_headroom_share = 0.6;
  // Both are kept in full while what remains of the budget lasts this long at
  // the rate at which all routers spend it, and fall in proportion below. What
  // an outage refuses of a budget that runs out can be spent after it; what is
  // charged when all power is lost is gone. Trials on three
  // deployments: of what callers are owed on days with trouble, 30 s served
  // 0.019, 0.007 and 0.010 more and took 0.02 to 0.06 on days of cuts alone;
  // docs/design/prepaid.md has 20 and 45 s.
  Duration plentiful = std::chrono::seconds(30);
  // Part of its target size that a router may spend before `withhold_time` has
  // passed. 026eedf, one trial on two days: credit 0.505 and 0.480 with 0.25, a
  // time of 2 s and reports each 0.6 s; 0.466 and 0.491 with 0.35, 3 s and 1 s.
  double spendable_share = 0.25;
  // How long after a write the withheld part is left alone. The same trial.
  Duration withhold_time = std::chrono::milliseconds(2000);
  // Part of a limit that is never granted, against errors of counting.
  // df506c1; not measured.
  double reserve = 0.01;

  // --- Times of writes -------------------------------------------------------

  // Longest time that spending stays unreported. 3f13dcd, 600 ms before: with
  // `spacing`, store calls of a day fell from 5,917 to 4,124.
  Duration report_every = std::chrono::milliseconds(1000);
  // Longest time that transfers stay out of the record while the store answers.
  // ed1ba9f; not measured.
  Duration record_transfers_every = std::chrono::milliseconds(1500);
  // Shortest time between two writes. 3f13dcd, 250 ms before.
  Duration spacing = std::chrono::milliseconds(400);
  // The same while a request waits for a grant. df506c1; not measured.
  Duration urgent_spacing = std::chrono::milliseconds(10);
  // Pause before the next write, and before a read that is due by age alone,
  // after a call that the store didn't answer. df506c1; not measured.
  Duration retry_after_failure = std::chrono::milliseconds(300);

  // --- After the store came back from an older copy of itself ----------------

  // Longest time for which nothing is granted while members haven't declared
  // their parts.
  Duration undeclared_time = std::chrono::seconds(30);
  // The same, at a router that has declared its own, for members that no record
  // shows.
  Duration declare_time = std::chrono::seconds(1);

  // --- Times of reads --------------------------------------------------------

  // Age at which the record is read anew. 1e7c5f4; not measured.
  Duration refresh_every = std::chrono::seconds(6);
  // The same for each member, if that is more, so that all reads of the fleet
  // together don't grow with it. d117756; not measured.
  Duration refresh_per_member = std::chrono::milliseconds(750);
  // The same while a request waits for more than this router may spend.
  // 1e7c5f4, whose trials show it only together with the read at a new peer.
  Duration refresh_waiting = std::chrono::milliseconds(400);
};

}  // namespace quaytrack

#endif  // QUAYTRACK_PREPAID_PREPAID_POLICY_H_
