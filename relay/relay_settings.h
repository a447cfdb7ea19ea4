// Settings of `quaytrack relay`.
//
// What both programs have (identity, addresses, log) is in
// net/process_settings.h; this adds the relay's own. RelayFlags is what was
// given, RelaySettings what the relay works with; they share RelayValues, which
// is the same in both. Settings are checked as a whole before anything starts,
// and every fault is reported with the flag, the value given and what is
// allowed. Nothing changes while the process runs.
//
//   RelayFlags flags;
//   AddRelayFlags(app, flags);
//   ...
//   RelaySettings settings;
//   for (const SettingFault& it : CheckRelaySettings(flags, settings)) ...
//
// A default is for a process that is started by hand. deploy/system.toml sets
// the addresses, the retry bounds, the link and the time to stop from what the
// platform says.

#ifndef QUAYTRACK_RELAY_RELAY_SETTINGS_H_
#define QUAYTRACK_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/process_settings.h"

namespace quaytrack {

struct RelayValues : ProcessIdentity {
  // Empty for none.
  std::string metrics_listen;
  std::string store;
  std::string ready_path = "/readyz";
  // Retries at a service: this part of the requests for it, and this many more
  // of all routers together (dispatch/retry_share.h). Not measured; the
  // platform gives both.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  // All routers together may send a cold target so many times what its service
  // says that it bears, and so many requests more, in any second
  // (dispatch/shared_rate.h). The defaults allow nothing beyond that; the
  // platform gives both.
  double cold_overage = 1;
  double cold_slack = 0;
  // Part of a service's requests that a bad version may get of all routers
  // together, while operators move the service to it.
  double exposure_share = 0.1;
  // Part of what remains of a budget that all routers together keep granted.
  // Chosen by the runs in docs/design/prepaid.md, "Measured".
  double standing_share = 0.3;
  // Up to so many routers, each keeps budgets; beyond, so many of each hall
  // (fleet/fleet.h). Twelve is not measured; three and two a hall were compared
  // in docs/design/prepaid.md, "Large fleets".
  int small_fleet = 12;
  int holders_per_hall = 3;
  // The region of each hall (fleet/hall_regions.h).
  std::string regions;
  // What the VM has: megabits a second of its network link, and its share of a
  // processor; 0 if it isn't known.
  double link_mbps = 0;
  double cores = 0;
};

// As given, before they are checked.
struct RelayFlags : RelayValues, LogFlags {
  // Not measured; the platform gives it.
  int retry_window_s = 10;
  // Not measured; the platform gives it.
  int drain_s = 8;
  // Chosen by the runs in docs/design/prepaid.md, "Headroom".
  int cover_s = 5;
};

struct RelaySettings : RelayValues, LogSettings {
  std::chrono::seconds retry_window{};
  // From SIGTERM until the process is killed.
  std::chrono::seconds drain_time{};
  // Of its own spending that a router keeps granted.
  std::chrono::seconds cover{};
};

void AddRelayFlags(CLI::App& app, RelayFlags& flags);

// Fills `out` and returns no faults, or returns them all.
std::vector<SettingFault> CheckRelaySettings(const RelayFlags& flags,
                                             RelaySettings& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_SETTINGS_H_
