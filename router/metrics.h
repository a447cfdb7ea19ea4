// The router's metrics, by prometheus-cpp.
//
// There is a histogram per customer and priority class. To limit the size of a
// scrape, the first `kMaxLabeledCustomers` customers get their own label and
// all others share "other".

#ifndef QUAYTRACK_ROUTER_METRICS_H_
#define QUAYTRACK_ROUTER_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "route/wait_queue.h"
#include "router/refusal.h"

namespace quaytrack {

// The histograms of one customer and priority class.
struct RequestHistograms {
  prometheus::Histogram* first_token = nullptr;
  prometheus::Histogram* between_tokens = nullptr;
  prometheus::Histogram* queue_wait = nullptr;
  prometheus::Histogram* total = nullptr;
};

class Metrics {
 public:
  Metrics();

  RequestHistograms For(const CustomerName& customer, PriorityClass priority);
  void CountRefusal(RefusalCode code);
  void CountBilled(Tokens tokens);
  void CountRetry() { retries_->Increment(); }
  void CountUnprotectedBill() { unprotected_->Increment(); }
  void SetGauge(const std::string& name, double value);

  // The metrics in Prometheus text format.
  std::string Text() const;

 private:
  static constexpr std::size_t kMaxLabeledCustomers = 200;
  using HistogramFamily = prometheus::Family<prometheus::Histogram>;

  std::string LabelFor(const CustomerName& customer);

  prometheus::Registry registry_;
  HistogramFamily& first_token_;
  HistogramFamily& between_tokens_;
  HistogramFamily& queue_wait_;
  HistogramFamily& total_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Counter* bills_;
  prometheus::Counter* billed_tokens_;
  prometheus::Counter* retries_;
  prometheus::Counter* unprotected_;
  std::map<std::pair<std::string, PriorityClass>, RequestHistograms>
      histograms_;
  std::map<CustomerName, std::string> customer_labels_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_METRICS_H_
