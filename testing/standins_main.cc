// All stand-ins as commands of one program: first those that `quaytrack router`
// calls, then those of the platform's interface.

#include <CLI/CLI.hpp>

#include "base/log.h"
#include "platform/testing/standins.h"
#include "testing/standins.h"

int main(int argc, char** argv) {
  using quaytrack::EngineFlags;
  using quaytrack::StandinFlags;
  CLI::App app("Stand-ins for tests and demos.", "quaytrack_standins");
  app.require_subcommand(1);
  quaytrack::SetUpLog(quaytrack::LogFormat::kText, quaytrack::LogLevel::kWarn);
  StandinFlags flags;
  EngineFlags engine;
  quaytrack::KvLimits limits;
  quaytrack::platform::TargetFlags target;
  std::string name = "service";
  std::string upstream;
  int lag_ms = 500;
  int code = 0;
  const auto add = [&](const char* command, auto run) {
    CLI::App* it = app.add_subcommand(command);
    it->add_option("--listen", flags.listen);
    it->add_option("--admin", flags.admin);
    it->callback([&code, run] { code = run(); });
    return it;
  };
  CLI::App* it =
      add("kv", [&] { return quaytrack::RunKvStandin(flags, limits); });
  it->add_option("--writes-per-second", limits.writes_per_second);
  it->add_option("--reads-per-second", limits.reads_per_second);
  it =
      add("engine", [&] { return quaytrack::RunEngineStandin(flags, engine); });
  it->add_option("--name", engine.name);
  it->add_option("--slots", engine.slots);
  it->add_option("--step-ms", engine.step_ms);
  it->add_option("--prefill-us", engine.prefill_us_per_token);
  it->add_option("--cache", engine.cache_prefixes);
  it->add_option("--token-bytes", engine.token_bytes);
  it =
      add("service", [&] { return quaytrack::RunServiceStandin(flags, name); });
  it->add_option("--name", name);
  it = add("vm_list",
           [&] { return quaytrack::RunVmListStandin(flags, lag_ms); });
  it->add_option("--lag-ms", lag_ms);
  it = add("fault_proxy",
           [&] { return quaytrack::RunFaultProxy(flags, upstream); });
  it->add_option("--upstream", upstream)->required();
  add("store", [&] { return quaytrack::platform::RunStoreStandin(flags); });
  it = add("target", [&] {
    return quaytrack::platform::RunTargetStandin(flags, target);
  });
  it->add_option("--name", target.name);
  it->add_flag("--engine", target.engine);
  it->add_option("--step-ms", target.step_ms);
  CLI11_PARSE(app, argc, argv);
  return code;
}
