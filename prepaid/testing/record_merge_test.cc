// What is written again into a record that the store has lost a part of.

#include "prepaid/record_merge.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

const CustomerName kCustomer("clinic");
const Incarnation kOne("vm1@1");
const Incarnation kTwo("vm2@1");

// Two members, of which the first has spent 100 of 400 that it drew.
PrepaidRecord Copy() {
  PrepaidRecord out;
  out.era = 3;
  out.members = {kOne, kTwo};
  out.writes = {{kOne, 4}, {kTwo, 2}};
  PrepaidEntry& entry = out.customers[kCustomer];
  entry.limit = 1000;
  entry.settled = 150;
  entry.contributed = {{kOne, 100}};
  entry.grants = {{kOne, 300}, {kTwo, 200}};
  return out;
}

// The same after a later write of the first: it has spent 300 more, and drawn
// as much.
PrepaidRecord Later() {
  PrepaidRecord out = Copy();
  out.writes[kOne] = 5;
  PrepaidEntry& entry = out.customers[kCustomer];
  entry.settled = 450;
  entry.contributed[kOne] = 400;
  return out;
}

PrepaidEntry Merged(const PrepaidRecord& known, PrepaidRecord record) {
  MergeKnown(known, record);
  return record.customers.at(kCustomer);
}

// Guards against spending that is lost with the store's latest changes.
BOOST_AUTO_TEST_CASE(TheLaterPartOfAMemberIsWrittenAgain) {
  for (const PrepaidEntry& it :
       {Merged(Later(), Copy()), Merged(Copy(), Later())}) {
    BOOST_TEST(it.settled == 450);
    BOOST_TEST(it.grants.at(kOne) == 300);
    BOOST_TEST(it.grants.at(kTwo) == 200);
  }
}

BOOST_AUTO_TEST_CASE(MergingWhatIsKnownAlreadyChangesNothing) {
  PrepaidRecord record = Later();
  MergeKnown(Later(), record);
  BOOST_TEST((record == Later()));
}

// Guards against a dead member that the copy brings back to life.
BOOST_AUTO_TEST_CASE(AMemberThatWasChargedStaysGone) {
  PrepaidRecord known = Later();
  known.ChargeAndRemove(kOne, nullptr);
  PrepaidRecord record = Copy();
  MergeKnown(known, record);
  BOOST_TEST(!record.HasMember(kOne));
  BOOST_TEST(record.customers.at(kCustomer).settled == 750);
  BOOST_TEST(!record.customers.at(kCustomer).grants.contains(kOne));
}

// Guards against a grant of a dead member that was charged by the copy alone,
// though somebody had seen it grow.
BOOST_AUTO_TEST_CASE(WhatADeadMemberHadSinceTheCopyIsCharged) {
  PrepaidRecord record = Copy();
  record.ChargeAndRemove(kOne, nullptr);
  BOOST_TEST(record.customers.at(kCustomer).settled == 450);
  MergeKnown(Later(), record);
  BOOST_TEST(!record.HasMember(kOne));
  BOOST_TEST(record.customers.at(kCustomer).settled == 750);
}

// Guards against a member that joined since the copy, and is left out.
BOOST_AUTO_TEST_CASE(AMemberThatJoinedSinceTheCopyIsAwaited) {
  const Incarnation three("vm3@1");
  PrepaidRecord known = Later();
  known.members.insert(three);
  known.writes[three] = 1;
  known.customers[kCustomer].grants[three] = 70;
  PrepaidRecord record = Copy();
  MergeKnown(known, record);
  BOOST_TEST(record.undeclared.contains(three));
  BOOST_TEST(record.customers.at(kCustomer).grants.at(three) == 70);
}

// Guards against transfers that are counted at one side alone.
BOOST_AUTO_TEST_CASE(ATransferThatTheCopyLacksCountsAtBothSides) {
  PrepaidRecord known = Later();
  known.RecordTransfer(kCustomer, {kOne, kTwo}, 120);
  const PrepaidEntry it = Merged(known, Copy());
  BOOST_TEST(it.grants.at(kOne) == 180);
  BOOST_TEST(it.grants.at(kTwo) == 320);
  BOOST_TEST(it.settled + it.Outstanding() == 950);
}

}  // namespace
}  // namespace quaytrack
