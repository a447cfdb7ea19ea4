#include "fleet/hall_regions.h"

#include <string>

namespace quaytrack {

std::optional<HallRegions> HallRegions::Parse(std::string_view text) {
  HallRegions out;
  while (!text.empty()) {
    const std::string_view entry = text.substr(0, text.find(','));
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const HallName hall{std::string(entry.substr(0, equals))};
    const RegionName region{std::string(entry.substr(equals + 1))};
    if (hall.empty() || region.empty()) return std::nullopt;
    if (!out.regions_.emplace(hall, region).second) return std::nullopt;
    const bool is_last = entry.size() == text.size();
    text.remove_prefix(entry.size() + (is_last ? 0 : 1));
    if (!is_last && text.empty()) return std::nullopt;
  }
  return out;
}

}  // namespace quaytrack
