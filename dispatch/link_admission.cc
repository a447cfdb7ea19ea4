#include "dispatch/link_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quaytrack {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
// A customer whose rate is below this many bytes a second, and whose bucket is
// full, is forgotten.
constexpr double kForgetRate = 1;
// A customer counts as heavy from this share of the heaviest one's rate, where
// there is no level yet: at the begin of a burst.
constexpr double kHeavyShare = 0.5;
// Levels of urgency that get different overdrafts.
constexpr int kUrgencies = 3;

// Bytes of one caller's connection per second of the link. A bound of 250 for
// a link of 10 Mbit/s: with a receive window of about 5 KB, these connections
// together have at most a second of the link in flight, and a quarter of them,
// which is more than read at once, a quarter of a second.
constexpr double kBytesPerConnection = 5000;
constexpr std::size_t kMinConnections = 64;

// Retry-After where another VM can take the request at once, and its bounds
// where none can, for the most and the least urgent requests.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds(50);
constexpr double kRetryShortestS = 0.2;
constexpr double kRetrySpanUrgentS = 0.2;
constexpr double kRetryLongestS = 1.0;

}  // namespace

double FairLevel(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  std::size_t others = demands.size();
  for (const double it : demands) {
    const double share = left / static_cast<double>(others);
    if (it > share) return std::max(share, 0.0);
    left -= it;
    --others;
  }
  return kInfinite;
}

LinkAdmission::LinkAdmission(LinkAdmissionOptions options)
    : options_(options),
      fast_in_({.bytes_per_s = options.bytes_per_s, .smoothing = kFast}),
      fast_out_({.bytes_per_s = options.bytes_per_s, .smoothing = kFast}),
      offered_({.bytes_per_s = options.bytes_per_s, .smoothing = kSlow}),
      sustained_({.bytes_per_s = options.bytes_per_s, .smoothing = kSustained}),
      usable_rate_(options.usable * options.bytes_per_s),
      tokens_(BurstAt(usable_rate_)),
      level_(kInfinite),
      period_(options.period) {}

bool LinkAdmission::Observe(Instant now, double bytes_in, double bytes_out) {
  if (!IsOn()) return false;
  fast_in_.Observe(now, bytes_in, 0);
  fast_out_.Observe(now, 0, bytes_out);
  // Refused requests would have gone out to a target as well. What has come in
  // of them is counted already.
  offered_.Observe(now, bytes_in, bytes_out + refused_);
  sustained_.Observe(now, bytes_in, bytes_out + refused_);
  if (observed_at_ && now > *observed_at_) {
    const double elapsed = ToSeconds(now - *observed_at_);
    const double weight = 1 - std::exp(-elapsed / ToSeconds(kOtherTime));
    const double admitted = admitted_ - last_admitted_;
    other_in_ +=
        ((bytes_in - last_in_ - admitted) / elapsed - other_in_) * weight;
    other_out_ +=
        ((bytes_out - last_out_ - admitted) / elapsed - other_out_) * weight;
  }
  observed_at_ = now;
  last_in_ = bytes_in;
  last_out_ = bytes_out;
  last_admitted_ = admitted_;
  Refill(now);
  // A queue before a full link isn't visible here, so while the link is full,
  // it gets less work until the queue must have drained.
  const double load = std::max(load_in(), load_out());
  saturated_ = load >= (saturated_ ? kDrained : kSaturated);
  const double usable = saturated_ ? kUsableSaturated : options_.usable;
  const double other = std::max({other_in_, other_out_, 0.0});
  usable_rate_ = options_.bytes_per_s *
                 std::max(usable - other / options_.bytes_per_s,
                          saturated_ ? kLeastSaturated : kLeastUsable);
  UpdateLevel(now);
  return UpdateReadiness(now);
}

void LinkAdmission::UpdateLevel(Instant now) {
  std::vector<double> rates;
  rates.reserve(customers_.size());
  heaviest_ = 0;
  for (auto it = customers_.begin(); it != customers_.end();) {
    const double rate = it->second.offered.PerSecond(now);
    if (rate < kForgetRate) {
      it = customers_.erase(it);
      continue;
    }
    rates.push_back(rate);
    heaviest_ = std::max(heaviest_, rate);
    ++it;
  }
  level_ = FairLevel(std::move(rates), usable_rate_);
}

double LinkAdmission::BurstAt(double bytes_per_s) {
  return std::max(bytes_per_s * ToSeconds(kBurst), kLeastBurst);
}

