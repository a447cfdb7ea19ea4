// Crash reports as routers keep them in the store and tell each other.
//
//   const std::string bytes = EncodeCrashReports(reports);
//   if (const auto it = DecodeCrashReports(bytes)) ...
//
// CBOR: two lists, of crashes [request, target, time, begun for] and of
// requests that ran well after all [request, time]. Times are milliseconds of
// the wall clock since 1970, spans are milliseconds. What isn't that is no
// value; of lists that are longer than `kMostOfOne` the rest is left out, so
// that nobody's entry takes more than a bounded part of a reader's memory.

#ifndef QUAYTRACK_RELAY_CRASH_REPORTS_H_
#define QUAYTRACK_RELAY_CRASH_REPORTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/crash_blame.h"

namespace quaytrack {

struct CrashReports {
  // Of each list. A router sees a few crashes a second at most, and of each one
  // or two requests that had just begun; 64 of 80 bytes are 5 KB for each
  // router in the store.
  static constexpr std::size_t kMostOfOne = 64;

  std::vector<CrashReport> crashes;
  std::vector<RanReport> ran;
};

std::string EncodeCrashReports(const CrashReports& reports);
// Empty when `bytes` is none.
std::optional<CrashReports> DecodeCrashReports(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CRASH_REPORTS_H_
