// Starts a fleet in the foreground until SIGTERM; see tools/fleet.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "testing/router_fleet.h"

namespace {

volatile std::sig_atomic_t g_stop = 0;

void OnStop(int) { g_stop = 1; }

// Writes a temporary file and renames it, so that a reader never sees a part of
// it.
void WriteAtomically(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".part";
  std::ofstream(temporary) << text << "\n";
  std::rename(temporary.c_str(), path.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  using quaytrack::RouterFleet;
  CLI::App app("Starts a local fleet until SIGTERM.", "tools/fleet");
  quaytrack::RouterFleetSpec spec;
  bool standins_only = false;
  bool restart = false;
  app.add_option("--routers", spec.routers, "Routers to start")
      ->check(CLI::Range(0, 100));
  app.add_option("--engines", spec.engines)->check(CLI::Range(1, 50));
  app.add_option("--services", spec.services)->check(CLI::Range(1, 50));
  app.add_option("--engine-step-ms", spec.engine_step_ms);
  app.add_option("--engine-slots", spec.engine_slots);
  app.add_option("--dir", spec.directory, "Folder for fleet.json and logs")
      ->required();
  app.add_flag("--standins-only", standins_only, "Start no router");
  app.add_flag("--proxy-kv", spec.proxy_kv,
               "A fault proxy between each router and the key-value service");
  app.add_flag("--proxy-targets", spec.proxy_targets,
               "A fault proxy before each target");
  app.add_flag("--restart", restart, "Restart routers that have ended");
  app.add_option("--router-flag", spec.router_flags,
                 "Passed on to each router");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGTERM, OnStop);
  std::signal(SIGINT, OnStop);
  if (standins_only) spec.routers = 0;
  RouterFleet fleet(spec);
  if (!fleet.Start()) return 1;
  const std::string file = spec.directory + "/fleet.json";
  WriteAtomically(file, fleet.ReadyJson());
  constexpr auto kForever = std::chrono::hours(24 * 365);
  fleet.WaitFor(
      [&] {
        fleet.Reap();
        for (int n = 1; restart && n <= spec.routers; ++n) {
          if (fleet.Process(RouterFleet::RouterName(n)).alive) continue;
          if (fleet.StartRouter(n)) WriteAtomically(file, fleet.ReadyJson());
        }
        return g_stop != 0;
      },
      kForever);
  return 0;
}
