// All requests that this router is serving, model and service calls, by id.
//
//   requests.With(id, [](auto& it) { it.OnHoldGranted(); });
//
// RequestTable owns the requests. A request that has ended is removed by a
// posted callback, not from within its own member functions
// (RouterContext::on_request_ended). Events for a request that has been removed
// are ignored.

#ifndef QUAYTRACK_ROUTER_REQUEST_TABLE_H_
#define QUAYTRACK_ROUTER_REQUEST_TABLE_H_

#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "router/forward.h"
#include "router/model_job.h"
#include "router/service_job.h"

namespace quaytrack {

class RequestTable {
 public:
  using AnyForward = std::variant<std::shared_ptr<Forward<ModelJob>>,
                                  std::shared_ptr<Forward<ServiceJob>>>;

  void Add(const RequestId& request, AnyForward forward) {
    requests_.emplace(request, std::move(forward));
  }
  void Remove(const RequestId& request) { requests_.erase(request); }
  std::size_t size() const { return requests_.size(); }

  // Calls `visit` with the request; returns false if the request has been
  // removed.
  template <class Visit>
  bool With(const RequestId& request, Visit visit) {
    auto it = requests_.find(request);
    if (it == requests_.end()) return false;
    const AnyForward keep = it->second;
    std::visit([&](const auto& forward) { visit(*forward); }, keep);
    return true;
  }

  // Calls `visit` with each request; `visit` may end requests.
  template <class Visit>
  void ForEach(Visit visit) {
    std::vector<AnyForward> all;
    all.reserve(requests_.size());
    for (const auto& [request, it] : requests_) all.push_back(it);
    for (const AnyForward& it : all) {
      std::visit([&](const auto& forward) { visit(*forward); }, it);
    }
  }

 private:
  std::map<RequestId, AnyForward> requests_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_REQUEST_TABLE_H_
