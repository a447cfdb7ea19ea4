// OrderBook: the orders to move services to other versions, as the store has
// them.
//
//   OrderBook book;
//   for (const ServiceName& it : book.Replace(orders, revision)) ...  //
//   changed if (book.Put(order)) ... if (book.Remove(service)) ... for (const
//   ServiceName& it : book.DropCarried()) ...     // some time later
//
// A store that comes back from an older copy of itself may lack an order that
// operators write again soon. So the first reading of a later era takes no
// order away; what isn't written again until `DropCarried` is gone.
//
// It owns the orders, reads no clock and reports no errors.

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

class OrderBook {
 public:
  // All orders there are, as of `revision`. Returns the services whose order is
  // new, another one, or gone.
  std::vector<ServiceName> Replace(const std::vector<RolloutOrder>& orders,
                                   StoreRevision revision) {
    const bool is_later_era = known_ && revision.era > known_->era;
    known_ = revision;
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

  // Whether that changes anything.
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

  bool HasCarried() const { return !carried_.empty(); }
  std::vector<ServiceName> DropCarried() {
    const std::vector<ServiceName> out(carried_.begin(), carried_.end());
    for (const ServiceName& it : out) Remove(it);
    return out;
  }

  // Null if there is none.
  const RolloutOrder* Find(const ServiceName& service) const {
    const auto it = orders_.find(service);
    return it == orders_.end() ? nullptr : &it->second;
  }

 private:
  std::map<ServiceName, RolloutOrder> orders_;
  // Not in the store's latest copy of itself.
  std::set<ServiceName> carried_;
  std::optional<StoreRevision> known_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROLLOUT_ORDER_BOOK_H_
