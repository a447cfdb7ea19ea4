#include "net/process_settings.h"

#include <cctype>

namespace quaytrack {

std::string EnvironmentName(const std::string& flag) {
  std::string out = "QUAYTRACK_";
  for (const char it : flag.substr(2)) {
    const auto c = static_cast<unsigned char>(it);
    out += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return out;
}

void AddIdentityFlags(CLI::App& app, ProcessIdentity& flags,
                      const std::string& vm_help,
                      const std::string& admin_help) {
  AddSetting(app, "--vm", flags.vm, vm_help);
  AddSetting(app, "--hall", flags.hall, "Data hall of this VM");
  AddSetting(app, "--listen", flags.listen, "Address for callers");
  AddSetting(app, "--admin-listen", flags.admin_listen, admin_help);
  AddSetting(app, "--peer-listen", flags.peer_listen,
             "Address for other routers");
}

void AddLogFlags(CLI::App& app, LogFlags& flags) {
  AddSetting(app, "--log-format", flags.log_format, "text or json");
  AddSetting(app, "--log-level", flags.log_level, "debug, info, warn or error");
}

void AddCheckFlag(CLI::App& app, LogFlags& flags) {
  app.add_flag("--check-settings", flags.check_only,
               "Check the settings and exit");
}

void CheckIdentity(const ProcessIdentity& flags, SettingChecker& check) {
  check.Name("--vm", flags.vm);
  check.Name("--hall", flags.hall);
  check.Listen("--listen", flags.listen);
  check.Listen("--admin-listen", flags.admin_listen);
  check.Listen("--peer-listen", flags.peer_listen);
}

LogSettings CheckLog(const LogFlags& flags, SettingChecker& check) {
  return {check.Choice<LogFormat>("--log-format", flags.log_format),
          check.Choice<LogLevel>("--log-level", flags.log_level)};
}

}  // namespace quaytrack
