// What is left of a budget after all routers have lost power at once: then all
// that they kept granted is charged, since no clock proves anything unspent.

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
// One request of `kRequest` in each makes 50,000 tokens a second.
constexpr Duration kStep = milliseconds(100);
const CustomerName kCustomer("clinic");

// Routers of which the first serves all of the customer's requests, and the
// store that they share. All read the store before each of their writes.
class Fleet {
 public:
  Fleet() { StartAll(); }

  // Until the first router has spent `most`, or is refused.
  void SpendUpTo(Tokens most) {
    PrepaidLedger& home = ledgers_.front();
    while (spent_ + kRequest <= most) {
      now_ += kStep;
      if (home.Hold(now_, kCustomer, kRequest) != PrepaidVerdict::kHeld) return;
      home.Settle(now_, kCustomer, kRequest, kRequest);
      spent_ += kRequest;
      ServeAll();
    }
  }

  // Other boots: their clocks say nothing about the time before.
  void LosePower() {
    now_ += milliseconds(600);
    StartAll();
  }

  Tokens spent() const { return spent_; }
  Tokens Uncharged() { return kLimit - entry().settled; }
  // What the routers that serve nothing keep.
  Tokens KeptWithoutUse() {
    Tokens out = 0;
    for (const auto& [who, amount] : entry().grants) {
      if (who != names_.front()) out += amount;
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
      ledgers_.back().KeepGrants();
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
    for (const auto& [who, stored] : spends_) {
      if (VmOf(who) == VmOf(self)) out.spends[who] = stored;
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

// All eight routers lost power at once when a customer, of which one router
// served nearly all, had used 0.7 of its budget. They kept 0.68 of the rest
// granted, two fifths of that where nothing was spent, and it was charged. The
// customer's next requests were refused for good.
BOOST_FIXTURE_TEST_CASE(APowerLossLeavesMostOfAShortBudget, Fleet) {
  SpendUpTo(kLimit * 7 / 10);
  BOOST_TEST(spent() == kLimit * 7 / 10);
  const Tokens rest = kLimit - spent();
  LosePower();
  BOOST_TEST(Uncharged() <= rest);
  BOOST_TEST(Uncharged() >= rest * 6 / 10);
}

// With nearly all of a budget left, the routers that serve nothing are ready to
// pass on an outage's worth.
BOOST_FIXTURE_TEST_CASE(AFreshBudgetIsSpreadOverAllRouters, Fleet) {
  SpendUpTo(kLimit / 20);
  BOOST_TEST(spent() == kLimit / 20);
  BOOST_TEST(KeptWithoutUse() >= kLimit / 5);
}

// The rest lasts 31 s then, and 15 s in the test of a short budget.
BOOST_FIXTURE_TEST_CASE(ABudgetIsKeptInFullWhileItLasts, Fleet) {
  SpendUpTo(kLimit * 4 / 10);
  const Tokens rest = kLimit - spent();
  BOOST_TEST(KeptWithoutUse() >= rest * 25 / 100);
}

BOOST_FIXTURE_TEST_CASE(AShortBudgetIsKeptLessWhereItIsNotSpent, Fleet) {
  SpendUpTo(kLimit * 7 / 10);
  const Tokens rest = kLimit - spent();
  BOOST_TEST(KeptWithoutUse() <= rest * 20 / 100);
  BOOST_TEST(KeptWithoutUse() > 0);
}

// What was charged when all lost power is no rate of spending, so the routers
// are ready for an outage again at once.
BOOST_FIXTURE_TEST_CASE(AChargeDoesNotMakeABudgetLookShort, Fleet) {
  SpendUpTo(kLimit / 20);
  LosePower();
  const Tokens rest = Uncharged();
  BOOST_TEST(KeptWithoutUse() >= rest * 25 / 100);
}

}  // namespace
}  // namespace quaytrack
