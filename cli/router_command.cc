// `quaytrack router`: runs the router process.

#include <CLI/CLI.hpp>
#include <csignal>
#include <memory>

#include "base/clock.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/run_process.h"
#include "net/loop.h"
#include "router/charts.h"
#include "router/router.h"
#include "router/settings.h"

namespace quaytrack {
namespace {

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

}  // namespace

void AddRouterCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand("router", "Run the router");
  command->footer(kExample);
  auto flags = std::make_shared<RouterFlags>();
  AddRouterFlags(*command, *flags);
  command->callback([flags, &exit_code] {
    exit_code = RunProcess<RouterSettings>(*flags, CheckSettings,
                                           BindRouterCharts, Serve);
  });
}

}  // namespace quaytrack
