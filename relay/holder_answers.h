// HolderAnswers learns which holders of grants answer hold requests in time, so
// that a router refuses a request immediately if no holder would answer it.
//
//   answers.OnAnswered(holder, asked_at);          // in time
//   answers.OnUnanswered(now, holder, asked_at);   // timed out
//   if (!answers.Answers(now, holder)) {
//     if (answers.TakeProbe(now, holder)) ...      // probe it
//   }
//
// A holder counts as silent only if all of this holds:
//   - At least `min_unanswered` requests timed out, all of them sent after the
//     last request that it answered in time.
//   - The first of them was sent at least `min_silence` ago.
//   - The latest timed out less than `evidence_lifetime` ago. Without newer
//     evidence the holder is asked as usual, so the first request after a pause
//     is never refused unasked.
// One answer in time, to a request or to a probe, ends the silence. While a
// silent holder is skipped, one probe is due every `probe_every`.
//
// What remains: a request that arrives while the holder is recovering may be
// refused although the holder would have answered within the timeout. Probes
// bound that time to `probe_every` plus one answer time.
//
// Owns only counts. Time is passed in. It reports no errors; an unknown holder
// counts as answering.

#ifndef QUAYTRACK_RELAY_HOLDER_ANSWERS_H_
#define QUAYTRACK_RELAY_HOLDER_ANSWERS_H_

#include <chrono>
#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class HolderAnswers {
 public:
  struct Limits {
    // Requests of a burst are sent together, so a few lost ones prove little.
    int min_unanswered = 5;
    // Two timeouts of a holder (relay/hold_patience.h).
    Duration min_silence = std::chrono::milliseconds(400);
    // Longer than a probe's timeout and interval together, so that probes keep
    // the evidence fresh.
    Duration evidence_lifetime = std::chrono::milliseconds(500);
    // Short against a caller's retry; ten small messages a second.
    Duration probe_every = std::chrono::milliseconds(100);
  };

  HolderAnswers() = default;
  explicit HolderAnswers(const Limits& limits) : limits_(limits) {}

  // The holder has answered in time what was sent at `asked_at`.
  void OnAnswered(const Incarnation& holder, Instant asked_at);
  // What was sent at `asked_at` has timed out. Returns whether the holder has
  // just become silent.
  bool OnUnanswered(Instant now, const Incarnation& holder, Instant asked_at);
  void Forget(const Incarnation& holder) { holders_.erase(holder); }
  // Drops all evidence, after a stall of this router: answers may have arrived
  // unread.
  void Clear() { holders_.clear(); }

  bool Answers(Instant now, const Incarnation& holder) const;
  // Whether a silent holder is to be probed now; true at most once every
  // `probe_every`.
  bool TakeProbe(Instant now, const Incarnation& holder);
  // Requests and probes that timed out since the last answer in time.
  int Unanswered(const Incarnation& holder) const;

 private:
  struct Evidence {
    int unanswered = 0;
    // When the last request that was answered in time was sent.
    Instant answered{};
    // When the first unanswered request was sent.
    Instant first_asked{};
    Instant last_timeout{};
    Instant last_probe{};
  };

  bool IsSilent(Instant now, const Evidence& it) const;

  Limits limits_;
  std::map<Incarnation, Evidence> holders_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_HOLDER_ANSWERS_H_
