#include "router/service_job.h"

namespace quaytrack {

HttpRequest ServiceJob::Request(const std::string& address) {
  HttpRequest out;
  out.address = address;
  out.method = call_.method;
  out.path = call_.path;
  if (!call_.content_type.empty()) {
    out.headers.push_back({"Content-Type", call_.content_type});
  }
  out.body = call_.body;
  return out;
}

AnswerKind ServiceJob::Classify(const HttpResult& result) {
  if (result.end != HttpEnd::kComplete) return AnswerKind::kFailed;
  if (const auto refusal = ClassifyRefusal(result)) return *refusal;
  // A server error leaves unknown whether the call ran.
  if (result.status >= 500) return AnswerKind::kFailed;
  answer_ = result;
  return AnswerKind::kComplete;
}

void ServiceJob::Deliver(HttpExchange& exchange) {
  HttpReply reply;
  reply.status = answer_.status;
  reply.content_type = answer_.content_type;
  reply.body = answer_.body;
  exchange.Reply(reply);
}

StoredAnswer ServiceJob::AnswerToStore() const {
  StoredAnswer out;
  out.status = answer_.status;
  out.content_type = answer_.content_type;
  out.too_large = answer_.body.size() > kMaxStoredAnswerBytes;
  if (!out.too_large) out.body = answer_.body;
  return out;
}

}  // namespace quaytrack
