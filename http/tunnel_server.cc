#include "http/tunnel_server.h"

#include <algorithm>
#include <utility>

#include "http/target_connection.h"

namespace quaytrack {

struct TunnelServer::Tunnel {
  std::shared_ptr<TcpSocket> peer;
  std::shared_ptr<TcpSocket> target;
  TunnelHead head;
  // Runs until the connection to the target has opened; later, until the end
  // of the answer has reached the peer.
  std::unique_ptr<Timer> timer;
};

namespace {

// Stops reading from one side while the other one is slow.
void PauseIfSlow(TcpSocket& from, const TcpSocket& to,
                 std::size_t max_buffered) {
  if (to.Unsent() > max_buffered) from.PauseReading();
}

}  // namespace

TunnelServer::~TunnelServer() {
  for (const auto* all : {&tunnels_, &closing_}) {
    for (const TunnelPtr& it : *all) {
      it->peer->Close();
      if (it->target) it->target->Close();
    }
  }
}

std::size_t TunnelServer::size() const {
  const auto unsent =
      std::count_if(closing_.begin(), closing_.end(),
                    [](const TunnelPtr& it) { return it->peer->Unsent() > 0; });
  return tunnels_.size() + static_cast<std::size_t>(unsent);
}

void TunnelServer::Accept(std::shared_ptr<TcpSocket> socket,
                          std::string_view first_bytes) {
  auto it = std::make_shared<Tunnel>();
  it->peer = std::move(socket);
  tunnels_.insert(it);
  const std::weak_ptr<Tunnel> weak = it;
  TcpSocket::Handlers on;
  on.data = [this, weak](std::string_view bytes) {
    if (const auto tunnel = weak.lock()) OnPeerData(tunnel, bytes);
  };
  on.ended = [this, weak](SocketEnd) {
    if (const auto tunnel = weak.lock()) Remove(tunnel);
  };
  on.drained = [this, weak] {
    const auto tunnel = weak.lock();
    if (!tunnel) return;
    if (tunnel->target && tunnel->target->open())
      return tunnel->target->ResumeReading();
    if (closing_.contains(tunnel)) FinishPeer(tunnel);
  };
  it->peer->SetHandlers(std::move(on));
  it->timer = loop_.After(kConnectTimeout, [this, weak] {
    if (const auto tunnel = weak.lock()) OnNotConnected(tunnel);
  });
  OnPeerData(it, first_bytes);
}

void TunnelServer::OnPeerData(const TunnelPtr& it, std::string_view bytes) {
  if (!it->head.complete()) return ReadHead(it, bytes);
  // A peer sends nothing before it is answered, and nothing after the end.
  if (!it->target || !it->target->connected()) return Remove(it);
  it->target->Write(bytes);
  PauseIfSlow(*it->peer, *it->target, kMaxBufferedBytes);
}

void TunnelServer::ReadHead(const TunnelPtr& it, std::string_view bytes) {
  const std::size_t used = it->head.Feed(bytes);
  const bool surplus = used < bytes.size();
  if (it->head.malformed() || surplus)
    return Refuse(it, TunnelStatus::kMalformed);
  if (!it->head.complete()) return;
  const auto address = it->head.TargetAddress();
  if (!address) return Refuse(it, TunnelStatus::kMalformed);
  const auto on = on_;
  const std::weak_ptr<int> lifetime = lifetime_;
  const TunnelStatus status = on->check(*address);
  if (lifetime.expired()) return;
  if (status != TunnelStatus::kOpen) return Refuse(it, status);
  Connect(it, *address);
}

void TunnelServer::Connect(const TunnelPtr& it, const std::string& address) {
  const std::weak_ptr<Tunnel> weak = it;
  TcpSocket::Handlers on;
  on.connected = [this, weak] {
    if (const auto tunnel = weak.lock()) OnConnected(tunnel);
  };
  on.data = [weak](std::string_view bytes) {
    const auto tunnel = weak.lock();
    if (!tunnel) return;
    const bool framed = tunnel->head.framed();
    tunnel->peer->Write(framed ? TunnelData(bytes) : bytes);
    PauseIfSlow(*tunnel->target, *tunnel->peer, kMaxBufferedBytes);
  };
  on.ended = [this, weak](SocketEnd end) {
    if (const auto tunnel = weak.lock()) OnTargetEnded(tunnel, end);
  };
  on.drained = [weak] {
    if (const auto tunnel = weak.lock()) tunnel->peer->ResumeReading();
  };
  TcpOptions options;
  options.user_timeout = kTargetUserTimeout;
  it->target = dial_(loop_, address, options, std::move(on));
  if (!it->target) Refuse(it, TunnelStatus::kUnreachable);
}

// Called when the connection to the target fails, or doesn't open in time.
void TunnelServer::OnNotConnected(const TunnelPtr& it) {
  if (ReportDialed(it, false)) Refuse(it, TunnelStatus::kUnreachable);
}

bool TunnelServer::ReportDialed(const TunnelPtr& it, bool opened) {
  const auto address = it->head.TargetAddress();
  if (!address) return true;
  const auto on = on_;
  const std::weak_ptr<int> lifetime = lifetime_;
  on->dialed(*address, opened);
  return !lifetime.expired();
}

void TunnelServer::OnConnected(const TunnelPtr& it) {
  it->timer.reset();
  ++opened_;
  if (!ReportDialed(it, true)) return;
  const bool framed = it->head.framed();
  if (!framed) it->peer->ResetWhenClosed();
  it->peer->Write(TunnelAnswer(TunnelStatus::kOpen, framed));
}

void TunnelServer::Refuse(const TunnelPtr& it, TunnelStatus status) {
  if (it->target) it->target->Close();
  it->peer->Write(TunnelAnswer(status));
  tunnels_.erase(it);
  closing_.insert(it);
  FinishPeer(it);
}

void TunnelServer::OnTargetEnded(const TunnelPtr& it, SocketEnd end) {
  if (!it->head.complete() || closing_.contains(it)) return;
  if (it->timer) return OnNotConnected(it);
  if (it->head.framed()) {
    it->peer->Write(TunnelEnd(end));
  } else if (end == SocketEnd::kReset) {
    it->peer->Close(true);
    return Remove(it);
  }
  tunnels_.erase(it);
  closing_.insert(it);
  FinishPeer(it);
}

// Ends the peer's connection once its last bytes are sent. The peer closes the
// other direction: closing it here might reset the connection and lose bytes.
void TunnelServer::FinishPeer(const TunnelPtr& it) {
  const std::weak_ptr<Tunnel> weak = it;
  it->timer = loop_.After(kCloseTimeout, [this, weak] {
    if (const auto tunnel = weak.lock()) Remove(tunnel);
  });
  if (it->peer->Unsent() == 0) it->peer->ShutdownWrite();
}

void TunnelServer::Remove(TunnelPtr it) {
  tunnels_.erase(it);
  closing_.erase(it);
  it->peer->Close();
  if (it->target) it->target->Close();
  // A handler of its sockets or its timer may be running.
  loop_.Post([keep = std::move(it)] {});
}

}  // namespace quaytrack
