// Tests the prepaid record: its stored form, which routers of other builds also
// read and write, and its arithmetic.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "prepaid/prepaid_record.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

const CustomerName kCustomer("clinic");
const Incarnation kOne("vm1@1");
const Incarnation kTwo("vm2@1");

PrepaidRecord Record() {
  PrepaidRecord out;
  out.members = {kOne, kTwo};
  PrepaidEntry& entry = out.customers[kCustomer];
  entry.limit = 1000;
  entry.limit_version = 7;
  entry.settled = 200;
  entry.grants = {{kOne, 300}, {kTwo, 100}};
  out.RecordTransfer(kCustomer, {kOne, kTwo}, 50);
  return out;
}

// The stored form lists each name once and refers to it by number.
BOOST_AUTO_TEST_CASE(TheRecordKeepsItsStoredForm) {
  const Json expected = Json::parse(R"({
      "customers": {"clinic":
          [1000, 7, 200, [[0, 250], [1, 150]], [[0, 1, 50]]]},
      "members": [0, 1],
      "names": ["vm1@1", "vm2@1"]})");
  BOOST_TEST(Json::from_cbor(EncodePrepaid(Record())) == expected);
  BOOST_TEST((DecodePrepaid(EncodePrepaid(Record())) == Record()));
}

BOOST_AUTO_TEST_CASE(TheSpendAccountKeepsItsStoredForm) {
  SpendAccount spend;
  spend.sequence = 3;
  spend.stamp_ms = 123456;
  spend.boot = "b";
  spend.customers[kCustomer] = {40, 210};
  const Json expected = Json::parse(R"({
      "sequence": 3, "stamp": 123456, "boot": "b",
      "customers": {"clinic": [40, 210]}})");
  BOOST_TEST(Json::from_cbor(EncodeSpend(spend)) == expected);
  BOOST_TEST((DecodeSpend(EncodeSpend(spend)) == spend));
}

// A total that is recorded already, or is lower, changes nothing.
BOOST_AUTO_TEST_CASE(AMoveCountsOnceInTheRecord) {
  PrepaidRecord record = Record();
  record.RecordTransfer(kCustomer, {kOne, kTwo}, 50);
  record.RecordTransfer(kCustomer, {kOne, kTwo}, 20);
  BOOST_TEST((record == Record()));
  record.RecordTransfer(kCustomer, {kOne, kTwo}, 80);
  BOOST_TEST(record.customers[kCustomer].grants[kOne] == 220);
  BOOST_TEST(record.customers[kCustomer].grants[kTwo] == 180);
}

// Tokens that the dead member had given away weren't spent by it.
BOOST_AUTO_TEST_CASE(AMoveBookedAfterADeathCorrectsTheCharge) {
  PrepaidRecord record = Record();
  BOOST_TEST(record.ChargeAndRemove(kOne, nullptr) == 250);
  PrepaidEntry& entry = record.customers[kCustomer];
  BOOST_TEST(entry.settled == 450);
  BOOST_TEST(!record.members.contains(kOne));
  record.RecordTransfer(kCustomer, {kOne, kTwo}, 80);
  BOOST_TEST(entry.settled == 420);
  BOOST_TEST(entry.grants[kTwo] == 180);
}

BOOST_AUTO_TEST_CASE(WhatADeadMemberLockedIsNotCharged) {
  PrepaidRecord record = Record();
  SpendAccount spend;
  spend.customers[kCustomer] = {0, 200};
  BOOST_TEST(record.ChargeAndRemove(kOne, &spend) == 50);
  BOOST_TEST(record.customers[kCustomer].settled == 250);
  BOOST_TEST(record.customers[kCustomer].Free() == 600);
}

// Guards against a charge that is taken for spending: only what the dead member
// had reported is proven, whatever is recorded of it later.
BOOST_AUTO_TEST_CASE(OnlyReportedSpendingOfADeadMemberIsProven) {
  PrepaidRecord record = Record();
  const Tokens before = record.customers[kCustomer].settled;
  SpendAccount spend;
  spend.customers[kCustomer] = {30, 0};
  BOOST_TEST(record.ChargeAndRemove(kOne, &spend) == 250);
  PrepaidEntry& entry = record.customers[kCustomer];
  BOOST_TEST(entry.ProvenSpent() == before + 30);
  record.RecordTransfer(kCustomer, {kOne, kTwo}, 80);
  BOOST_TEST(entry.ProvenSpent() == before + 30);
  record.RecordTransfer(kCustomer, {kTwo, kOne}, 40);
  BOOST_TEST(entry.ProvenSpent() == before + 30);
  entry.spent_per_s = 7;
  const auto read = DecodePrepaid(EncodePrepaid(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == record));
  // What is presumed of a member outlives its name.
  for (int n = 0; n < 40; ++n) {
    const Incarnation it("vm-" + std::to_string(n) + "@1");
    record.members.insert(it);
    record.ChargeAndRemove(it, nullptr);
  }
  BOOST_TEST(!record.IsGone(kOne));
  BOOST_TEST(entry.ProvenSpent() == before + 30);
}

// Guards against records that a version without `presumed` can't read, or that
// this one can't read from it: the fields before it keep their places, and are
// all that such a version writes.
BOOST_AUTO_TEST_CASE(ARecordWithChargesReadsAsBeforeInEarlierFields) {
  PrepaidRecord record = Record();
  record.ChargeAndRemove(kOne, nullptr);
  record.customers[kCustomer].spent_per_s = 7;
  auto json = nlohmann::json::from_cbor(EncodePrepaid(record));
  auto& entry = json.at("customers").at(kCustomer.value);
  constexpr std::size_t kEarlierFields = 6;
  BOOST_REQUIRE(entry.size() > kEarlierFields);
  while (entry.size() > kEarlierFields) entry.erase(entry.size() - 1);
  const auto bytes = nlohmann::json::to_cbor(json);
  const auto read = DecodePrepaid(std::string(bytes.begin(), bytes.end()));
  BOOST_REQUIRE(read.has_value());
  PrepaidEntry expected = record.customers[kCustomer];
  expected.presumed.clear();
  expected.spent_per_s = 0;
  BOOST_TEST((read->customers.at(kCustomer) == expected));
}

// Guards against transfers that stay in the record for good: when both sides
// are gone, no router is left to record them again.
BOOST_AUTO_TEST_CASE(ATransferGoesWithBothItsSides) {
  PrepaidRecord record = Record();
  record.ChargeAndRemove(kOne, nullptr);
  BOOST_TEST(record.customers[kCustomer].transferred.size() == 1U);
  record.ChargeAndRemove(kTwo, nullptr);
  BOOST_TEST(record.customers[kCustomer].transferred.empty());
}

}  // namespace
}  // namespace quaytrack
