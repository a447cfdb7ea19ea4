// EngineSights: what one router has seen of a service's engines, as it tells
// its peers with each sign of life.
//
//   placement.SetPeerSights(now, peer, sights);
//
// Plain data. Its figures are bounded where they are used: a peer may be wrong.

#ifndef QUAYTRACK_DISPATCH_ENGINE_SIGHTS_H_
#define QUAYTRACK_DISPATCH_ENGINE_SIGHTS_H_

#include "dispatch/engine_split.h"
#include "dispatch/prefill_speed.h"

namespace quaytrack {

struct EngineSights {
  EngineWork work;
  SpeedLine speed;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_ENGINE_SIGHTS_H_
