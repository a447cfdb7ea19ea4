// A TCP proxy that injects faults on command:
//
//   pass          forwards both ways, after `delay_ms`; with `kb_per_s`,
//   answers
//                 pass at that rate, which the connections share;
//   cut           closes every connection and accepts no new one;
//   freeze        keeps connections open and forwards nothing;
//   drop_answers  forwards requests and discards answers.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <memory>
#include <string>

#include "net/address.h"
#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

enum class Mode { kPass, kCut, kFreeze, kDropAnswers };

constexpr auto kModes =
    std::to_array<EnumEntry<Mode>>({{Mode::kPass, "pass"},
                                    {Mode::kCut, "cut"},
                                    {Mode::kFreeze, "freeze"},
                                    {Mode::kDropAnswers, "drop_answers"}});

class FaultProxy;

// Steps in which answers are forwarded at a limited rate.
constexpr int kTicksPerS = 50;

// One proxied connection: the caller's side and the upstream's side.
struct Link {
  FaultProxy* proxy = nullptr;
  bufferevent* caller = nullptr;
  bufferevent* upstream = nullptr;
  std::vector<std::unique_ptr<Timer>> delays;
  // The upstream has closed; its last bytes are still to be forwarded.
  bool ended = false;

  ~Link() {
    if (caller != nullptr) bufferevent_free(caller);
    if (upstream != nullptr) bufferevent_free(upstream);
  }
};

class FaultProxy {
 public:
  explicit FaultProxy(const Address& upstream)
      : upstream_(ToSocketAddress(upstream)) {
    standin_.OnControl("mode", [this](const Params& it) { SetMode(it); });
  }

  ~FaultProxy() {
    if (listener_ != nullptr) evconnlistener_free(listener_);
  }

  // Binds the proxied address in addition to the stand-in's two addresses, and
  // prints it first, as the address of the service.
  int Run(const StandinFlags& flags) {
    const auto at = ParseAddress(flags.listen);
    if (!at) return 2;
    sockaddr_in address = ToSocketAddress(*at);
    listener_ = evconnlistener_new_bind(
        standin_.loop().base(), OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr) return 2;
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address), &size);
    std::printf("proxying 127.0.0.1:%d\n", ntohs(address.sin_port));
    return standin_.Run("127.0.0.1:0", flags.admin);
  }

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* self) {
    static_cast<FaultProxy*>(self)->Accept(fd);
  }

  void Accept(evutil_socket_t fd) {
    if (mode_ == Mode::kCut) {
      evutil_closesocket(fd);
      return;
    }
    auto link = std::make_unique<Link>();
    link->proxy = this;
    event_base* base = standin_.loop().base();
    link->caller = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->upstream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* it : {link->caller, link->upstream}) {
      bufferevent_setcb(it, OnRead, nullptr, OnEvent, link.get());
      bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(link->upstream,
                               reinterpret_cast<sockaddr*>(&upstream_),
                               sizeof upstream_);
    links_.push_back(std::move(link));
  }

  static void OnRead(bufferevent* from, void* raw) {
    auto* link = static_cast<Link*>(raw);
    link->proxy->Forward(*link, from);
  }

  void Forward(Link& link, bufferevent* from) {
    const bool answer = from == link.upstream;
    if (mode_ == Mode::kFreeze) return;
    if (mode_ == Mode::kDropAnswers && answer) {
      evbuffer* in = bufferevent_get_input(from);
      evbuffer_drain(in, evbuffer_get_length(in));
      return;
    }
    if (answer && bytes_per_tick_ > 0) return;
    bufferevent* to = answer ? link.caller : link.upstream;
    if (delay_ms_ == 0) {
      bufferevent_write_buffer(to, bufferevent_get_input(from));
      return;
    }
    auto data = std::make_shared<std::string>();
    evbuffer* in = bufferevent_get_input(from);
    data->resize(evbuffer_get_length(in));
    evbuffer_remove(in, data->data(), data->size());
    link.delays.push_back(standin_.loop().After(
        std::chrono::milliseconds(delay_ms_),
        [to, data] { bufferevent_write(to, data->data(), data->size()); }));
  }

  static void OnEvent(bufferevent*, short what, void* raw) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto* link = static_cast<Link*>(raw);
    FaultProxy* proxy = link->proxy;
    if (bufferevent_getfd(link->upstream) >= 0 && proxy->bytes_per_tick_ > 0 &&
        evbuffer_get_length(bufferevent_get_input(link->upstream)) > 0) {
      link->ended = true;
      return;
    }
    // Forwards bytes that were read before both sides close.
    proxy->Forward(*link, link->upstream);
    proxy->standin_.loop().Post([proxy, link] { proxy->Drop(link); });
  }

  void Drop(Link* link) {
    std::erase_if(links_, [link](const auto& it) { return it.get() == link; });
  }

  // Forwards the next part of the answers, the same from each connection.
  void Tick() {
    std::list<Link*> waiting;
    for (const auto& it : links_) {
      const evbuffer* in = bufferevent_get_input(it->upstream);
      if (evbuffer_get_length(in) > 0) waiting.push_back(it.get());
    }
    for (Link* it : waiting) {
      const std::size_t bytes =
          std::max<std::size_t>(1, bytes_per_tick_ / waiting.size());
      evbuffer* in = bufferevent_get_input(it->upstream);
      evbuffer_remove_buffer(in, bufferevent_get_output(it->caller), bytes);
      if (it->ended && evbuffer_get_length(in) == 0) Drop(it);
    }
  }

  void SetMode(const Params& params) {
    delay_ms_ = params.Number("delay_ms", 0);
    const int rate = params.Number("kb_per_s", 0);
    bytes_per_tick_ = static_cast<std::size_t>(rate) * 1000 / kTicksPerS;
    tick_.reset();
    if (rate > 0) {
      tick_ = standin_.loop().Every(
          std::chrono::milliseconds(1000 / kTicksPerS), [this] { Tick(); });
    }
    quaytrack::SetMode(params, kModes, mode_);
    if (mode_ == Mode::kCut) links_.clear();
    if (mode_ != Mode::kPass) return;
    for (const auto& it : links_) {
      Forward(*it, it->caller);
      Forward(*it, it->upstream);
    }
  }

  Standin standin_;
  sockaddr_in upstream_;
  evconnlistener* listener_ = nullptr;
  std::list<std::unique_ptr<Link>> links_;
  Mode mode_ = Mode::kPass;
  int delay_ms_ = 0;
  // The most that all connections together forward in a tick; 0 is unlimited.
  std::size_t bytes_per_tick_ = 0;
  std::unique_ptr<Timer> tick_;
};

}  // namespace

int RunFaultProxy(const StandinFlags& flags, const std::string& upstream) {
  const auto at = ParseAddress(upstream);
  return at ? FaultProxy(*at).Run(flags) : 2;
}

}  // namespace quaytrack
