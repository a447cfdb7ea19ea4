// SendQueue: the order in which waiting bytes take their turn on a slow link.
//
//   SendQueue queue(bytes_per_s, longest_wait);
//   if (queue.TakeNow(now, size)) return Send();       // nothing waits
//   const auto ticket = queue.Push(now, {urgency, customer, size});
//   ...
//   while (const auto ticket = queue.Pop(now)) SendWaiting(*ticket);
//   SetTimer(queue.NextAt(now));
//
// Order: the more urgent first; within one urgency, by start-time fair queueing
// (Goyal, Vin and Cheng 1996), so that flows with waiting entries get equal
// numbers of bytes. A flow is a customer, or any other name.
//
// Rate: a token bucket. An entry leaves when the bucket isn't empty, and its
// size is taken from the bucket, which may become negative; so the size of an
// entry doesn't matter for whether it may leave.
//
// Bound: an entry that has waited for `longest_wait` leaves whatever the bucket
// holds. The queue therefore delays nothing for longer, also if the rate was
// set too low. Limiting how much is admitted is the task of
// dispatch/link_admission.h.
//
// The relay has one queue for the bodies of requests to targets and one for
// reads from callers (relay/link_gate.h). Sizes are in bytes. Owns the entries;
// does not read the clock; cannot fail. An entry whose sender is gone is popped
// like any other; the caller ignores its ticket.

#ifndef QUAYTRACK_DISPATCH_SEND_QUEUE_H_
#define QUAYTRACK_DISPATCH_SEND_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace quaytrack {

class SendQueue {
 public:
  using Ticket = std::uint64_t;
  struct Entry {
    // 0 is the most urgent.
    int urgency = 0;
    std::string flow;
    double bytes = 0;
  };

  SendQueue(double bytes_per_s, Duration longest_wait)
      : bytes_per_s_(bytes_per_s), longest_wait_(longest_wait) {}

  // Sets the rate from `now` on; it must be greater than 0.
  void SetRate(Instant now, double bytes_per_s);

  // Returns true, and takes the bytes, if nothing waits and the bucket isn't
  // empty.
  bool TakeNow(Instant now, double bytes);
  Ticket Push(Instant now, Entry entry);
  // Removes and returns the next entry that may leave; std::nullopt if none
  // may.
  std::optional<Ticket> Pop(Instant now);
  // When the next entry may leave; std::nullopt if none waits.
  std::optional<Instant> NextAt(Instant now);

  std::size_t size() const { return waiting_.size(); }
  // Bytes that wait.
  double backlog() const { return backlog_; }

 private:
  // Burst of the bucket, as time at the full rate: short, so that a burst
  // doesn't delay messages between routers by more than this.
  static constexpr Duration kBurst = std::chrono::milliseconds(20);

  struct Rank {
    int urgency = 0;
    double start = 0;
    Ticket ticket = 0;
    auto operator<=>(const Rank&) const = default;
  };
  struct Waiting {
    Entry entry;
    Instant since{};
  };

  void Refill(Instant now);
  Ticket Remove(const Rank& rank);

  double bytes_per_s_;
  Duration longest_wait_;
  double tokens_ = 0;
  std::optional<Instant> refilled_at_;
  double backlog_ = 0;
  Ticket last_ticket_ = 0;
  std::map<Rank, Waiting> waiting_;
  // The waiting entries by age; tickets are given in order of arrival.
  std::map<Ticket, Rank> by_age_;
  // Virtual time: the start tag of the entry that left last. Emptied with the
  // queue.
  double virtual_time_ = 0;
  // The finish tag of each flow's latest entry.
  std::map<std::string, double> finish_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_SEND_QUEUE_H_
