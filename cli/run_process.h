// RunProcess checks settings and runs a process, for the commands `router` and
// `relay`.
//
//   exit_code = RunProcess<RelaySettings>(flags, CheckRelaySettings,
//                                         BindDrainChart, Serve);
//
// All settings are checked, and every fault is printed to standard error. With
// --check-settings the command ends there. Otherwise the log is set
// up, the state charts are bound, and `serve` runs until the process ends. The
// exit code is that of `serve`, or kExitRefused for faulty settings or a chart
// that the code can't interpret.

#ifndef QUAYTRACK_CLI_RUN_PROCESS_H_
#define QUAYTRACK_CLI_RUN_PROCESS_H_

#include <boost/leaf.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "base/log.h"
#include "chart/chart.h"
#include "cli/exit_codes.h"
#include "net/setting_check.h"

namespace quaytrack {

// `check(flags, settings)` fills the settings or returns their faults; `bind()`
// returns the program's charts, or which of them is wrong; `serve(settings,
// charts)` returns the exit code.
template <class Settings, class Flags, class Check, class Bind, class Serve>
int RunProcess(const Flags& flags, Check check, Bind bind, Serve serve) {
  namespace leaf = boost::leaf;
  Settings settings;
  const std::vector<SettingFault> faults = check(flags, settings);
  for (const SettingFault& it : faults) {
    std::fprintf(stderr, "%s\n", it.ToString().c_str());
  }
  if (!faults.empty()) return kExitRefused;
  if (flags.check_only) {
    std::printf("settings are fine\n");
    return kExitOk;
  }
  SetUpLog(settings.log_format, settings.log_level);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(charts, bind());
        return serve(settings, charts);
      },
      [](const ChartError& it) {
        std::fprintf(stderr, "a state chart %s: %s\n",
                     std::string(NameOf(it.fault)).c_str(), it.detail.c_str());
        return static_cast<int>(kExitRefused);
      },
      [] {
        std::fprintf(stderr, "the state charts can't be bound\n");
        return static_cast<int>(kExitRefused);
      });
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_RUN_PROCESS_H_
