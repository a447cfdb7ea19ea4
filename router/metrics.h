// The router's metrics, by prometheus-cpp.
//
// Histograms are kept for each customer and class. To bound what a scrape
// costs, the first `kMostCustomers` customers get labels of their own and the
// rest share "other".

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

// The histograms of one customer and class.
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

  // The text form that a scrape returns.
  std::string Text() const;

 private:
  static constexpr std::size_t kMostCustomers = 200;
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
  std::map<std::pair<std::string, PriorityClass>, RequestHistograms> cache_;
  std::map<CustomerName, std::string> labels_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_METRICS_H_
