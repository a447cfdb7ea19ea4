#include "evhttp/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "net/address.h"
#include "net/http_message.h"
#include "net/timeval.h"

namespace quaytrack {
namespace {

// Largest head of an answer, in bytes.
constexpr ev_ssize_t kMaxHeadBytes = 64 * 1024;
// The statuses of errors, with refusals, begin here.
constexpr int kFirstErrorStatus = 400;
// Stands for no limit.
constexpr ev_ssize_t kNoLimit = -1;
constexpr int kContinue = 100;
// Maximum number of interim answers to one request.
constexpr int kMaxInterim = 16;

evhttp_cmd_type MethodOf(const std::string& name) {
  if (name == "POST") return EVHTTP_REQ_POST;
  if (name == "PUT") return EVHTTP_REQ_PUT;
  if (name == "DELETE") return EVHTTP_REQ_DELETE;
  if (name == "PATCH") return EVHTTP_REQ_PATCH;
  if (name == "HEAD") return EVHTTP_REQ_HEAD;
  return EVHTTP_REQ_GET;
}

std::string HeaderOf(evhttp_request* request, const char* name) {
  const char* out =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return out == nullptr ? "" : out;
}

std::vector<HttpHeader> HeadersOf(evhttp_request* request) {
  std::vector<HttpHeader> out;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* it = headers->tqh_first; it; it = it->next.tqe_next)
    out.push_back({it->key, it->value});
  return out;
}

}  // namespace

bool HttpResult::HasHeader(std::string_view name) const {
  return std::any_of(headers.begin(), headers.end(), [&](const HttpHeader& it) {
    return SameHeaderName(it.name, name);
  });
}

// One connection and the state of the request on it.
struct HttpCall::Connection {
  std::string address;
  evhttp_connection* handle = nullptr;
  // Whether a byte of the present request was handed to the kernel.
  bool write_began = false;
  // The call that awaits a status line; null if none does.
  HttpCall* reader = nullptr;
  // Whether the latest status line is one of an answer, final or to be skipped.
  bool is_answer = false;
  // Number of answers to the present request that were skipped.
  int interim = 0;

  ~Connection() {
    if (handle != nullptr) evhttp_connection_free(handle);
  }

  // Whether bytes have arrived after the answer.
  bool HasSurplus() const {
    bufferevent* bev = evhttp_connection_get_bufferevent(handle);
    return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* self) {
    if (info->n_deleted > 0) static_cast<Connection*>(self)->write_began = true;
  }

  static void OnInput(evbuffer* in, const evbuffer_cb_info* info, void* self) {
    if (info->n_added > 0) static_cast<Connection*>(self)->ReadStatus(in);
  }

  // Reads the status line at the start of the buffer once it is complete.
  // evhttp accepts nearly any number as a status, and any reason.
  void ReadStatus(evbuffer* in) {
    if (reader == nullptr) return;
    const evbuffer_ptr end =
        evbuffer_search_eol(in, nullptr, nullptr, EVBUFFER_EOL_CRLF);
    if (end.pos < 0) return;
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_copyout(in, line.data(), line.size());
    const std::optional<int> status = ReadStatusLine(line);
    is_answer =
        status && (*status >= kFirstFinalStatus || *status == kContinue);
    HttpCall& call = *std::exchange(reader, nullptr);
    if (!is_answer) call.BreakLater();
  }
};

std::shared_ptr<HttpCall> HttpClient::Start(HttpRequest request,
                                            HttpCall::Handlers handlers) {
  std::shared_ptr<HttpCall> out(
      new HttpCall(*this, std::move(request), std::move(handlers)));
  out->self_ = out;
  out->Send();
  return out;
}

HttpClient::ConnectionPtr HttpClient::AcquireConnection(
    const HttpRequest& request) {
  auto& idle = idle_connections_[request.address];
  if (!request.fresh_connection && !idle.empty()) {
    auto out = std::move(idle.back());
    idle.pop_back();
    return out;
  }
  const auto at = ParseAddress(request.address);
  if (!at) return nullptr;
  auto out = std::make_shared<HttpCall::Connection>();
  out->address = request.address;
  out->handle = evhttp_connection_base_bufferevent_new(
      loop_.base(), nullptr, nullptr, at->host.c_str(), at->port);
  bufferevent* bev = evhttp_connection_get_bufferevent(out->handle);
  evbuffer_add_cb(bufferevent_get_output(bev), HttpCall::Connection::OnOutput,
                  out.get());
  evbuffer_add_cb(bufferevent_get_input(bev), HttpCall::Connection::OnInput,
                  out.get());
  return out;
}

void HttpClient::ReturnConnection(ConnectionPtr connection) {
  auto& idle = idle_connections_[connection->address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
    return;
  }
  // The connection is freed after the current callback, as evhttp still uses
  // it.
  loop_.Post(
      [connection = std::move(connection)]() mutable { connection.reset(); });
}

HttpCall::HttpCall(HttpClient& client, HttpRequest request, Handlers handlers)
    : client_(client),
      spec_(std::move(request)),
      handlers_(std::move(handlers)) {}

HttpCall::~HttpCall() = default;

