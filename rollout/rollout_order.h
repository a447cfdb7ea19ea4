// RolloutOrder: an order by operators to move the traffic of a service to the
// targets of another version.
//
//   const RolloutOrder order = read(item);    // platform/rollout_json.h
//   if (order.IsEquivalentTo(current) && later_era) resume(order);
//   else start(order);
//
// A store that was restored (base/store_revision.h) has the same order at a
// revision of a later era; a roll-out in progress then continues. Within one
// era, an order that is written again is a new order.

#ifndef QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_
#define QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_

#include <chrono>

#include "base/ids.h"
#include "base/store_revision.h"

namespace quaytrack {

struct RolloutOrder {
  ServiceName service;
  // Version of the targets that are to get all requests of the service.
  VersionName version;
  // Time from when the order was written until the move has to be over, whether
  // completed or reverted.
  std::chrono::milliseconds duration{0};
  // Revision of the store at the last change of the order.
  StoreRevision revision;

  // Whether both orders request the same move; the revision may differ.
  bool IsEquivalentTo(const RolloutOrder& other) const {
    return service == other.service && version == other.version &&
           duration == other.duration;
  }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_
