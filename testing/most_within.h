// The largest number of times from a list that lie within one span.
//
//   const std::size_t most = MaxCountWithin(arrivals, std::chrono::seconds(1));
//
// Tests use it for limits on the events in any second. The span may begin at
// any of the times and excludes its end. `T` is a time or a number.

#ifndef QUAYTRACK_TESTING_MOST_WITHIN_H_
#define QUAYTRACK_TESTING_MOST_WITHIN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace quaytrack {

template <class T, class Span>
std::size_t MaxCountWithin(std::vector<T> times, Span span) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < times.size(); ++n) {
    while (times[n] - times[first] >= span) ++first;
    most = std::max(most, n - first + 1);
  }
  return most;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_MOST_WITHIN_H_
