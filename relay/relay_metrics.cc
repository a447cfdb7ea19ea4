#include "relay/relay_metrics.h"

#include <prometheus/text_serializer.h>

namespace quaytrack {
namespace {

// Upper bounds in seconds, each about twice the previous one.
const prometheus::Histogram::BucketBoundaries kSecondsBounds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

// Multiples of an expected time, denser around 1.
const prometheus::Histogram::BucketBoundaries kRatioBounds = {
    0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 3, 5, 10};

}  // namespace

RelayMetrics::RelayMetrics()
    : ends_(prometheus::BuildCounter()
                .Name("quaytrack_requests_total")
                .Help("Requests ended, by cause")
                .Register(registry_)),
      attempt_faults_(prometheus::BuildCounter()
                          .Name("quaytrack_attempts_failed_total")
                          .Help("Attempts without an answer, by fault")
                          .Register(registry_)),
      cut_streams_(prometheus::BuildCounter()
                       .Name("quaytrack_streams_cut_total")
                       .Help("Streams cut short, by who did it and why")
                       .Register(registry_)),
      runs_stopped_(prometheus::BuildCounter()
                        .Name("quaytrack_runs_stopped_total")
                        .Help("Runs that targets were told to end, by result")
                        .Register(registry_)),
      first_byte_(prometheus::BuildHistogram()
                      .Name("quaytrack_first_byte_seconds")
                      .Help("From a request's first byte to its first event")
                      .Register(registry_)),
      total_(prometheus::BuildHistogram()
                 .Name("quaytrack_request_seconds")
                 .Help("From a request's first byte to its end")
                 .Register(registry_)),
      over_expected_(
          &prometheus::BuildHistogram()
               .Name("quaytrack_first_event_over_expected")
               .Help("Time to a first event, in parts of what was expected")
               .Register(registry_)
               .Add({}, kRatioBounds)),
      gauges_(prometheus::BuildGauge()
                  .Name("quaytrack_state")
                  .Help("What the router holds, by name")
                  .Register(registry_)),
      retries_(&prometheus::BuildCounter()
                    .Name("quaytrack_retries_total")
                    .Help("Requests sent to a second target")
                    .Register(registry_)
                    .Add({})),
      kept_(&prometheus::BuildCounter()
                 .Name("quaytrack_attempts_kept_total")
                 .Help("Silent attempts that went on beside another one")
                 .Register(registry_)
                 .Add({})),
      held_back_(&prometheus::BuildCounter()
                      .Name("quaytrack_sends_held_back_total")
                      .Help("Requests not written to a target that may get no "
                            "work any more")
                      .Register(registry_)
                      .Add({})) {}

std::string RelayMetrics::LabelFor(const CustomerName& customer) {
  if (labelled_.contains(customer)) return customer.value;
  if (labelled_.size() >= kMaxLabelledCustomers) return "other";
  labelled_.insert(customer);
  return customer.value;
}

void RelayMetrics::CountEnd(const CustomerName& customer,
                            std::string_view cause, Duration took) {
  ends_.Add({{"cause", std::string(cause)}}).Increment();
  total_.Add({{"customer", LabelFor(customer)}}, kSecondsBounds)
      .Observe(ToSeconds(took));
}

void RelayMetrics::CountCutStream(std::string_view by, std::string_view why) {
  cut_streams_.Add({{"by", std::string(by)}, {"why", std::string(why)}})
      .Increment();
}

void RelayMetrics::CountRunStopped(std::string_view end) {
  runs_stopped_.Add({{"end", std::string(end)}}).Increment();
}

void RelayMetrics::CountAttemptFault(std::string_view fault) {
  attempt_faults_.Add({{"fault", std::string(fault)}}).Increment();
}

void RelayMetrics::ObserveFirstByte(const CustomerName& customer,
                                    RouteKind kind, Duration took) {
  first_byte_
      .Add({{"customer", LabelFor(customer)},
            {"kind", std::string(NameOf(kind))}},
           kSecondsBounds)
      .Observe(ToSeconds(took));
}

void RelayMetrics::ObserveFirstEvent(Duration took, double expected_ms) {
  over_expected_->Observe(ToSeconds(took) * 1000 / expected_ms);
}

void RelayMetrics::SetGauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string RelayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace quaytrack
