#include "etcd/etcd_client.h"

#include <event2/buffer.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "etcd/etcd_json.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// A watch without events receives no data and must not time out.
constexpr Duration kWatchIdleTimeout = std::chrono::hours(1);

EtcdEnd EndOf(const HttpResult& result) {
  switch (result.end) {
    case HttpEnd::kComplete:
      // A 5xx may come from a proxy although the write took effect.
      if (result.status == 200) return EtcdEnd::kOk;
      return result.status >= 500 ? EtcdEnd::kUnknown : EtcdEnd::kRefused;
    case HttpEnd::kNotSent:
      return EtcdEnd::kRefused;
    case HttpEnd::kBroken:
    case HttpEnd::kTimedOut:
      return EtcdEnd::kUnknown;
  }
  return EtcdEnd::kUnknown;
}

}  // namespace

struct EtcdClient::Watch::State {
  WatchHandlers handlers;
  std::shared_ptr<HttpCall> call;
  std::string partial;
  bool stopped = false;

  // Handles and removes the complete lines in `partial`; returns false if the
  // watch has ended.
  bool HandleLines() {
    std::size_t end = 0;
    while (!stopped && (end = partial.find('\n')) != std::string::npos) {
      const std::string line = partial.substr(0, end);
      partial.erase(0, end + 1);
      const auto reply = WatchReplyFromJson(line);
      if (!reply || reply->cancelled) return false;
      if (!reply->events.empty()) {
        handlers.events(reply->revision, reply->events);
      }
    }
    return true;
  }
};

EtcdClient::Watch::~Watch() {
  if (!state_) return;
  state_->stopped = true;
  if (state_->call) state_->call->Cancel();
}

EtcdClient::EtcdClient(Loop& loop, HttpClient& http, Options options)
    : loop_(loop), http_(http), options_(std::move(options)) {}

const std::string& EtcdClient::Endpoint() const {
  return options_.endpoints[endpoint_index_ % options_.endpoints.size()];
}

void EtcdClient::Post(const std::string& path, std::string body,
                      ReplyHandler handler) {
  ++calls_;
  HttpRequest request;
  request.address = Endpoint();
  request.method = "POST";
  request.path = path;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  request.idle_timeout = options_.timeout;
  HttpCall::Handlers on;
  on.end = [this, handler = std::move(handler)](const HttpResult& result) {
    const EtcdEnd end = EndOf(result);
    const bool no_answer = result.end != HttpEnd::kComplete;
    if (no_answer) ++endpoint_index_;
    handler(end, result.body);
  };
  http_.Start(std::move(request), std::move(on));
}

void EtcdClient::Txn(const EtcdTxn& txn, TxnHandler handler) {
  Post("/v3/kv/txn", TxnToJson(txn),
       [handler = std::move(handler)](EtcdEnd end, const std::string& body) {
         EtcdTxnReply out;
         if (end == EtcdEnd::kOk) {
           auto parsed = TxnReplyFromJson(body);
           if (parsed) out = std::move(*parsed);
           end = parsed ? EtcdEnd::kOk : EtcdEnd::kUnknown;
         }
         out.end = end;
         handler(out);
       });
}

void EtcdClient::LeaseCall(const std::string& path, std::string body,
                           LeaseHandler handler) {
  Post(path, std::move(body),
       [handler = std::move(handler)](EtcdEnd end, const std::string& text) {
         EtcdLeaseReply out;
         if (end == EtcdEnd::kOk) {
           auto parsed = LeaseReplyFromJson(text);
           if (parsed) out = *parsed;
           end = parsed ? EtcdEnd::kOk : EtcdEnd::kUnknown;
         }
         out.end = end;
         handler(out);
       });
}

void EtcdClient::GrantLease(std::int64_t ttl_seconds, LeaseHandler handler) {
  LeaseCall("/v3/lease/grant",
            Json{{"TTL", std::to_string(ttl_seconds)}}.dump(),
            std::move(handler));
}

void EtcdClient::KeepAlive(std::int64_t lease, LeaseHandler handler) {
  LeaseCall("/v3/lease/keepalive", Json{{"ID", std::to_string(lease)}}.dump(),
            std::move(handler));
}

void EtcdClient::RevokeLease(std::int64_t lease,
                             std::function<void(EtcdEnd)> handler) {
  Post("/v3/lease/revoke", Json{{"ID", std::to_string(lease)}}.dump(),
       [handler = std::move(handler)](EtcdEnd end, const std::string&) {
         handler(end);
       });
}

std::unique_ptr<EtcdClient::Watch> EtcdClient::StartWatch(
    const std::string& prefix, std::int64_t revision, WatchHandlers handlers) {
  ++calls_;
  auto state = std::make_shared<Watch::State>();
  state->handlers = std::move(handlers);
  HttpRequest request;
  request.address = Endpoint();
  request.method = "POST";
  request.path = "/v3/watch";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = WatchToJson(prefix, revision);
  request.idle_timeout = kWatchIdleTimeout;
  request.fresh_connection = true;
  HttpCall::Handlers on;
  on.data = [state](evbuffer* data) {
    const std::size_t size = evbuffer_get_length(data);
    const std::size_t before = state->partial.size();
    state->partial.resize(before + size);
    evbuffer_remove(data, state->partial.data() + before, size);
    if (state->HandleLines() || state->stopped) return;
    state->call->Cancel();
    state->handlers.broken();
  };
  on.end = [state](const HttpResult&) {
    if (!state->stopped) state->handlers.broken();
  };
  state->call = http_.Start(std::move(request), std::move(on));
  auto out = std::make_unique<Watch>();
  out->state_ = state;
  return out;
}

}  // namespace quaytrack
