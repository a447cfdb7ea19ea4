#include "router/load_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace quaytrack {
namespace {

using Json = nlohmann::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::seconds(1);
constexpr int kMaxMissedPolls = 2;

}  // namespace

LoadPoller::LoadPoller(Loop& loop, HttpClient& http, const Clock& clock,
                       TargetTable& targets,
                       std::function<void(const TargetName&)> unresponsive)
    : http_(http),
      clock_(clock),
      target_table_(targets),
      on_unresponsive_(std::move(unresponsive)),
      timer_(loop.Every(kPollInterval, [this] { PollAll(); })) {}

void LoadPoller::PollAll() {
  for (const Polled& it : targets_) {
    if (pending_.insert(it.name).second) Poll(it);
  }
}

void LoadPoller::Poll(const Polled& target) {
  HttpRequest request;
  request.address = target.address;
  request.path = "/load";
  request.idle_timeout = kPollTimeout;
  HttpCall::Handlers on;
  on.end = [this, name = target.name](const HttpResult& result) {
    pending_.erase(name);
    if (result.ok()) {
      OnReport(name, result);
    } else {
      OnMissed(name);
    }
  };
  http_.Start(std::move(request), std::move(on));
}

void LoadPoller::OnMissed(const TargetName& name) {
  if (++missed_polls_[name] < kMaxMissedPolls) return;
  target_table_.SetResponsive(name, false);
  on_unresponsive_(name);
}

void LoadPoller::OnReport(const TargetName& name, const HttpResult& result) {
  missed_polls_.erase(name);
  target_table_.SetResponsive(name, true);
  const Json json = Json::parse(result.body, nullptr, false);
  if (!json.is_object()) return;
  const auto count = [&](const char* field) {
    const bool ok = json.contains(field) && json[field].is_number_unsigned();
    return ok ? json[field].get<int>() : 0;
  };
  target_table_.OnLoadReport(clock_.Now(), name,
                             {count("running"), count("queued")});
  const bool leaving = json.contains("leaving") && json["leaving"] == true;
  target_table_.SetLeaving(name, LeavingCause::kTarget, leaving);
}

}  // namespace quaytrack
