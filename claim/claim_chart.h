// The life of one claim at the router that made it: chart/charts/claim.json.
//
//   BOOST_LEAF_AUTO(chart, BindClaimChart());
//   ChartMachine<ClaimPhase, ClaimStep, ClaimDeed> machine(chart);
//
// claim/claim.h does what the arrows say. The chart keeps the promise that a
// call is sent only while its claim is stored and owned.

#ifndef QUAYTRACK_CLAIM_CLAIM_CHART_H_
#define QUAYTRACK_CLAIM_CLAIM_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

enum class ClaimPhase {
  kWriting,      // its creation is not resolved
  kAbandoned,    // the same, and nobody wants it any more
  kOwned,        // stored: the call may be sent
  kStoring,      // the call's end is being written
  kWithdrawing,  // its deletion is being written
  kStored,
  kGone,
};

enum class ClaimStep {
  kCreated,
  kTaken,
  kAbandoned,
  kRan,
  kLost,
  kWritten,
};

enum class ClaimDeed { kNone, kTellOwner, kTellTaken, kStore, kDelete };

template <>
struct EnumTable<ClaimPhase> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ClaimPhase>>(
      {{ClaimPhase::kWriting, "writing"},
       {ClaimPhase::kAbandoned, "abandoned"},
       {ClaimPhase::kOwned, "owned"},
       {ClaimPhase::kStoring, "storing"},
       {ClaimPhase::kWithdrawing, "withdrawing"},
       {ClaimPhase::kStored, "stored"},
       {ClaimPhase::kGone, "gone"}});
};

template <>
struct EnumTable<ClaimStep> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<ClaimStep>>({{ClaimStep::kCreated, "created"},
                                           {ClaimStep::kTaken, "taken"},
                                           {ClaimStep::kAbandoned, "abandoned"},
                                           {ClaimStep::kRan, "ran"},
                                           {ClaimStep::kLost, "lost"},
                                           {ClaimStep::kWritten, "written"}});
};

template <>
struct EnumTable<ClaimDeed> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ClaimDeed>>(
      {{ClaimDeed::kNone, "none"},
       {ClaimDeed::kTellOwner, "tell_owner"},
       {ClaimDeed::kTellTaken, "tell_taken"},
       {ClaimDeed::kStore, "store"},
       {ClaimDeed::kDelete, "delete"}});
};

using ClaimChart = Chart<ClaimPhase, ClaimStep, ClaimDeed>;

inline boost::leaf::result<ClaimChart> BindClaimChart() {
  return BindChart<ClaimPhase, ClaimStep, ClaimDeed>(kClaimChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CLAIM_CLAIM_CHART_H_
