// Converts durations to libevent's form.
//
//   const timeval tv = ToTimeval(250ms);
//   event_add(event, &tv);
//
// Values are rounded towards zero, to microseconds.

#ifndef QUAYTRACK_NET_TIMEVAL_H_
#define QUAYTRACK_NET_TIMEVAL_H_

#include <sys/time.h>

#include <chrono>

#include "base/clock.h"

namespace quaytrack {

inline timeval ToTimeval(Duration d) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(d);
  timeval out{};
  out.tv_sec = static_cast<time_t>(us.count() / 1000000);
  out.tv_usec = static_cast<suseconds_t>(us.count() % 1000000);
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_TIMEVAL_H_
