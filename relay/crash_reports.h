// The encoding of crash reports, which routers keep in the store and send to
// each other.
//
//   const std::string bytes = EncodeCrashReports(reports);
//   if (const auto it = DecodeCrashReports(bytes)) ...
//
// The format is CBOR with two lists: crashes [cause, target, time, begun for]
// and causes that ran well [cause, time]. A crash of a part has the request as
// a fifth field; for others it is the cause. Times are milliseconds of the wall
// clock since 1970, spans are milliseconds. Other bytes decode to std::nullopt.
// Lists are truncated to `kMaxPerList`, so that a single entry takes only a
// bounded share of a reader's memory.

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
  // Length of each list. A router sees a few crashes a second at most, each
  // with some requests that had just begun and their parts; 64 entries of 120
  // bytes are 8 KB for each router in the store.
  static constexpr std::size_t kMaxPerList = 64;

  std::vector<CrashReport> crashes;
  std::vector<RanReport> ran;
};

std::string EncodeCrashReports(const CrashReports& reports);
// Returns std::nullopt if `bytes` can't be decoded.
std::optional<CrashReports> DecodeCrashReports(std::string_view bytes);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_CRASH_REPORTS_H_
