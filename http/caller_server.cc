#include "http/caller_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace quaytrack {
namespace {

// Interval of the checks of time limits; a limit may be exceeded by this much.
constexpr Duration kSweepEvery = std::chrono::milliseconds(500);
// Connections that hold less aren't ended for memory: idle ones would be in
// vain, as they come before those with a request at its handler.
constexpr std::size_t kMinShedBytes = 1024;
// How long sent bytes may stay unacknowledged before the caller counts as
// disconnected.
constexpr Duration kUserTimeout = std::chrono::seconds(5);

}  // namespace

CallerServer::CallerServer(Loop& loop, const Clock& clock)
    : loop_(loop),
      clock_(clock),
      listener_(loop, [this](int fd) { Accept(fd); }),
      sweep_(loop.Every(kSweepEvery, [this] { Sweep(); })) {}

CallerServer::~CallerServer() {
  listener_.Stop();
  for (const auto& it : std::exchange(connections_, {})) it->Leave();
}

std::uint16_t CallerServer::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void CallerServer::Accept(int fd) {
  const std::weak_ptr<int> lifetime = lifetime_;
  const auto gate = may_accept_;
  const bool may_accept = !gate || (*gate)();
  if (lifetime.expired()) {
    ::close(fd);
    return;
  }
  const bool has_room = connections_.size() < bounds_.connections;
  if (!may_accept || !(has_room || MakeRoom())) {
    ++closed_unread_;
    ::close(fd);
    return;
  }
  TcpOptions options;
  options.user_timeout = kUserTimeout;
  auto it = std::make_shared<CallerConnection>(
      *this, TcpSocket::Adopt(loop_, fd, options));
  connections_.insert(it);
  it->Start();
}

bool CallerServer::MakeRoom() {
  const auto is_better = [](const auto& a, const auto& b) {
    if (a->IsSpare() != b->IsSpare()) return a->IsSpare();
    return a->progress_at_ < b->progress_at_;
  };
  const auto it =
      std::min_element(connections_.begin(), connections_.end(), is_better);
  if (it == connections_.end() || !(*it)->IsSpare()) return false;
  ++shed_for_room_;
  (*it)->Abort();
  return true;
}

void CallerServer::OnHeldChanged(std::size_t before, std::size_t now) {
  held_bytes_ += now - before;
  if (held_bytes_ <= bounds_.memory_bytes || will_shed_) return;
  will_shed_ = true;
  loop_.Post([this, lifetime = std::weak_ptr<int>(lifetime_)] {
    if (lifetime.expired()) return;
    will_shed_ = false;
    ShedExcess();
  });
}

void CallerServer::ShedExcess() {
  if (held_bytes_ <= bounds_.memory_bytes) return;
  const auto is_at_handler = [](const CallerConnection& it) {
    return it.phase_ == CallerConnection::Phase::kAnswering &&
           !it.handing_over_;
  };
  const auto is_first = [&](const auto& a, const auto& b) {
    const bool a_later = is_at_handler(*a);
    const bool b_later = is_at_handler(*b);
    return a_later != b_later ? b_later : a->held_ > b->held_;
  };
  std::vector<std::shared_ptr<CallerConnection>> all(connections_.begin(),
                                                     connections_.end());
  std::sort(all.begin(), all.end(), is_first);
  const std::size_t enough = bounds_.memory_bytes - bounds_.memory_bytes / 8;
  const std::weak_ptr<int> lifetime = lifetime_;
  for (const auto& it : all) {
    if (lifetime.expired() || held_bytes_ <= enough) return;
    if (it->held_ < kMinShedBytes) continue;
    ++shed_for_memory_;
    it->Shed();
  }
}

void CallerServer::Sweep() {
  const Instant now = clock_.Now();
  const std::vector<std::shared_ptr<CallerConnection>> all(connections_.begin(),
                                                           connections_.end());
  for (const auto& it : all) it->Sweep(now);
}

void CallerServer::CloseIdle() {
  const std::vector<std::shared_ptr<CallerConnection>> all(connections_.begin(),
                                                           connections_.end());
  const Instant now = clock_.Now();
  for (const auto& it : all) {
    if (it->phase_ != CallerConnection::Phase::kIdle) continue;
    if (!it->AwaitsFirstRequest(now)) it->CloseIdle();
  }
}

std::size_t CallerServer::Unfinished() const {
  const Instant now = clock_.Now();
  std::size_t out = 0;
  for (const auto& it : connections_) {
    const bool coming = it->phase_ == CallerConnection::Phase::kReading ||
                        it->handing_over_ || it->AwaitsFirstRequest(now);
    if (coming || it->flushing_) ++out;
  }
  return out;
}

void CallerServer::Forget(const std::shared_ptr<CallerConnection>& it) {
  // The connection is released in a posted task, since one of its functions may
  // still be running.
  loop_.Post([keep = it] {});
  it->server_ = nullptr;
  connections_.erase(it);
}

}  // namespace quaytrack
