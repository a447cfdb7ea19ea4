// Settings of `quaytrack relay`.
//
// Settings that both programs have (identity, addresses, log) are in
// net/process_settings.h; this file adds the relay's. RelayFlags holds the
// flags as given, RelaySettings the checked settings; both derive from
// RelayValues, whose fields are the same in each. All settings are checked
// before anything starts, and every fault is reported with the flag, the value
// given and what is allowed. Settings don't change while the process runs.
//
//   RelayFlags flags;
//   AddRelayFlags(app, flags);
//   ...
//   RelaySettings settings;
//   for (const SettingFault& it : CheckRelaySettings(flags, settings)) ...
//
// Defaults are for a process that is started by hand. deploy/system.toml sets
// the addresses, the retry bounds, the link and the time to stop from the
// platform's values.

#ifndef QUAYTRACK_RELAY_RELAY_SETTINGS_H_
#define QUAYTRACK_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/process_settings.h"

namespace quaytrack {

struct RelayValues : ProcessIdentity {
  // Address at which metrics are served; empty to serve none.
  std::string metrics_listen;
  std::string store;
  std::string ready_path = "/readyz";
  // Limit on retries at a service: this fraction of the requests for it, and
  // this many more for all routers together (dispatch/retry_share.h). The
  // platform sets both.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  // All routers together may send a cold target, one that has just started,
  // this multiple of the rate that its service allows, and this many requests
  // more, in any second (dispatch/shared_rate.h). The defaults allow nothing
  // beyond that rate; the platform sets both.
  double cold_overage = 1;
  double cold_slack = 0;
  // Fraction of a service's requests that a bad version may get from all
  // routers together during a roll-out.
  double unproven_share = 0.1;
  // All routers together keep granted what they spend of a budget in this time,
  // in seconds, but at most this fraction of its remaining tokens.
  int baseline_s = 60;
  double standing_share = 0.3;
  // In a fleet of up to `small_fleet` routers, each keeps grants; in a larger
  // one, `holders_per_hall` routers in each hall do (fleet/fleet.h).
  int small_fleet = 12;
  int holders_per_hall = 3;
  // The region of each hall (fleet/hall_regions.h).
  std::string regions;
  // The VM's network link in megabits a second, and its number of processors,
  // which may be a fraction; 0 if unknown.
  double link_mbps = 0;
  double cores = 0;
  // Memory of the VM in megabytes, and the number of descriptors that the
  // process may have. They bound what the connections of callers take together.
  double memory_mb = 110;
  int max_descriptors = 4100;
};

// The flags as given, before they are checked.
struct RelayFlags : RelayValues, LogFlags {
  int retry_window_s = 10;
  int drain_s = 8;
  int cover_s = 5;
  int scarce_horizon_s = 0;
};

struct RelaySettings : RelayValues, LogSettings {
  std::chrono::seconds retry_window{};
  // Time from SIGTERM until the process is killed.
  std::chrono::seconds drain_time{};
  // A router keeps at least what it spends in this time granted.
  std::chrono::seconds cover{};
  // Time over which a prepaid budget is to cover its demand; zero if budgets
  // are served regardless of urgency.
  std::chrono::seconds scarce_horizon{};
};

void AddRelayFlags(CLI::App& app, RelayFlags& flags);

// Fills `out`. Returns all faults, or none.
std::vector<SettingFault> CheckRelaySettings(const RelayFlags& flags,
                                             RelaySettings& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_SETTINGS_H_
