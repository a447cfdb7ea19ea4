// Tests what is left of a budget after all routers lose power or are killed at
// once. Under another boot all of their grants are charged, since no clock
// proves any tokens unspent.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "prepaid/prepaid_ledger.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Tokens kLimit = 2600000;
constexpr Tokens kRequest = 5000;
constexpr int kRouters = 8;
// One request of `kRequest` per step makes 50,000 tokens a second.
constexpr Duration kStep = milliseconds(100);
const CustomerName kCustomer("clinic");

// Routers of which the first serves all of the customer's requests, and the
// store that they share. Each router reads the store before each write.
class Fleet {
 public:
  explicit Fleet(Tokens limit = kLimit) : limit_(limit) { StartAll(); }

  // Spends until the first router has spent `max_spent`, or is refused.
  void SpendUpTo(Tokens max_spent) {
    PrepaidLedger& home = ledgers_.front();
    while (spent_ + kRequest <= max_spent) {
      now_ += kStep;
      if (home.Hold(now_, kCustomer, kRequest) != PrepaidVerdict::kHeld) return;
      home.Settle(now_, kCustomer, kRequest, kRequest);
      spent_ += kRequest;
      ServeAll();
    }
  }

  // All routers serve requests for `time`, and spend all that they may.
  void SpendAtAll(Duration time) {
    const Instant end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      for (PrepaidLedger& it : ledgers_) {
        while (it.Hold(now_, kCustomer, kRequest) == PrepaidVerdict::kHeld) {
          it.Settle(now_, kCustomer, kRequest, kRequest);
          spent_ += kRequest;
          if (!is_silent_) break;
        }
      }
      ServeAll();
    }
  }
  // The store answers nobody from now on, or everybody.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }

  // Restarts all routers under a new boot, whose clock proves nothing about the
  // time before.
  void LosePower(Duration dark = milliseconds(600)) {
    ++boots_;
    RestartAll(dark);
  }
  // Restarts them under the same boot.
  void RestartAll(Duration dark) {
    now_ += dark;
    is_silent_ = false;
    StartAll();
  }
  // The first router's answer to a request, once it has seen all charges.
  PrepaidVerdict Ask(Tokens amount) {
    now_ += kStep;
    ServeAll();
    return ledgers_.front().Hold(now_, kCustomer, amount);
  }
  Tokens Proven() { return entry().ProvenSpent(); }

  Tokens spent() const { return spent_; }
  Tokens Uncharged() { return limit_ - entry().settled; }
  // Grants of the routers that serve no requests.
  Tokens GrantedWithoutUse() {
    Tokens out = 0;
    for (const auto& [router, amount] : entry().grants) {
      if (router != names_.front()) out += amount;
    }
    return out;
  }

 private:
  const PrepaidEntry& entry() { return record_.customers[kCustomer]; }

  void StartAll() {
    ++starts_;
    names_.clear();
    ledgers_.clear();
    const std::string boot = std::to_string(boots_);
    for (int vm = 0; vm < kRouters; ++vm) {
      names_.emplace_back("vm" + std::to_string(vm) + "@" +
                          std::to_string(starts_));
      ledgers_.emplace_back(PrepaidIdentity{names_.back(), boot, now_},
                            PrepaidPolicy());
      ledgers_.back().BecomeHolder();
      ledgers_.back().SetLimits(1, {{kCustomer, limit_}});
    }
    ServeAll();
  }

  void ServeAll() {
    for (std::size_t n = 0; !is_silent_ && n < ledgers_.size(); ++n) {
      Serve(names_[n], ledgers_[n]);
    }
  }

  void Serve(const Incarnation& self, PrepaidLedger& ledger) {
    ledger.OnRead(now_, StateFor(self));
    const auto write = ledger.NextWrite(now_);
    if (!write) return;
    Apply(self, *write);
    ledger.OnWritten(now_, PrepaidOutcome::kApplied, revision_);
  }

  PrepaidState StateFor(const Incarnation& self) const {
    PrepaidState out;
    out.revision = record_revision_;
    out.record = record_;
    for (const auto& [router, stored] : spends_) {
      if (VmOf(router) == VmOf(self)) out.spends[router] = stored;
    }
    return out;
  }

  void Apply(const Incarnation& self, const PrepaidWrite& write) {
    ++revision_;
    spends_[self] = {revision_, write.spend};
    if (!write.changes_record) return;
    for (const auto& [dead, expected] : write.removes) spends_.erase(dead);
    record_ = write.record;
    record_revision_ = revision_;
  }

  Instant now_{std::chrono::hours(1)};
  Tokens limit_;
  bool is_silent_ = false;
  int starts_ = 0;
  int boots_ = 0;
  std::vector<Incarnation> names_;
  std::vector<PrepaidLedger> ledgers_;
  PrepaidRecord record_;
  std::int64_t record_revision_ = 0;
  std::map<Incarnation, StoredSpend> spends_;
  std::int64_t revision_ = 0;
  Tokens spent_ = 0;
};

// Guards against a power loss that uses up a budget. When a customer of one
// router had spent 0.7 of its budget, the eight routers kept 0.68 of the rest
// granted, two fifths of that at routers that spent nothing. All of it was
// charged, and the customer's further requests were refused for good.
BOOST_FIXTURE_TEST_CASE(APowerLossLeavesMostOfAShortBudget, Fleet) {
  SpendUpTo(kLimit * 7 / 10);
  BOOST_TEST(spent() == kLimit * 7 / 10);
  const Tokens rest = kLimit - spent();
  LosePower();
  BOOST_TEST(Uncharged() <= rest);
  BOOST_TEST(Uncharged() >= rest * 6 / 10);
}

