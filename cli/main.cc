// The quaytrack binary.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "cli/commands.h"
#include "cli/exit_codes.h"

namespace {

constexpr char kVersion[] = "quaytrack 0.1.0";

constexpr char kExamples[] =
    "Examples:\n"
    "  quaytrack router --vm vm-1 --hall bkk-1 --kv 10.0.0.5:2379 \\\n"
    "      --operator-key ann=KEY --operator-key ben=KEY\n"
    "  quaytrack bundle check site.bundle\n"
    "  quaytrack budget show --kv 10.0.0.5:2379\n"
    "  quaytrack status --admin 10.0.0.7:8081\n";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A router fleet for prepaid token budgets.", "quaytrack");
  app.require_subcommand(1);
  app.footer(kExamples);
  int exit_code = quaytrack::kExitOk;
  quaytrack::CommonFlags common;
  quaytrack::AddRouterCommand(app, exit_code);
  quaytrack::AddRelayCommand(app, exit_code);
  quaytrack::AddExplainCommand(app, exit_code);
  quaytrack::AddBundleCommands(app, common, exit_code);
  quaytrack::AddBudgetCommands(app, common, exit_code);
  quaytrack::AddBillsCommand(app, common, exit_code);
  quaytrack::AddFleetCommands(app, exit_code);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("%s\n", kVersion);
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    const int code = app.exit(ex);
    return code == 0 ? quaytrack::kExitOk : quaytrack::kExitRefused;
  }
  return exit_code;
}
