// Residency is the set of regions in which a request may be processed.
//
//   const Residency anywhere;
//   const Residency north({RegionName("north")});
//   const Residency both = route.residency.And(customer.residency);
//   if (both.IsNowhere()) ...           // no region may serve the request
//   if (both.Allows(region)) ...
//
// A residency with a list of regions allows only these, and never an unknown
// region. A residency with an empty list allows no region, while a
// default-constructed one allows every region.

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
  // Allows every region.
  Residency() = default;
  // Allows only `regions`.
  explicit Residency(std::set<RegionName> regions)
      : regions_(std::move(regions)) {}

  // Whether some region is excluded.
  bool IsBound() const { return regions_.has_value(); }
  bool IsNowhere() const { return regions_ && regions_->empty(); }
  // Whether requests may be processed in `region`. An empty name stands for an
  // unknown region.
  bool Allows(const RegionName& region) const {
    return !regions_ || (!region.empty() && regions_->contains(region));
  }

  // Returns the residency that allows the regions that both this one and
  // `other` allow.
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
