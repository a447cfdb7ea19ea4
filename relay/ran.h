// What a router knows about whether a request ran at a target.
//
//   Ran::kNo       The request did not run: nothing of it was passed to the
//                  kernel, or the target stated so. It may be sent to another
//                  target, and a refusal may guarantee the caller that it has
//                  not run.
//   Ran::kUnknown  The request was sent, at least in part, and may have run,
//                  whatever the answer was. It is charged for, and is sent
//                  again only if it may be repeated.
//
// There is no value for "yes", as no decision depends on it. The names are
// those of the `ran` field in answers to callers and in `attempt_ended`.

#ifndef QUAYTRACK_RELAY_RAN_H_
#define QUAYTRACK_RELAY_RAN_H_

#include "base/enum_table.h"

namespace quaytrack {

enum class Ran { kNo, kUnknown };

template <>
struct EnumTable<Ran> {
  static constexpr auto kEntries = std::to_array<EnumEntry<Ran>>(
      {{Ran::kNo, "no"}, {Ran::kUnknown, "unknown"}});
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RAN_H_
