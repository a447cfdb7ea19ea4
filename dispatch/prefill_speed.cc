#include "dispatch/prefill_speed.h"

#include <algorithm>
#include <cmath>

namespace quaytrack {
namespace {

// What an answer still counts for when the next one has come: about the last
// 100 count, which is 10 s of a router with ten streams a second.
constexpr double kFading = 0.99;
// Answers before the line is trusted: with fewer, one slow answer turns it.
constexpr double kLeastAnswers = 20;
// The most that an answer counts, in expected waits, and the milliseconds that
// are always allowed. Three in ten answers wait for prompts of other routers;
// taken as they came, they made the line up to four times as steep as the
// engine (126 ms for 1,000 tokens where it takes 31).
constexpr double kMostOfExpected = 1.3;
constexpr double kAlwaysAllowedMs = 20;
// Bounds of the line, far beyond any engine: 1 to 1000 tokens in a millisecond,
// and up to a second for a first event.
constexpr double kLeastMsPerToken = 0.001;
constexpr double kMostMsPerToken = 1;
constexpr double kMostBaseMs = 1000;
// The spread of prompts, as a part of their mean, below which no slope can be
// told.
constexpr double kLeastSpread = 0.1;

}  // namespace

double PrefillSpeed::PrefillMs(Tokens tokens) const {
  return static_cast<double>(std::max<Tokens>(0, tokens)) * ms_per_token_;
}

void PrefillSpeed::OnFirstEvent(Tokens tokens, double waited_ms) {
  if (tokens < 0 || !std::isfinite(waited_ms) || waited_ms < 0) return;
  const double most = FirstEventMs(tokens) * kMostOfExpected + kAlwaysAllowedMs;
  const double x = static_cast<double>(tokens);
  const double y = std::min(waited_ms, most);
  answers_ = answers_ * kFading + 1;
  tokens_ = tokens_ * kFading + x;
  waits_ = waits_ * kFading + y;
  tokens_squared_ = tokens_squared_ * kFading + x * x;
  tokens_waits_ = tokens_waits_ * kFading + x * y;
  if (answers_ >= kLeastAnswers) FitLine();
}

void PrefillSpeed::FitLine() {
  const double mean_tokens = tokens_ / answers_;
  const double mean_wait = waits_ / answers_;
  const double variance =
      tokens_squared_ / answers_ - mean_tokens * mean_tokens;
  const double spread = mean_tokens * kLeastSpread;
  double slope = ms_per_token_;
  if (variance > spread * spread && variance > 1) {
    const double covariance =
        tokens_waits_ / answers_ - mean_tokens * mean_wait;
    slope = covariance / variance;
  }
  slope = std::clamp(slope, kLeastMsPerToken, kMostMsPerToken);
  SetLine(slope, mean_wait - slope * mean_tokens);
}

void PrefillSpeed::SetLine(double ms_per_token, double base_ms) {
  ms_per_token_ = std::clamp(ms_per_token, kLeastMsPerToken, kMostMsPerToken);
  base_ms_ = std::clamp(base_ms, 0.0, kMostBaseMs);
}

void PrefillSpeed::OnPeerLine(const SpeedLine& peer) {
  if (answers_ >= kLeastAnswers || !(peer.answers >= kLeastAnswers)) return;
  if (!std::isfinite(peer.ms_per_token) || !std::isfinite(peer.base_ms)) return;
  SetLine(peer.ms_per_token, peer.base_ms);
}

}  // namespace quaytrack
