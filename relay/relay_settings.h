// Settings of `quaytrack relay`.
//
// Each is a flag and an environment variable (--store and QUAYTRACK_STORE).
// They are checked as a whole before anything starts, and every problem is
// reported with the flag, the value given and what is allowed.

#ifndef QUAYTRACK_RELAY_RELAY_SETTINGS_H_
#define QUAYTRACK_RELAY_RELAY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/log.h"
#include "net/setting_check.h"

namespace CLI {
class App;
}

namespace quaytrack {

// As given, before they are checked.
struct RelayFlags {
  std::string vm;
  std::string hall;
  std::string listen = "127.0.0.1:8080";
  std::string admin_listen = "127.0.0.1:8081";
  std::string peer_listen = "127.0.0.1:8082";
  // Empty for none.
  std::string metrics_listen;
  std::string store;
  std::string ready_path = "/readyz";
  std::string log_format = "text";
  std::string log_level = "info";
  double retry_ratio = 0.2;
  double retry_slack = 50;
  int retry_window_s = 10;
  int drain_s = 8;
  double standing_share = 0.3;
  int small_fleet = 12;
  int holders_per_hall = 3;
  double link_mbps = 0;
  int cover_s = 5;
  bool check_only = false;
};

struct RelaySettings {
  std::string vm;
  std::string hall;
  std::string listen;
  std::string admin_listen;
  std::string peer_listen;
  std::string metrics_listen;
  std::string store;
  std::string ready_path;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  double retry_ratio = 0;
  double retry_slack = 0;
  std::chrono::seconds retry_window{};
  // From SIGTERM until the process is killed.
  std::chrono::seconds drain_time{};
  double standing_share = 0.3;
  // See fleet/fleet.h.
  int small_fleet = 12;
  int holders_per_hall = 3;
  // Megabits a second of the VM's network link; 0 if it isn't known.
  double link_mbps = 0;
  // Of its own spending that a router keeps granted.
  std::chrono::seconds cover{};
};

void AddRelayFlags(CLI::App& app, RelayFlags& flags);

// Fills `out` and returns no faults, or returns them all.
std::vector<SettingFault> CheckRelaySettings(const RelayFlags& flags,
                                             RelaySettings& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_SETTINGS_H_
