// Compiled as C++17: websocketpp 0.8 doesn't compile as C++20.

#include "net/peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include "net/address.h"

namespace quaytrack {
namespace {

namespace ws = websocketpp;

using ServerEndpoint = ws::server<ws::config::core>;
using ClientEndpoint = ws::client<ws::config::core_client>;

// Bytes that a peer may send as one message, to bound memory. The largest
// messages are configurations.
constexpr std::size_t kMaxMessageBytes = 4 * 1024 * 1024;

// The handshake of a link is a GET request, which begins with this byte.
constexpr char kHandshakeBegin = 'G';

// How long a new connection may stay without bytes.
constexpr Duration kFirstBytesTimeout = std::chrono::seconds(5);

// One link over one bufferevent. `Endpoint` is websocketpp's client or server,
// for either end of the connection.
template <class Endpoint>
class WebsocketLink final
    : public PeerLink,
      public std::enable_shared_from_this<WebsocketLink<Endpoint>> {
 public:
  using ConnectionPtr = typename Endpoint::connection_ptr;

  WebsocketLink(Loop& loop, bufferevent* bev) : loop_(loop), bev_(bev) {
    endpoint_.clear_access_channels(ws::log::alevel::all);
    endpoint_.clear_error_channels(ws::log::elevel::all);
    endpoint_.set_max_message_size(kMaxMessageBytes);
  }

  ~WebsocketLink() override {
    if (connection_) connection_->set_close_handler(nullptr);
    bufferevent_free(bev_);
  }

  void SetHandlers(Handlers handlers) override {
    handlers_ = std::make_shared<const Handlers>(std::move(handlers));
  }

  void Send(const std::string& message) override {
    if (closed_ || !connection_) return;
    connection_->send(message, ws::frame::opcode::binary);
  }

  void Start(ConnectionPtr connection) {
    connection_ = std::move(connection);
    bufferevent_setcb(bev_, OnRead, nullptr, OnEvent, this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    connection_->set_write_handler(
        [this](const ws::connection_hdl&, const char* data, std::size_t size) {
          Write(data, size);
          return ws::lib::error_code();
        });
    connection_->set_open_handler([this](const ws::connection_hdl&) {
      const auto on = handlers_;
      if (on->open) on->open();
    });
    connection_->set_message_handler(
        [this](const ws::connection_hdl&,
               const typename Endpoint::message_ptr& message) {
          partial_ = 0;
          message_ended_ = true;
          const auto on = handlers_;
          if (on->message) on->message(message->get_payload());
        });
    const auto lost = [this](const ws::connection_hdl&) { Close(); };
    connection_->set_close_handler(lost);
    connection_->set_fail_handler(lost);
  }

  // Takes bytes that were read before `Start`.
  void TakeFirstBytes(const std::string& bytes) { TakeBytes(bytes); }

  std::uint64_t received() const override { return received_; }
  std::uint64_t partial() const override { return partial_; }

  Endpoint& endpoint() { return endpoint_; }
  bufferevent* bev() { return bev_; }
  // Called when a client's socket has connected.
  std::function<void()> on_connected;

 private:
  static void OnRead(bufferevent* bev, void* self) {
    const auto keep = static_cast<WebsocketLink*>(self)->shared_from_this();
    evbuffer* in = bufferevent_get_input(bev);
    std::string bytes(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, &bytes[0], bytes.size());
    keep->TakeBytes(bytes);
  }

  void TakeBytes(const std::string& bytes) {
    received_ += bytes.size();
    message_ended_ = false;
    connection_->read_all(bytes.data(), bytes.size());
    if (!message_ended_) partial_ += bytes.size();
  }

  static void OnEvent(bufferevent*, short what, void* self) {
    const auto keep = static_cast<WebsocketLink*>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      if (keep->on_connected) keep->on_connected();
      return;
    }
    keep->Close();
  }

  void Write(const char* data, std::size_t size) {
    if (closed_) return;
    const evutil_socket_t fd = bufferevent_getfd(bev_);
    const bool clear = evbuffer_get_length(bufferevent_get_output(bev_)) == 0;
    ssize_t sent = 0;
    if (clear && fd >= 0) sent = send(fd, data, size, MSG_NOSIGNAL);
    const std::size_t done = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    if (done < size) bufferevent_write(bev_, data + done, size - done);
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    bufferevent_disable(bev_, EV_READ | EV_WRITE);
    loop_.Post([keep = this->shared_from_this()] {
      const auto on = keep->handlers_;
      if (on->closed) on->closed();
      keep->SetHandlers({});
    });
  }

  Loop& loop_;
  bufferevent* bev_;
  Endpoint endpoint_;
  ConnectionPtr connection_;
  // Whoever calls one of the handlers holds a pointer to them meanwhile, as the
  // handler may set others.
  std::shared_ptr<const Handlers> handlers_ =
      std::make_shared<const Handlers>();
  std::uint64_t received_ = 0;
  std::uint64_t partial_ = 0;
  // Whether the bytes that are being read have completed a message.
  bool message_ended_ = false;
  bool closed_ = false;
};

// Returns the pointer that the owner gets. A link that is released in one of
// its handlers lives until that returns, so the release takes the handlers
// away.
template <class Link>
std::shared_ptr<PeerLink> ForOwner(std::shared_ptr<Link> link) {
  Link* raw = link.get();
  return {raw, [link = std::move(link)](PeerLink*) { link->SetHandlers({}); }};
}

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::shared_ptr<PeerLink> PeerLink::Connect(Loop& loop,
                                            const std::string& address,
                                            Handlers handlers) {
  using Link = WebsocketLink<ClientEndpoint>;
  const auto at = ParseAddress(address);
  if (!at) return nullptr;
  bufferevent* bev =
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto link = std::make_shared<Link>(loop, bev);
  link->SetHandlers(std::move(handlers));
  ws::lib::error_code ec;
  auto connection =
      link->endpoint().get_connection("ws://" + address + "/peer", ec);
  if (ec) return nullptr;
  link->Start(connection);
  link->on_connected = [raw = link.get(), connection] {
    SetNoDelay(bufferevent_getfd(raw->bev()));
    raw->endpoint().connect(connection);
  };
  sockaddr_in target = ToSocketAddress(*at);
  bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&target),
                             sizeof target);
  return ForOwner(std::move(link));
}

