// A stand-in for a service that isn't a model engine. It records every call
// that it runs.

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

enum class Mode { kNormal, kRefuse, kRefuseAfterRun, kLose, kHang };

constexpr auto kModes =
    std::to_array<EnumEntry<Mode>>({{Mode::kNormal, "normal"},
                                    {Mode::kRefuse, "refuse"},
                                    {Mode::kRefuseAfterRun, "refuse_after_run"},
                                    {Mode::kLose, "lose"},
                                    {Mode::kHang, "hang"}});

struct Execution {
  std::string request;
  std::string key;
  std::string customer;
  std::string method;
  std::string path;
  std::string body;
  std::int64_t started_ms = 0;
  std::string ended = "running";
};

class ServiceStandin {
 public:
  explicit ServiceStandin(std::string name) : name_(std::move(name)) {
    standin_.OnPath("/executions",
                    [this](const ExchangePtr& it) { Executions(it); });
    standin_.OnControl("mode", [this](const Params& it) {
      SetMode(it, kModes, mode_);
      status_ = it.Number("status", 429);
    });
    standin_.OnControl(
        "delay", [this](const Params& it) { delay_ms_ = it.Number("ms", 0); });
    standin_.OnPrefix("/", [this](const ExchangePtr& it) { Run(it); });
  }

  int Run(const StandinFlags& flags) {
    return standin_.Run(flags.listen, flags.admin);
  }

 private:
  void Run(const ExchangePtr& exchange) {
    if (mode_ == Mode::kRefuse) {
      exchange->Reply({429,
                       "application/json",
                       {{"X-Not-Run", "1"}},
                       R"({"error":"full"})"});
      return;
    }
    auto it = std::make_shared<Execution>();
    it->request = exchange->Header("X-Request-Id").value_or("");
    it->key = exchange->Header("Idempotency-Key").value_or("");
    it->customer = exchange->Header("X-Customer").value_or("");
    it->method = exchange->method();
    it->path = exchange->path();
    it->body = exchange->Body();
    it->started_ms = standin_.clock().WallNow().time_since_epoch().count();
    executions_.push_back(it);
    if (mode_ == Mode::kHang) {
      unanswered_.push_back(exchange);
      return;
    }
    if (mode_ == Mode::kRefuseAfterRun) {
      it->ended = "complete";
      exchange->Reply({status_, "application/json", {}, R"({"error":"busy"})"});
      return;
    }
    if (delay_ms_ == 0) return Finish(exchange, it);
    standin_.Later(delay_ms_, [this, exchange, it] { Finish(exchange, it); });
  }

  void Finish(const ExchangePtr& exchange,
              const std::shared_ptr<Execution>& it) {
    it->ended = "complete";
    if (mode_ == Mode::kLose) {
      exchange->Abort();
      return;
    }
    ReplyJson(exchange, Json{{"service", name_},
                             {"path", it->path},
                             {"run", executions_.size()},
                             {"echo", it->body}}
                            .dump());
  }

  void Executions(const ExchangePtr& exchange) const {
    Json out = Json::array();
    for (const auto& it : executions_) {
      out.push_back({{"request_id", it->request},
                     {"idempotency_key", it->key},
                     {"customer", it->customer},
                     {"method", it->method},
                     {"path", it->path},
                     {"start", it->started_ms},
                     {"tokens", 0},
                     {"ended", it->ended}});
    }
    ReplyJson(exchange, out.dump());
  }

  std::string name_;
  Standin standin_;
  std::vector<std::shared_ptr<Execution>> executions_;
  std::vector<ExchangePtr> unanswered_;
  Mode mode_ = Mode::kNormal;
  int delay_ms_ = 0;
  // Status of an answer that refuses a call which has run.
  int status_ = 429;
};

}  // namespace

int RunServiceStandin(const StandinFlags& flags, const std::string& name) {
  return ServiceStandin(name).Run(flags);
}

}  // namespace quaytrack
