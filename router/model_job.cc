#include "router/model_job.h"

#include <event2/buffer.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

// Average prompt bytes per token; used when the engine reported no usage.
constexpr std::int64_t kBytesPerToken = 4;

const char* PathOf(ModelCallKind kind) {
  return kind == ModelCallKind::kChat ? "/v1/chat/completions"
                                      : "/v1/completions";
}

}  // namespace

ModelJob::ModelJob(ModelCall call, ModelSetting prices)
    : call_(std::move(call)),
      prices_(std::move(prices)),
      relay_(call_.include_usage),
      out_(evbuffer_new(), evbuffer_free) {}

HttpRequest ModelJob::Request(const std::string& address) {
  HttpRequest out;
  out.address = address;
  out.method = "POST";
  out.path = PathOf(call_.kind);
  out.headers = {{"Content-Type", "application/json"}};
  out.body = call_.engine_body;
  return out;
}

void ModelJob::Begin(HttpExchange& exchange) {
  exchange.StartStream(200, "text/event-stream",
                       {{"Cache-Control", "no-cache"}});
}

int ModelJob::Relay(evbuffer* data, HttpExchange& exchange) {
  const int events = relay_.Feed(data, out_.get());
  if (evbuffer_get_length(out_.get()) > 0) exchange.Write(out_.get());
  return events;
}

AnswerKind ModelJob::Classify(const HttpResult& result) {
  if (result.end != HttpEnd::kComplete) return AnswerKind::kFailed;
  if (const auto refusal = ClassifyRefusal(result)) return *refusal;
  if (result.status >= 400 && result.status < 500) return AnswerKind::kRejected;
  if (result.status != 200) return AnswerKind::kFailed;
  if (call_.stream) {
    usage_ = relay_.usage();
    return relay_.done() ? AnswerKind::kComplete : AnswerKind::kFailed;
  }
  answer_ = result;
  usage_ = UsageFromJson(result.body);
  return result.body.empty() ? AnswerKind::kFailed : AnswerKind::kComplete;
}

Tokens ModelJob::PriceOf(const Usage& usage) const {
  return usage.prompt * prices_.price_prompt +
         usage.output * prices_.price_output;
}

Usage ModelJob::Estimate() const {
  return {call_.prompt_bytes / kBytesPerToken, relay_.events()};
}

Tokens ModelJob::Cost() const {
  if (usage_) return PriceOf(*usage_);
  // A complete answer without a usage report is billed at its worst case, as
  // a lower amount could let spending exceed the budget unnoticed.
  LogEvent(Event::kUsageMissing, {{"model", call_.model.value}});
  return call_.WorstCase(prices_);
}

Tokens ModelJob::CostIfIncomplete() const {
  return PriceOf(usage_ ? *usage_ : Estimate());
}

void ModelJob::Deliver(HttpExchange& exchange) {
  if (call_.stream) {
    exchange.Write(relay_.tail());
    exchange.EndStream();
    return;
  }
  HttpReply reply;
  reply.status = answer_.status;
  reply.content_type = answer_.content_type;
  reply.body = std::move(answer_.body);
  exchange.Reply(reply);
}

HttpRequest ModelJob::CancelRequest(const std::string& address,
                                    const RequestId& request) const {
  HttpRequest out;
  out.address = address;
  out.method = "POST";
  out.path = "/v1/requests/" + request.value + "/cancel";
  return out;
}

void ModelJob::OnCancelled(const HttpResult& result) {
  if (result.ok()) usage_ = UsageFromJson(result.body);
}

Intent ModelJob::MakeIntent(const std::string& address, Bill worst_case) const {
  return {std::move(worst_case), address, prices_.price_prompt,
          prices_.price_output};
}

}  // namespace quaytrack
