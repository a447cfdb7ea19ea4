// A circuit breaker for one target (Nygard, "Release It!", 2007).
//
// Closed: requests are sent. After `failures_to_open` failures in a row the
// breaker opens: no request is sent for a pause that doubles with each failed
// probe. After the pause the breaker is half open: one request is sent as a
// probe, and its result closes or opens the breaker.
//
//   if (breaker.Allows(now)) {
//     breaker.OnSent(now);
//     ...
//     breaker.OnSuccess();  // or OnFailure(now), OnInconclusive()
//   }

#ifndef QUAYTRACK_ROUTE_BREAKER_H_
#define QUAYTRACK_ROUTE_BREAKER_H_

#include <algorithm>
#include <chrono>

#include "base/clock.h"
#include "base/enum_table.h"

namespace quaytrack {

enum class BreakerState { kClosed, kOpen, kHalfOpen };

template <>
struct EnumTable<BreakerState> {
  static constexpr auto kEntries = std::to_array<EnumEntry<BreakerState>>(
      {{BreakerState::kClosed, "closed"},
       {BreakerState::kOpen, "open"},
       {BreakerState::kHalfOpen, "half_open"}});
};

struct BreakerOptions {
  int failures_to_open = 3;
  Duration initial_pause = std::chrono::milliseconds(500);
  Duration max_pause = std::chrono::seconds(15);
};

class Breaker {
 public:
  explicit Breaker(BreakerOptions options)
      : options_(options), pause_(options.initial_pause) {}

  BreakerState state() const { return state_; }

  // Whether a request may be sent now.
  bool Allows(Instant now) const {
    if (state_ == BreakerState::kClosed) return true;
    if (state_ == BreakerState::kOpen) return now >= open_until_;
    return !probing_;
  }

  void OnSent(Instant now) {
    if (state_ == BreakerState::kOpen && now >= open_until_) {
      state_ = BreakerState::kHalfOpen;
    }
    if (state_ == BreakerState::kHalfOpen) probing_ = true;
  }

  void OnSuccess() {
    failures_ = 0;
    probing_ = false;
    pause_ = options_.initial_pause;
    state_ = BreakerState::kClosed;
  }

  void OnFailure(Instant now) {
    probing_ = false;
    ++failures_;
    const bool probe_failed = state_ == BreakerState::kHalfOpen;
    if (!probe_failed && failures_ < options_.failures_to_open) return;
    if (state_ == BreakerState::kOpen) return;
    state_ = BreakerState::kOpen;
    open_until_ = now + pause_;
    pause_ = std::min(2 * pause_, options_.max_pause);
  }

  // Call when the request ended without showing whether the target works.
  void OnInconclusive() { probing_ = false; }

 private:
  BreakerOptions options_;
  BreakerState state_ = BreakerState::kClosed;
  int failures_ = 0;
  bool probing_ = false;
  Duration pause_;
  Instant open_until_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTE_BREAKER_H_
