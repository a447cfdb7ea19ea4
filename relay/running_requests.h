// RunningRequests holds the requests that this router is serving.
//
//   requests.Add(request);        // keeps it alive
//   requests.Remove(request);     // after its end
//
// Each request adds itself when it starts. A planned stop waits until the set
// is empty (relay/relay_router.h).

#ifndef QUAYTRACK_RELAY_RUNNING_REQUESTS_H_
#define QUAYTRACK_RELAY_RUNNING_REQUESTS_H_

#include <cstddef>
#include <memory>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class RelayedRequest;

class RunningRequests {
 public:
  void Add(const std::shared_ptr<RelayedRequest>& it) { all_.insert(it); }
  void Remove(const std::shared_ptr<RelayedRequest>& it) { all_.erase(it); }
  // `action` must neither add nor remove requests; a request that ends is
  // removed later.
  template <class Action>
  void ForEach(Action&& action) const {
    for (const auto& it : all_) action(*it);
  }
  // Returns the request with the id; null if there is none.
  std::shared_ptr<RelayedRequest> Find(const RequestId& id) const;
  // Counts the requests whose first byte arrived before `time`.
  std::size_t CountStartedBefore(Instant time) const;
  bool empty() const { return all_.empty(); }
  std::size_t size() const { return all_.size(); }

 private:
  std::set<std::shared_ptr<RelayedRequest>> all_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RUNNING_REQUESTS_H_
