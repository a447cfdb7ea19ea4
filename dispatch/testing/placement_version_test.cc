// Which targets get requests while a service moves to another version.

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "dispatch/placement.h"
#include "dispatch/testing/placement_targets.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VersionName kOld("v1");
const VersionName kNew("v2");

// Twelve engines of the current version, and later twelve of another.
struct Fixture {
  Fixture() {
    for (auto& [name, entry] : targets) entry.version = kOld;
    it.SetTargets(kStart, targets);
  }

  void StartNew(Instant now) {
    for (auto [name, entry] : Targets(kEngines, 12)) {
      entry.name = TargetName("n" + name.value);
      entry.version = kNew;
      targets[entry.name] = entry;
    }
    it.SetTargets(now, targets);
  }
  void SetRule(double share, bool others = true, bool alone = true) {
    VersionRule rule;
    rule.next = kNew;
    rule.share = share;
    rule.allow_others = others;
    rule.allow_next_alone = alone;
    it.SetVersionRule(kEngines, rule, 0);
  }
  // Sends prompts with 40 different parts; returns how many each target got.
  std::map<TargetName, int> Send(Instant now, int n) {
    std::map<TargetName, int> sent;
    for (int i = 0; i < n; ++i) {
      const PlacementRequest request = Prompt(i % 40, 1000 + i);
      const auto choice = it.Choose(now, request);
      if (!choice) break;
      it.OnSent(now, choice->target.name, request, choice->is_preferred);
      it.OnEnded(now, choice->target.name, 0, PlacementOutcome::kNeutral);
      ++sent[choice->target.name];
    }
    return sent;
  }
  int SentToNew(const std::map<TargetName, int>& sent) const {
    int out = 0;
    for (const auto& [name, n] : sent) {
      out += targets.at(name).version == kNew ? n : 0;
    }
    return out;
  }

  std::map<TargetName, TargetEntry> targets = Targets(kEngines, 12);
  Placement it{HallName("hall-0")};
};

