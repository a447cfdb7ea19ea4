#include "dispatch/send_queue.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace

void SendQueue::SetRate(Instant now, double bytes_per_s) {
  Refill(now);
  bytes_per_s_ = bytes_per_s;
}

void SendQueue::Refill(Instant now) {
  const double most = bytes_per_s_ * ToSeconds(kBurst);
  if (!refilled_at_) {
    tokens_ = most;
  } else if (now > *refilled_at_) {
    const double elapsed = ToSeconds(now - *refilled_at_);
    tokens_ = std::min(most, tokens_ + bytes_per_s_ * elapsed);
  }
  refilled_at_ = std::max(now, refilled_at_.value_or(now));
}

bool SendQueue::TakeNow(Instant now, double bytes) {
  Refill(now);
  if (!waiting_.empty() || tokens_ <= 0) return false;
  tokens_ -= bytes;
  return true;
}

SendQueue::Ticket SendQueue::Push(Instant now, Entry entry) {
  const Ticket ticket = ++last_ticket_;
  double& finish = finish_[entry.flow];
  const Rank rank{entry.urgency, std::max(virtual_time_, finish), ticket};
  finish = rank.start + entry.bytes;
  backlog_ += entry.bytes;
  waiting_.emplace(rank, Waiting{std::move(entry), now});
  by_age_.emplace(ticket, rank);
  return ticket;
}

std::optional<SendQueue::Ticket> SendQueue::Pop(Instant now) {
  if (waiting_.empty()) return std::nullopt;
  Refill(now);
  const Rank oldest = by_age_.begin()->second;
  if (now - waiting_.at(oldest).since >= longest_wait_) return Remove(oldest);
  if (tokens_ <= 0) return std::nullopt;
  return Remove(waiting_.begin()->first);
}

SendQueue::Ticket SendQueue::Remove(const Rank& rank) {
  const Ticket ticket = rank.ticket;
  const auto it = waiting_.find(rank);
  // The bound keeps entries that left by age from delaying later ones for long.
  tokens_ = std::max(tokens_ - it->second.entry.bytes,
                     -bytes_per_s_ * ToSeconds(longest_wait_));
  backlog_ -= it->second.entry.bytes;
  virtual_time_ = std::max(virtual_time_, rank.start);
  waiting_.erase(it);
  by_age_.erase(ticket);
  if (waiting_.empty()) {
    finish_.clear();
    virtual_time_ = 0;
    backlog_ = 0;
  }
  return ticket;
}

std::optional<Instant> SendQueue::NextAt(Instant now) {
  if (waiting_.empty()) return std::nullopt;
  Refill(now);
  if (tokens_ > 0) return now;
  const Instant aged =
      waiting_.at(by_age_.begin()->second).since + longest_wait_;
  return std::min(aged, now + FromSeconds(-tokens_ / bytes_per_s_) +
                            std::chrono::microseconds(1));
}

}  // namespace quaytrack
