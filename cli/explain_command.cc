// `quaytrack explain`: prints the lines of one request from the routers' logs.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/explain.h"

namespace quaytrack {
namespace {

constexpr char kExample[] =
    "Example:\n"
    "  quaytrack explain --request 9c41d07be2a35f68 router-*.log\n"
    "  journalctl -u quaytrack | quaytrack explain --request 9c41d07b -\n";

struct ExplainFlags {
  std::string request;
  std::vector<std::string> files;
};

void AddAll(std::istream& in, const std::string& source,
            RequestTimeline& timeline) {
  for (std::string line; std::getline(in, line);) timeline.Add(source, line);
}

int Explain(const ExplainFlags& flags) {
  RequestTimeline timeline(flags.request);
  for (const std::string& it : flags.files) {
    if (it == "-") {
      AddAll(std::cin, "stdin", timeline);
      continue;
    }
    std::ifstream in(it);
    if (!in) {
      std::fprintf(stderr, "FILES: '%s' can't be read\n", it.c_str());
      return kExitRefused;
    }
    AddAll(in, it, timeline);
  }
  if (timeline.unreadable() > 0) {
    std::fprintf(stderr, "%zu lines are not log lines\n",
                 timeline.unreadable());
  }
  if (timeline.empty()) {
    std::fprintf(stderr, "no line about request '%s'\n", flags.request.c_str());
    return kExitDifference;
  }
  std::fputs(timeline.Text().c_str(), stdout);
  return kExitOk;
}

}  // namespace

void AddExplainCommand(CLI::App& app, int& exit_code) {
  CLI::App* command =
      app.add_subcommand("explain", "Show the log lines about a request");
  command->footer(kExample);
  auto flags = std::make_shared<ExplainFlags>();
  command
      ->add_option("--request", flags->request,
                   "Id or fingerprint of the request")
      ->required();
  command
      ->add_option("FILES", flags->files, "Log files, or - for standard input")
      ->required();
  command->callback([flags, &exit_code] { exit_code = Explain(*flags); });
}

}  // namespace quaytrack
