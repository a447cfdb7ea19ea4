// What operators ask for, and what they are told: a service's traffic is to be
// moved to the targets of another version.
//
//   const RolloutOrder order = read(item);    // platform/rollout_json.h
//   if (order.SameAs(followed) && later_era) go_on(order);
//   else begin(order);
//
// A store that was restored has the same order at a revision of a later era; a
// roll-out under way then goes on. Within one era, an order that is written
// again is a new one.

#ifndef QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_
#define QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_

#include <chrono>

#include "base/ids.h"
#include "base/store_revision.h"

namespace quaytrack {

struct RolloutOrder {
  ServiceName service;
  // Of the targets that are to get all of its requests.
  VersionName version;
  // From the order's writing until the move has to be over, either way.
  std::chrono::milliseconds duration{0};
  // The store's, of the order's last change.
  StoreRevision revision;

  // Whether both ask for the same.
  bool SameAs(const RolloutOrder& other) const {
    return service == other.service && version == other.version &&
           duration == other.duration;
  }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ROLLOUT_ORDER_H_
