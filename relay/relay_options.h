// Converts settings (relay_settings.h) and configuration into the options of
// the router's components. A field that isn't set here keeps the default of the
// component's options, where its unit and reason are documented.
//
//   FleetDriver fleet(loop, store, self, FleetOptionsFrom(settings));

#ifndef QUAYTRACK_RELAY_RELAY_OPTIONS_H_
#define QUAYTRACK_RELAY_RELAY_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <map>

#include "base/clock.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "dispatch/retry_share.h"
#include "dispatch/shared_rate.h"
#include "fleet/fleet.h"
#include "http/caller_server.h"
#include "prepaid/prepaid_ledger.h"
#include "relay/planned_stop.h"
#include "relay/relay_settings.h"
#include "rollout/rollout.h"

namespace quaytrack {

inline RetryShareOptions RetryOptionsFrom(const RelaySettings& settings,
                                          Instant started_at) {
  RetryShareOptions out;
  out.started_at = started_at;
  out.ratio = settings.retry_ratio;
  out.slack = settings.retry_slack;
  out.window = settings.retry_window;
  return out;
}

// For a target that announces a rate limit: in any span of the first value, all
// routers together may send the second value times the limit, and as many
// requests more as the third value.
inline constexpr RateAllowance kLimitAllowance{std::chrono::seconds(4), 1.5, 5};

inline PlacementRates RatesFrom(const RelaySettings& settings, Instant now) {
  const RateAllowance cold{std::chrono::seconds(1), settings.cold_overage,
                           settings.cold_slack};
  return {SharedRate(now, cold), SharedRate(now, kLimitAllowance)};
}

// A version that is being rolled out gets this fraction of the share of
// requests that a bad version may get (`RelaySettings::unproven_share`). The
// rest covers routers that restart and begin to count anew.
inline constexpr double kTrialShareOfUnproven = 0.6;

inline Rollout::Options RolloutOptionsFrom(const RelaySettings& settings) {
  return {settings.unproven_share * kTrialShareOfUnproven};
}

inline std::map<ServiceName, ColdRule> ColdRulesFrom(const ServiceMap& map) {
  std::map<ServiceName, ColdRule> out;
  for (const ServiceRule& it : map.services()) {
    if (it.cold_per_s > 0) out[it.name] = {it.cold_start, it.cold_per_s};
  }
  return out;
}

inline FleetOptions FleetOptionsFrom(const RelaySettings& settings) {
  FleetOptions out;
  out.small_fleet = static_cast<std::size_t>(settings.small_fleet);
  out.holders_per_hall = static_cast<std::size_t>(settings.holders_per_hall);
  return out;
}

inline PrepaidPolicy PrepaidPolicyFrom(const RelaySettings& settings) {
  PrepaidPolicy out;
  out.baseline_time = std::chrono::seconds(settings.baseline_s);
  out.baseline_share = settings.standing_share;
  out.headroom = settings.cover;
  out.scarce_horizon = settings.scarce_horizon;
  return out;
}

inline PlannedStopTimes PlannedStopTimesFrom(const RelaySettings& settings) {
  PlannedStopTimes out;
  out.total = settings.drain_time;
  return out;
}

// Part of the VM's memory that callers' connections may hold. Most of the rest
// is what the process holds without callers, and the loss of the allocator.
inline constexpr double kCallerMemoryShare = 1.0 / 3;
// Descriptors that files keep, and the part of the others that is left for
// callers: each of their requests needs a connection to a target as well.
inline constexpr int kFileDescriptors = 200;
inline constexpr double kCallerDescriptorShare = 5.0 / 8;

inline CallerBounds CallerBoundsFrom(const RelaySettings& settings) {
  constexpr double kBytesPerMb = 1024 * 1024;
  CallerBounds out;
  out.memory_bytes = static_cast<std::size_t>(settings.memory_mb * kBytesPerMb *
                                              kCallerMemoryShare);
  out.connections = static_cast<std::size_t>(
      (settings.max_descriptors - kFileDescriptors) * kCallerDescriptorShare);
  return out;
}

// Of each server that serves no callers.
inline constexpr CallerBounds kAdminBounds{2 * 1024 * 1024, 64};

inline CallerLimits CallerLimitsFrom(const RequestLimits& limits) {
  CallerLimits out;
  out.http.max_head_bytes = limits.max_head_bytes;
  out.http.max_body_bytes = limits.max_body_bytes;
  out.head_timeout = limits.head_timeout;
  out.idle_timeout = limits.idle_timeout;
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_OPTIONS_H_
