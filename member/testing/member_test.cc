// Tests which VM lists and registrations prove a router dead, and the choice of
// a witness.

#include <boost/test/unit_test.hpp>

#include "member/registry.h"
#include "member/vm_tracker.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VmName kVm{"vm-1"};

struct TrackerFixture {
  void List(const std::vector<VmEntry>& list) {
    now += seconds(1);
    tracker.OnList(now, list);
  }
  Instant now{std::chrono::hours(1)};
  VmTracker tracker{{seconds(3), seconds(10)}};
};

BOOST_FIXTURE_TEST_CASE(DroppedOnlyAfterTheLag, TrackerFixture) {
  List({{kVm, VmState::kLive}});
  for (int n = 0; n < 4; ++n) {
    List({});
    BOOST_TEST(!tracker.Dropped(now, kVm));
  }
  List({});
  BOOST_TEST(tracker.Dropped(now, kVm));
  List({{kVm, VmState::kLive}});
  BOOST_TEST(!tracker.Dropped(now, kVm));
}

BOOST_FIXTURE_TEST_CASE(ListThatCannotBeHadProvesNothing, TrackerFixture) {
  List({{kVm, VmState::kLive}});
  List({});
  now += seconds(60);
  BOOST_TEST(!tracker.Dropped(now, kVm));
  BOOST_TEST(!tracker.Absent(now, kVm));
  // The time counts anew after the gap.
  List({});
  BOOST_TEST(!tracker.Absent(now, kVm));
}

BOOST_FIXTURE_TEST_CASE(NewVmIsAbsentButNotDropped, TrackerFixture) {
  for (int n = 0; n < 6; ++n) List({});
  BOOST_TEST(!tracker.Dropped(now, kVm));
  BOOST_TEST(tracker.Absent(now, kVm));
}

BOOST_FIXTURE_TEST_CASE(LeavingIsBelievedAtOnce, TrackerFixture) {
  List({{kVm, VmState::kLeaving}});
  BOOST_TEST(tracker.Leaving(kVm));
}

RouterEntry Entry(const char* incarnation, const char* hall,
                  std::int64_t created) {
  RouterEntry out;
  out.incarnation = Incarnation(incarnation);
  out.hall = HallName(hall);
  out.created = created;
  return out;
}

struct RegistryFixture : TrackerFixture {
  RouterRegistry registry;
  const Incarnation old_run{"vm-1@1-a"};
};

BOOST_FIXTURE_TEST_CASE(LapsedLeaseAloneIsNoProof, RegistryFixture) {
  registry.Put(Entry("vm-1@1-a", "h1", 10));
  registry.Remove(old_run);
  for (int n = 0; n < 6; ++n) List({{kVm, VmState::kLive}});
  BOOST_TEST(!registry.ProvenDead(now, old_run, 10, tracker));
}

BOOST_FIXTURE_TEST_CASE(LaterIncarnationIsProof, RegistryFixture) {
  List({{kVm, VmState::kLive}});
  registry.Put(Entry("vm-1@2-b", "h1", 20));
  BOOST_TEST(registry.ProvenDead(now, old_run, 10, tracker));
  BOOST_TEST(!registry.ProvenDead(now, Incarnation("vm-1@2-b"), 20, tracker));
}

// Guards against declaring a live router dead: a router whose lease lapsed
// while it was paused registers again, and its second registration isn't a
// successor's.
BOOST_FIXTURE_TEST_CASE(OwnSecondRegistrationIsNoProof, RegistryFixture) {
  List({{kVm, VmState::kLive}});
  registry.Put(Entry("vm-1@1-a", "h1", 10));
  registry.Remove(old_run);
  registry.Put(Entry("vm-1@1-a", "h1", 50));
  registry.Remove(old_run);
  BOOST_TEST(!registry.ProvenDead(now, old_run, 10, tracker));
}

BOOST_FIXTURE_TEST_CASE(NewVmThatIsNotListedYetIsAlive, RegistryFixture) {
  for (int n = 0; n < 6; ++n) List({});
  registry.Put(Entry("vm-1@1-a", "h1", 10));
  BOOST_TEST(!registry.ProvenDead(now, old_run, 10, tracker));
  registry.Remove(old_run);
  BOOST_TEST(registry.ProvenDead(now, old_run, 10, tracker));
}

BOOST_FIXTURE_TEST_CASE(WitnessIsInAnotherHallIfThereIsOne, RegistryFixture) {
  const RouterEntry self = Entry("vm-1@1-a", "h1", 1);
  registry.Put(self);
  BOOST_TEST(registry.WitnessFor(self, {}).empty());
  registry.Put(Entry("vm-2@1-a", "h1", 2));
  BOOST_TEST(registry.WitnessFor(self, {}).value == "vm-2@1-a");
  registry.Put(Entry("vm-3@1-a", "h2", 3));
  registry.Put(Entry("vm-4@1-a", "h1", 4));
  BOOST_TEST(registry.WitnessFor(self, {}).value == "vm-3@1-a");
  const Incarnation avoided("vm-3@1-a");
  BOOST_TEST(registry.WitnessFor(self, avoided).value != "vm-3@1-a");
}

}  // namespace
}  // namespace quaytrack
