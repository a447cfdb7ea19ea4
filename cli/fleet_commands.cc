// `quaytrack status` and `quaytrack drain`: call one router's admin address.

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

int CallAdmin(const std::string& admin, const std::string& method,
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

void AddFleetCommands(CLI::App& app, int& exit_code) {
  auto admin = std::make_shared<std::string>();
  const auto add = [&](const std::string& name, const char* help,
                       const char* method) {
    CLI::App* it = app.add_subcommand(name, help);
    it->footer("Example:\n  quaytrack " + name + " --admin 10.0.0.7:8081\n");
    it->add_option("--admin", *admin, "Admin address of the router")
        ->envname("QUAYTRACK_ADMIN")
        ->required();
    it->callback(
        [=, &exit_code] { exit_code = CallAdmin(*admin, method, "/" + name); });
  };
  add("status", "Show a router's state", "GET");
  add("drain", "Stop a router once its requests have ended", "POST");
}

}  // namespace quaytrack
