// `quaytrack relay`: runs the relay, the router on the platform's interface.

#include <CLI/CLI.hpp>
#include <csignal>
#include <memory>

#include "base/clock.h"
#include "base/log.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/run_process.h"
#include "cli/serve_relay.h"
#include "http/target_connection.h"
#include "net/loop.h"
#include "platform/dialects.h"
#include "platform/platform_store.h"
#include "relay/relay_router.h"

namespace quaytrack {
namespace {

constexpr char kExample[] =
    "Example:\n"
    "  QUAYTRACK_STORE=10.0.0.5:8223 quaytrack relay --vm vm-1 --hall bkk-a "
    "\\\n"
    "      --listen 10.0.0.7:8080 --admin-listen 10.0.0.7:8081\n";

}  // namespace

int ServeRelay(const RelaySettings& settings, const RelayCharts& charts,
               const Dialer& dial_target) {
  const SystemClock clock;
  const platform::PlatformCallers callers;
  const platform::PlatformTargets targets;
  const platform::PlatformState state;
  Loop loop;
  TargetConnections connections(loop, clock, dial_target);
  platform::PlatformStore store(loop, connections, {settings.store});
  RelayRouter router(loop, clock, settings, {callers, targets, state},
                     connections, store, charts);
  if (!router.Listen()) return kExitRefused;
  for (int it : {SIGTERM, SIGINT}) {
    loop.OnSignal(it, [&] { router.StartPlannedStop(); });
  }
  // SIGHUP is only logged: settings can't change while the process runs.
  loop.OnSignal(SIGHUP, [] { LogEvent(Event::kReloadAsked, {}); });
  router.Start();
  loop.Run();
  return kExitOk;
}

void AddRelayCommand(CLI::App& app, int& exit_code) {
  CLI::App* command = app.add_subcommand(
      "relay", "Run the relay, the router on the platform's interface");
  command->footer(kExample);
  auto flags = std::make_shared<RelayFlags>();
  AddRelayFlags(*command, *flags);
  command->callback([flags, &exit_code] {
    exit_code = RunProcess<RelaySettings>(
        *flags, CheckRelaySettings, BindRelayCharts,
        [](const RelaySettings& settings, const RelayCharts& charts) {
          return ServeRelay(settings, charts, TcpSocket::Connect);
        });
  });
}

}  // namespace quaytrack
