// Residency: the regions in which a request may be processed.
//
//   const Residency anywhere;
//   const Residency north({RegionName("north")});
//   const Residency both = route.residency.And(customer.residency);
//   if (both.IsNowhere()) ...           // nothing may serve the request
//   if (both.Allows(region)) ...
//
// A residency that names regions allows no other, and never one that isn't
// known. One that names none of them allows nothing, which differs from having
// no residency at all.

#ifndef QUAYTRACK_BASE_RESIDENCY_H_
#define QUAYTRACK_BASE_RESIDENCY_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "base/ids.h"

namespace quaytrack {

class Residency {
 public:
  // Anywhere.
  Residency() = default;
  // Only there.
  explicit Residency(std::set<RegionName> regions)
      : regions_(std::move(regions)) {}

  bool IsNowhere() const { return regions_ && regions_->empty(); }
  // An empty name is a region that isn't known.
  bool Allows(const RegionName& region) const {
    return !regions_ || (!region.empty() && regions_->contains(region));
  }

  // What both allow.
  Residency And(const Residency& other) const {
    if (!regions_) return other;
    if (!other.regions_) return *this;
    std::set<RegionName> both;
    std::set_intersection(regions_->begin(), regions_->end(),
                          other.regions_->begin(), other.regions_->end(),
                          std::inserter(both, both.end()));
    return Residency(std::move(both));
  }

  bool operator==(const Residency&) const = default;

 private:
  std::optional<std::set<RegionName>> regions_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_RESIDENCY_H_
