// HallRegions: the region of each hall, from the settings.
//
//   const auto regions = HallRegions::Parse("a-1=a,a-2=a,b-1=b");
//   regions->RegionOf(HallName("a-2"));     // RegionName("a")
//
// A hall that the settings don't name has no known region, so requests that are
// restricted to regions may not go there.

#ifndef QUAYTRACK_FLEET_HALL_REGIONS_H_
#define QUAYTRACK_FLEET_HALL_REGIONS_H_

#include <map>
#include <optional>
#include <string_view>

#include "base/ids.h"

namespace quaytrack {

class HallRegions {
 public:
  // Parses entries "hall=region" with commas between them; `text` may be empty.
  // Returns std::nullopt if an entry lacks a name, or a hall is named twice.
  static std::optional<HallRegions> Parse(std::string_view text);

  // The hall's region; empty if it isn't known.
  RegionName RegionOf(const HallName& hall) const {
    const auto it = regions_.find(hall);
    return it == regions_.end() ? RegionName() : it->second;
  }

 private:
  std::map<HallName, RegionName> regions_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_FLEET_HALL_REGIONS_H_
