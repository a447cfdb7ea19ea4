#include "testing/standin.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace quaytrack {

Params::Params(const std::string& query) {
  std::istringstream in(query);
  for (std::string it; std::getline(in, it, '&');) {
    const std::size_t eq = it.find('=');
    if (eq != std::string::npos) values_[it.substr(0, eq)] = it.substr(eq + 1);
  }
}

std::string Params::Text(const std::string& name) const {
  auto it = values_.find(name);
  return it == values_.end() ? std::string() : it->second;
}

int Params::Number(const std::string& name, int fallback) const {
  const std::string text = Text(name);
  return text.empty() ? fallback : std::atoi(text.c_str());
}

Standin::Standin() : server_(loop_, {64 * 1024 * 1024}) {
  server_.Serve(
      [this](const std::shared_ptr<HttpExchange>& it) { Handle(it); });
  OnPath("/healthz", [](const ExchangePtr& it) {
    it->Reply({200, "text/plain", {}, "ok\n"});
  });
}

void Standin::OnPath(const std::string& path, Handler handler) {
  paths_[path] = std::move(handler);
}

void Standin::OnPrefix(const std::string& prefix, Handler handler) {
  prefixes_[prefix] = std::move(handler);
}

void Standin::OnControl(const std::string& what, const Control& action) {
  OnPath("/control/" + what, [action](const ExchangePtr& it) {
    action(Params(it->query()));
    ReplyJson(it, "{}");
  });
}

void Standin::Later(int ms, std::function<void()> action) {
  const auto at = later_.insert(later_.end(), nullptr);
  *at = loop_.After(std::chrono::milliseconds(ms),
                    [this, at, action = std::move(action)] {
                      later_.erase(at);
                      action();
                    });
}

void Standin::Handle(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  auto exact = paths_.find(path);
  if (exact != paths_.end()) return exact->second(exchange);
  for (const auto& [prefix, handler] : prefixes_) {
    if (path.starts_with(prefix)) return handler(exchange);
  }
  exchange->Reply({404, "text/plain", {}, "nothing here\n"});
}

int Standin::Run(const std::string& listen, const std::string& admin) {
  const std::uint16_t port = server_.Listen(listen);
  const std::uint16_t admin_port = server_.Listen(admin);
  if (port == 0 || admin_port == 0) {
    std::fprintf(stderr, "can't listen on %s or %s\n", listen.c_str(),
                 admin.c_str());
    return 2;
  }
  std::printf("listening 127.0.0.1:%d 127.0.0.1:%d\n", port, admin_port);
  std::fflush(stdout);
  // The kernel sends it to a process group with stopped members when the shell
  // that started the group ends.
  std::signal(SIGHUP, SIG_IGN);
  loop_.OnSignal(SIGTERM, [this] { loop_.Stop(); });
  loop_.OnSignal(SIGINT, [this] { loop_.Stop(); });
  loop_.Run();
  return 0;
}

void ReplyJson(const ExchangePtr& exchange, const std::string& json) {
  exchange->Reply({200, "application/json", {}, json + "\n"});
}

}  // namespace quaytrack
