// `quaytrack router`: runs the router process.

#include <CLI/CLI.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <cstdio>
#include <memory>

#include "base/clock.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "net/loop.h"
#include "router/charts.h"
#include "router/router.h"
#include "router/settings.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

constexpr char kExample[] =
    "Example:\n"
    "  QUAYTRACK_KV=10.0.0.5:2379 quaytrack router --vm vm-1 --hall bkk-1 \\\n"
    "      --listen 10.0.0.7:8080 --admin-listen 10.0.0.7:8081 \\\n"
    "      --vm-list 10.0.0.6:80 --operator-key ann=KEY --operator-key "
    "ben=KEY\n";

int Serve(const RouterSettings& settings, const RouterCharts& charts) {
  const SystemClock clock;
  Loop loop;
  Router router(loop, clock, settings, charts);
  if (!router.Listen()) return kExitRefused;
  for (int it : {SIGTERM, SIGINT}) {
    loop.OnSignal(it, [&] { router.Drain(); });
  }
  loop.Run();
  return router.exit_code();
}

leaf::result<int> BindChartsAndServe(const RouterSettings& settings) {
  BOOST_LEAF_AUTO(charts, BindRouterCharts());
  return Serve(settings, charts);
}

int RunRouter(const RouterFlags& flags) {
  RouterSettings settings;
  const auto faults = CheckSettings(flags, settings);
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
      [&] { return BindChartsAndServe(settings); },
      [](const ChartError& it) {
        std::fprintf(stderr, "a state chart %s: %s\n",
                     std::string(NameOf(it.fault)).c_str(), it.detail.c_str());
        return static_cast<int>(kExitRefused);
      },
      [] { return static_cast<int>(kExitRefused); });
}

}  // namespace

void AddRouterCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("router", "Run the router");
  command->footer(kExample);
  auto flags = std::make_shared<RouterFlags>();
  AddRouterFlags(*command, *flags);
  command->callback([flags, &exit_code] { exit_code = RunRouter(*flags); });
}

}  // namespace quaytrack
