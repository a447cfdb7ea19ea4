#include "evhttp/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cstdio>
#include <utility>

#include "net/address.h"

namespace quaytrack {
namespace {

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                            EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS;

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "UNKNOWN";
  }
}

void AddHeaders(evhttp_request* request, const std::string& content_type,
                const std::vector<HttpHeader>& headers) {
  evkeyvalq* out = evhttp_request_get_output_headers(request);
  if (!content_type.empty()) {
    evhttp_add_header(out, "Content-Type", content_type.c_str());
  }
  for (const HttpHeader& it : headers) {
    evhttp_add_header(out, it.name.c_str(), it.value.c_str());
  }
}

int SocketOf(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

// Makes the socket send each write at once; otherwise a token could be delayed
// until the next one.
void DisableNagle(evhttp_connection* connection) {
  const int on = 1;
  setsockopt(SocketOf(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

HttpExchange::HttpExchange(Loop& loop, HttpServer& server,
                           evhttp_request* request)
    : loop_(loop),
      server_(server),
      request_(request),
      connection_(evhttp_request_get_connection(request)) {
  evhttp_connection_set_closecb(connection_, OnClosed, this);
  DisableNagle(connection_);
  WatchPeer();
}

HttpExchange::~HttpExchange() {
  if (request_ != nullptr) {
    if (stream_started_) {
      EndStream();
    } else {
      Reply({500, "text/plain", {}, "the request was dropped\n"});
    }
  }
  *exists_ = false;
}

void HttpExchange::WatchPeer() {
  close_event_ = event_new(loop_.base(), SocketOf(connection_), EV_CLOSED,
                           OnPeerClosed, this);
  event_add(close_event_, nullptr);
}

void HttpExchange::StopWatching() {
  if (close_event_ != nullptr) event_free(close_event_);
  close_event_ = nullptr;
  if (connection_ == nullptr) return;
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  if (output_watch_ == nullptr) return;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_);
  evbuffer_remove_cb_entry(bufferevent_get_output(bev), output_watch_);
  output_watch_ = nullptr;
}

void HttpExchange::OnReplyEnding() {
  if (connection_ == nullptr) return;
  server_.TrackUntilSent(request_, connection_);
  // evhttp respects the close header even if the headers were sent before: it
  // closes the connection at the end of the stream.
  if (server_.closing_) AddCloseHeader();
}

void HttpExchange::AddCloseHeader() {
  evkeyvalq* out = evhttp_request_get_output_headers(request_);
  evhttp_remove_header(out, "Connection");
  evhttp_add_header(out, "Connection", "close");
}

void HttpExchange::OnPeerClosed(int, short, void* self) {
  static_cast<HttpExchange*>(self)->ReportGone();
}

void HttpExchange::OnClosed(evhttp_connection*, void* self) {
  auto* it = static_cast<HttpExchange*>(self);
  it->connection_ = nullptr;
  it->output_watch_ = nullptr;
  if (it->close_event_ != nullptr) event_free(it->close_event_);
  it->close_event_ = nullptr;
  // A request that still belongs to the connection is freed with the
  // connection.
  evhttp_request* request = it->request_;
  const bool freed =
      request != nullptr && evhttp_request_get_connection(request) != nullptr;
  if (freed) it->request_ = nullptr;
  it->ReportGone();
}

void HttpExchange::ReportGone() {
  if (gone_) return;
  gone_ = true;
  // The handler is called from a posted callback, as libevent is still closing
  // the connection.
  loop_.Post([this, exists = exists_] {
    if (!*exists) return;
    // A copy, as the action may destroy the exchange.
    const auto gone = on_gone_;
    if (gone) gone();
  });
}

std::string HttpExchange::method() const {
  return MethodName(evhttp_request_get_command(request_));
}

std::string HttpExchange::path() const {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request_);
  const char* out = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  return out == nullptr ? "" : out;
}

std::string HttpExchange::query() const {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request_);
  const char* out = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  return out == nullptr ? "" : out;
}

std::optional<std::string> HttpExchange::Header(const char* name) const {
  const char* out =
      evhttp_find_header(evhttp_request_get_input_headers(request_), name);
  if (out == nullptr) return std::nullopt;
  return std::string(out);
}

int HttpExchange::HeaderCount(const char* name) const {
  int n = 0;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request_);
  for (const evkeyval* it = headers->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    if (strcasecmp(it->key, name) == 0) ++n;
  }
  return n;
}

std::string HttpExchange::Body() const {
  evbuffer* in = evhttp_request_get_input_buffer(request_);
  const std::size_t size = evbuffer_get_length(in);
  std::string out(size, '\0');
  evbuffer_copyout(in, out.data(), size);
  return out;
}

void HttpExchange::Reply(const HttpReply& reply) {
  if (request_ == nullptr) return;
  StopWatching();
  OnReplyEnding();
  AddHeaders(request_, reply.content_type, reply.headers);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(std::exchange(request_, nullptr), reply.status, nullptr,
                    body);
  evbuffer_free(body);
}

