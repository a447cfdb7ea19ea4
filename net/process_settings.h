// Settings that the router and the relay share: the identity of the process,
// its addresses, and logging.
//
// A program has one struct for its flags and one for its checked settings; both
// include the structs below for the settings that need no conversion. Each
// setting is a flag and an environment variable named after it (--drain-s and
// QUAYTRACK_DRAIN_S); the flag takes precedence. A program adds its other
// settings with AddSetting and checks all of them together, so that every fault
// is reported at once:
//
//   AddIdentityFlags(app, flags, "Name of this VM", "Address for health");
//   AddSetting(app, "--drain-s", flags.drain_s, "Seconds to finish in");
//   AddLogFlags(app, flags);
//   ...
//   SettingChecker check;
//   CheckIdentity(flags, check);
//   check.Range("--drain-s", flags.drain_s, 1, 3600);
//   static_cast<LogSettings&>(settings) = CheckLog(flags, check);
//   return check.Take();
//
// Relies on CLI11 for the command line and owns no state.

#ifndef QUAYTRACK_NET_PROCESS_SETTINGS_H_
#define QUAYTRACK_NET_PROCESS_SETTINGS_H_

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "base/log.h"
#include "net/setting_check.h"

namespace quaytrack {

// The VM and hall of a process, and its addresses as "IP:PORT". Port 0 binds a
// free port.
struct ProcessIdentity {
  std::string vm;
  std::string hall;
  std::string listen = "127.0.0.1:8080";
  std::string admin_listen = "127.0.0.1:8081";
  std::string peer_listen = "127.0.0.1:8082";
};

// Log settings as given, before they are checked.
struct LogFlags {
  std::string log_format = "text";
  std::string log_level = "info";
  // Whether to check the settings and exit.
  bool check_only = false;
};

struct LogSettings {
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
};

// Returns the environment variable of a flag: "--drain-s" is QUAYTRACK_DRAIN_S.
std::string EnvironmentName(const std::string& flag);

// Adds a setting whose default is shown in the help.
template <class Value>
void AddSetting(CLI::App& app, const std::string& flag, Value& value,
                const std::string& help) {
  app.add_option(flag, value, help)
      ->envname(EnvironmentName(flag))
      ->capture_default_str();
}

// Adds a setting that is a list: its flag is repeated, or its values are
// separated by commas.
inline void AddSetting(CLI::App& app, const std::string& flag,
                       std::vector<std::string>& values,
                       const std::string& help) {
  app.add_option(flag, values, help)
      ->envname(EnvironmentName(flag))
      ->delimiter(',');
}

void AddIdentityFlags(CLI::App& app, ProcessIdentity& flags,
                      const std::string& vm_help,
                      const std::string& admin_help);
void AddLogFlags(CLI::App& app, LogFlags& flags);
void AddCheckFlag(CLI::App& app, LogFlags& flags);

void CheckIdentity(const ProcessIdentity& flags, SettingChecker& check);
LogSettings CheckLog(const LogFlags& flags, SettingChecker& check);

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_PROCESS_SETTINGS_H_
