// `quaytrack status` and `quaytrack drain`: asks one router's admin address.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);

int Ask(const std::string& admin, const std::string& method,
        const std::string& path) {
  Loop loop;
  HttpClient http(loop);
  HttpResult answer;
  HttpRequest request;
  request.address = admin;
  request.method = method;
  request.path = path;
  request.idle_timeout = kTimeout;
  HttpCall::Handlers on;
  on.end = [&](const HttpResult& it) {
    answer = it;
    loop.Stop();
  };
  http.Start(std::move(request), std::move(on));
  loop.Run();
  if (answer.end != HttpEnd::kComplete) {
    std::fprintf(stderr, "no answer from %s\n", admin.c_str());
    return kExitUnreachable;
  }
  std::fputs(answer.body.c_str(), stdout);
  return answer.status < 300 ? kExitOk : kExitRefused;
}

}  // namespace

void AddFleetCommands(CLI::App& app, CommonFlags&, int& exit_code) {
  auto admin = std::make_shared<std::string>();
  CLI::App* status = app.add_subcommand("status", "Show a router's state");
  status->footer("Example:\n  quaytrack status --admin 10.0.0.7:8081\n");
  status->add_option("--admin", *admin, "Admin address of the router")
      ->envname("QUAYTRACK_ADMIN")
      ->required();
  status->callback(
      [=, &exit_code] { exit_code = Ask(*admin, "GET", "/status"); });

  CLI::App* drain =
      app.add_subcommand("drain", "Stop a router once its requests have ended");
  drain->footer("Example:\n  quaytrack drain --admin 10.0.0.7:8081\n");
  drain->add_option("--admin", *admin, "Admin address of the router")
      ->envname("QUAYTRACK_ADMIN")
      ->required();
  drain->callback(
      [=, &exit_code] { exit_code = Ask(*admin, "POST", "/drain"); });
}

}  // namespace quaytrack
