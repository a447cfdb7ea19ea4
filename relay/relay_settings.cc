#include "relay/relay_settings.h"

#include "fleet/hall_regions.h"

namespace quaytrack {

void AddRelayFlags(CLI::App& app, RelayFlags& flags) {
  const auto add = [&app](const char* flag, auto& value, const char* help) {
    AddSetting(app, flag, value, help);
  };
  AddIdentityFlags(
      app, flags, "Name of this VM",
      "Address at which the balancer checks whether this router is ready");
  add("--metrics-listen", flags.metrics_listen,
      "Address for metrics; empty for none");
  add("--store", flags.store, "Address of the store");
  add("--ready-path", flags.ready_path, "Path of the readiness check");
  AddLogFlags(app, flags);
  add("--retry-ratio", flags.retry_ratio,
      "Retries at a service, as a fraction of the requests for it");
  add("--retry-slack", flags.retry_slack,
      "Retries at a service beyond that, of all routers together");
  add("--retry-window-s", flags.retry_window_s,
      "Span in seconds over which retries are counted");
  add("--cold-overage", flags.cold_overage,
      "Requests a second to a cold target, as a multiple of its service's "
      "rate");
  add("--cold-slack", flags.cold_slack,
      "Requests to a cold target beyond that, in any second");
  add("--unproven-share", flags.unproven_share,
      "Fraction of a service's requests that an unproven version may get");
  add("--drain-s", flags.drain_s,
      "Seconds from SIGTERM until the process is killed");
  add("--baseline-s", flags.baseline_s,
      "Seconds of a budget's spending that all routers keep granted");
  add("--standing-share", flags.standing_share,
      "Largest fraction of a budget's remaining tokens kept so; also the "
      "fraction until its rate of spending is known");
  add("--small-fleet", flags.small_fleet,
      "Largest fleet in which every router keeps grants of the budgets");
  add("--holders-per-hall", flags.holders_per_hall,
      "Routers of each hall that keep grants in a larger fleet");
  add("--regions", flags.regions,
      "The region of each hall, as hall=region,hall=region");
  add("--link-mbps", flags.link_mbps,
      "Megabits a second of this VM's network link; 0 if unknown");
  add("--cores", flags.cores,
      "Processors of this VM, may be a fraction; 0 if unknown");
  add("--memory-mb", flags.memory_mb,
      "Megabytes of memory of this VM; callers together hold at most a third");
  add("--max-descriptors", flags.max_descriptors,
      "Descriptors of this process; callers together have at most five "
      "eighths");
  add("--cover-s", flags.cover_s,
      "Seconds of its own spending that a router keeps granted at least");
  add("--scarce-horizon-s", flags.scarce_horizon_s,
      "Seconds of the more urgent demand that less urgent requests leave of a "
      "scarce budget; 0 to serve regardless of urgency");
  AddCheckFlag(app, flags);
}

std::vector<SettingFault> CheckRelaySettings(const RelayFlags& flags,
                                             RelaySettings& out) {
  SettingChecker check;
  CheckIdentity(flags, check);
  if (!flags.metrics_listen.empty()) {
    check.Listen("--metrics-listen", flags.metrics_listen);
  }
  check.Listen("--store", flags.store);
  if (!flags.ready_path.starts_with('/')) {
    check.Add("--ready-path", flags.ready_path, "a path");
  }
  check.Range("--retry-ratio", flags.retry_ratio, 0.0, 10.0);
  check.Range("--retry-slack", flags.retry_slack, 0.0, 1e6);
  check.Range("--retry-window-s", flags.retry_window_s, 1, 3600);
  check.Range("--cold-overage", flags.cold_overage, 0.0, 1000.0);
  check.Range("--cold-slack", flags.cold_slack, 0.0, 1e6);
  check.Range("--unproven-share", flags.unproven_share, 0.0, 1.0);
  check.Range("--drain-s", flags.drain_s, 1, 24 * 3600);
  check.Range("--baseline-s", flags.baseline_s, 0, 86400);
  check.Range("--standing-share", flags.standing_share, 0.01, 0.9);
  check.Range("--small-fleet", flags.small_fleet, 0, 1000);
  check.Range("--holders-per-hall", flags.holders_per_hall, 1, 100);
  if (!HallRegions::Parse(flags.regions)) {
    check.Add("--regions", flags.regions, "hall=region,hall=region");
  }
  check.Range("--link-mbps", flags.link_mbps, 0.0, 1e6);
  check.Range("--cores", flags.cores, 0.0, 4096.0);
  check.Range("--memory-mb", flags.memory_mb, 16.0, 1e6);
  check.Range("--max-descriptors", flags.max_descriptors, 300, 1 << 20);
  check.Range("--cover-s", flags.cover_s, 0, 600);
  check.Range("--scarce-horizon-s", flags.scarce_horizon_s, 0, 600);
  static_cast<RelayValues&>(out) = flags;
  static_cast<LogSettings&>(out) = CheckLog(flags, check);
  out.retry_window = std::chrono::seconds(flags.retry_window_s);
  out.drain_time = std::chrono::seconds(flags.drain_s);
  out.cover = std::chrono::seconds(flags.cover_s);
  out.scarce_horizon = std::chrono::seconds(flags.scarce_horizon_s);
  return check.Take();
}

}  // namespace quaytrack
