// `quaytrack relay` whose links to targets can be cut (testing/faulty_links.h):
//
//   quaytrack_faulty_relay relay --links-file=/tmp/links-1 --vm=vm-1 ...

#include <CLI/CLI.hpp>
#include <csignal>
#include <string>

#include "cli/run_process.h"
#include "cli/serve_relay.h"
#include "testing/faulty_links.h"

int main(int argc, char** argv) {
  using quaytrack::RelayCharts;
  using quaytrack::RelaySettings;
  CLI::App app{"The relay with faulty links"};
  app.require_subcommand(1);
  CLI::App* command = app.add_subcommand("relay", "Run the relay");
  std::string links_file;
  command->add_option("--links-file", links_file)->required();
  quaytrack::RelayFlags flags;
  quaytrack::AddRelayFlags(*command, flags);
  int exit_code = 0;
  const auto serve = [&](const RelaySettings& settings,
                         const RelayCharts& charts) {
    quaytrack::FaultyLinks links(links_file, {settings.store});
    return quaytrack::ServeRelay(settings, charts, links.AsDialer());
  };
  command->callback([&] {
    exit_code = quaytrack::RunProcess<RelaySettings>(
        flags, quaytrack::CheckRelaySettings, quaytrack::BindRelayCharts,
        serve);
  });
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
