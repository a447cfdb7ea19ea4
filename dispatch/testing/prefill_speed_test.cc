// The prefill speed of the engines of a service, learned from answers.

#include "dispatch/prefill_speed.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace quaytrack {
namespace {

// An engine that takes `base` milliseconds plus `per_token` per token. Three in
// ten of its answers also wait up to 400 ms for prompts of other routers.
struct BusyEngine {
  double base = 0;
  double per_token = 0;
  std::minstd_rand random{20261202};

  double Wait(Tokens tokens) {
    std::uniform_real_distribution<double> draw(0, 1);
    const double other = draw(random) < 0.3 ? 400 * draw(random) : 0;
    return base + per_token * static_cast<double>(tokens) + other;
  }

  // Feeds a mix of short and long prompts, as a router sends them.
  void Teach(PrefillSpeed& speed, int answers) {
    std::lognormal_distribution<double> size(0, 1);
    for (int n = 0; n < answers; ++n) {
      const double mean = n % 5 == 0 ? 1750 : 380;
      const auto tokens = static_cast<Tokens>(mean * size(random));
      speed.OnFirstEvent(tokens, Wait(tokens));
    }
  }
};

BOOST_AUTO_TEST_CASE(EnginesOfSeveralSpeedsAreLearned) {
  for (const double per_token : {0.01, 0.02, 0.031, 0.05, 0.1}) {
    PrefillSpeed speed;
    BusyEngine{.base = 70, .per_token = per_token}.Teach(speed, 600);
    const double learned = speed.PrefillMs(1000) / 1000;
    BOOST_TEST(learned > per_token * 0.7, per_token << " as " << learned);
    BOOST_TEST(learned < per_token * 1.5, per_token << " as " << learned);
    BOOST_TEST(speed.base_ms() > 50);
    BOOST_TEST(speed.base_ms() < 130);
  }
}

BOOST_AUTO_TEST_CASE(AServiceThatTurnsSlowIsFollowed) {
  PrefillSpeed speed;
  BusyEngine{.base = 70, .per_token = 0.03}.Teach(speed, 400);
  const double before = speed.FirstEventMs(5000);
  BusyEngine{.base = 210, .per_token = 0.09}.Teach(speed, 800);
  BOOST_TEST(speed.FirstEventMs(5000) > before * 2);
  BOOST_TEST(speed.FirstEventMs(5000) < before * 4);
}

BOOST_AUTO_TEST_CASE(AStallOfTheRouterMovesTheLineLittle) {
  PrefillSpeed speed;
  BusyEngine engine{.base = 70, .per_token = 0.03};
  engine.Teach(speed, 400);
  const double before = speed.FirstEventMs(5000);
  for (int n = 0; n < 3; ++n) speed.OnFirstEvent(5000, 4000);
  BOOST_TEST(speed.FirstEventMs(5000) < before * 1.2);
}

BOOST_AUTO_TEST_CASE(TheFirstGuessHoldsUntilEnoughHasCome) {
  PrefillSpeed speed;
  for (int n = 0; n < 15; ++n) speed.OnFirstEvent(5000, 900);
  BOOST_TEST(speed.PrefillMs(1000) == 20);
  BOOST_TEST(speed.base_ms() == 40);
}

BOOST_AUTO_TEST_CASE(ANewRouterTakesAPeersLineAndThenItsOwn) {
  PrefillSpeed old;
  BusyEngine engine{.base = 70, .per_token = 0.06};
  engine.Teach(old, 400);
  PrefillSpeed fresh;
  fresh.OnPeerLine({.ms_per_token = 0.5, .base_ms = 9, .answers = 3});
  BOOST_TEST(fresh.PrefillMs(1000) == 20);
  fresh.OnPeerLine(old.line());
  BOOST_TEST(fresh.PrefillMs(1000) == old.PrefillMs(1000));
  engine.Teach(fresh, 200);
  const double learned_ms = fresh.PrefillMs(1000);
  fresh.OnPeerLine({.ms_per_token = 0.5, .base_ms = 9, .answers = 1000});
  BOOST_TEST(fresh.PrefillMs(1000) == learned_ms);
}

BOOST_AUTO_TEST_CASE(NonsenseLeavesTheLineWithinItsBounds) {
  const bool holds = rc::check([] {
    PrefillSpeed speed;
    const std::vector<double> odd = {-1, 0, 1e300,
                                     std::numeric_limits<double>::infinity(),
                                     std::numeric_limits<double>::quiet_NaN()};
    const int answers = *rc::gen::inRange(0, 200);
    for (int n = 0; n < answers; ++n) {
      const auto tokens =
          *rc::gen::element<Tokens>(-5, 0, 1, 800, 20000, Tokens{1} << 40);
      const double wait = *rc::gen::arbitrary<bool>()
                              ? *rc::gen::elementOf(odd)
                              : *rc::gen::inRange(0, 100000);
      speed.OnFirstEvent(tokens, wait);
      if (n % 7 == 0) speed.OnPeerLine({wait, wait, 1000});
      RC_ASSERT(speed.PrefillMs(1000) >= 1);
      RC_ASSERT(speed.PrefillMs(1000) <= 1000);
      RC_ASSERT(speed.base_ms() >= 0);
      RC_ASSERT(speed.base_ms() <= 1000);
    }
  });
  BOOST_TEST(holds);
}

}  // namespace
}  // namespace quaytrack
