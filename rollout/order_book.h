// RolloutOrders: the orders in the store to move services to other versions.
//
//   RolloutOrders all;
//   for (const ServiceName& it : all.Replace(orders, revision)) ...
//   if (all.Put(order)) ...
//   if (all.Remove(service)) ...
//   for (const ServiceName& it : all.DropCarried()) ...  // some time later
//
// A store that was restored from an older copy may lack an order that operators
// are about to write again. The first reading of a later era
// (base/store_revision.h) therefore removes no order: orders that are missing
// in the store are carried over, and `DropCarried` removes those that were not
// written again by then.
//
// Owns the orders; does not read the clock; cannot fail.

#ifndef QUAYTRACK_ROLLOUT_ORDER_BOOK_H_
#define QUAYTRACK_ROLLOUT_ORDER_BOOK_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/store_revision.h"
#include "rollout/rollout_order.h"

namespace quaytrack {

class RolloutOrders {
 public:
  // Takes all orders in the store as of `revision`. Returns the services whose
  // order is new, changed or removed.
  std::vector<ServiceName> Replace(const std::vector<RolloutOrder>& orders,
                                   StoreRevision revision) {
    const bool is_later_era =
        last_revision_ && revision.era > last_revision_->era;
    last_revision_ = revision;
    std::vector<ServiceName> out;
    std::set<ServiceName> missing;
    for (const auto& [service, order] : orders_) missing.insert(service);
    for (const RolloutOrder& it : orders) {
      missing.erase(it.service);
      if (Put(it)) out.push_back(it.service);
    }
    if (is_later_era) {
      carried_ = missing;
      return out;
    }
    for (const ServiceName& it : missing) {
      if (Remove(it)) out.push_back(it);
    }
    return out;
  }

  // `Put` adds or replaces an order, and `Remove` removes one. They return
  // whether anything changed.
  bool Put(const RolloutOrder& order) {
    carried_.erase(order.service);
    const auto it = orders_.find(order.service);
    if (it != orders_.end() && it->second.revision >= order.revision) {
      return false;
    }
    orders_[order.service] = order;
    return true;
  }
  bool Remove(const ServiceName& service) {
    carried_.erase(service);
    return orders_.erase(service) > 0;
  }

  // Whether any order is carried over.
  bool HasCarried() const { return !carried_.empty(); }
  std::vector<ServiceName> DropCarried() {
    const std::vector<ServiceName> out(carried_.begin(), carried_.end());
    for (const ServiceName& it : out) Remove(it);
    return out;
  }

  // The order for `service`; null if there is none.
  const RolloutOrder* Find(const ServiceName& service) const {
    const auto it = orders_.find(service);
    return it == orders_.end() ? nullptr : &it->second;
  }

 private:
  std::map<ServiceName, RolloutOrder> orders_;
  // Services whose order is carried over but missing in the store.
  std::set<ServiceName> carried_;
  std::optional<StoreRevision> last_revision_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ORDER_BOOK_H_