void HttpCall::Send() {
  connection_ = client_.AcquireConnection(spec_);
  if (!connection_) {
    client_.loop_.Post(
        [self = self_] { self->Finish(HttpEnd::kNotSent, nullptr); });
    return;
  }
  connection_->write_began = false;
  connection_->reader = this;
  connection_->interim = 0;
  const timeval tv = ToTimeval(spec_.idle_timeout);
  evhttp_connection_set_timeout_tv(connection_->handle, &tv);
  evhttp_connection_set_max_headers_size(connection_->handle, kMaxHeadBytes);
  evhttp_connection_set_max_body_size(
      connection_->handle, handlers_.data
                               ? kNoLimit
                               : static_cast<ev_ssize_t>(spec_.max_body_bytes));
  request_ = evhttp_request_new(OnDone, this);
  evhttp_request_set_error_cb(request_,
                              [](evhttp_request_error error, void* self) {
                                OnError(static_cast<int>(error), self);
                              });
  evhttp_request_set_header_cb(request_, OnHead);
  if (handlers_.data) evhttp_request_set_chunked_cb(request_, OnData);
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Host", spec_.address.c_str());
  for (const HttpHeader& it : spec_.headers) {
    evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request_), spec_.body.data(),
               spec_.body.size());
  evhttp_make_request(connection_->handle, request_, MethodOf(spec_.method),
                      spec_.path.c_str());
}

// Returns a negative number if evhttp shall give up the answer.
int HttpCall::OnHead(evhttp_request* request, void* self) {
  const std::shared_ptr<HttpCall> keep = static_cast<HttpCall*>(self)->self_;
  if (!keep) return 0;
  Connection& connection = *keep->connection_;
  if (!connection.is_answer) return -1;
  const int status = evhttp_request_get_response_code(request);
  if (status == kContinue) {
    if (++connection.interim > kMaxInterim) return -1;
    connection.reader = keep.get();
    connection.ReadStatus(bufferevent_get_input(
        evhttp_connection_get_bufferevent(connection.handle)));
    return 0;
  }
  if (keep->handlers_.head)
    keep->handlers_.head(status, HeaderOf(request, "Content-Type"));
  return 0;
}

void HttpCall::OnData(evhttp_request* request, void* self) {
  const std::shared_ptr<HttpCall> keep = static_cast<HttpCall*>(self)->self_;
  if (keep) keep->handlers_.data(evhttp_request_get_input_buffer(request));
}

void HttpCall::OnError(int error, void* self) {
  if (error == EVREQ_HTTP_TIMEOUT) {
    static_cast<HttpCall*>(self)->timed_out_ = true;
  }
}

void HttpCall::OnDone(evhttp_request* request, void* self) {
  auto* it = static_cast<HttpCall*>(self);
  if (!it->self_) return;
  const bool answered =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  if (answered) {
    it->Finish(HttpEnd::kComplete, request);
  } else if (!it->connection_->write_began) {
    it->Finish(HttpEnd::kNotSent, nullptr);
  } else {
    it->Finish(it->timed_out_ ? HttpEnd::kTimedOut : HttpEnd::kBroken, nullptr);
  }
}

void HttpCall::Finish(HttpEnd end, evhttp_request* request) {
  const std::shared_ptr<HttpCall> keep = std::exchange(self_, nullptr);
  if (!keep) return;
  request_ = nullptr;
  HttpResult result;
  result.end = end;
  if (request != nullptr) {
    result.status = evhttp_request_get_response_code(request);
    result.content_type = HeaderOf(request, "Content-Type");
    result.headers = HeadersOf(request);
    evbuffer* in = evhttp_request_get_input_buffer(request);
    result.body.resize(evbuffer_get_length(in));
    evbuffer_remove(in, result.body.data(), result.body.size());
  }
  const bool answered = end == HttpEnd::kComplete;
  ReleaseConnection(answered && !spec_.fresh_connection &&
                    result.status < kFirstErrorStatus &&
                    !connection_->HasSurplus());
  const Handlers handlers = std::exchange(handlers_, {});
  if (handlers.end) handlers.end(result);
}

void HttpCall::BreakLater() {
  client_.loop_.Post([self = self_] {
    if (!self->self_) return;
    const Handlers handlers = std::exchange(self->handlers_, {});
    self->Cancel();
    HttpResult result;
    result.end = HttpEnd::kBroken;
    if (handlers.end) handlers.end(result);
  });
}

void HttpCall::ReleaseConnection(bool reusable) {
  if (!connection_) return;
  connection_->reader = nullptr;
  if (reusable) {
    client_.ReturnConnection(std::move(connection_));
    return;
  }
  client_.loop_.Post(
      [connection = std::move(connection_)]() mutable { connection.reset(); });
}

void HttpCall::Cancel() {
  const std::shared_ptr<HttpCall> keep = std::exchange(self_, nullptr);
  if (!keep) return;
  if (connection_) connection_->reader = nullptr;
  // This may run inside one of the handlers, and evhttp may call back until its
  // connection is freed. So this call and the connection live until the next
  // iteration of the loop.
  client_.loop_.Post([keep, connection = std::move(connection_)]() mutable {
    connection.reset();
    keep->handlers_ = {};
  });
}

void HttpCall::PauseReading() {
  if (!connection_) return;
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_->handle),
                      EV_READ);
}

void HttpCall::ResumeReading() {
  if (!connection_) return;
  bufferevent_enable(evhttp_connection_get_bufferevent(connection_->handle),
                     EV_READ);
}

}  // namespace quaytrack
