// Tests what is left of a budget after all routers lose power at once. All of
// their grants are then charged, since no clock proves any tokens unspent.

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
  Fleet() { StartAll(); }

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

  // Restarts all routers under a new boot, whose clock proves nothing about the
  // time before.
  void LosePower() {
    now_ += milliseconds(600);
    StartAll();
  }

  Tokens spent() const { return spent_; }
  Tokens Uncharged() { return kLimit - entry().settled; }
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
    ++boots_;
    names_.clear();
    ledgers_.clear();
    const std::string boot = std::to_string(boots_);
    for (int vm = 0; vm < kRouters; ++vm) {
      names_.emplace_back("vm" + std::to_string(vm) + "@" + boot);
      ledgers_.emplace_back(PrepaidIdentity{names_.back(), boot, now_},
                            PrepaidPolicy());
      ledgers_.back().BecomeHolder();
      ledgers_.back().SetLimits(1, {{kCustomer, kLimit}});
    }
    ServeAll();
  }

  void ServeAll() {
    for (std::size_t n = 0; n < ledgers_.size(); ++n) {
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
  BOOST_TEST(GrantedWithoutUse() >= rest * 25 / 100);
}

}  // namespace
}  // namespace quaytrack
