// The catalogue of log events. Every log line carries one of these numbers, so
// that operators can search by number, whatever the wording.
//
//   LogEvent(Event::kReady, {{"config", "7"}});   // base/log.h
//
// docs/EVENTS.md explains each event and what to do about it; a test checks
// that both list the same events (base/testing/catalogue_test.cc). Operators'
// tools read numbers, names and fields, so none may change its meaning.
//
// The router and the relay share the catalogue; many events occur in only one.
//
// Levels:
//   debug  for each request; off by default;
//   info   normal operation, and one line for each request of the relay;
//   warn   something was lost or refused, and an operator may have to look;
//   error  an operator has to act.

#ifndef QUAYTRACK_BASE_EVENTS_H_
#define QUAYTRACK_BASE_EVENTS_H_

#include <array>
#include <string_view>

namespace quaytrack {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

enum class Event {
  // 10xx: the process itself.
  kStarted = 1001,
  kReady = 1002,
  kDrainStarted = 1003,
  kDrainFinished = 1004,
  kDrainTimedOut = 1005,
  kSettingRejected = 1006,
  kFenced = 1007,
  kReloadAsked = 1008,
  kLogDropped = 1009,
  kLinkBusy = 1010,
  kLinkEased = 1011,
  kAcceptsLimited = 1012,
  kAcceptsUnlimited = 1013,
  kCallersShed = 1014,
  // 11xx: the store, other routers, the VM list.
  kKvLost = 1101,
  kKvBack = 1102,
  kRegistered = 1103,
  kWatchRestarted = 1104,
  kVmListLost = 1105,
  kVmListBack = 1106,
  kRouterRecovered = 1107,
  kRecoveryFailed = 1108,
  kWitnessChanged = 1109,
  kPeerLinkLost = 1110,
  kPeerMessageRefused = 1111,
  kPeerLinked = 1112,
  kFeedState = 1113,
  kFeedNewsRefused = 1114,
  kStoreEra = 1115,
  kReadingOlder = 1116,
  kTargetLinksLost = 1117,
  kTargetLinksBack = 1118,
  // 12xx: bundles, configurations, store items that can't be read.
  kBundleTaken = 1201,
  kBundleRefused = 1202,
  kConfigTaken = 1203,
  kItemRefused = 1204,
  kRecordRefused = 1205,
  kFieldRefused = 1206,
  kKeysStillNeeded = 1207,
  kConfigGone = 1208,
  // 13xx: targets.
  kTargetLeaving = 1301,
  kTargetFailed = 1302,
  kBreakerOpened = 1303,
  kUsageMissing = 1304,
  kUsageTooLarge = 1305,
  kTargetSeen = 1306,
  kTargetGone = 1307,
  kTargetsRead = 1308,
  kAttemptEnded = 1309,
  kCrashReported = 1310,
  kRequestBlamed = 1311,
  kRequestCleared = 1312,
  kBlamedRefused = 1313,
  kHallClosed = 1314,
  kHallOpened = 1315,
  kSendHeldBack = 1316,
  kTargetCold = 1317,
  kTargetWarm = 1318,
  kTargetLimited = 1319,
  kTargetUnlimited = 1320,
  kTargetSaysLeaving = 1321,
  kTargetBacksOff = 1322,
  kRolloutState = 1323,
  kRolloutWritten = 1324,
  kRejectionsLimited = 1325,
  kRejectionsUnlimited = 1326,
  kAttemptKept = 1327,
  kAttemptWentOn = 1328,
  kPartBlamed = 1329,
  kPartCleared = 1330,
  kPartTested = 1331,
  // 14xx: requests, budgets, bills and claims.
  kRequestRefused = 1401,
  kRequestFinished = 1402,
  kCallerGone = 1403,
  kBillsWritten = 1404,
  kBillDropped = 1405,
  kBillUnprotected = 1406,
  kClaimUnknown = 1407,
  kRelayEnded = 1408,
  kPrepaidShort = 1409,
  kPrepaidWritten = 1410,
  kMoveGiven = 1411,
  kPredecessorClosed = 1412,
  kHoldUnanswered = 1413,
  kRequestOverran = 1414,
  kPrepaidDeclared = 1415,
  kHolderSilent = 1416,
  kHoldRefusedAtOnce = 1417,
  kHoldAdvance = 1418,
  kBudgetScarce = 1419,
  kBudgetEased = 1420,
  kBudgetReserved = 1421,
  kStreamTakenUp = 1422,
  kBudgetCharged = 1423,
  kRunStopped = 1424,
  kRunServed = 1425,
};

struct EventInfo {
  Event event;
  LogLevel level;
  std::string_view name;
};

inline constexpr auto kEventCatalogue = std::to_array<EventInfo>({
    {Event::kStarted, LogLevel::kInfo, "started"},
    {Event::kReady, LogLevel::kInfo, "ready"},
    {Event::kDrainStarted, LogLevel::kInfo, "drain_started"},
    {Event::kDrainFinished, LogLevel::kInfo, "drain_finished"},
    {Event::kDrainTimedOut, LogLevel::kWarn, "drain_timed_out"},
    {Event::kSettingRejected, LogLevel::kError, "setting_rejected"},
    {Event::kFenced, LogLevel::kError, "fenced"},
    {Event::kReloadAsked, LogLevel::kInfo, "reload_asked"},
    {Event::kLogDropped, LogLevel::kWarn, "log_dropped"},
    {Event::kLinkBusy, LogLevel::kWarn, "link_busy"},
    {Event::kLinkEased, LogLevel::kInfo, "link_eased"},
    {Event::kAcceptsLimited, LogLevel::kWarn, "accepts_limited"},
    {Event::kAcceptsUnlimited, LogLevel::kInfo, "accepts_unlimited"},
    {Event::kCallersShed, LogLevel::kWarn, "callers_shed"},
    {Event::kKvLost, LogLevel::kWarn, "kv_lost"},
    {Event::kKvBack, LogLevel::kInfo, "kv_back"},
    {Event::kRegistered, LogLevel::kInfo, "registered"},
    {Event::kWatchRestarted, LogLevel::kInfo, "watch_restarted"},
    {Event::kVmListLost, LogLevel::kWarn, "vm_list_lost"},
    {Event::kVmListBack, LogLevel::kInfo, "vm_list_back"},
    {Event::kRouterRecovered, LogLevel::kInfo, "router_recovered"},
    {Event::kRecoveryFailed, LogLevel::kWarn, "recovery_failed"},
    {Event::kWitnessChanged, LogLevel::kInfo, "witness_changed"},
    {Event::kPeerLinkLost, LogLevel::kWarn, "peer_link_lost"},
    {Event::kPeerMessageRefused, LogLevel::kWarn, "peer_message_refused"},
    {Event::kPeerLinked, LogLevel::kInfo, "peer_linked"},
    {Event::kFeedState, LogLevel::kInfo, "feed_state"},
    {Event::kFeedNewsRefused, LogLevel::kWarn, "feed_news_refused"},
    {Event::kStoreEra, LogLevel::kWarn, "store_era"},
    {Event::kReadingOlder, LogLevel::kWarn, "reading_older"},
    {Event::kTargetLinksLost, LogLevel::kWarn, "target_links_lost"},
    {Event::kTargetLinksBack, LogLevel::kInfo, "target_links_back"},
    {Event::kBundleTaken, LogLevel::kInfo, "bundle_taken"},
    {Event::kBundleRefused, LogLevel::kWarn, "bundle_refused"},
    {Event::kConfigTaken, LogLevel::kInfo, "config_taken"},
    {Event::kItemRefused, LogLevel::kWarn, "item_refused"},
    {Event::kRecordRefused, LogLevel::kError, "record_refused"},
    {Event::kFieldRefused, LogLevel::kWarn, "field_refused"},
    {Event::kKeysStillNeeded, LogLevel::kWarn, "keys_still_needed"},
    {Event::kConfigGone, LogLevel::kWarn, "config_gone"},
    {Event::kTargetLeaving, LogLevel::kInfo, "target_leaving"},
    {Event::kTargetFailed, LogLevel::kWarn, "target_failed"},
    {Event::kBreakerOpened, LogLevel::kWarn, "breaker_opened"},
    {Event::kUsageMissing, LogLevel::kWarn, "usage_missing"},
    {Event::kUsageTooLarge, LogLevel::kWarn, "usage_too_large"},
    {Event::kTargetSeen, LogLevel::kInfo, "target_seen"},
    {Event::kTargetGone, LogLevel::kInfo, "target_gone"},
    {Event::kTargetsRead, LogLevel::kInfo, "targets_read"},
    {Event::kAttemptEnded, LogLevel::kInfo, "attempt_ended"},
    {Event::kCrashReported, LogLevel::kWarn, "crash_reported"},
    {Event::kRequestBlamed, LogLevel::kWarn, "request_blamed"},
    {Event::kRequestCleared, LogLevel::kInfo, "request_cleared"},
    {Event::kBlamedRefused, LogLevel::kInfo, "blamed_refused"},
    {Event::kHallClosed, LogLevel::kInfo, "hall_closed"},
    {Event::kHallOpened, LogLevel::kInfo, "hall_opened"},
    {Event::kSendHeldBack, LogLevel::kInfo, "send_held_back"},
    {Event::kTargetCold, LogLevel::kInfo, "target_cold"},
    {Event::kTargetWarm, LogLevel::kInfo, "target_warm"},
    {Event::kTargetLimited, LogLevel::kWarn, "target_limited"},
    {Event::kTargetUnlimited, LogLevel::kInfo, "target_unlimited"},
    {Event::kTargetSaysLeaving, LogLevel::kInfo, "target_says_leaving"},
    {Event::kTargetBacksOff, LogLevel::kInfo, "target_backs_off"},
    {Event::kRolloutState, LogLevel::kInfo, "rollout_state"},
    {Event::kRolloutWritten, LogLevel::kInfo, "rollout_written"},
    {Event::kRejectionsLimited, LogLevel::kWarn, "rejections_limited"},
    {Event::kRejectionsUnlimited, LogLevel::kInfo, "rejections_unlimited"},
    {Event::kAttemptKept, LogLevel::kInfo, "attempt_kept"},
    {Event::kAttemptWentOn, LogLevel::kInfo, "attempt_went_on"},
    {Event::kPartBlamed, LogLevel::kWarn, "part_blamed"},
    {Event::kPartCleared, LogLevel::kInfo, "part_cleared"},
    {Event::kPartTested, LogLevel::kInfo, "part_tested"},
    {Event::kRequestRefused, LogLevel::kDebug, "request_refused"},
    {Event::kRequestFinished, LogLevel::kDebug, "request_finished"},
    {Event::kCallerGone, LogLevel::kDebug, "caller_gone"},
    {Event::kBillsWritten, LogLevel::kDebug, "bills_written"},
    {Event::kBillDropped, LogLevel::kInfo, "bill_dropped"},
    {Event::kBillUnprotected, LogLevel::kWarn, "bill_unprotected"},
    {Event::kClaimUnknown, LogLevel::kInfo, "claim_unknown"},
    {Event::kRelayEnded, LogLevel::kInfo, "relay_ended"},
    {Event::kPrepaidShort, LogLevel::kWarn, "prepaid_short"},
    {Event::kPrepaidWritten, LogLevel::kDebug, "prepaid_written"},
    {Event::kMoveGiven, LogLevel::kDebug, "move_given"},
    {Event::kPredecessorClosed, LogLevel::kInfo, "predecessor_closed"},
    {Event::kHoldUnanswered, LogLevel::kWarn, "hold_unanswered"},
    {Event::kRequestOverran, LogLevel::kWarn, "request_overran"},
    {Event::kPrepaidDeclared, LogLevel::kInfo, "prepaid_declared"},
    {Event::kHolderSilent, LogLevel::kWarn, "holder_silent"},
    {Event::kHoldRefusedAtOnce, LogLevel::kInfo, "hold_refused_at_once"},
    {Event::kHoldAdvance, LogLevel::kDebug, "hold_advance"},
    {Event::kBudgetScarce, LogLevel::kWarn, "budget_scarce"},
    {Event::kBudgetEased, LogLevel::kInfo, "budget_eased"},
    {Event::kBudgetReserved, LogLevel::kInfo, "budget_reserved"},
    {Event::kStreamTakenUp, LogLevel::kInfo, "stream_taken_up"},
    {Event::kBudgetCharged, LogLevel::kWarn, "budget_charged"},
    {Event::kRunStopped, LogLevel::kInfo, "run_stopped"},
    {Event::kRunServed, LogLevel::kInfo, "run_served"},
});

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_EVENTS_H_
