#include "prepaid/scarcity.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Urgencies beyond this count as this one, which bounds the number of classes
// that peers' messages can create.
constexpr int kMaxUrgency = 15;
// After a pause of this length a customer's demand is measured anew; by then
// the old demand has decayed to less than a hundredth.
constexpr Duration kForgetAfter = 5 * Scarcity::kDemandWindow;
// A class that has sent nothing for this multiple of its mean interval, and for
// `kMinSilence`, has stopped: its demand counts as zero at once. Requests
// arrive in bursts of about three, so a silence of ten intervals occurs by
// chance about once in thirty pauses; four would occur in a quarter of them.
constexpr double kSilentIntervals = 10;
constexpr Duration kMinSilence = milliseconds(500);

// Parity applies while the tokens within reach last the more urgent classes no
// longer than this. With more, the classes don't compete for them: after an
// outage a less urgent class would be refused only to make up for the past.
constexpr Duration kContestTime = milliseconds(2500);

// Bounds of the Retry-After. Callers spend up to a third of their remaining
// time on it, which is at most about a second for most classes.
constexpr Duration kMinRetryAfter = milliseconds(300);
constexpr Duration kMaxRetryAfter = milliseconds(2000);
// A Retry-After is multiplied by a random number from this to 2 minus this.
constexpr double kMinSpread = 0.75;

// The part of a more urgent class's demand that is protected from a class whose
// requests have `relative_size` times its size: all of it if they are as large,
// none if they are no more than half as large.
double ProtectedPart(double relative_size) {
  return std::clamp(2 * relative_size - 1, 0.0, 1.0);
}

int Clamped(int urgency) { return std::clamp(urgency, 0, kMaxUrgency); }

}  // namespace

// --- Demand ------------------------------------------------------------------

void Scarcity::OnRequested(Instant now, const BudgetRequest& request) {
  if (horizon_ <= Duration::zero()) return;
  Customer& customer = customers_[request.customer];
  if (customer.classes.empty() || now - customer.last > kForgetAfter) {
    customer = {};
    customer.since = now;
  }
  customer.last = now;
  UrgencyClass& it = customer.classes[Clamped(request.urgency)];
  it.requested.Add(now, static_cast<double>(request.amount));
  it.arrivals.Add(now, 1);
  it.parity_arrivals.Add(now, 1);
  it.last = now;
}

void Scarcity::OnHeld(Instant now, const BudgetRequest& request) {
  const auto customer = customers_.find(request.customer);
  if (customer == customers_.end()) return;
  const auto it = customer->second.classes.find(Clamped(request.urgency));
  if (it == customer->second.classes.end()) return;
  it->second.held.Add(now, static_cast<double>(request.amount));
  it->second.parity_held.Add(now, 1);
}

const Scarcity::Customer* Scarcity::Find(const CustomerName& name) const {
  const auto it = customers_.find(name);
  return it == customers_.end() ? nullptr : &it->second;
}

bool Scarcity::IsWarm(Instant now, const Customer& customer) {
  return now - customer.since >= kWarmUp;
}

bool Scarcity::HasStopped(Instant now, const UrgencyClass& it) {
  const double per_s = it.arrivals.PerSecond(it.last);
  if (per_s <= 0) return true;
  const Duration silence = now - it.last;
  return silence > kMinSilence && ToSeconds(silence) > kSilentIntervals / per_s;
}

// The decayed average begins at zero, so it is divided by the weight of the
// time for which the customer has been seen.
double Scarcity::DemandOf(Instant now, const Customer& customer,
                          const UrgencyClass& it) {
  if (HasStopped(now, it)) return 0;
  const Duration seen = std::max(kWarmUp, now - customer.since);
  const double weight =
      1 - std::exp(-ToSeconds(seen) / ToSeconds(kDemandWindow));
  return it.requested.PerSecond(now) / weight;
}

double Scarcity::DemandPerSecond(Instant now, const CustomerName& name) const {
  const Customer* customer = Find(name);
  if (customer == nullptr || !IsWarm(now, *customer)) return 0;
  double out = 0;
  for (const auto& [urgency, it] : customer->classes) {
    out += DemandOf(now, *customer, it);
  }
  return out;
}

bool Scarcity::IsScarce(Instant now, const CustomerName& customer,
                        Tokens reach) const {
  const double needed = DemandPerSecond(now, customer) * ToSeconds(horizon_);
  return static_cast<double>(reach) < needed;
}

