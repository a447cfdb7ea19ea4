// PrefillSpeed: how long the engines of a service take to a first event, as
// this router sees it.
//
//   PrefillSpeed speed;
//   speed.OnFirstEvent(tokens, waited_ms);      // an answer has begun
//   const double ms = speed.PrefillMs(tokens);  // the engine is busy
//   const double wait = speed.FirstEventMs(tokens);
//
// Pattern. Engines of one deployment prefill 20 tokens in a millisecond, those
// of another 50, and nobody tells a router. What it compares depends on it:
// whether an engine that has a prompt's parts cached is worth waiting for, and
// how long an engine is busy with what peers sent there.
//
// The estimate. A line through what was seen: the wait for a first event over
// the tokens that this router knew to be ahead of it, by least squares in which
// older answers fade. What others send is not known; it adds to the waits
// alike, whatever the size of the prompt, so it raises the line and hardly
// turns it.
//
// Robust by bounds. Until `kLeastAnswers` have come the first guess holds. A
// wait counts for at most `kMostOfExpected` times what was expected, so that a
// dead engine, a cut or a frozen router moves the line little, and an engine
// that has turned slow moves it in several answers. Speed and base stay within
// fixed bounds whatever is reported.
//
// It owns a few sums, and relies on nothing; there is no time in it, as it
// fades by answers.

#ifndef QUAYTRACK_DISPATCH_PREFILL_SPEED_H_
#define QUAYTRACK_DISPATCH_PREFILL_SPEED_H_

#include "base/ids.h"

namespace quaytrack {

// A line through waits over tokens.
struct SpeedLine {
  double ms_per_token = 0;
  double base_ms = 0;
  // How many answers it was fitted to; older ones count less.
  double answers = 0;
};

class PrefillSpeed {
 public:
  // `tokens` had to be prefilled until the first event, which came after
  // `waited_ms` milliseconds.
  void OnFirstEvent(Tokens tokens, double waited_ms);

  // What a peer has learned. It is taken for the first guess by a router that
  // has seen too little itself.
  void OnPeerLine(const SpeedLine& peer);
  SpeedLine line() const { return {ms_per_token_, base_ms_, answers_}; }

  // Milliseconds for which an engine is busy with that many tokens.
  double PrefillMs(Tokens tokens) const;
  // Milliseconds until a first event with that many tokens ahead of it.
  double FirstEventMs(Tokens tokens) const {
    return base_ms_ + PrefillMs(tokens);
  }
  // Milliseconds of a first event that don't depend on any prompt.
  double base_ms() const { return base_ms_; }

 private:
  void FitLine();
  void SetLine(double ms_per_token, double base_ms);

  // Faded sums over the answers: their number, tokens, waits, products.
  double answers_ = 0;
  double tokens_ = 0;
  double waits_ = 0;
  double tokens_squared_ = 0;
  double tokens_waits_ = 0;
  // The line.
  double ms_per_token_ = kFirstGuessMsPerToken;
  double base_ms_ = kFirstGuessBaseMs;

  // Until answers tell better. Not measured: engines known so far prefill 30 to
  // 50 tokens in a millisecond.
  static constexpr double kFirstGuessMsPerToken = 1.0 / 50;
  static constexpr double kFirstGuessBaseMs = 40;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PREFILL_SPEED_H_
