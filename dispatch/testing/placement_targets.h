// Targets and prompts for the placement tests.
//
//   placement.SetTargets(kStart, Targets(kEngines, 12));
//   placement.Choose(kStart, Prompt(part, own));
//
// The targets are in three halls, "hall-0" to "hall-2", in turn.

#ifndef QUAYTRACK_DISPATCH_TESTING_PLACEMENT_TARGETS_H_
#define QUAYTRACK_DISPATCH_TESTING_PLACEMENT_TARGETS_H_

#include <cstdint>
#include <map>
#include <string>

#include "dispatch/placement.h"

namespace quaytrack {

inline const ServiceName kEngines("llm");
inline const ServiceName kDesk("desk");
inline constexpr Instant kStart{std::chrono::hours(1)};

inline std::map<TargetName, TargetEntry> Targets(const ServiceName& service,
                                                 int n) {
  std::map<TargetName, TargetEntry> out;
  for (int i = 0; i < n; ++i) {
    TargetEntry it;
    it.name = TargetName("t" + std::to_string(i));
    it.service = service;
    it.hall = HallName("hall-" + std::to_string(i % 3));
    it.slots = 6;
    out[it.name] = it;
  }
  return out;
}

// A prompt of two parts: one that others may share, and its own.
inline PlacementRequest Prompt(std::uint64_t shared, std::uint64_t own) {
  PlacementRequest out;
  out.service = kEngines;
  out.parts = {{shared, 13000}, {own, 3000}};
  out.prompt_tokens = 16000;
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TESTING_PLACEMENT_TARGETS_H_