void HttpExchange::StartStream(int status, const std::string& content_type,
                               const std::vector<HttpHeader>& headers) {
  stream_started_ = true;
  if (connection_ != nullptr && server_.closing_) AddCloseHeader();
  AddHeaders(request_, content_type, headers);
  evhttp_send_reply_start(request_, status, nullptr);
  if (connection_ == nullptr) return;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_);
  output_watch_ = evbuffer_add_cb(bufferevent_get_output(bev), OnOutput, this);
}

void HttpExchange::Write(evbuffer* data) {
  if (request_ == nullptr || connection_ == nullptr) return;
  if (!WriteDirectly(data)) evhttp_send_reply_chunk(request_, data);
}

// Writes one chunk with a single system call. Returns false, with nothing
// written, if that isn't possible: bytes are buffered before it, the reply
// isn't chunked, the data is empty or in too many pieces, or the socket accepts
// none.
bool HttpExchange::WriteDirectly(evbuffer* data) {
  constexpr int kMaxPieces = 6;
  const std::size_t size = evbuffer_get_length(data);
  if (UnsentBytes() > 0 || request_->chunked == 0 || size == 0) return false;
  std::array<iovec, kMaxPieces + 2> iov;
  const int pieces =
      evbuffer_peek(data, -1, nullptr, iov.data() + 1, kMaxPieces);
  if (pieces > kMaxPieces) return false;
  std::array<char, 24> head;
  const int head_size =
      std::snprintf(head.data(), head.size(), "%zx\r\n", size);
  iov[0] = {head.data(), static_cast<std::size_t>(head_size)};
  iov[static_cast<std::size_t>(pieces) + 1] = {const_cast<char*>("\r\n"), 2};
  const std::size_t total = static_cast<std::size_t>(head_size) + size + 2;
  const ssize_t n = writev(SocketOf(connection_), iov.data(), pieces + 2);
  const std::size_t sent = n > 0 ? static_cast<std::size_t>(n) : 0;
  if (sent == 0) return false;
  if (sent < total) {
    // The remainder of the chunk goes to the connection's buffer.
    std::string remainder(head.data(), static_cast<std::size_t>(head_size));
    remainder.resize(total - 2);
    evbuffer_copyout(data, remainder.data() + head_size, size);
    remainder += "\r\n";
    bufferevent_write(evhttp_connection_get_bufferevent(connection_),
                      remainder.data() + sent, total - sent);
  }
  evbuffer_drain(data, size);
  return true;
}

void HttpExchange::Write(std::string_view data) {
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, data.data(), data.size());
  Write(buf);
  evbuffer_free(buf);
}

void HttpExchange::OnOutput(evbuffer* output, const evbuffer_cb_info* info,
                            void* self) {
  auto* it = static_cast<HttpExchange*>(self);
  if (info->n_deleted == 0 || evbuffer_get_length(output) > 0) return;
  // A copy, as the action may destroy the exchange.
  const auto drained = it->on_drained_;
  if (drained) drained();
}

void HttpExchange::EndStream() {
  if (request_ == nullptr) return;
  StopWatching();
  OnReplyEnding();
  evhttp_send_reply_end(std::exchange(request_, nullptr));
}

void HttpExchange::Abort() {
  if (request_ == nullptr) return;
  if (connection_ != nullptr) shutdown(SocketOf(connection_), SHUT_RDWR);
  EndStream();
}

std::size_t HttpExchange::UnsentBytes() const {
  if (connection_ == nullptr) return 0;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

HttpServer::HttpServer(Loop& loop, HttpServerOptions options)
    : loop_(loop), http_(evhttp_new(loop.base())) {
  evhttp_set_gencb(http_, OnRequest, this);
  evhttp_set_allowed_methods(http_, kAllMethods);
  evhttp_set_max_body_size(http_,
                           static_cast<ev_ssize_t>(options.max_body_bytes));
  evhttp_set_max_headers_size(
      http_, static_cast<ev_ssize_t>(options.max_header_bytes));
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(options.idle_timeout);
  evhttp_set_timeout(http_, static_cast<int>(seconds.count()));
}

HttpServer::~HttpServer() { evhttp_free(http_); }

std::uint16_t HttpServer::Listen(const std::string& address) {
  const auto at = ParseAddress(address);
  if (!at) return 0;
  evhttp_bound_socket* it =
      evhttp_bind_socket_with_handle(http_, at->host.c_str(), at->port);
  if (it == nullptr) return 0;
  sockets_.push_back(it);
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(evhttp_bound_socket_get_fd(it),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

void HttpServer::StopListening() {
  for (evhttp_bound_socket* it : sockets_) evhttp_del_accept_socket(http_, it);
  sockets_.clear();
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* it = static_cast<HttpServer*>(self);
  it->handler_(std::make_shared<HttpExchange>(it->loop_, *it, request));
}

void HttpServer::TrackUntilSent(evhttp_request* request,
                                evhttp_connection* connection) {
  unsent_.insert(connection);
  evhttp_request_set_on_complete_cb(request, OnSent, this);
  evhttp_connection_set_closecb(connection, OnConnectionLost, this);
}

void HttpServer::OnSent(evhttp_request* request, void* self) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  static_cast<HttpServer*>(self)->unsent_.erase(connection);
}

void HttpServer::OnConnectionLost(evhttp_connection* connection, void* self) {
  static_cast<HttpServer*>(self)->unsent_.erase(connection);
}

}  // namespace quaytrack