// --- Decision ----------------------------------------------------------------

std::optional<ReserveRefusal> Scarcity::Check(Instant now,
                                              const BudgetRequest& request,
                                              const BudgetReach& reach,
                                              double draw) const {
  const Customer* customer = Find(request.customer);
  if (customer == nullptr || !IsWarm(now, *customer)) return std::nullopt;
  const int urgency = Clamped(request.urgency);
  const auto self = customer->classes.find(urgency);
  if (self == customer->classes.end()) return std::nullopt;
  const double size = MeanSize(now, self->second);
  double demand = 0;
  double more_urgent = 0;
  double protected_per_s = 0;
  for (const auto& [level, it] : customer->classes) {
    const double per_s = DemandOf(now, *customer, it);
    demand += per_s;
    if (level >= urgency || per_s <= 0) continue;
    more_urgent += per_s;
    protected_per_s += per_s * ProtectedPart(size / MeanSize(now, it));
  }
  if (more_urgent <= 0) return std::nullopt;
  const auto tokens = static_cast<double>(std::max<Tokens>(0, reach.tokens));
  if (tokens >= demand * ToSeconds(horizon_)) return std::nullopt;
  const double reserved = protected_per_s * ToSeconds(horizon_);
  const bool contested = tokens <= more_urgent * ToSeconds(kContestTime);
  const bool ahead = contested && IsAhead(now, *customer, urgency);
  if (!ahead && tokens > reserved) return std::nullopt;
  const bool affordable = reach.tokens >= request.amount;
  if (!ahead && affordable && MayUseFloor(now, *customer, urgency)) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, reserved - tokens) / more_urgent;
  ReserveRefusal out;
  out.reach = reach.tokens;
  out.reserved = std::llround(reserved);
  out.by_parity = ahead;
  out.demand_per_s = std::llround(demand);
  out.retry_after =
      RetryAfter(*customer, urgency, missing, reach.next_read, draw);
  return out;
}

double Scarcity::MeanSize(Instant now, const UrgencyClass& it) {
  const double requests = it.arrivals.PerSecond(now);
  return requests > 0 ? std::max(1.0, it.requested.PerSecond(now) / requests)
                      : 1;
}

double Scarcity::ServedRatio(Instant now, const UrgencyClass& it) {
  const double requests = it.parity_arrivals.PerSecond(now);
  return requests > 0 ? it.parity_held.PerSecond(now) / requests : 1;
}

// Whether the class has received less than its share of what was held lately.
bool Scarcity::MayUseFloor(Instant now, const Customer& customer, int urgency) {
  double held = 0;
  for (const auto& [level, it] : customer.classes) {
    held += it.held.PerSecond(now);
  }
  const UrgencyClass& self = customer.classes.at(urgency);
  return self.held.PerSecond(now) < held * kFloorShare;
}

// Whether a larger part of the class's requests than of a more urgent class's
// was served lately.
bool Scarcity::IsAhead(Instant now, const Customer& customer, int urgency) {
  const auto self = customer.classes.find(urgency);
  const double ratio = ServedRatio(now, self->second);
  return std::any_of(customer.classes.begin(), self, [&](const auto& it) {
    return !HasStopped(now, it.second) &&
           ServedRatio(now, it.second) + kParityTolerance < ratio;
  });
}

// The reach must grow, or the demand of the more urgent classes fall, by
// `missing_seconds` of that demand. The next read of the record may show more
// tokens before. The more urgent the class, the sooner it may try again.
Duration Scarcity::RetryAfter(const Customer& customer, int urgency,
                              double missing_seconds, Duration next_read,
                              double draw) const {
  const auto self = customer.classes.find(urgency);
  const auto rank = std::distance(customer.classes.begin(), self);
  const auto classes = static_cast<std::ptrdiff_t>(customer.classes.size());
  double wait = missing_seconds;
  if (next_read > Duration::zero()) wait = std::min(wait, ToSeconds(next_read));
  wait = std::clamp(wait, ToSeconds(kMinRetryAfter), ToSeconds(kMaxRetryAfter));
  if (classes > 1) {
    wait *= static_cast<double>(rank) / static_cast<double>(classes - 1);
  }
  const double spread = kMinSpread + 2 * (1 - kMinSpread) * draw;
  const double out = std::max(wait, ToSeconds(kMinRetryAfter)) * spread;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(out));
}

}  // namespace quaytrack
