// TargetWarmth: whether one target is cold, as far as this router can know.
//
//   TargetWarmth warmth;
//   warmth.OnCold(now, remaining, ColdSign::kEntry);   // somebody says so
//   warmth.OnLost(now);                       // an attempt there got no answer
//   warmth.OnAlive(now, sent_at, cold_start); // it has answered
//   if (warmth.IsCold(now)) ...               // dispatch/shared_rate.h
//
// A target that has just started is slow, and falls over under more requests
// than it bears while it is cold. It may have started again at any moment, and
// says so late: its entry in the store is seconds behind. So a router goes by
// what it sees itself as well. A target that left an attempt without an answer
// (its connection broke or didn't open, or nothing came in time), or that ended
// an idle connection sooner than it said, may have ended, and may be back any
// moment: it counts as cold from then on, until
//
//   - it is shown that it didn't end: it answers a request that it got before
//     (an answer that was on its way when it ended may still come in, for
//     `kOnTheWay`); or
//   - it answers one that it got afterwards: then it has started at the latest
//     now, and is cold for as long as a start takes from now on; or
//   - `kDoubt` has passed. By then its entry has been written anew with what it
//     says of itself, or has lapsed.
//
// Being in doubt about a target that lives costs little: others take its work,
// and those who may send to cold targets still do. It must end by itself, as a
// target that gets nothing shows nothing.
//
// It owns three times, reads no clock, and can't fail.

#ifndef QUAYTRACK_DISPATCH_TARGET_WARMTH_H_
#define QUAYTRACK_DISPATCH_TARGET_WARMTH_H_

#include <algorithm>
#include <array>
#include <chrono>

#include "base/clock.h"
#include "base/enum_table.h"
#include "fleet/target_registry.h"

namespace quaytrack {

// What shows that a target is cold; the words are the log's.
enum class ColdSign {
  kEntry,     // its entry in the store
  kStart,     // it has started again under its name
  kAnswer,    // an answer of its own
  kHallOpen,  // its hall was closed to work, and no longer is
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
  // Then its entry tells.
  static constexpr Duration kDoubt = kEntryTellsWithin;
  // Bytes that a target sent before it ended are read this long after its end
  // was seen, at most: both wait in the same loop. Not measured.
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(100);
  // The longest that a target can say it stays cold. An entry that names years
  // must not shut it out.
  static constexpr Duration kLongestCold = std::chrono::seconds(120);

  // It is cold for `remaining` from now on, at least.
  void OnCold(Instant now, Duration remaining, ColdSign sign) {
    const Duration bounded =
        std::clamp(remaining, Duration::zero(), kLongestCold);
    if (now + bounded <= cold_until_) return;
    cold_until_ = now + bounded;
    sign_ = sign;
  }

  // An attempt there ended without an answer, or an idle connection too soon.
  void OnLost(Instant now) {
    if (!IsCold(now)) sign_ = ColdSign::kLost;
    lost_at_ = now;
    doubt_until_ = now + kDoubt;
  }

  // It has answered a request that was sent at `sent_at`.
  void OnAlive(Instant now, Instant sent_at, Duration cold_start) {
    if (now >= doubt_until_) return;
    if (sent_at >= lost_at_) {
      doubt_until_ = {};
      return OnCold(now, cold_start, ColdSign::kLost);
    }
    if (now - lost_at_ > kOnTheWay) doubt_until_ = {};
  }

  bool IsCold(Instant now) const {
    return now < cold_until_ || now < doubt_until_;
  }
  // Of the latest time that it was cold.
  ColdSign sign() const { return sign_; }

 private:
  Instant cold_until_{};
  Instant lost_at_{};
  Instant doubt_until_{};
  ColdSign sign_ = ColdSign::kEntry;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TARGET_WARMTH_H_
