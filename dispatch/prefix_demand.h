// PrefixDemand: how often this router's callers request each shared prompt
// part.
//
//   PrefixDemand demand;
//   demand.OnSent(now, part, tokens, routers_in_hall);
//   if (demand.IsHigh(part)) ...                       // see below
//   const double per_s = demand.TokensPerS(now, part);  // of this router
//
// A part is in high demand if the routers of one hall together request it at
// least `kHighPerS` times a second, if all of them do so as often as this one.
// Engines of one hall then keep it cached without requests of other halls. It
// remains so until the demand has halved, so that the routers of a hall do not
// alternate between two engines.
//
// Bounded: beyond `kMaxParts` parts, the one requested least is forgotten.
//
// Owns its counts; relies on the time passed in; cannot fail.

#ifndef QUAYTRACK_DISPATCH_PREFIX_DEMAND_H_
#define QUAYTRACK_DISPATCH_PREFIX_DEMAND_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class PrefixDemand {
 public:
  // Notes a request for a part, of which `tokens` are prefilled each time.
  void OnSent(Instant now, std::uint64_t part, Tokens tokens,
              std::size_t routers_in_hall) {
    Entry& it = parts_[part];
    Decay(now, it);
    it.requests += 1;
    it.tokens += static_cast<double>(tokens);
    const double hall_per_s =
        it.requests / kMemoryS * static_cast<double>(routers_in_hall);
    if (hall_per_s >= kHighPerS && it.requests >= kMinRequests)
      it.is_high = true;
    if (hall_per_s < kHighPerS / 2) it.is_high = false;
    if (parts_.size() > kMaxParts) ForgetLeast(now);
  }

  bool IsHigh(std::uint64_t part) const {
    const auto it = parts_.find(part);
    return it != parts_.end() && it->second.is_high;
  }
  double TokensPerS(Instant now, std::uint64_t part) const {
    const auto it = parts_.find(part);
    if (it == parts_.end()) return 0;
    Entry at = it->second;
    Decay(now, at);
    return at.tokens / kMemoryS;
  }

 private:
  // Time over which counts decay by a factor of e: long enough for a router
  // that sees a part a few times in it.
  static constexpr double kMemoryS = 10;
  static constexpr double kHighPerS = 5;
  // With fewer requests, chance decides what a router takes for high demand.
  static constexpr double kMinRequests = 3;
  static constexpr std::size_t kMaxParts = 256;

  struct Entry {
    Instant at{};
    double requests = 0;
    double tokens = 0;
    bool is_high = false;
  };

  static void Decay(Instant now, Entry& it) {
    const double factor = std::exp(-ToSeconds(now - it.at) / kMemoryS);
    it.requests *= factor;
    it.tokens *= factor;
    it.at = now;
  }

  void ForgetLeast(Instant now) {
    const auto left = [now](const Entry& it) {
      return it.requests * std::exp(-ToSeconds(now - it.at) / kMemoryS);
    };
    parts_.erase(std::min_element(parts_.begin(), parts_.end(),
                                  [&](const auto& a, const auto& b) {
                                    return left(a.second) < left(b.second);
                                  }));
  }

  std::unordered_map<std::uint64_t, Entry> parts_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PREFIX_DEMAND_H_