void LinkAdmission::Refill(Instant now) {
  if (refilled_at_ && now > *refilled_at_) {
    const double elapsed = ToSeconds(now - *refilled_at_);
    tokens_ = std::min(BurstAt(usable_rate_), tokens_ + usable_rate_ * elapsed);
  }
  refilled_at_ = std::max(now, refilled_at_.value_or(now));
}

void LinkAdmission::RefillCustomer(Instant now, Customer& customer) {
  const double level = std::min(level_, usable_rate_);
  const double elapsed = std::max(0.0, ToSeconds(now - customer.refilled_at));
  customer.tokens = std::min(BurstAt(level), customer.tokens + level * elapsed);
  customer.refilled_at = std::max(now, customer.refilled_at);
}

// How far below zero the bucket may be for a request to be admitted, as a share
// of the overdraft.
double LinkAdmission::Limit(int urgency) const {
  const int steps = kUrgencies - 1 - std::clamp(urgency, 0, kUrgencies - 1);
  return -ToSeconds(kUrgentOverdraft) * steps / (kUrgencies - 1);
}

bool LinkAdmission::Admit(Instant now, const Request& request) {
  if (!IsOn()) return true;
  Refill(now);
  // A new customer's bucket is refilled from the begin of the clock, so it is
  // full.
  Customer& customer = customers_[request.customer];
  RefillCustomer(now, customer);
  customer.offered.Add(now, request.bytes);
  const double rate = customer.offered.PerSecond(now);
  heaviest_ = std::max(heaviest_, rate);
  const bool levelled = level_ < kInfinite;
  const double heavy = levelled ? level_ : kHeavyShare * heaviest_;
  double limit = Limit(request.urgency) * usable_rate_;
  bool admitted = tokens_ > limit;
  if (rate > heavy && levelled) {
    admitted = admitted && customer.tokens > Limit(request.urgency) * level_;
  } else if (rate <= heavy) {
    admitted = tokens_ > limit - ToSeconds(kLightOverdraft) * usable_rate_;
  }
  if (!admitted && IsUnderPressure()) {
    refused_ += request.bytes;
    admitted_ += kRefusalBytes;
    // Refusals alone never use up what light customers may still take.
    const double least = -ToSeconds(kLightOverdraft) / 2 * usable_rate_;
    if (tokens_ > least) tokens_ -= kRefusalBytes;
    return false;
  }
  tokens_ -= request.bytes;
  customer.tokens -= request.bytes;
  admitted_ += request.bytes;
  // Bounds the debt that is built up while nothing is refused.
  tokens_ = std::max(tokens_, -ToSeconds(kLightOverdraft) * 2 * usable_rate_);
  return true;
}

LinkAdmission::Facts LinkAdmission::FactsOf(
    Instant now, const CustomerName& customer) const {
  const auto it = customers_.find(customer);
  const double rate =
      it == customers_.end() ? 0 : it->second.offered.PerSecond(now);
  return {rate, level_};
}

bool LinkAdmission::IsUnderPressure() const {
  if (!IsOn()) return false;
  return tokens_ <= 0 || level_ < kInfinite ||
         std::max(load_in(), load_out()) >= kPressure;
}

bool LinkAdmission::IsIncomingFull() const {
  return IsOn() && load_in() >= kIncomingFull;
}

bool LinkAdmission::HallIsFull() const {
  return hall_room_.has_value() && *hall_room_ < kNoRoom;
}

// --- Readiness ---------------------------------------------------------------

bool LinkAdmission::UpdateReadiness(Instant now) {
  const double load = offered_.load();
  if (ready_) {
    if (sustained_.load() >= options_.move_at || load >= kSurge) {
      TurnUnready(now);
      return true;
    }
    if (now - calm_since_ >= kCalm) {
      period_ = std::max(options_.period, period_ / 2);
      calm_since_ = now;
    }
    return false;
  }
  const auto mark = [now](std::optional<Instant>& since, bool holds) {
    if (!holds) since.reset();
    if (holds && !since) since = now;
  };
  mark(low_since_, load < options_.ready_below);
  mark(moderate_since_, load < options_.move_at);
  const bool low = low_since_ && now - *low_since_ >= period_;
  const bool moderate =
      moderate_since_ && now - *moderate_since_ >= period_ * kSlowReturn;
  if (!low && !moderate) return false;
  TurnReady(now);
  return true;
}