// With nearly all of a budget left, the routers that serve no requests keep
// enough to transfer during an outage.
BOOST_FIXTURE_TEST_CASE(AFreshBudgetIsSpreadOverAllRouters, Fleet) {
  SpendUpTo(kLimit / 20);
  BOOST_TEST(spent() == kLimit / 20);
  BOOST_TEST(GrantedWithoutUse() >= kLimit / 5);
}

// The remaining tokens last 31 s here, and 15 s in the test of a short budget.
BOOST_FIXTURE_TEST_CASE(ABudgetIsKeptInFullWhileItLasts, Fleet) {
  SpendUpTo(kLimit * 4 / 10);
  const Tokens rest = kLimit - spent();
  BOOST_TEST(GrantedWithoutUse() >= rest * 25 / 100);
}

BOOST_FIXTURE_TEST_CASE(AShortBudgetIsKeptLessWhereItIsNotSpent, Fleet) {
  SpendUpTo(kLimit * 7 / 10);
  const Tokens rest = kLimit - spent();
  BOOST_TEST(GrantedWithoutUse() <= rest * 20 / 100);
  BOOST_TEST(GrantedWithoutUse() > 0);
}

// Guards against a charge that counts as spending: after a power loss, the
// routers would then take the budget for short and keep smaller grants.
BOOST_FIXTURE_TEST_CASE(AChargeDoesNotMakeABudgetLookShort, Fleet) {
  SpendUpTo(kLimit / 20);
  LosePower();
  const Tokens rest = Uncharged();
  // Only what was charged without proof makes the grants smaller.
  const double risked = static_cast<double>(kLimit - rest - Proven()) /
                        (kLimit * PrepaidPolicy().baseline_share);
  BOOST_TEST(static_cast<double>(GrantedWithoutUse()) >=
             static_cast<double>(rest) * 0.25 * (1 - risked));
}

constexpr Tokens kDayLimit = 50000 * 24 * 3600LL;
constexpr Duration kDarkTimes[] = {milliseconds(500), milliseconds(1500),
                                   milliseconds(3000), milliseconds(5000),
                                   milliseconds(30000)};

// Guards against tokens that are taken back although they were spent while the
// store was silent: it answers nobody, the withheld tokens are spent, all
// routers end, and the store is back.
BOOST_AUTO_TEST_CASE(WhatWasSpentInASilenceIsNeverTakenBack) {
  constexpr Duration kSilences[] = {milliseconds(0), milliseconds(1900),
                                    milliseconds(2500), milliseconds(4000),
                                    milliseconds(9000)};
  for (const Tokens limit : {kLimit, kDayLimit}) {
    for (const Duration silence : kSilences) {
      for (const Duration dark : kDarkTimes) {
        for (const bool same_boot : {true, false}) {
          Fleet fleet(limit);
          for (int loss = 0; loss < 3; ++loss) {
            fleet.SpendAtAll(std::chrono::seconds(3));
            fleet.SetSilent(true);
            fleet.SpendAtAll(silence);
            same_boot ? fleet.RestartAll(dark) : fleet.LosePower(dark);
            BOOST_REQUIRE(limit - fleet.Uncharged() >= fleet.spent());
            BOOST_REQUIRE(fleet.Proven() <= fleet.spent());
          }
          BOOST_TEST(fleet.spent() <= limit);
        }
      }
    }
  }
}

// Guards against charges that add up: four losses of power took three quarters
// of a budget that was hardly used.
BOOST_AUTO_TEST_CASE(SeveralPowerLossesCostLittleMoreThanOne) {
  Fleet fleet;
  fleet.SpendUpTo(kLimit / 20);
  fleet.LosePower();
  const Tokens after_one = fleet.Uncharged();
  for (int n = 0; n < 3; ++n) {
    fleet.SpendAtAll(milliseconds(500));
    fleet.LosePower();
  }
  BOOST_TEST(fleet.Uncharged() >= after_one * 6 / 10);
}

// Guards against a loss of power that takes hours of a budget for a day, whose
// customer spends 50,000 tokens a second.
BOOST_AUTO_TEST_CASE(APowerLossCostsABudgetForADayTheTimeToBeBridged) {
  Fleet fleet(kDayLimit);
  fleet.SpendUpTo(50000 * 40);
  fleet.LosePower();
  const Tokens charged = kDayLimit - fleet.Uncharged() - fleet.spent();
  BOOST_TEST(charged <= 50000 * 120);
}

// Guards against callers who are told that their budget is used up, though it
// was charged without proof.
BOOST_AUTO_TEST_CASE(OnlyProvenSpendingExhaustsABudget) {
  Fleet fleet;
  fleet.SpendUpTo(kLimit / 20);
  const Tokens rest = kLimit - fleet.spent() - kLimit / 20;
  fleet.LosePower();
  BOOST_TEST(fleet.Uncharged() < rest);
  BOOST_TEST(fleet.Proven() == fleet.spent());
  BOOST_TEST((fleet.Ask(rest) == PrepaidVerdict::kCharged));
  BOOST_TEST((fleet.Ask(kLimit) == PrepaidVerdict::kExhausted));
}

}  // namespace
}  // namespace quaytrack
