// State machine of one claim at its router, from chart/charts/claim.json.
//
//   BOOST_LEAF_AUTO(chart, BindClaimChart());
//   ChartMachine<ClaimPhase, ClaimStep, ClaimAction> machine(chart);
//
// claim/claim.h performs the actions of the transitions. The chart guarantees
// that a call is sent only while its claim is stored and owned.

#ifndef QUAYTRACK_CLAIM_CLAIM_CHART_H_
#define QUAYTRACK_CLAIM_CLAIM_CHART_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/embedded.h"

namespace quaytrack {

// States of the chart.
enum class ClaimPhase {
  kWriting,      // the claim's creation is not resolved
  kAbandoned,    // the request has ended before the creation is resolved
  kOwned,        // the claim is stored: the call may be sent
  kStoring,      // the call's end is being written
  kWithdrawing,  // the claim's deletion is being written
  kStored,       // the call's end is stored
  kGone,         // the claim is deleted, or another request has it
};

// Events of the chart.
enum class ClaimStep {
  kCreated,
  kTaken,
  kAbandoned,
  kRan,
  kLost,
  kWritten,
};

// Actions of the chart.
enum class ClaimAction { kNone, kNotifyOwner, kNotifyTaken, kStore, kDelete };

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
struct EnumTable<ClaimAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ClaimAction>>(
      {{ClaimAction::kNone, "none"},
       {ClaimAction::kNotifyOwner, "tell_owner"},
       {ClaimAction::kNotifyTaken, "tell_taken"},
       {ClaimAction::kStore, "store"},
       {ClaimAction::kDelete, "delete"}});
};

using ClaimChart = Chart<ClaimPhase, ClaimStep, ClaimAction>;

inline boost::leaf::result<ClaimChart> BindClaimChart() {
  return BindChart<ClaimPhase, ClaimStep, ClaimAction>(kClaimChart);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CLAIM_CLAIM_CHART_H_
