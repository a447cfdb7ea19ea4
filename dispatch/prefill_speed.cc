#include "dispatch/prefill_speed.h"

#include <algorithm>
#include <cmath>

namespace quaytrack {
namespace {

// Factor on the weight of older answers with each new one. About the last 100
// answers count, which is 10 s of a router with ten streams a second.
constexpr double kDecay = 0.99;
// Number of answers from which the fitted line is used; with fewer, one slow
// answer changes its slope too much.
constexpr double kMinAnswers = 20;
// A wait counts for at most `kMaxWaitFactor` times the expected wait plus
// `kAlwaysAllowedMs`. Three in ten answers wait for prompts of other routers;
// without the bound, the line became up to four times as steep as the engine
// (126 ms for 1,000 tokens where it takes 31).
constexpr double kMaxWaitFactor = 1.3;
constexpr double kAlwaysAllowedMs = 20;
// Bounds of the line, far beyond any engine: 1 to 1000 tokens in a millisecond,
// and up to a second for a first event.
constexpr double kMinMsPerToken = 0.001;
constexpr double kMaxMsPerToken = 1;
constexpr double kMaxBaseMs = 1000;
// If the standard deviation of the prompts is below this share of their mean,
// the slope is not fitted.
constexpr double kMinSpread = 0.1;

}  // namespace

double PrefillSpeed::PrefillMs(Tokens tokens) const {
  return static_cast<double>(std::max<Tokens>(0, tokens)) * ms_per_token_;
}

void PrefillSpeed::OnFirstEvent(Tokens tokens, double waited_ms) {
  if (tokens < 0 || !std::isfinite(waited_ms) || waited_ms < 0) return;
  const double max_wait_ms =
      FirstEventMs(tokens) * kMaxWaitFactor + kAlwaysAllowedMs;
  const double x = static_cast<double>(tokens);
  const double y = std::min(waited_ms, max_wait_ms);
  answers_ = answers_ * kDecay + 1;
  tokens_ = tokens_ * kDecay + x;
  waits_ = waits_ * kDecay + y;
  tokens_squared_ = tokens_squared_ * kDecay + x * x;
  tokens_waits_ = tokens_waits_ * kDecay + x * y;
  if (answers_ >= kMinAnswers) FitLine();
}

void PrefillSpeed::FitLine() {
  const double mean_tokens = tokens_ / answers_;
  const double mean_wait = waits_ / answers_;
  const double variance =
      tokens_squared_ / answers_ - mean_tokens * mean_tokens;
  const double spread = mean_tokens * kMinSpread;
  double slope = ms_per_token_;
  if (variance > spread * spread && variance > 1) {
    const double covariance =
        tokens_waits_ / answers_ - mean_tokens * mean_wait;
    slope = covariance / variance;
  }
  slope = std::clamp(slope, kMinMsPerToken, kMaxMsPerToken);
  SetLine(slope, mean_wait - slope * mean_tokens);
}

void PrefillSpeed::SetLine(double ms_per_token, double base_ms) {
  ms_per_token_ = std::clamp(ms_per_token, kMinMsPerToken, kMaxMsPerToken);
  base_ms_ = std::clamp(base_ms, 0.0, kMaxBaseMs);
}

void PrefillSpeed::OnPeerLine(const SpeedLine& peer) {
  if (answers_ >= kMinAnswers || !(peer.answers >= kMinAnswers)) return;
  if (!std::isfinite(peer.ms_per_token) || !std::isfinite(peer.base_ms)) return;
  SetLine(peer.ms_per_token, peer.base_ms);
}

}  // namespace quaytrack