// Regression: the targets of a version were listed before the order on it was
// known, and got half of all requests.
BOOST_FIXTURE_TEST_CASE(AVersionWaitsAMomentForOperatorsWord, Fixture) {
  StartNew(kStart + seconds(10));
  BOOST_TEST(SentToNew(Send(kStart + seconds(10), 100)) == 0);
  BOOST_TEST(SentToNew(Send(kStart + milliseconds(10'999), 100)) == 0);
  BOOST_TEST(SentToNew(Send(kStart + seconds(11), 100)) > 0);
}

BOOST_FIXTURE_TEST_CASE(WhereNobodyElseIsLeftItDoesnt, Fixture) {
  StartNew(kStart + seconds(10));
  std::erase_if(targets,
                [](const auto& e) { return e.second.version == kOld; });
  it.SetTargets(kStart + seconds(10), targets);
  BOOST_TEST(SentToNew(Send(kStart + seconds(10), 10)) == 10);
}

// Both versions existed before this router started.
BOOST_AUTO_TEST_CASE(VersionsOfTheFirstListDontWait) {
  auto targets = Targets(kEngines, 12);
  for (auto& [name, entry] : targets) {
    entry.version = entry.hall == HallName("hall-0") ? kNew : kOld;
  }
  Placement it(HallName("hall-0"));
  it.SetTargets(kStart, targets);
  std::set<VersionName> chosen;
  for (std::uint64_t part = 1; part <= 40; ++part) {
    chosen.insert(it.Choose(kStart, Prompt(part, part))->target.version);
  }
  BOOST_TEST(chosen.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(OnTrialItGetsItsPartAtItsPartOfTheTargets, Fixture) {
  SetRule(0.25);
  StartNew(kStart);
  const auto sent = Send(kStart, 400);
  BOOST_TEST(SentToNew(sent) == 100);
  int targets_used = 0;
  for (const auto& [name, n] : sent) {
    targets_used += targets.at(name).version == kNew ? 1 : 0;
  }
  // A quarter of the number of the twelve others.
  BOOST_TEST(targets_used == 3);
}

BOOST_FIXTURE_TEST_CASE(ARetryOfWhatMetItGoesToTheOthers, Fixture) {
  SetRule(0.5);
  StartNew(kStart);
  PlacementRequest request = Prompt(7, 1);
  request.tried.insert(TargetName("nt0"));
  for (int n = 0; n < 20; ++n) {
    const auto choice = it.Choose(kStart, request);
    BOOST_TEST((choice->target.version == kOld));
    it.OnSent(kStart, choice->target.name, request, choice->is_preferred);
  }
}

BOOST_FIXTURE_TEST_CASE(WithdrawnItGetsNothingNotEvenAlone, Fixture) {
  SetRule(0, true, false);
  StartNew(kStart);
  BOOST_TEST(SentToNew(Send(kStart, 200)) == 0);
  std::erase_if(targets,
                [](const auto& e) { return e.second.version == kOld; });
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.Choose(kStart, Prompt(7, 1)).has_value());
}

BOOST_FIXTURE_TEST_CASE(BeforeItBeginsItServesWhereNobodyElseDoes, Fixture) {
  SetRule(0);
  StartNew(kStart);
  BOOST_TEST(SentToNew(Send(kStart, 200)) == 0);
  std::erase_if(targets,
                [](const auto& e) { return e.second.version == kOld; });
  it.SetTargets(kStart, targets);
  BOOST_TEST(SentToNew(Send(kStart, 10)) == 10);
}

BOOST_FIXTURE_TEST_CASE(CompletedTheOthersGetNothing, Fixture) {
  SetRule(1, false);
  StartNew(kStart);
  BOOST_TEST(SentToNew(Send(kStart, 200)) == 200);
}

// The version was withdrawn while the request waited for its connection.
BOOST_FIXTURE_TEST_CASE(TheVersionIsLookedAtAgainBeforeTheBytesGo, Fixture) {
  SetRule(1, false);
  StartNew(kStart);
  const auto choice = it.Choose(kStart, Prompt(7, 1));
  BOOST_TEST(it.MayStillSend(kStart, *choice, Prompt(7, 1)));
  SetRule(0, true, false);
  BOOST_TEST(!it.MayStillSend(kStart, *choice, Prompt(7, 1)));
}

BOOST_FIXTURE_TEST_CASE(ABarredVersionGetsNothing, Fixture) {
  StartNew(kStart);
  VersionRule rule;
  rule.barred = {kNew};
  it.SetVersionRule(kEngines, rule, 0);
  BOOST_TEST(SentToNew(Send(kStart + seconds(20), 200)) == 0);
}

BOOST_FIXTURE_TEST_CASE(WhatRunsElsewhereIsCounted, Fixture) {
  StartNew(kStart);
  const PlacementRequest request = Prompt(7, 1);
  it.OnSent(kStart, TargetName("t0"), request, false);
  it.OnSent(kStart, TargetName("nt0"), request, false);
  BOOST_TEST(it.RunningAtOtherVersions(kEngines, kNew) == 1U);
  it.OnEnded(kStart, TargetName("t0"), 0, PlacementOutcome::kGood);
  BOOST_TEST(it.RunningAtOtherVersions(kEngines, kNew) == 0U);
  BOOST_TEST(it.HasVersion(kEngines, kNew));
  BOOST_TEST(!it.HasVersion(kDesk, kNew));
}

// Guards against the rest of a stream at another version than the one that
// began it, whatever else speaks for that one.
BOOST_FIXTURE_TEST_CASE(TheRestOfAStreamStaysAtItsVersion, Fixture) {
  StartNew(kStart);
  const Instant later = kStart + seconds(5);
  for (const double share : {0.0, 0.1, 0.9}) {
    if (share > 0) SetRule(share);
    for (const VersionName& version : {kOld, kNew}) {
      PlacementRequest request = Prompt(3, 1003);
      request.version = version;
      for (int n = 0; n < 12; ++n) {
        const auto choice = it.Choose(later, request);
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST((choice->target.version == version));
        request.tried.insert(choice->target.name);
      }
      // No target of that version is left.
      BOOST_TEST(!it.Choose(later, request));
    }
  }
}

// Guards against bytes for a target that has become another version while the
// connection was opened.
BOOST_FIXTURE_TEST_CASE(TheLastLookComparesTheVersion, Fixture) {
  PlacementRequest request = Prompt(3, 1003);
  request.version = kOld;
  const auto choice = it.Choose(kStart, request);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(it.MayStillSend(kStart, *choice, request));
  targets[choice->target.name].version = kNew;
  it.SetTargets(kStart, targets);
  BOOST_TEST(!it.MayStillSend(kStart, *choice, request));
}

// Guards against a target that has started again under its name, as another
// version, before its entry shows it.
BOOST_FIXTURE_TEST_CASE(ATargetThatMayHaveRestartedGetsNoRestOfAStream,
                        Fixture) {
  for (auto& [name, entry] : targets) {
    entry.started_at = WallTime(seconds(100));
    entry.address = name.value;
  }
  it.SetTargets(kStart, targets);
  PlacementRequest request = Prompt(3, 1003);
  request.version = kOld;
  std::set<TargetName> lost;
  for (int n = 0; n < 12; ++n) {
    const auto choice = it.Choose(kStart, request);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(lost.insert(choice->target.name).second);
    it.OnConnectionsLost(kStart, choice->target.address);
  }
  BOOST_TEST(!it.Choose(kStart, request));
  // Nor does its version bind a stream that has begun there.
  const TargetEntry& target = targets.begin()->second;
  BOOST_TEST(!it.VersionOf(kStart, target));
  BOOST_TEST((it.VersionOf(kStart + kMaxEntryDelay, target) == kOld));
  BOOST_TEST(it.Choose(kStart + kMaxEntryDelay, request).has_value());
  request.version.reset();
  BOOST_TEST(it.Choose(kStart, request).has_value());
}

// Guards against a sound target that loses its bound streams, and the versions
// of those that begin there, for a moment of silence.
BOOST_FIXTURE_TEST_CASE(ATargetThatWasSilentAndAnswersHasNotRestarted,
                        Fixture) {
  constexpr Duration kSilence = std::chrono::milliseconds(1300);
  for (auto& [name, entry] : targets) {
    entry.started_at = WallTime(seconds(100));
  }
  it.SetTargets(kStart, targets);
  const TargetEntry& target = targets.begin()->second;
  PlacementRequest request = Prompt(3, 1003);
  it.OnSent(kStart, target.name, request, true);
  it.OnSilent(kStart + kSilence / 2, target.name);
  BOOST_TEST(!it.VersionOf(kStart + kSilence / 2, target));
  it.OnAlive(kStart + kSilence, target.name, kStart);
  BOOST_TEST((it.VersionOf(kStart + kSilence, target) == kOld));
}

BOOST_FIXTURE_TEST_CASE(TheOnlyVersionIsKnownAfterAStreamsTime, Fixture) {
  const Duration age = Placement::kMaxStreamAge;
  BOOST_TEST((it.OnlyVersion(kStart, kEngines, {}) == kOld));
  BOOST_TEST(!it.OnlyVersion(kStart, kEngines, age));
  BOOST_TEST((it.OnlyVersion(kStart + age, kEngines, age) == kOld));
  StartNew(kStart + age);
  BOOST_TEST(!it.OnlyVersion(kStart + 2 * age, kEngines, age));
  BOOST_TEST(!it.OnlyVersion(kStart + 2 * age, kEngines, {}));
}

// Guards against streams that are refused for a version that left long ago, and
// against a guess while its streams may still be taken up.
BOOST_FIXTURE_TEST_CASE(AVersionCountsUntilItsStreamsHaveEnded, Fixture) {
  const Duration age = Placement::kMaxStreamAge;
  StartNew(kStart + age);
  const Instant left_at = kStart + 2 * age;
  std::erase_if(targets, [](const auto& target) {
    return target.second.version == kOld;
  });
  it.SetTargets(left_at, targets);
  const Instant forgotten_at = left_at + Placement::kVersionMemory;
  BOOST_TEST(!it.OnlyVersion(forgotten_at - milliseconds(1), kEngines, age));
  BOOST_TEST((it.OnlyVersion(forgotten_at, kEngines, age) == kNew));
}

// The same for a target that starts again as another version.
BOOST_FIXTURE_TEST_CASE(AVersionThatWasReplacedCountsUntilThen, Fixture) {
  for (auto& [name, entry] : targets) entry.version = kNew;
  it.SetTargets(kStart, targets);
  const Instant forgotten_at = kStart + Placement::kVersionMemory;
  BOOST_TEST(!it.OnlyVersion(forgotten_at - milliseconds(1), kEngines, {}));
  BOOST_TEST((it.OnlyVersion(forgotten_at, kEngines, {}) == kNew));
}

}  // namespace
}  // namespace quaytrack
