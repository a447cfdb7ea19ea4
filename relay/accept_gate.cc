#include "relay/accept_gate.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

bool AcceptGate::OnTick(Instant now) {
  const bool was_limited = IsLimited();
  const Duration since_tick = has_ticked_ ? now - last_tick_ : kTick;
  since_tick - kTick >= kMaxDelay ? OnLate(now, since_tick)
                                  : OnTime(now, since_tick);
  has_ticked_ = true;
  last_tick_ = now;
  accepted_since_tick_ = 0;
  return IsLimited() != was_limited;
}

void AcceptGate::OnLate(Instant now, Duration since_tick) {
  if (late_ticks_++ == 0) late_since_ = last_tick_ + kTick;
  late_at_ = now;
  const bool lasts =
      late_ticks_ >= kMinLateTicks && now - late_since_ >= kInterval;
  if (!rate_ && !lasts) return;
  const double taken = accepted_since_tick_ / ToSeconds(since_tick);
  rate_ =
      std::max(kMinRate, std::min(rate_.value_or(taken), taken) * kDecrease);
  allowance_ = 0;
  allowance_at_ = now;
}

void AcceptGate::OnTime(Instant now, Duration since_tick) {
  late_ticks_ = 0;
  if (!rate_) return;
  *rate_ += *rate_ * kIncreasePerS * ToSeconds(since_tick);
  if (now - late_at_ >= kCalm) rate_.reset();
}

double AcceptGate::MaxBurst() const {
  return std::max(1.0, *rate_ * ToSeconds(kMaxDelay));
}

bool AcceptGate::MayAccept(Instant now) {
  if (rate_) {
    const Duration since = now - std::exchange(allowance_at_, now);
    allowance_ = std::min(allowance_ + *rate_ * ToSeconds(since), MaxBurst());
    if (allowance_ < 1) return false;
    allowance_ -= 1;
  }
  ++accepted_since_tick_;
  return true;
}

}  // namespace quaytrack
