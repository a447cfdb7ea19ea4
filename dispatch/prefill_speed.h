// PrefillSpeed: estimates how long the engines of a service take to the first
// event of an answer.
//
//   PrefillSpeed speed;
//   speed.OnFirstEvent(tokens, waited_ms);      // first event received
//   const double ms = speed.PrefillMs(tokens);  // busy time of the engine
//   const double wait = speed.FirstEventMs(tokens);
//
// Engines of one deployment prefill 20 tokens in a millisecond, engines of
// another 50, and no setting gives a router this speed. Placement needs the
// speed to decide whether to wait for an engine that has parts of the prompt
// cached, and to estimate how long prompts sent by peers keep an engine busy.
//
// Estimate: a line fitted by least squares to the wait for the first event over
// the tokens that this router knew had to be prefilled before that event. Older
// answers lose weight. Prompts of other routers are unknown; they add to the
// waits of short and long prompts alike, so they raise the line but hardly
// change its slope.
//
// Bounds: the initial values apply until `kMinAnswers` answers were received. A
// wait counts for at most `kMaxWaitFactor` times the expected wait. A dead
// engine, a network cut or a frozen router therefore moves the line little, and
// an engine that has become slow moves it within several answers. Speed and
// base stay within fixed bounds whatever is reported.
//
// Owns a few sums. It uses no time: weights decay by answers.

#ifndef QUAYTRACK_DISPATCH_PREFILL_SPEED_H_
#define QUAYTRACK_DISPATCH_PREFILL_SPEED_H_

#include "base/ids.h"

namespace quaytrack {

// A line: wait in milliseconds over tokens.
struct SpeedLine {
  double ms_per_token = 0;
  double base_ms = 0;
  // Number of answers that the line was fitted to, with decayed weights.
  double answers = 0;
};

class PrefillSpeed {
 public:
  // `tokens` had to be prefilled before the first event, which was received
  // after `waited_ms` milliseconds.
  void OnFirstEvent(Tokens tokens, double waited_ms);

  // Takes the estimate of a peer as the initial values, unless this router has
  // enough answers of its own.
  void OnPeerLine(const SpeedLine& peer);
  SpeedLine line() const { return {ms_per_token_, base_ms_, answers_}; }

  // Milliseconds for which an engine is busy with `tokens`.
  double PrefillMs(Tokens tokens) const;
  // Milliseconds until a first event before which `tokens` are to be prefilled.
  double FirstEventMs(Tokens tokens) const {
    return base_ms_ + PrefillMs(tokens);
  }
  // The part of the wait in milliseconds that does not depend on any prompt.
  double base_ms() const { return base_ms_; }

 private:
  void FitLine();
  void SetLine(double ms_per_token, double base_ms);

  // Sums over the answers with decayed weights: number, tokens, waits,
  // products.
  double answers_ = 0;
  double tokens_ = 0;
  double waits_ = 0;
  double tokens_squared_ = 0;
  double tokens_waits_ = 0;
  // The fitted line.
  double ms_per_token_ = kInitialMsPerToken;
  double base_ms_ = kInitialBaseMs;

  // The line before there are answers. Known engines prefill 30 to 50 tokens in
  // a millisecond.
  static constexpr double kInitialMsPerToken = 1.0 / 50;
  static constexpr double kInitialBaseMs = 40;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PREFILL_SPEED_H_
