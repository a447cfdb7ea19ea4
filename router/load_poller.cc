#include "router/load_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace quaytrack {
namespace {

using Json = nlohmann::json;

constexpr Duration kPollEvery = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::seconds(1);
constexpr int kMissedToGiveUp = 2;

}  // namespace

LoadPoller::LoadPoller(Loop& loop, HttpClient& http, const Clock& clock,
                       TargetBook& targets,
                       std::function<void(const TargetName&)> unresponsive)
    : http_(http),
      clock_(clock),
      book_(targets),
      unresponsive_(std::move(unresponsive)),
      timer_(loop.Every(kPollEvery, [this] { PollAll(); })) {}

void LoadPoller::PollAll() {
  for (const Polled& it : targets_) {
    if (open_.insert(it.name).second) Poll(it);
  }
}

void LoadPoller::Poll(const Polled& target) {
  HttpRequest request;
  request.address = target.address;
  request.path = "/load";
  request.idle_timeout = kPollTimeout;
  HttpCall::Handlers on;
  on.end = [this, name = target.name](const HttpResult& result) {
    open_.erase(name);
    if (result.ok()) {
      OnReport(name, result);
    } else {
      OnMissed(name);
    }
  };
  http_.Start(std::move(request), std::move(on));
}

void LoadPoller::OnMissed(const TargetName& name) {
  if (++missed_[name] < kMissedToGiveUp) return;
  book_.SetResponsive(name, false);
  unresponsive_(name);
}

void LoadPoller::OnReport(const TargetName& name, const HttpResult& result) {
  missed_.erase(name);
  book_.SetResponsive(name, true);
  const Json json = Json::parse(result.body, nullptr, false);
  if (!json.is_object()) return;
  const auto count = [&](const char* field) {
    const bool ok = json.contains(field) && json[field].is_number_unsigned();
    return ok ? json[field].get<int>() : 0;
  };
  book_.OnLoadReport(clock_.Now(), name, {count("running"), count("queued")});
  const bool leaving = json.contains("leaving") && json["leaving"] == true;
  book_.SetLeaving(name, LeavingCause::kTarget, leaving);
}

}  // namespace quaytrack
