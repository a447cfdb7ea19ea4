// Tests single decisions of the prepaid ledger. property_test.cc tests random
// histories.

#include <boost/test/unit_test.hpp>

#include "prepaid/prepaid_ledger.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr Tokens kLimit = 100000;
const CustomerName kCustomer("clinic");

// A store with one record and the routers' accounts.
struct Store {
  PrepaidRecord record;
  std::int64_t record_revision = 0;
  std::map<Incarnation, StoredSpend> spends;
  std::int64_t revision = 0;

  void Read(Instant now, PrepaidLedger& ledger) const {
    ledger.OnRead(now, {record_revision, record, spends});
  }

  // Does the ledger's reads and writes until it has none left.
  void Serve(Instant now, PrepaidLedger& ledger, const Incarnation& self) {
    for (int n = 0; n < 10; ++n) {
      if (ledger.NeedsRead(now)) Read(now, ledger);
      const auto write = ledger.NextWrite(now);
      if (!write) return;
      Apply(self, *write);
      ledger.OnWritten(now, PrepaidOutcome::kApplied, revision);
    }
  }

  void Apply(const Incarnation& self, const PrepaidWrite& write) {
    ++revision;
    spends[self] = {revision, write.spend};
    if (write.leaves) spends.erase(self);
    for (const auto& [dead, expected] : write.removes) spends.erase(dead);
    if (!write.changes_record) return;
    record = write.record;
    record_revision = revision;
  }

  const PrepaidEntry& entry() { return record.customers[kCustomer]; }
};

struct Fixture {
  Instant now{std::chrono::hours(1)};
  Store store;

  PrepaidPolicy policy = {.baseline_share = 0.55};

  PrepaidLedger Make(const std::string& self, const std::string& boot = "b") {
    PrepaidLedger out({Incarnation(self), boot, now}, policy);
    out.BecomeHolder();
    out.SetLimits(1, {{kCustomer, kLimit}});
    return out;
  }
  // Spends 500 tokens a second.
  void SpendTenSeconds(PrepaidLedger& ledger, const Incarnation& self) {
    for (int n = 0; n < 100; ++n) {
      now += milliseconds(100);
      BOOST_TEST((ledger.Hold(now, kCustomer, 50) == PrepaidVerdict::kHeld));
      ledger.Settle(now, kCustomer, 50, 50);
      store.Serve(now, ledger, self);
    }
  }
  PrepaidLedger Join(const std::string& self) {
    PrepaidLedger out = Make(self);
    store.Serve(now, out, Incarnation(self));
    return out;
  }
};

