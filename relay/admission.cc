#include "relay/admission.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace quaytrack {
namespace {

// An answer at the deadline is sent this much earlier, so that it arrives in
// time.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(15);

std::string_view HostName(const HttpHead& head) {
  const std::string* host = head.Find("host");
  if (host == nullptr) return {};
  return std::string_view(*host).substr(0, host->find(':'));
}

RelayCause RefusalOfKey(const ServiceMap& map, const std::string& key) {
  return map.IsInDoubt(key) ? RelayCause::kConfigurationInDoubt
                            : RelayCause::kUnknownKey;
}

// Refuses the request if the route needs a key and the request's key is that of
// no customer.
std::optional<RelayCause> AdmitCustomer(const ServiceMap& map, Admission& out) {
  if (out.route->open_to_all || !map.needs_keys()) return std::nullopt;
  const CustomerRule* customer = map.FindKey(out.facts.key);
  if (customer == nullptr) return RefusalOfKey(map, out.facts.key);
  out.customer = customer->name;
  out.customer_priority = customer->priority;
  out.placement.residency = customer->residency;
  return std::nullopt;
}

// The caller's time limit, capped by the route's, counted from the request's
// first byte.
Instant DeadlineOf(const CallerRequest& request, const Admission& it) {
  const auto longest = it.route->timeout;
  const auto time = std::min(it.facts.time_left.value_or(longest), longest);
  return request.begun + time - kDeadlineMargin;
}

}  // namespace

std::optional<RelayCause> Admit(const AdmissionInput& input, Admission& out) {
  if (input.map == nullptr) return RelayCause::kNoConfiguration;
  const ServiceMap& map = *input.map;
  const HttpHead& head = input.request.head;
  auto facts = input.dialect.Read(head);
  if (!facts || facts->id.empty()) return RelayCause::kMalformed;
  out.facts = std::move(facts.value());
  out.route = map.Match(HostName(head), head.Path());
  if (out.route == nullptr) return RelayCause::kNoRoute;
  if (out.route->is_unreadable) return RelayCause::kConfigurationInDoubt;
  if (const auto refused = AdmitCustomer(map, out)) return refused;
  const ServiceName& name = PickService(*out.route, input.draw);
  out.service = map.FindService(name);
  if (out.service == nullptr) return RelayCause::kNoTarget;
  out.placement.residency = out.placement.residency.And(out.route->residency);
  if (out.placement.residency.IsNowhere()) return RelayCause::kOutsideResidency;
  out.deadline = DeadlineOf(input.request, out);
  if (out.deadline > input.latest_deadline) return RelayCause::kStopped;
  out.placement.service = name;
  // Whatever the service is, the request states the tokens that it may get.
  out.worst_case = out.facts.prompt_tokens + out.facts.max_output_tokens;
  if (!out.service->IsEngine()) return std::nullopt;
  out.placement.parts = out.facts.parts;
  out.placement.prompt_tokens = std::max<Tokens>(1, out.facts.prompt_tokens);
  out.placement.pause_limit = out.route->target_gap;
  return std::nullopt;
}

std::optional<RelayCause> RefusalByLater(const ServiceMap& map,
                                         const HttpHead& head,
                                         const Admission& admission) {
  if (!map.needs_keys()) return std::nullopt;
  // A route that has gone goes on as it was for the requests that it admitted.
  const RouteRule* route = map.Match(HostName(head), head.Path());
  const bool is_open =
      route != nullptr ? route->open_to_all : admission.customer.empty();
  if (is_open) return std::nullopt;
  const CustomerRule* customer = map.FindKey(admission.facts.key);
  if (customer == nullptr) return RefusalOfKey(map, admission.facts.key);
  if (customer->name != admission.customer)
    return RelayCause::kConfigurationInDoubt;
  return std::nullopt;
}

}  // namespace quaytrack
