// A stand-in for a model engine, with continuous batching, a prefix cache,
// priorities, cancellation, and a load report that lags.

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/digest.h"
#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 512;
constexpr Duration kReportLag = std::chrono::milliseconds(300);
constexpr Duration kMaxStep = std::chrono::milliseconds(50);

enum class Mode { kNormal, kRefuse, kHang, kReset, kGarble, kNoUsage };

constexpr auto kModes =
    std::to_array<EnumEntry<Mode>>({{Mode::kNormal, "normal"},
                                    {Mode::kRefuse, "refuse"},
                                    {Mode::kHang, "hang"},
                                    {Mode::kReset, "reset"},
                                    {Mode::kGarble, "garble"},
                                    {Mode::kNoUsage, "no_usage"}});

// The engine's record of one execution, running or ended.
struct Execution {
  std::string request;
  std::string key;
  std::string customer;
  std::string priority;
  std::int64_t started_ms = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::int64_t max_tokens = 0;
  bool prefix_hit = false;
  std::string ended = "running";
  bool chat = true;
  bool stream = false;
  // Prefix of each token; identifies the prompt that the answer belongs to.
  std::string tag;
  std::string text;
  Instant first_token_at{};
  ExchangePtr exchange;
};

using ExecutionPtr = std::shared_ptr<Execution>;

class EngineStandin {
 public:
  explicit EngineStandin(EngineFlags flags) : flags_(std::move(flags)) {
    standin_.OnPath("/v1/chat/completions",
                    [this](const ExchangePtr& it) { Start(it, true); });
    standin_.OnPath("/v1/completions",
                    [this](const ExchangePtr& it) { Start(it, false); });
    standin_.OnPrefix("/v1/requests/",
                      [this](const ExchangePtr& it) { CancelById(it); });
    standin_.OnPath("/load", [this](const ExchangePtr& it) { Load(it); });
    standin_.OnPath("/executions",
                    [this](const ExchangePtr& it) { Executions(it); });
    standin_.OnControl("mode", [this](const Params& it) {
      break_after_ = it.Number("after", 0);
      SetMode(it, kModes, mode_);
    });
    standin_.OnControl("leaving", [this](const Params&) { leaving_ = true; });
    report_timer_ = standin_.loop().Every(kReportLag, [this] { Report(); });
  }

  int Run(const StandinFlags& flags) {
    return standin_.Run(flags.listen, flags.admin);
  }

 private:
  static std::string PromptOf(const Json& body) {
    if (body.contains("prompt")) return body["prompt"].get<std::string>();
    std::string out;
    for (const Json& it : body["messages"]) {
      const Json& content = it["content"];
      out += content.is_string() ? content.get<std::string>() : content.dump();
    }
    return out;
  }

