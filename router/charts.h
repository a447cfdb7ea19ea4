// The state charts of `quaytrack router`, bound to their enums.
//
//   BOOST_LEAF_AUTO(charts, BindRouterCharts());
//
// They are bound once, at start, and kept until the last request has ended. A
// chart that doesn't match its enums is an error, and the process doesn't
// start.

#ifndef QUAYTRACK_ROUTER_CHARTS_H_
#define QUAYTRACK_ROUTER_CHARTS_H_

#include "base/enum_table.h"
#include "chart/chart.h"
#include "chart/drain_chart.h"
#include "chart/embedded.h"
#include "claim/claim_chart.h"

namespace quaytrack {

// States, events and actions of one request (chart/charts/forward.json).
enum class ForwardState {
  kReceived,
  kClaiming,
  kAwaitingBudget,
  kQueued,
  kSent,
  kAnswering,
  kStoring,
  kEnded,
};
enum class ForwardEvent {
  kNeedClaim,
  kNeedBudget,
  kClaimWon,
  kHoldGranted,
  kTargetFound,
  kAnswerBegan,
  kTryAgain,
  kAnswerComplete,
  kAnswerBroke,
  kRefused,
  kCallerGone,
  kBillStored,
};
enum class ForwardAction {
  kNone,
  kClaim,
  kHold,
  kFindTarget,
  kSend,
  kRelay,
  kSettle,
  kSettleBroken,
  kCancel,
  kRefuse,
  kAbandon,
  kFinish,
};

template <>
struct EnumTable<ForwardState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ForwardState>>(
      {{ForwardState::kReceived, "received"},
       {ForwardState::kClaiming, "claiming"},
       {ForwardState::kAwaitingBudget, "awaiting_budget"},
       {ForwardState::kQueued, "queued"},
       {ForwardState::kSent, "sent"},
       {ForwardState::kAnswering, "answering"},
       {ForwardState::kStoring, "storing"},
       {ForwardState::kEnded, "ended"}});
};

template <>
struct EnumTable<ForwardEvent> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ForwardEvent>>(
      {{ForwardEvent::kNeedClaim, "need_claim"},
       {ForwardEvent::kNeedBudget, "need_budget"},
       {ForwardEvent::kClaimWon, "claim_won"},
       {ForwardEvent::kHoldGranted, "hold_granted"},
       {ForwardEvent::kTargetFound, "target_found"},
       {ForwardEvent::kAnswerBegan, "answer_began"},
       {ForwardEvent::kTryAgain, "try_again"},
       {ForwardEvent::kAnswerComplete, "answer_complete"},
       {ForwardEvent::kAnswerBroke, "answer_broke"},
       {ForwardEvent::kRefused, "refused"},
       {ForwardEvent::kCallerGone, "caller_gone"},
       {ForwardEvent::kBillStored, "bill_stored"}});
};

template <>
struct EnumTable<ForwardAction> {
  static constexpr auto kEntries = std::to_array<EnumEntry<ForwardAction>>(
      {{ForwardAction::kNone, "none"},
       {ForwardAction::kClaim, "claim"},
       {ForwardAction::kHold, "hold"},
       {ForwardAction::kFindTarget, "find_target"},
       {ForwardAction::kSend, "send"},
       {ForwardAction::kRelay, "relay"},
       {ForwardAction::kSettle, "settle"},
       {ForwardAction::kSettleBroken, "settle_broken"},
       {ForwardAction::kCancel, "cancel"},
       {ForwardAction::kRefuse, "refuse"},
       {ForwardAction::kAbandon, "abandon"},
       {ForwardAction::kFinish, "finish"}});
};

using ForwardChart = Chart<ForwardState, ForwardEvent, ForwardAction>;

// All charts of the router.
struct RouterCharts {
  ForwardChart forward;
  ClaimChart claim;
  DrainChart drain;
};

inline boost::leaf::result<RouterCharts> BindRouterCharts() {
  BOOST_LEAF_AUTO(
      forward,
      (BindChart<ForwardState, ForwardEvent, ForwardAction>(kForwardChart)));
  BOOST_LEAF_AUTO(claim, BindClaimChart());
  BOOST_LEAF_AUTO(drain, BindDrainChart());
  return RouterCharts{std::move(forward), std::move(claim), std::move(drain)};
}

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_CHARTS_H_