void LinkAdmission::TurnUnready(Instant now) {
  const bool flaps = changed_at_ != Instant() && now - changed_at_ < kSoon;
  if (flaps) period_ = std::min(options_.longest_period, period_ * 2);
  ready_ = false;
  changed_at_ = now;
  polls_ = 0;
  low_since_.reset();
  moderate_since_.reset();
}

void LinkAdmission::TurnReady(Instant now) {
  ready_ = true;
  changed_at_ = now;
  // The surge that has passed doesn't count again.
  sustained_ =
      LinkWatch({.bytes_per_s = options_.bytes_per_s, .smoothing = kSustained});
  calm_since_ = now;
  moving_since_.reset();
  moving_.clear();
}

// --- Moving callers ----------------------------------------------------------

bool LinkAdmission::WantsMove(Instant now) const {
  if (ready_ || offered_.load() < options_.move_at) return false;
  const bool noticed =
      polls_ >= kBalancerPolls || now - changed_at_ >= kBalancerDelay;
  if (!noticed) return false;
  if (hall_room_.has_value() && *hall_room_ < kRoomToMove) return false;
  return !moving_since_ || now - *moving_since_ >= kMoveTime + kMovePause;
}

int LinkAdmission::StartMove(Instant now,
                             const std::map<CustomerName, int>& connections) {
  moving_since_ = now;
  moving_.clear();
  std::vector<double> rates;
  double sum = 0;
  for (const auto& [name, it] : customers_) {
    rates.push_back(it.offered.PerSecond(now));
    sum += rates.back();
  }
  if (sum <= 0) return 0;
  // Customers' rates leave out other traffic, so they are reduced by the same
  // share as the load.
  const double kept = sum * options_.move_to / offered_.load();
  const double level = FairLevel(std::move(rates), kept);
  // Fractions of connections are carried over to the next customer, as each of
  // many customers may have a single connection.
  double sum_of_quotas = 0;
  int out = 0;
  for (const auto& [name, it] : customers_) {
    const double rate = it.offered.PerSecond(now);
    const auto open = connections.find(name);
    if (rate <= level || open == connections.end()) continue;
    sum_of_quotas += open->second * (rate - level) / rate;
    const int quota = static_cast<int>(sum_of_quotas) - out;
    out += quota;
    if (quota > 0) moving_[name] = {quota, 0};
  }
  return out;
}

bool LinkAdmission::EndsConnection(Instant now, const CustomerName& customer) {
  if (!moving_since_) return false;
  const auto it = moving_.find(customer);
  if (it == moving_.end()) return false;
  const double elapsed =
      std::min(1.0, ToSeconds(now - *moving_since_) / ToSeconds(kMoveTime));
  if (it->second.ended + 1 > it->second.quota * elapsed) return false;
  ++it->second.ended;
  return true;
}

Duration LinkAdmission::RetryAfter(int urgency, double draw) const {
  if (!HallIsFull()) return kRetryElsewhere;
  const int at = std::clamp(urgency, 0, kUrgencies - 1);
  const double share = static_cast<double>(at) / (kUrgencies - 1);
  const double span =
      kRetrySpanUrgentS +
      (kRetryLongestS - kRetryShortestS - kRetrySpanUrgentS) * share;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kRetryShortestS + draw * span));
}

double LinkAdmission::Room() const {
  return std::clamp(1 - offered_.load(), 0.0, 1.0);
}

std::size_t LinkAdmission::MaxConnections() const {
  return std::max(
      kMinConnections,
      static_cast<std::size_t>(options_.bytes_per_s / kBytesPerConnection));
}

// --- Rooms of other routers --------------------------------------------------

void HallRooms::OnReport(Instant now, const VmName& vm, double room,
                         double hall_room) {
  if (room < 0 && hall_room < 0) return;
  reports_[vm] = {now, room, hall_room};
}

std::optional<double> HallRooms::Largest(Instant now, const HallName& hall,
                                         bool own_only) const {
  double out = -1;
  for (const auto& [vm, it] : reports_) {
    const auto at = halls_.find(vm);
    if (at == halls_.end() || at->second != hall) continue;
    if (now - it.at > kMaxAge) continue;
    out = std::max({out, it.room, own_only ? -1 : it.hall_room});
  }
  if (out < 0) return std::nullopt;
  return out;
}

}  // namespace quaytrack