  void Start(const ExchangePtr& exchange, bool chat) {
    if (mode_ == Mode::kRefuse) {
      exchange->Reply({503,
                       "application/json",
                       {{"X-Not-Run", "1"}},
                       R"({"error":"full"})"});
      return;
    }
    const Json body = Json::parse(exchange->Body(), nullptr, false);
    if (!body.is_object()) {
      exchange->Reply({400, "application/json", {}, R"({"error":"bad"})"});
      return;
    }
    auto it = std::make_shared<Execution>();
    it->request = exchange->Header("X-Request-Id").value_or("");
    it->key = exchange->Header("Idempotency-Key").value_or("");
    it->customer = exchange->Header("X-Customer").value_or("");
    it->priority = exchange->Header("X-Priority").value_or("standard");
    it->started_ms = standin_.clock().WallNow().time_since_epoch().count();
    const std::string prompt = PromptOf(body);
    it->prompt_tokens = static_cast<std::int64_t>(
        (prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
    it->max_tokens = body.value("max_tokens", 16);
    it->stream = body.value("stream", false);
    it->chat = chat;
    it->tag = Sha256Hex(prompt).substr(0, 6);
    it->exchange = exchange;
    it->prefix_hit = TouchPrefix(prompt.substr(0, kPrefixBytes));
    executions_.push_back(it);
    exchange->OnGone([this, weak = std::weak_ptr<Execution>(it)] {
      if (auto gone = weak.lock()) End(gone, "cancelled");
    });
    if (mode_ == Mode::kHang) return;
    queue_.push_back(it);
    Admit();
  }

  // Returns whether the prefix was cached, and caches it; the least recently
  // used one may be evicted.
  bool TouchPrefix(const std::string& prefix) {
    auto it = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = it != cache_.end();
    if (hit) cache_.erase(it);
    cache_.push_front(prefix);
    if (cache_.size() > static_cast<std::size_t>(flags_.cache_prefixes)) {
      cache_.pop_back();
    }
    return hit;
  }

  static int Rank(const std::string& priority) {
    if (priority == "interactive") return 0;
    return priority == "batch" ? 2 : 1;
  }

  void Admit() {
    while (running_.size() < static_cast<std::size_t>(flags_.slots) &&
           !queue_.empty()) {
      auto next =
          std::min_element(queue_.begin(), queue_.end(),
                           [](const ExecutionPtr& a, const ExecutionPtr& b) {
                             return Rank(a->priority) < Rank(b->priority);
                           });
      const ExecutionPtr it = *next;
      queue_.erase(next);
      const double cost = it->prefix_hit ? 0.1 : 1.0;
      const auto prefill = std::chrono::duration<double, std::micro>(
          cost * flags_.prefill_us_per_token *
          static_cast<double>(it->prompt_tokens));
      it->first_token_at =
          standin_.Now() + std::chrono::duration_cast<Duration>(prefill);
      running_.push_back(it);
      if (it->stream) {
        it->exchange->StartStream(200, "text/event-stream", {});
      }
    }
    if (running_.empty() || step_timer_) return;
    const Duration step =
        std::min<Duration>(std::chrono::milliseconds(flags_.step_ms), kMaxStep);
    step_timer_ = standin_.loop().Every(step, [this] { Step(); });
  }

  // Runs one step of the batch: makes a token for each running request.
  void Step() {
    const Instant now = standin_.Now();
    const std::vector<ExecutionPtr> batch(running_.begin(), running_.end());
    for (const ExecutionPtr& it : batch) {
      if (it->ended != "running" || now < it->first_token_at) continue;
      Token(it);
    }
    Admit();
    if (running_.empty()) step_timer_.reset();
  }

  void Token(const ExecutionPtr& it) {
    ++it->output_tokens;
    std::string token = it->tag + "-" + std::to_string(it->output_tokens) + " ";
    const auto padded = static_cast<std::size_t>(flags_.token_bytes);
    if (token.size() < padded) token.resize(padded, 'x');
    it->text += token;
    const bool broken = (mode_ == Mode::kReset || mode_ == Mode::kGarble) &&
                        it->output_tokens > break_after_;
    if (broken && mode_ == Mode::kGarble && it->stream) {
      it->exchange->Write("data: {\"choices\": [garbled\n\n");
    }
    if (broken) {
      const ExchangePtr exchange = it->exchange;
      End(it, "reset");
      exchange->Abort();
      return;
    }
    if (it->stream) it->exchange->Write(TokenEvent(*it, token));
    if (it->output_tokens >= it->max_tokens) Complete(it);
  }

  static Json Choice(const Execution& it, const std::string& text,
                     const char* finish) {
    Json choice = {{"index", 0}};
    if (!it.chat) {
      choice["text"] = text;
    } else if (it.stream) {
      choice["delta"] = {{"content", text}};
    } else {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    choice["finish_reason"] = finish == nullptr ? Json() : Json(finish);
    return choice;
  }

  static std::string TokenEvent(const Execution& it, const std::string& token) {
    const Json event = {{"id", it.request},
                        {"object", "chat.completion.chunk"},
                        {"choices", {Choice(it, token, nullptr)}}};
    return "data: " + event.dump() + "\n\n";
  }

  Json UsageOf(const Execution& it) const {
    return {{"prompt_tokens", it.prompt_tokens},
            {"completion_tokens", it.output_tokens},
            {"total_tokens", it.prompt_tokens + it.output_tokens}};
  }

  void Complete(const ExecutionPtr& it) {
    const ExchangePtr exchange = it->exchange;
    const bool usage = mode_ != Mode::kNoUsage;
    if (it->stream) {
      if (usage) {
        const Json event = {{"id", it->request},
                            {"choices", Json::array()},
                            {"usage", UsageOf(*it)}};
        exchange->Write("data: " + event.dump() + "\n\n");
      }
      exchange->Write("data: [DONE]\n\n");
      End(it, "complete");
      exchange->EndStream();
      return;
    }
    Json answer = {{"id", it->request},
                   {"choices", {Choice(*it, it->text, "length")}}};
    if (usage) answer["usage"] = UsageOf(*it);
    End(it, "complete");
    ReplyJson(exchange, answer.dump());
  }

  void End(const ExecutionPtr& it, const std::string& how) {
    if (it->ended != "running") return;
    it->ended = how;
    it->exchange.reset();
    std::erase(queue_, it);
    std::erase(running_, it);
  }

  // POST /v1/requests/<id>/cancel: ends the request, and returns its usage.
  void CancelById(const ExchangePtr& exchange) {
    const std::string path = exchange->path();
    static const std::string kPrefix = "/v1/requests/";
    const std::string id =
        path.substr(kPrefix.size(), path.rfind('/') - kPrefix.size());
    for (auto it = executions_.rbegin(); it != executions_.rend(); ++it) {
      if ((*it)->request != id) continue;
      End(*it, "cancelled");
      ReplyJson(exchange, Json{{"usage", UsageOf(**it)}}.dump());
      return;
    }
    exchange->Reply({404, "application/json", {}, R"({"error":"unknown"})"});
  }

  // Takes the snapshot that `Load` returns until the next tick of the timer.
  void Report() {
    reported_running_ = running_.size();
    reported_queued_ = queue_.size();
  }

  void Load(const ExchangePtr& exchange) {
    ReplyJson(exchange, Json{{"running", reported_running_},
                             {"queued", reported_queued_},
                             {"leaving", leaving_}}
                            .dump());
  }

  void Executions(const ExchangePtr& exchange) {
    Json out = Json::array();
    for (const ExecutionPtr& it : executions_) {
      out.push_back({{"request_id", it->request},
                     {"idempotency_key", it->key},
                     {"customer", it->customer},
                     {"start", it->started_ms},
                     {"prompt_tokens", it->prompt_tokens},
                     {"output_tokens", it->output_tokens},
                     {"tokens", it->prompt_tokens + it->output_tokens},
                     {"prefix_hit", it->prefix_hit},
                     {"ended", it->ended}});
    }
    ReplyJson(exchange, out.dump());
  }

  EngineFlags flags_;
  Standin standin_;
  std::vector<ExecutionPtr> executions_;
  std::deque<ExecutionPtr> queue_;
  std::vector<ExecutionPtr> running_;
  std::list<std::string> cache_;
  std::unique_ptr<Timer> step_timer_;
  std::unique_ptr<Timer> report_timer_;
  std::size_t reported_running_ = 0;
  std::size_t reported_queued_ = 0;
  Mode mode_ = Mode::kNormal;
  int break_after_ = 0;
  bool leaving_ = false;
};

}  // namespace

int RunEngineStandin(const StandinFlags& flags, const EngineFlags& engine) {
  return EngineStandin(engine).Run(flags);
}

}  // namespace quaytrack
