#include "prepaid/grant_sizing.h"

#include <algorithm>

namespace quaytrack {
namespace {

// A grant is topped up when less than this fraction of its target size is idle,
// so that steady spending causes few writes.
constexpr double kLowWater = 0.5;
// A write of the record tops up every grant of which less than this fraction is
// idle, even if it isn't low yet. Grants become low at different times; if only
// the low ones were topped up, a holder with many customers would soon write
// the record again for the next one. (record_writes_test covers this with 40
// customers and 15 holders.)
constexpr double kTopUp = 0.9;
// A grant is reduced when more than this fraction of its target size is idle.
constexpr double kHighWater = 1.5;

}  // namespace

Tokens GrantSizing::Grantable(const PrepaidEntry& entry) const {
  const auto reserve =
      static_cast<Tokens>(static_cast<double>(entry.limit) * policy_.reserve);
  return std::max<Tokens>(0, entry.Free() - reserve);
}

Tokens GrantSizing::Target(Instant now, const PrepaidRecord& record,
                           const PrepaidEntry& entry,
                           const LocalAccount& account) const {
  const auto remaining =
      static_cast<double>(std::max<Tokens>(0, entry.limit - entry.settled));
  const auto members =
      static_cast<double>(std::max<std::size_t>(1, record.members.size()));
  const double baseline = Baseline(now, remaining, members, entry, account);
  const double rate = account.spending.PerSecond(now);
  const double headroom = std::min(rate * ToSeconds(policy_.headroom),
                                   remaining * policy_.max_headroom_share);
  return static_cast<Tokens>(std::max(baseline, headroom) *
                             ScarcityFactor(now, remaining, account) *
                             RiskFactor(entry));
}

double GrantSizing::RiskFactor(const PrepaidEntry& entry) const {
  const auto presumed =
      static_cast<double>(entry.settled - entry.ProvenSpent());
  const double bound =
      static_cast<double>(entry.limit) * policy_.baseline_share;
  if (bound <= 0) return 1;
  return std::clamp(1 - presumed / bound, policy_.min_risk_factor, 1.0);
}

double GrantSizing::Baseline(Instant now, double remaining, double members,
                             const PrepaidEntry& entry,
                             const LocalAccount& account) const {
  const double bound = remaining * policy_.baseline_share / members;
  const bool observed = account.KnowsSettling(now);
  if (!observed && entry.spent_per_s == 0) return bound;
  const double rate = observed ? account.settling.PerSecond(now)
                               : static_cast<double>(entry.spent_per_s);
  const double bridged = rate * ToSeconds(policy_.baseline_time) / members;
  return std::min(bound, bridged);
}

double GrantSizing::ScarcityFactor(Instant now, double remaining,
                                   const LocalAccount& account) const {
  const double full_size_minimum =
      account.settling.PerSecond(now) * ToSeconds(policy_.full_size_horizon);
  return full_size_minimum <= remaining ? 1 : remaining / full_size_minimum;
}

bool GrantSizing::GrantIsDue(Instant now, Duration since_write,
                             const StoreView& view,
                             const CustomerName& customer,
                             const LocalAccount& account) const {
  const auto found = view.record.customers.find(customer);
  if (found == view.record.customers.end()) return true;
  const PrepaidEntry& entry = found->second;
  const auto target =
      static_cast<double>(Target(now, view.record, entry, account));
  const auto idle = static_cast<double>(IdleIn(view, self_, customer, account));
  const auto waiting = static_cast<double>(account.waiting);
  if (Grantable(entry) > 0) {
    if (idle < waiting) return true;
    const bool low = idle < target * kLowWater;
    if (low && since_write >= policy_.spacing) return true;
  }
  const bool high = idle > target * kHighWater;
  return high && since_write >= policy_.report_every;
}

bool GrantSizing::ReleaseIsDue(Instant now, Duration since_write,
                               const StoreView& view,
                               const CustomerName& customer,
                               const LocalAccount& account,
                               Tokens spendable) const {
  if (spendable < account.waiting) return true;
  const auto entry = view.record.customers.find(customer);
  if (entry == view.record.customers.end()) return false;
  const auto target =
      static_cast<double>(Target(now, view.record, entry->second, account));
  const bool low = static_cast<double>(spendable) <
                   target * policy_.spendable_share * kLowWater;
  return low && since_write >= policy_.spacing;
}

Tokens GrantSizing::GrantChange(Instant now, const StoreView& view,
                                const CustomerName& customer,
                                const LocalAccount& account) const {
  const PrepaidEntry& entry = view.record.customers.at(customer);
  const Tokens idle = IdleIn(view, self_, customer, account);
  // The limit was lowered below what is settled and granted: return idle
  // tokens.
  if (entry.Free() < 0) return -std::clamp<Tokens>(idle, 0, -entry.Free());
  const Tokens target = Target(now, view.record, entry, account);
  const auto full = static_cast<double>(target) * kTopUp;
  const auto high = static_cast<double>(target) * kHighWater;
  if (static_cast<double>(idle - account.waiting) < full) {
    const Tokens increase = target + account.waiting - idle;
    return std::min(increase, Grantable(entry));
  }
  if (static_cast<double>(idle) > high) return target - idle;
  return 0;
}

Tokens GrantSizing::ToWithhold(Instant now, const StoreView& view,
                               const CustomerName& customer,
                               const LocalAccount& account) const {
  const PrepaidEntry& entry = view.record.customers.at(customer);
  const auto target =
      static_cast<double>(Target(now, view.record, entry, account));
  const auto spendable = static_cast<Tokens>(target * policy_.spendable_share);
  const Tokens spare =
      IdleIn(view, self_, customer, account) - account.waiting - spendable;
  return std::clamp<Tokens>(spare, 0,
                            std::max<Tokens>(0, GrantIn(entry, self_)));
}

}  // namespace quaytrack
