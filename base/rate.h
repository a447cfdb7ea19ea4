// DecayingRate is an exponentially decaying rate, in units per second.
//
//   DecayingRate rate(std::chrono::seconds(30));
//   rate.Add(now, 120);
//   rate.PerSecond(now);
//
// Units added `tau` ago weigh 1/e of units added now, so a burst decays even
// while nothing is added. Memory use doesn't depend on the rate: the state is
// two numbers. The caller passes the time as `now`; a time before the latest
// one counts as the latest.

#ifndef QUAYTRACK_BASE_RATE_H_
#define QUAYTRACK_BASE_RATE_H_

#include <cmath>

#include "base/clock.h"

namespace quaytrack {

class DecayingRate {
 public:
  explicit DecayingRate(Duration tau) : tau_(ToSeconds(tau)) {}

  void Add(Instant now, double units) {
    Decay(now);
    weight_ += units;
  }

  double PerSecond(Instant now) const { return weight_ * Factor(now) / tau_; }

 private:
  double Factor(Instant now) const {
    if (now <= last_) return 1.0;
    return std::exp(-ToSeconds(now - last_) / tau_);
  }

  void Decay(Instant now) {
    weight_ *= Factor(now);
    if (now > last_) last_ = now;
  }

  double tau_;
  double weight_ = 0;
  Instant last_{};
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_RATE_H_