BOOST_FIXTURE_TEST_CASE(TheFirstToJoinGivesBackWhenOthersCome, Fixture) {
  PrepaidLedger first = Join("vm1@1");
  const Tokens alone = store.entry().grants.at(Incarnation("vm1@1"));
  BOOST_TEST(alone > kLimit / 2);
  PrepaidLedger second = Join("vm2@1");
  PrepaidLedger third = Join("vm3@1");
  first.OnPeerSeen(Incarnation("vm2@1"));
  now += milliseconds(1000);
  store.Serve(now, first, Incarnation("vm1@1"));
  const Tokens shared = store.entry().grants.at(Incarnation("vm1@1"));
  BOOST_TEST(shared < alone / 2);
  BOOST_TEST(first.LatestRecord()->members.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(WhatIsKeptCoversTheOwnSpending, Fixture) {
  policy.baseline_share = 0.01;
  policy.headroom = std::chrono::seconds(10);
  const Incarnation self("vm1@1");
  PrepaidLedger ledger = Join(self.value);
  SpendTenSeconds(ledger, self);
  const Tokens kept = ledger.Allowance(now + policy.withhold_time, kCustomer);
  BOOST_TEST(kept >= 2500);
  BOOST_TEST(kept <= 7500);
}

BOOST_FIXTURE_TEST_CASE(WhatIsKeptFadesWithTheSpending, Fixture) {
  policy.baseline_share = 0.01;
  policy.headroom = std::chrono::seconds(10);
  const Incarnation self("vm1@1");
  PrepaidLedger ledger = Join(self.value);
  SpendTenSeconds(ledger, self);
  now += std::chrono::seconds(30);
  store.Serve(now, ledger, self);
  // The baseline, and the margin of a half below which nothing is returned.
  const Tokens kept = ledger.Allowance(now + policy.withhold_time, kCustomer);
  BOOST_TEST(kept <= kLimit / 100 * 3 / 2);
}

BOOST_FIXTURE_TEST_CASE(OwnSpendingKeepsAtMostItsShare, Fixture) {
  policy.baseline_share = 0.01;
  policy.headroom = std::chrono::seconds(1000);
  const Incarnation self("vm1@1");
  PrepaidLedger ledger = Join(self.value);
  SpendTenSeconds(ledger, self);
  const Tokens kept = ledger.Allowance(now + policy.withhold_time, kCustomer);
  BOOST_TEST(kept > kLimit / 5);
  BOOST_TEST(kept <= kLimit * 6 / 10);
}

BOOST_FIXTURE_TEST_CASE(ARejectedWriteIsDueAtOnce, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  BOOST_TEST((ledger.Hold(now, kCustomer, 100) == PrepaidVerdict::kHeld));
  ledger.Settle(now, kCustomer, 100, 100);
  now += PrepaidPolicy().report_every;
  BOOST_REQUIRE(ledger.NextWrite(now).has_value());
  ledger.OnWritten(now, PrepaidOutcome::kRejected, 0);
  store.Read(now, ledger);
  now += milliseconds(1);
  BOOST_TEST(ledger.NextWrite(now).has_value());
}

BOOST_FIXTURE_TEST_CASE(WhatIsLockedOpensOnlyAfterTheLock, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  const Tokens spendable = ledger.Allowance(now, kCustomer);
  const Tokens all = store.entry().grants.at(Incarnation("vm1@1"));
  BOOST_TEST(spendable < all / 2);
  BOOST_TEST(ledger.Allowance(now + milliseconds(1999), kCustomer) ==
             spendable);
  BOOST_TEST(ledger.Allowance(now + milliseconds(2000), kCustomer) == all);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredWriteCountsAtItsWorst, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  const Tokens before = ledger.Allowance(now, kCustomer);
  ledger.SetWaiting(kCustomer, before + 5000);
  const auto write = ledger.NextWrite(now + milliseconds(20));
  BOOST_REQUIRE(write.has_value());
  ledger.OnWritten(now, PrepaidOutcome::kUnknown, 0);
  // The write takes a larger grant, so it doesn't count until it is known to be
  // applied.
  BOOST_TEST(ledger.Allowance(now, kCustomer) == before);
  store.Apply(Incarnation("vm1@1"), *write);
  now += milliseconds(1000);
  BOOST_REQUIRE(ledger.NeedsRead(now));
  store.Read(now, ledger);
  BOOST_TEST(ledger.Allowance(now, kCustomer) >= before + 5000);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredReturnCountsAtOnce, Fixture) {
  const Incarnation self("vm1@1");
  PrepaidLedger ledger = Join(self.value);
  Join("vm2@1");
  now += milliseconds(1000);
  store.Read(now, ledger);
  const auto write = ledger.NextWrite(now);
  BOOST_REQUIRE(write.has_value());
  const Tokens less = write->record.customers.at(kCustomer).grants.at(self);
  BOOST_TEST(less < store.entry().grants.at(self));
  const Instant later = now + policy.withhold_time;
  BOOST_TEST(ledger.Allowance(later, kCustomer) == less);
  ledger.OnWritten(now, PrepaidOutcome::kUnknown, 0);
  BOOST_TEST(ledger.Allowance(later, kCustomer) == less);
}

// If a read shows the account unchanged, an unanswered write may still be
// applied, so what it returns must stay unspendable.
BOOST_FIXTURE_TEST_CASE(AReadOfTheSameAccountConfirmsNoWrite, Fixture) {
  const Incarnation self("vm1@1");
  PrepaidLedger ledger = Join(self.value);
  Join("vm2@1");
  now += milliseconds(1000);
  store.Read(now, ledger);
  const auto write = ledger.NextWrite(now);
  BOOST_REQUIRE(write.has_value());
  ledger.OnWritten(now, PrepaidOutcome::kUnknown, 0);
  store.Read(now, ledger);
  const Tokens less = write->record.customers.at(kCustomer).grants.at(self);
  BOOST_TEST(less < store.entry().grants.at(self));
  BOOST_TEST(ledger.Allowance(now + policy.withhold_time, kCustomer) == less);
}

// A write that was certainly not applied must not extend the withholding: the
// withheld tokens become spendable 2 s after the previous write.
BOOST_FIXTURE_TEST_CASE(AWriteThatDidntHappenWithholdsNothing, Fixture) {
  const PrepaidOutcome outcomes[] = {PrepaidOutcome::kRejected,
                                     PrepaidOutcome::kRefused};
  for (const PrepaidOutcome outcome : outcomes) {
    store = {};
    PrepaidLedger ledger = Join("vm1@1");
    const Instant free = now + policy.withhold_time;
    const Tokens all = store.entry().grants.at(Incarnation("vm1@1"));
    BOOST_TEST((ledger.Hold(now, kCustomer, 100) == PrepaidVerdict::kHeld));
    ledger.Settle(now, kCustomer, 100, 100);
    now += policy.report_every;
    BOOST_REQUIRE(ledger.NextWrite(now).has_value());
    ledger.OnWritten(now, outcome, 0);
    BOOST_TEST(ledger.Allowance(free, kCustomer) == all - 100);
  }
}

BOOST_FIXTURE_TEST_CASE(TheRecordIsReadAnewByItsAge, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  BOOST_TEST(!ledger.NeedsRead(now + milliseconds(5999)));
  BOOST_TEST(ledger.NeedsRead(now + milliseconds(6000)));
  ledger.SetWaiting(kCustomer, kLimit);
  BOOST_TEST(!ledger.NeedsRead(now + milliseconds(399)));
  BOOST_TEST(ledger.NeedsRead(now + milliseconds(400)));
}

BOOST_FIXTURE_TEST_CASE(AFailedReadIsRepeatedAfterAPause, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  now += milliseconds(6000);
  BOOST_TEST(ledger.NeedsRead(now));
  ledger.OnReadFailed(now);
  BOOST_TEST(!ledger.NeedsRead(now + milliseconds(299)));
  BOOST_TEST(ledger.NeedsRead(now + milliseconds(300)));
}

BOOST_FIXTURE_TEST_CASE(ALargeFleetReadsTheRecordLessOften, Fixture) {
  for (int n = 2; n <= 12; ++n) {
    store.record.members.insert(Incarnation("vm" + std::to_string(n) + "@1"));
  }
  PrepaidLedger ledger = Join("vm1@1");
  BOOST_TEST(!ledger.NeedsRead(now + milliseconds(8999)));
  BOOST_TEST(ledger.NeedsRead(now + milliseconds(9000)));
}

BOOST_FIXTURE_TEST_CASE(OnlyWhatCanNeverFitIsExhausted, Fixture) {
  PrepaidLedger one = Join("vm1@1");
  PrepaidLedger other = Join("vm2@1");
  BOOST_TEST((other.Hold(now, kCustomer, 90000) == PrepaidVerdict::kShort));
  BOOST_TEST((other.Hold(now, kCustomer, 99500) == PrepaidVerdict::kExhausted));
  BOOST_TEST(
      (other.Hold(now, CustomerName("free"), 99500) == PrepaidVerdict::kHeld));
}

// Held tokens count towards the budget: a request that fits only without them
// is exhausted, not short.
BOOST_FIXTURE_TEST_CASE(WhatIsHeldCountsAgainstTheBudget, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  BOOST_TEST((ledger.Hold(now, kCustomer, 97000) == PrepaidVerdict::kShort));
  BOOST_TEST((ledger.Hold(now, kCustomer, 3000) == PrepaidVerdict::kHeld));
  BOOST_TEST(
      (ledger.Hold(now, kCustomer, 97000) == PrepaidVerdict::kExhausted));
  ledger.Settle(now, kCustomer, 3000, 0);
  BOOST_TEST((ledger.Hold(now, kCustomer, 97000) == PrepaidVerdict::kShort));
}

BOOST_FIXTURE_TEST_CASE(TheReserveIsNeverGranted, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  ledger.SetWaiting(kCustomer, kLimit);
  now += milliseconds(20);
  store.Serve(now, ledger, Incarnation("vm1@1"));
  BOOST_TEST(store.entry().Outstanding() == kLimit * 99 / 100);
}

BOOST_FIXTURE_TEST_CASE(AnOlderConfigurationChangesNoLimit, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  ledger.SetLimits(3, {{kCustomer, kLimit / 2}});
  ledger.SetLimits(2, {{kCustomer, kLimit}});
  BOOST_TEST(
      (ledger.Hold(now, kCustomer, 60000) == PrepaidVerdict::kExhausted));
  now += milliseconds(500);
  store.Serve(now, ledger, Incarnation("vm1@1"));
  BOOST_TEST(store.entry().limit == kLimit / 2);
  // A router with an older configuration leaves the newer limit unchanged.
  Join("vm2@1");
  BOOST_TEST(store.record.members.size() == 2U);
  BOOST_TEST(store.entry().limit == kLimit / 2);
  BOOST_TEST(store.entry().limit_version == 3U);
}

BOOST_FIXTURE_TEST_CASE(ANewLimitIsWrittenByItself, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  ledger.SetLimits(2, {{kCustomer, kLimit + 500}});
  now += milliseconds(500);
  store.Serve(now, ledger, Incarnation("vm1@1"));
  BOOST_TEST(store.entry().limit == kLimit + 500);
}

// 55,000 tokens are granted, of which 40,000 are held. The idle rest isn't
// above the high-water mark, but it exceeds the lowered limit.
BOOST_FIXTURE_TEST_CASE(ALoweredLimitTakesBackWhatIsIdle, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  now += policy.withhold_time;
  BOOST_TEST((ledger.Hold(now, kCustomer, 40000) == PrepaidVerdict::kHeld));
  ledger.SetLimits(2, {{kCustomer, 41000}});
  store.Serve(now, ledger, Incarnation("vm1@1"));
  BOOST_TEST(store.entry().limit == 41000);
  BOOST_TEST(store.entry().Outstanding() == 41000);
}

BOOST_FIXTURE_TEST_CASE(ASuccessorTakesBackWhatWasLocked, Fixture) {
  Join("vm1@1");
  const Tokens withheld = store.spends.at(Incarnation("vm1@1"))
                              .spend.customers.at(kCustomer)
                              .withheld;
  const Tokens granted = store.entry().grants.at(Incarnation("vm1@1"));
  now += milliseconds(1500);
  Join("vm1@2");
  BOOST_TEST(store.entry().settled == granted - withheld);
  BOOST_TEST(!store.spends.contains(Incarnation("vm1@1")));
}

// A successor charges its predecessor even if it isn't a holder, since no other
// router knows that the predecessor is dead.
BOOST_FIXTURE_TEST_CASE(ASuccessorThatIsNoHolderChargesToo, Fixture) {
  Join("vm1@1");
  const Incarnation self("vm1@2");
  PrepaidLedger ledger({self, "b", now}, policy);
  ledger.SetLimits(1, {{kCustomer, kLimit}});
  store.Serve(now, ledger, self);
  BOOST_TEST(!store.record.members.contains(Incarnation("vm1@1")));
  BOOST_TEST(store.record.members.contains(self));
}

BOOST_FIXTURE_TEST_CASE(ALateSuccessorOrAnotherBootChargesAll, Fixture) {
  Join("vm1@1");
  const Tokens first = store.entry().grants.at(Incarnation("vm1@1"));
  now += milliseconds(2500);
  Join("vm1@2");
  BOOST_TEST(store.entry().settled == first);
  const Tokens second = store.entry().grants.at(Incarnation("vm1@2"));
  now += milliseconds(500);
  PrepaidLedger third = Make("vm1@3", "another boot");
  store.Serve(now, third, Incarnation("vm1@3"));
  BOOST_TEST(store.entry().settled == first + second);
}

BOOST_FIXTURE_TEST_CASE(AMoveIsBookedOnceByEitherSide, Fixture) {
  PrepaidLedger giver = Join("vm1@1");
  PrepaidLedger receiver = Join("vm2@1");
  giver.OnPeerSeen(Incarnation("vm2@1"));
  store.Serve(now, giver, Incarnation("vm1@1"));
  const auto total =
      giver.TransferOut(now, kCustomer, Incarnation("vm2@1"), 3000, true);
  BOOST_REQUIRE(total.has_value());
  const Tokens before = receiver.Allowance(now, kCustomer);
  for (int n = 0; n < 3; ++n) {
    receiver.OnTransfer(kCustomer, Incarnation("vm1@1"), *total);
  }
  BOOST_TEST(receiver.Allowance(now, kCustomer) == before + *total);
  const Tokens outstanding = store.entry().Outstanding();
  now += milliseconds(1600);
  store.Serve(now, receiver, Incarnation("vm2@1"));
  store.Serve(now, giver, Incarnation("vm1@1"));
  const TransferPair pair{Incarnation("vm1@1"), Incarnation("vm2@1")};
  BOOST_TEST(store.entry().transferred.at(pair) == *total);
  BOOST_TEST(store.entry().settled == 0);
  BOOST_TEST(store.entry().Outstanding() <= outstanding);
}

BOOST_FIXTURE_TEST_CASE(ATransferIsRecordedWithoutAnotherReason, Fixture) {
  const Incarnation self("vm1@1");
  const Incarnation peer("vm2@1");
  PrepaidLedger ledger = Join(self.value);
  Join(peer.value);
  now += milliseconds(1000);
  store.Read(now, ledger);
  store.Serve(now, ledger, self);
  BOOST_TEST(ledger.TransferOut(now, kCustomer, peer, 100, true).has_value());
  BOOST_TEST(!ledger.NextWrite(now + milliseconds(1499)).has_value());
  const auto write = ledger.NextWrite(now + milliseconds(1500));
  BOOST_REQUIRE(write.has_value());
  const PrepaidEntry& entry = write->record.customers.at(kCustomer);
  BOOST_TEST(entry.transferred.at({self, peer}) == 100);
}

BOOST_FIXTURE_TEST_CASE(HalfIsKeptUnlessAllIsAskedFor, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  const Incarnation peer("vm2@1");
  Join(peer.value);
  store.Read(now, ledger);
  const Tokens idle = ledger.Allowance(now, kCustomer);
  BOOST_TEST(ledger.TransferOut(now, kCustomer, peer, kLimit, false).value() ==
             idle / 2);
  BOOST_TEST(ledger.TransferOut(now, kCustomer, peer, kLimit, true).value() ==
             idle);
  BOOST_TEST(ledger.Allowance(now, kCustomer) == 0);
}

BOOST_FIXTURE_TEST_CASE(NothingGoesToARouterThatTheRecordDoesntShow, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  const Incarnation stranger("vm9@1");
  BOOST_TEST(
      !ledger.TransferOut(now, kCustomer, stranger, 100, true).has_value());
}

BOOST_FIXTURE_TEST_CASE(ALeavingRouterTransfersNothingEitherWay, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  const Incarnation peer("vm2@1");
  Join(peer.value);
  store.Read(now, ledger);
  BOOST_TEST(ledger.TransferOut(now, kCustomer, peer, 100, true).has_value());
  ledger.StartLeaving();
  BOOST_TEST(!ledger.TransferOut(now, kCustomer, peer, 100, true).has_value());
  const Tokens before = ledger.Allowance(now, kCustomer);
  ledger.OnTransfer(kCustomer, peer, 500);
  BOOST_TEST(ledger.Allowance(now, kCustomer) == before);
}

BOOST_FIXTURE_TEST_CASE(LeavingGivesEverythingBack, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  BOOST_TEST((ledger.Hold(now, kCustomer, 500) == PrepaidVerdict::kHeld));
  ledger.Settle(now, kCustomer, 500, 300);
  ledger.StartLeaving();
  store.Serve(now, ledger, Incarnation("vm1@1"));
  BOOST_TEST(ledger.HasLeft());
  BOOST_TEST(store.entry().settled == 300);
  BOOST_TEST(store.entry().Outstanding() == 0);
  BOOST_TEST(store.spends.empty());
}

BOOST_FIXTURE_TEST_CASE(ARouterWhoseEntryWasClosedSpendsNoMore, Fixture) {
  PrepaidLedger ledger = Join("vm1@1");
  Join("vm1@2");
  now += milliseconds(10000);
  BOOST_REQUIRE(ledger.NeedsRead(now));
  store.Read(now, ledger);
  BOOST_TEST(ledger.Fenced());
  BOOST_TEST(ledger.Allowance(now, kCustomer) == 0);
}

BOOST_FIXTURE_TEST_CASE(RecordsSurviveTheirEncoding, Fixture) {
  Join("vm1@1");
  store.record.RecordTransfer(kCustomer,
                              {Incarnation("vm1@1"), Incarnation("vm9@1")}, 77);
  BOOST_TEST((DecodePrepaid(EncodePrepaid(store.record)) == store.record));
  const SpendAccount& spend = store.spends.at(Incarnation("vm1@1")).spend;
  BOOST_TEST((DecodeSpend(EncodeSpend(spend)) == spend));
  for (const char* bytes : {"", "x", "\xa1\x61\x78\x01"}) {
    BOOST_TEST(!DecodePrepaid(bytes).has_value());
    BOOST_TEST(!DecodeSpend(bytes).has_value());
  }
}

}  // namespace
}  // namespace quaytrack
