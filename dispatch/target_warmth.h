// TargetWarmth: whether one target is cold, as far as this router can know.
//
//   TargetWarmth warmth;
//   warmth.OnCold(now, remaining, ColdSign::kEntry);   // shown by its entry
//   warmth.OnLost(now);                       // an attempt got no answer
//   warmth.OnAlive(now, sent_at, cold_start); // the target answered
//   if (warmth.IsCold(now)) ...               // dispatch/shared_rate.h
//
// A target that has just started is slow, and fails under more requests than it
// can handle while it is cold. It may restart at any moment, and its entry in
// the store shows this only seconds later, so a router also uses its own
// observations. If an attempt got no answer (its connection broke or did not
// open, or the answer did not begin in time), or the target closed an idle
// connection earlier than announced, the target may have ended and may be back
// at any moment. The target counts as cold from then on, until
//
//   - it answers a request that was sent before then, which shows that it did
//     not end (except within `kInFlightGrace`, as such an answer may have been
//     in flight when the target ended); or
//   - it answers a request that was sent later. The target may have started
//     just before the answer, so it stays cold for one cold-start time from
//     then on; or
//   - `kUncertainTime` has passed. By then the target's entry has been
//     rewritten or has lapsed.
//
// Wrongly treating a live target as cold costs little: other targets take its
// work, and the routers that may send to cold targets still do. The uncertainty
// has to end by itself, because a target that gets no requests cannot show that
// it is alive.
//
// Owns four times; does not read the clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_TARGET_WARMTH_H_
#define QUAYTRACK_DISPATCH_TARGET_WARMTH_H_

#include <algorithm>
#include <array>
#include <chrono>

#include "base/clock.h"
#include "base/enum_table.h"
#include "fleet/target_registry.h"

namespace quaytrack {

// Why a target counts as cold. The strings are those of the log.
enum class ColdSign {
  kEntry,     // its entry in the store
  kStart,     // it has restarted under its name
  kAnswer,    // one of its answers
  kHallOpen,  // its hall was closed to work and has been reopened
  kLost,      // it may have ended: an attempt got no answer
};

template <>
struct EnumTable<ColdSign> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<ColdSign>>({{ColdSign::kEntry, "entry"},
                                          {ColdSign::kStart, "start"},
                                          {ColdSign::kAnswer, "answer"},
                                          {ColdSign::kHallOpen, "hall_open"},
                                          {ColdSign::kLost, "lost"}});
};

class TargetWarmth {
 public:
  // Time after which a target's entry shows whether the target has restarted.
  static constexpr Duration kUncertainTime = kMaxEntryDelay;
  // Bytes that a target sent before it ended are read at most this long after
  // its end was seen, because both events wait in the same loop.
  static constexpr Duration kInFlightGrace = std::chrono::milliseconds(100);
  // Upper bound on the cold time that is accepted from a target, so that a huge
  // announced value does not exclude the target for long.
  static constexpr Duration kLongestCold = std::chrono::seconds(120);

  // Notes that the target is cold for at least `remaining` from now on.
  void OnCold(Instant now, Duration remaining, ColdSign sign) {
    const Duration bounded =
        std::clamp(remaining, Duration::zero(), kLongestCold);
    if (now + bounded <= cold_until_) return;
    cold_until_ = now + bounded;
    reason_ = sign;
  }

  // Notes that an attempt got no answer, or that the target closed an idle
  // connection earlier than announced.
  void OnLost(Instant now) {
    if (!IsCold(now)) reason_ = ColdSign::kLost;
    lost_at_ = now;
    uncertain_until_ = now + kUncertainTime;
    restart_until_ = uncertain_until_;
  }

  // Forgets that the target may have ended.
  void ForgetLost() { uncertain_until_ = restart_until_ = {}; }

  // Notes that the target answered a request that was sent at `sent_at`, or
  // sent an event of its answer.
  void OnAlive(Instant now, Instant sent_at, Duration cold_start) {
    if (sent_at < lost_at_) {
      if (now - lost_at_ > kInFlightGrace) ForgetLost();
      return;
    }
    if (now >= uncertain_until_) return;
    uncertain_until_ = {};
    OnCold(now, cold_start, ColdSign::kLost);
  }

  // Whether the target may have started again since its entry was written. An
  // answer to a later request doesn't show that it hasn't.
  bool MayHaveRestarted(Instant now) const { return now < restart_until_; }

  bool IsCold(Instant now) const {
    return now < cold_until_ || now < uncertain_until_;
  }
  // Why it is cold, or was cold the last time.
  ColdSign reason() const { return reason_; }

 private:
  Instant cold_until_{};
  Instant lost_at_{};
  Instant uncertain_until_{};
  Instant restart_until_{};
  ColdSign reason_ = ColdSign::kEntry;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TARGET_WARMTH_H_