PeerServer::PeerServer(Loop& loop, Accepted accepted)
    : loop_(loop),
      accepted_(std::move(accepted)),
      listener_(loop, [this](int fd) { Accept(fd); }) {}

PeerServer::~PeerServer() = default;

struct PeerServer::NewConnection {
  std::shared_ptr<TcpSocket> socket;
  std::unique_ptr<Timer> timer;
};

void PeerServer::Accept(int fd) {
  auto it = std::make_shared<NewConnection>();
  TcpOptions options;
  options.user_timeout = Duration::zero();
  it->socket = TcpSocket::Adopt(loop_, fd, options);
  new_.insert(it);
  const std::weak_ptr<NewConnection> weak = it;
  TcpSocket::Handlers on;
  on.data = [this, weak](std::string_view bytes) {
    if (const auto connection = weak.lock()) OnFirstBytes(connection, bytes);
  };
  on.ended = [this, weak](SocketEnd) { new_.erase(weak.lock()); };
  it->socket->SetHandlers(std::move(on));
  it->timer = loop_.After(kFirstBytesTimeout,
                          [this, weak] { new_.erase(weak.lock()); });
}

void PeerServer::OnFirstBytes(const NewConnectionPtr& it,
                              std::string_view bytes) {
  // The handler of the socket is running and can't be replaced yet.
  it->socket->PauseReading();
  loop_.Post([this, weak = std::weak_ptr<NewConnection>(it),
              first_bytes = std::string(bytes)] {
    if (const auto connection = weak.lock()) PassOn(connection, first_bytes);
  });
}

void PeerServer::PassOn(const NewConnectionPtr& it,
                        const std::string& first_bytes) {
  new_.erase(it);
  if (first_bytes.front() == kHandshakeBegin)
    return StartLink(it->socket->Release(), first_bytes);
  it->socket->SetHandlers({});
  if (!other_) return it->socket->Close();
  it->socket->ResumeReading();
  other_(it->socket, first_bytes);
}

void PeerServer::StartLink(int fd, const std::string& first_bytes) {
  using Link = WebsocketLink<ServerEndpoint>;
  SetNoDelay(fd);
  bufferevent* bev =
      bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  auto link = std::make_shared<Link>(loop_, bev);
  auto connection = link->endpoint().get_connection();
  link->Start(connection);
  accepted_(ForOwner(link));
  connection->start();
  link->TakeFirstBytes(first_bytes);
}

}  // namespace quaytrack
