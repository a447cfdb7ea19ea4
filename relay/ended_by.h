// Who ended a request: the field `by` of the log event `relay_ended`. With the
// cause for which the request was given up and the fault of its last attempt,
// it shows for each answer that was cut short who did that, and why.
//
//   const EndedBy by = EndedByOf(RelayCause::kTimedOut, AttemptFault::kNone);
//
// There are no errors.

#ifndef QUAYTRACK_RELAY_ENDED_BY_H_
#define QUAYTRACK_RELAY_ENDED_BY_H_

#include "base/enum_table.h"
#include "relay/attempt.h"
#include "relay/final_answer.h"

namespace quaytrack {

enum class EndedBy {
  kTarget,    // it answered, or failed the last attempt
  kRouter,    // it stopped the last attempt, or had no way to go on
  kDeadline,  // of the caller, or of the route
  kStop,      // a planned stop of the router
  kCaller,    // it closed its connection
};

template <>
struct EnumTable<EndedBy> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<EndedBy>>({{EndedBy::kTarget, "target"},
                                         {EndedBy::kRouter, "router"},
                                         {EndedBy::kDeadline, "deadline"},
                                         {EndedBy::kStop, "stop"},
                                         {EndedBy::kCaller, "caller"}});
};

// `why` is the cause for which the request was given up, and `fault` that of
// its last attempt.
EndedBy EndedByOf(RelayCause why, AttemptFault fault);

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ENDED_BY_H_
