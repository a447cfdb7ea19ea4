// RelayMetrics holds the router's metrics, by prometheus-cpp. Times are in
// seconds.
//
//   quaytrack_requests_total       ends, by cause (relay/final_answer.h)
//   quaytrack_attempts_failed_total
//                                  attempts without an answer, by fault
//                                  (relay/attempt.h)
//   quaytrack_retries_total        sends of a request beyond its first
//   quaytrack_first_byte_seconds   to the first event, by customer and kind of
//                                  route
//   quaytrack_request_seconds      to the end, by customer
//   quaytrack_first_event_over_expected
//                                  time to the first event, as a multiple of
//                                  the time expected when its engine was chosen
//   quaytrack_sends_held_back_total
//                                  sends stopped before anything was written
//   quaytrack_runs_stopped_total   runs that targets were told to end, by what
//                                  became of them (relay/dialect.h)
//   quaytrack_state                gauges of the router, by name
//
//   metrics.CountEnd(customer, NameOf(cause), took);
//   reply(metrics.Text());
//
// To bound the size of a scrape, customers after the first
// `kMaxLabelledCustomers` share the label "other".

#ifndef QUAYTRACK_RELAY_RELAY_METRICS_H_
#define QUAYTRACK_RELAY_RELAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "config/service_map.h"

namespace quaytrack {

class RelayMetrics {
 public:
  RelayMetrics();

  void CountEnd(const CustomerName& customer, std::string_view cause,
                Duration took);
  void ObserveFirstByte(const CustomerName& customer, RouteKind kind,
                        Duration took);
  // `expected_ms` must be greater than 0.
  void ObserveFirstEvent(Duration took, double expected_ms);
  void CountAttemptFault(std::string_view fault);
  // A stream that its caller got the start of, but not the end.
  void CountCutStream(std::string_view by, std::string_view why);
  void CountRetry() { retries_->Increment(); }
  void CountKept() { kept_->Increment(); }
  // A target was told to end a run; `end` says what it answered.
  void CountRunStopped(std::string_view end);
  void CountHeldBack() { held_back_->Increment(); }
  void SetGauge(const std::string& name, double value);

  // The text format that a scrape returns.
  std::string Text() const;

 private:
  // Customers with their own label.
  static constexpr std::size_t kMaxLabelledCustomers = 50;

  std::string LabelFor(const CustomerName& customer);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& ends_;
  prometheus::Family<prometheus::Counter>& attempt_faults_;
  prometheus::Family<prometheus::Counter>& cut_streams_;
  prometheus::Family<prometheus::Counter>& runs_stopped_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& total_;
  prometheus::Histogram* over_expected_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Counter* retries_;
  prometheus::Counter* kept_;
  prometheus::Counter* held_back_;
  std::set<CustomerName> labelled_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_RELAY_METRICS_H_
