// Tests how a record that lost its latest changes is merged with a router's
// later copy.

#include "prepaid/record_merge.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

const CustomerName kCustomer("clinic");
const Incarnation kOne("vm1@1");
const Incarnation kTwo("vm2@1");

// The restored copy: two members, of which the first has spent 100 of the 400
// tokens that it drew.
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

// The same after a later write of the first member, which has spent 300 tokens
// more and drawn 300 more.
PrepaidRecord Later() {
  PrepaidRecord out = Copy();
  out.writes[kOne] = 5;
  PrepaidEntry& entry = out.customers[kCustomer];
  entry.settled = 450;
  entry.contributed[kOne] = 400;
  return out;
}

PrepaidEntry Merged(const PrepaidRecord& known, PrepaidRecord record) {
  MergeRecord(known, record);
  return record.customers.at(kCustomer);
}

// Guards against losing the spending that only the later record shows.
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
  MergeRecord(Later(), record);
  BOOST_TEST((record == Later()));
}

// Guards against a dead member that is restored from the copy, as the copy was
// taken before it was charged.
BOOST_AUTO_TEST_CASE(AMemberThatWasChargedStaysGone) {
  PrepaidRecord known = Later();
  known.ChargeAndRemove(kOne, nullptr);
  PrepaidRecord record = Copy();
  MergeRecord(known, record);
  BOOST_TEST(!record.HasMember(kOne));
  BOOST_TEST(record.customers.at(kCustomer).settled == 750);
  BOOST_TEST(!record.customers.at(kCustomer).grants.contains(kOne));
}

// Guards against charging a dead member only what the copy shows, although
// another router knows its later, larger balance.
BOOST_AUTO_TEST_CASE(WhatADeadMemberHadSinceTheCopyIsCharged) {
  PrepaidRecord record = Copy();
  record.ChargeAndRemove(kOne, nullptr);
  BOOST_TEST(record.customers.at(kCustomer).settled == 450);
  MergeRecord(Later(), record);
  BOOST_TEST(!record.HasMember(kOne));
  BOOST_TEST(record.customers.at(kCustomer).settled == 750);
}

// Guards against a charge without proof that a restored copy turns into
// spending, and against spending that is no longer proven after it.
BOOST_AUTO_TEST_CASE(WhatIsPresumedOfADeadMemberStaysSo) {
  PrepaidRecord charged = Copy();
  charged.ChargeAndRemove(kOne, nullptr);
  for (const PrepaidEntry& it :
       {Merged(charged, Copy()), Merged(Later(), charged),
        Merged(charged, charged)}) {
    BOOST_TEST(it.presumed.at(kOne) == 300);
    const Tokens alive = 50;
    BOOST_TEST(it.ProvenSpent() == alive + it.contributed.at(kOne) - 300);
  }
}

// Guards against omitting a member that joined after the copy was taken.
BOOST_AUTO_TEST_CASE(AMemberThatJoinedSinceTheCopyIsAwaited) {
  const Incarnation three("vm3@1");
  PrepaidRecord known = Later();
  known.members.insert(three);
  known.writes[three] = 1;
  known.customers[kCustomer].grants[three] = 70;
  PrepaidRecord record = Copy();
  MergeRecord(known, record);
  BOOST_TEST(record.undeclared.contains(three));
  BOOST_TEST(record.customers.at(kCustomer).grants.at(three) == 70);
}

// Guards against counting a transfer at only one of its two sides when the copy
// lacks it.
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
