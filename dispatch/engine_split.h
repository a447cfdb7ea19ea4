// EngineSplit: whether long prompts get engines of their own, and how many.
//
//   EngineSplit split;
//   split.OnSent(now, is_long, prefill_ms);
//   split.OnStreamed(now, is_long, rank, streamed, held_up);
//   split.Decide(now, peers_work, engines);
//   if (split.IsForShort(rank)) ...        // ranks from 0, the same everywhere
//
// Pattern. Short prompts with long answers share engines with long prompts. An
// engine prefills a long prompt in pieces between the tokens of its streams, so
// each of those pauses; where a pause is longer than the route allows, the
// answer is late although its first event came in time. Slow engines, large
// pieces and strict routes make it so, fast engines don't.
//
// The rule, for each service:
//   - a prompt is long if its prefill alone takes half of the pause that is
//     allowed (placement decides that by the learned speed);
//   - while `kApart` or more of the short streams would be held up beside long
//     prompts, the two are kept apart; below `kTogether` they share all engines
//     again. The share comes from all streams on engines that take long
//     prompts, so it stays known while they are apart: a Poisson process with
//     the rate at which those are held up, over the mean length of a short one;
//   - the engines are divided as their prefill work is, each kind getting one
//     at least.
//
// All routers rank the engines alike, and tell each other what they saw
// (`EngineWork`, with each sign of life), so they decide on nearly the same
// sums without a coordinator. One router alone sees too few long prompts: by
// its own sums its division was off by up to four of twelve engines. Where two
// differ by an engine, that one takes both kinds for a while. The number
// follows the work only when it is off by more than `kSlack`, as each change
// moves the cached parts of one engine.
//
// Published ways: separate engines for prefill and decode (DistServe,
// Splitwise) need a copy of the cache for each request; prefill in pieces
// (Sarathi-Serve) is what these engines do, and it leaves the pauses.
//
// It owns a few sums, and relies on the time passed in. It can't fail.

#ifndef QUAYTRACK_DISPATCH_ENGINE_SPLIT_H_
#define QUAYTRACK_DISPATCH_ENGINE_SPLIT_H_

#include "base/clock.h"
#include "dispatch/faded_sum.h"

namespace quaytrack {

// What routers have seen of one service's engines; older sights count less.
struct EngineWork {
  // Prefill sent, in milliseconds.
  double short_ms = 0;
  double long_ms = 0;
  // Streams of short prompts, and their seconds.
  double short_streams = 0;
  double short_seconds = 0;
  // Seconds of streams on engines that take long prompts, and how many of them
  // had a pause that was too long.
  double watched_seconds = 0;
  double held_up = 0;

  EngineWork& operator+=(const EngineWork& it);
};

class EngineSplit {
 public:
  // A request was sent that its engine prefills for `prefill_ms`.
  void OnSent(Instant now, bool is_long, double prefill_ms) {
    (is_long ? long_ms_ : short_ms_).Add(now, prefill_ms);
  }
  // A stream has ended on the engine of that rank; `held_up` if it had a pause
  // that was too long.
  void OnStreamed(Instant now, bool is_long, int rank, Duration streamed,
                  bool held_up);

  // What this router has seen.
  EngineWork Seen(Instant now) const;
  // What was seen that long ago, as it counts today.
  static EngineWork Faded(const EngineWork& work, Duration age);
  // `work`: of all routers together. `engines`: how many there are.
  void Decide(const EngineWork& work, int engines);

  // Whether the engine of that rank takes short prompts alone.
  bool IsForShort(int rank) const { return rank < for_short_; }
  bool is_split() const { return for_short_ > 0; }
  // Engines for short prompts alone; 0 while all share all.
  int for_short() const { return for_short_; }

 private:
  // Seconds after which a sight counts half. The mix of requests changes over
  // minutes; an engine that turns slow has to be seen within one.
  static constexpr double kHalfLife = 20;

  FadedSum short_ms_{kHalfLife};
  FadedSum long_ms_{kHalfLife};
  FadedSum short_streams_{kHalfLife};
  FadedSum short_seconds_{kHalfLife};
  FadedSum watched_seconds_{kHalfLife};
  FadedSum held_up_{kHalfLife};
  int for_short_ = 0;
};

// The share of short streams that would be held up beside long prompts.
double ShareHeldUp(const EngineWork& work);

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_ENGINE_SPLIT_H_
