#include "router/metrics.h"

#include <prometheus/text_serializer.h>

namespace quaytrack {
namespace {

// Bucket boundaries in seconds. The buckets are dense around the latency goals:
// 0.87 s to the first token, 29 ms between tokens.
const prometheus::Histogram::BucketBoundaries kFirstTokenBuckets = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.87, 1.2, 2, 5, 15, 60};
const prometheus::Histogram::BucketBoundaries kBetweenBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.025, 0.029,
    0.035, 0.05,   0.1,   0.25, 0.5,   1,    5};
const prometheus::Histogram::BucketBoundaries kWaitBuckets = {
    0.0001, 0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60};
const prometheus::Histogram::BucketBoundaries kTotalBuckets = {
    0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 300};

auto& MakeHistogram(prometheus::Registry& registry, const char* name,
                    const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Counter* MakeCounter(prometheus::Registry& registry,
                                 const char* name, const char* help) {
  auto& family =
      prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  return &family.Add({});
}

}  // namespace

Metrics::Metrics()
    : first_token_(MakeHistogram(registry_, "quaytrack_first_token_seconds",
                                 "From arrival to the first token sent")),
      between_tokens_(MakeHistogram(registry_,
                                    "quaytrack_between_tokens_seconds",
                                    "Between two tokens of one stream")),
      queue_wait_(MakeHistogram(registry_, "quaytrack_queue_wait_seconds",
                                "Waiting for a target")),
      total_(MakeHistogram(registry_, "quaytrack_total_seconds",
                           "From arrival to the last byte handed over")),
      refusals_(prometheus::BuildCounter()
                    .Name("quaytrack_refusals_total")
                    .Help("Requests refused, by code")
                    .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("quaytrack_state")
                  .Help("Present state of the router, by item")
                  .Register(registry_)),
      bills_(MakeCounter(registry_, "quaytrack_bills_total", "Bills made")),
      billed_tokens_(MakeCounter(registry_, "quaytrack_billed_tokens_total",
                                 "Prepaid tokens billed")),
      retries_(MakeCounter(registry_, "quaytrack_retries_total",
                           "Requests sent to another target")),
      unprotected_(MakeCounter(
          registry_, "quaytrack_unprotected_bills_total",
          "Answers finished before their bill was stored anywhere else")) {}

std::string Metrics::LabelFor(const CustomerName& customer) {
  auto it = customer_labels_.find(customer);
  if (it != customer_labels_.end()) return it->second;
  if (customer_labels_.size() >= kMaxLabeledCustomers) return "other";
  customer_labels_[customer] = customer.value;
  return customer.value;
}

RequestHistograms Metrics::For(const CustomerName& customer,
                               PriorityClass priority) {
  const std::string label = LabelFor(customer);
  auto [it, inserted] = histograms_.try_emplace({label, priority});
  if (!inserted) return it->second;
  const prometheus::Labels labels = {{"customer", label},
                                     {"class", std::string(NameOf(priority))}};
  it->second.first_token = &first_token_.Add(labels, kFirstTokenBuckets);
  it->second.between_tokens = &between_tokens_.Add(labels, kBetweenBuckets);
  it->second.queue_wait = &queue_wait_.Add(labels, kWaitBuckets);
  it->second.total = &total_.Add(labels, kTotalBuckets);
  return it->second;
}

void Metrics::CountRefusal(RefusalCode code) {
  refusals_.Add({{"code", std::string(InfoOf(code).name)}}).Increment();
}

void Metrics::CountBilled(Tokens tokens) {
  bills_->Increment();
  billed_tokens_->Increment(static_cast<double>(tokens));
}

void Metrics::SetGauge(const std::string& name, double value) {
  gauges_.Add({{"item", name}}).Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace quaytrack
