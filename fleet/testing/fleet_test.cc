// Tests which routers hold budgets, and which routers the others ask and link
// to.

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace quaytrack {
namespace {

constexpr int kHalls = 3;
constexpr int kLarge = 86;

FleetMember Member(int n) {
  const std::string name = "vm-" + std::to_string(n);
  return {VmName(name), HallName("hall-" + std::to_string(n % kHalls)),
          name + ":1"};
}

FleetDirectory Fleet(int routers, int self = 0) {
  FleetDirectory out(Member(self), {});
  for (int n = 0; n < routers; ++n) out.Put({Member(n)});
  return out;
}

HallName HallOf(const VmName& vm) {
  return Member(std::stoi(vm.value.substr(3))).hall;
}

BOOST_AUTO_TEST_CASE(InASmallFleetAllKeepBudgets) {
  const FleetDirectory fleet = Fleet(8);
  for (int n = 0; n < 8; ++n) BOOST_TEST(fleet.IsHolder(Member(n).vm));
  BOOST_TEST(fleet.MembersToLink().size() == 7U);
}

BOOST_AUTO_TEST_CASE(InALargeOneThreeOfEachHallDoAndAllAgree) {
  std::map<HallName, int> holders;
  const FleetDirectory fleet = Fleet(kLarge);
  const FleetDirectory other = Fleet(kLarge, 50);
  for (int n = 0; n < kLarge; ++n) {
    const bool is = fleet.IsHolder(Member(n).vm);
    BOOST_TEST(other.IsHolder(Member(n).vm) == is);
    if (is) ++holders[Member(n).hall];
  }
  BOOST_TEST(holders.size() == static_cast<std::size_t>(kHalls));
  for (const auto& [hall, n] : holders) BOOST_TEST(n == 3);
}

// Three VMs of a hall are larger than the other 56, with ten times the link and
// four times the processor. They must be the holders, as each holder serves an
// equal share of the hall.
BOOST_AUTO_TEST_CASE(TheLargestVmsOfAHallHoldItsBudgets) {
  const int large = SizeClass({.link_mbps = 200, .cores = 0.5});
  const int small = SizeClass({.link_mbps = 20, .cores = 0.12});
  BOOST_TEST(large > small);
  std::vector<FleetMember> members;
  for (int n = 0; n < 59; ++n) {
    FleetMember it = Member(kHalls * n);
    it.size_class = n % 20 == 7 ? large : small;
    members.push_back(it);
  }
  FleetDirectory fleet(members[0], {});
  fleet.Put(members);
  for (const FleetMember& it : members) {
    BOOST_TEST(fleet.IsHolder(it.vm) == (it.size_class == large));
  }
}

BOOST_AUTO_TEST_CASE(OneLargeVmIsAHolderBesideTwoOthers) {
  std::vector<FleetMember> members;
  for (int n = 0; n < 20; ++n) members.push_back(Member(kHalls * n));
  members[11].size_class = 3;
  FleetDirectory fleet(members[0], {});
  fleet.Put(members);
  BOOST_TEST(fleet.IsHolder(members[11].vm));
  BOOST_TEST(fleet.readers() == 3U);
}

// Guards against a reader whose own link is full: of three holders only the two
// on large VMs read the store.
BOOST_AUTO_TEST_CASE(ReadersAreOnTheLargestVmsIfTheseAreEnough) {
  std::vector<FleetMember> members;
  for (int n = 0; n < 20; ++n) members.push_back(Member(kHalls * n));
  members[7].size_class = members[11].size_class = 3;
  FleetDirectory fleet(members[0], {});
  fleet.Put(members);
  BOOST_TEST(fleet.readers() == 2U);
  BOOST_TEST(fleet.IsReader(members[7].vm));
  BOOST_TEST(fleet.IsReader(members[11].vm));
  BOOST_TEST(fleet.ReadersToAsk().size() == 2U);
  int holders = 0;
  for (const FleetMember& it : members)
    holders += fleet.IsHolder(it.vm) ? 1 : 0;
  BOOST_TEST(holders == 3);
}

BOOST_AUTO_TEST_CASE(SizesCountByDoublings) {
  BOOST_TEST(SizeClass({.link_mbps = 1000, .cores = 0.26}) ==
             SizeClass({.link_mbps = 1100, .cores = 0.27}));
  // A large amount of one resource doesn't make up for a lack of the other.
  BOOST_TEST(SizeClass({.link_mbps = 20, .cores = 0.5}) <
             SizeClass({.link_mbps = 200, .cores = 0.5}));
  BOOST_TEST(SizeClass({}) == 0);
}

BOOST_AUTO_TEST_CASE(AReaderTellsItsHallAndTheOtherReaders) {
  FleetDirectory fleet = Fleet(kLarge);
  for (int n = 0; n < kLarge; ++n) {
    const bool same_hall = n % kHalls == 0;
    BOOST_TEST(fleet.SendsUpdatesTo(Member(n).vm) ==
               (same_hall || fleet.IsReader(Member(n).vm)));
  }
  BOOST_TEST(fleet.readers() == 9U);
  BOOST_TEST(Fleet(8).readers() == 0U);
  BOOST_TEST(Fleet(8).ReadersToAsk().empty());
}

BOOST_AUTO_TEST_CASE(RoutersOfAHallAskTheSameHolderForACustomer) {
  const CustomerName customer("c");
  const std::vector<VmName> asked = Fleet(kLarge, 0).HoldersFor(customer);
  for (int n = 0; n < kLarge; n += kHalls) {
    const FleetDirectory fleet = Fleet(kLarge, n);
    if (fleet.IsHolder(Member(n).vm)) continue;
    BOOST_TEST((fleet.HoldersFor(customer) == asked));
  }
}

BOOST_AUTO_TEST_CASE(HoldersOfTheOwnHallComeFirst) {
  const std::vector<VmName> asked =
      Fleet(kLarge, 0).HoldersFor(CustomerName("c"));
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST((HallOf(asked[i]) == Member(0).hall));
  }
}

// The number of links that a router opens must not grow with the fleet: at most
// 8 at a holder, and 5 at any other router. (A holder also gets a link from
// each router of its hall.)
BOOST_AUTO_TEST_CASE(LinksOfMostRoutersAreFew) {
  for (int self = 0; self < kLarge; ++self) {
    const FleetDirectory fleet = Fleet(kLarge, self);
    const std::size_t max_links = fleet.IsHolder(Member(self).vm) ? 8 : 5;
    BOOST_TEST(fleet.MembersToLink().size() <= max_links);
  }
}

BOOST_AUTO_TEST_CASE(ARouterLinksToTheHoldersOfItsHallAndTwoMore) {
  for (int self = 0; self < kLarge; ++self) {
    const FleetDirectory fleet = Fleet(kLarge, self);
    if (fleet.IsHolder(Member(self).vm)) continue;
    int same_hall = 0;
    int other_halls = 0;
    for (const FleetMember& it : fleet.MembersToLink()) {
      BOOST_TEST(fleet.IsHolder(it.vm));
      ++(it.hall == Member(self).hall ? same_hall : other_halls);
    }
    BOOST_TEST(same_hall == 3);
    BOOST_TEST(other_halls == 2);
  }
}

BOOST_AUTO_TEST_CASE(HoldersLinkToEachOther) {
  for (int self = 0; self < kLarge; ++self) {
    const FleetDirectory fleet = Fleet(kLarge, self);
    if (!fleet.IsHolder(Member(self).vm)) continue;
    BOOST_TEST(fleet.MembersToLink().size() == 3U * kHalls - 1);
  }
}

BOOST_AUTO_TEST_CASE(AnEntryIsReadAsItWasWritten) {
  const auto read = DecodeMember(EncodeMember(Member(4)));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == Member(4)));
  BOOST_TEST(!DecodeMember("no entry").has_value());
}

}  // namespace
}  // namespace quaytrack
