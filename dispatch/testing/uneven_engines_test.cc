// The load of docs/design/hard-load.md, part C: 63 routers in four halls and 56
// engines, a quarter of them of speed 0.55 beside 1.2; at any moment 15 in 100
// engines take 2.5 times as long, for about 600 ms. The choice with learned
// pace is compared with the choice without it on the same arrivals, speeds and
// slow moments. Guards against slow engines that get as many requests as the
// others, and against prefixes that are prefilled again because routers
// disagree.
//
// Model of an engine: 12 slots and a queue; a prompt's uncached tokens are
// prefilled one prompt after the other, which delays the steps of all streams
// there; a step takes 3.55 ms + 0.046 ms for each running stream, and an event
// kStepsPerEvent steps. Both are divided by the speed. The cache keeps the
// shared parts used last. Steps per event, the number of prefixes and the size
// of the cache are not on the page; they are set so that the choice without
// pace makes about 0.1 of the answers late, as the page's measurement says.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/pace_exchange.h"
#include "dispatch/placement.h"

namespace quaytrack {
namespace {

constexpr int kRouters = 63;
constexpr int kHalls = 4;
constexpr int kEngineCount = 56;
constexpr std::size_t kSlots = 12;
constexpr double kTokensPerMs = 157;
constexpr int kStepsPerEvent = 8;
constexpr double kSlowFactor = 2.5;
constexpr double kSlowMs = 600;
constexpr double kSlowShare = 0.15;
constexpr std::size_t kCachedParts = 48;
constexpr double kHallMs = 0.5;
const ServiceName kService("llm");

struct RequestClass {
  double per_s;
  Tokens shared;
  Tokens own;
  int events;
  double first_limit_ms;
  double pause_limit_ms;
  int prefixes;
};

constexpr RequestClass kClasses[] = {
    {320, 6300, 2890, 7, 300, 250, 200},
    {336, 568, 1800, 3, 600, 250, 120},
    {47, 172, 543, 35, 800, 250, 30},
};

Instant At(double ms) {
  return Instant(std::chrono::hours(1)) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(ms));
}

Duration Ms(double ms) { return At(ms) - At(0); }

// What of the load is drawn; the same for all choices that are compared.
struct Arrival {
  double at_ms;
  int router;
  const RequestClass* kind;
  std::uint64_t prefix;
  std::uint64_t own;
};

struct Load {
  // `hot_share` of each class's requests have the same prefix.
  Load(double ms, unsigned seed, double hot_share = 0)
      : random(seed), hot(hot_share) {
    for (const RequestClass& it : kClasses) AddArrivals(it, ms);
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    slow_from.resize(kEngineCount);
    const double pause_ms = kSlowMs * (1 / kSlowShare - 1);
    for (auto& times : slow_from) {
      std::exponential_distribution<double> pause(1 / pause_ms);
      for (double at = pause(random); at < ms + 10'000;
           at += kSlowMs + pause(random))
        times.push_back(at);
    }
  }

  void AddArrivals(const RequestClass& it, double ms) {
    std::exponential_distribution<double> pause(it.per_s / 1000);
    std::uniform_real_distribution<double> draw(0, 1);
    const auto base = static_cast<std::uint64_t>(&it - kClasses) * 1000;
    for (double at = pause(random); at < ms; at += pause(random)) {
      // Each prefix of a class is requested about as often.
      const double x = draw(random);
      const bool is_hot = hot > 0 && draw(random) < hot;
      const auto prefix =
          is_hot ? 0 : static_cast<std::uint64_t>(x * it.prefixes);
      const int router = static_cast<int>(draw(random) * kRouters);
      arrivals.push_back(
          {at, router, &it, base + prefix, 1'000'000 + arrivals.size()});
    }
  }

  bool IsSlow(std::size_t engine, double ms) const {
    const auto& times = slow_from[engine];
    const auto it = std::upper_bound(times.begin(), times.end(), ms);
    return it != times.begin() && ms < *std::prev(it) + kSlowMs;
  }

  std::mt19937 random;
  const double hot;
  std::vector<Arrival> arrivals;
  std::vector<std::vector<double>> slow_from;
};

struct Stream {
  const Arrival* arrival = nullptr;
  PlacementRequest request;
  PlacementChoice choice;
  Tokens expected_prefill = 0;
  double sent_ms = 0;
  double first_ms = -1;
  double last_ms = 0;
  std::vector<Duration> pauses;
  int steps = 0;
  bool prefilled = false;
};

struct Result {
  int answers = 0;
  int late = 0;
  int slow_engine_answers = 0;
  int other_hall_answers = 0;
  Tokens shared_again = 0;
  Tokens shared_requested = 0;

  double LateShare() const { return static_cast<double>(late) / answers; }
};

// One run of the load. `by_pace` is whether routers learn and exchange the pace
// of engines, and skip those that are overdue.
class Simulation {
 public:
  Simulation(const Load& load, bool by_pace, std::vector<double> speeds,
             double counted_from_ms)
      : load_(load),
        by_pace_(by_pace),
        speeds_(std::move(speeds)),
        counted_from_ms_(counted_from_ms),
        engines_(kEngineCount) {
    std::vector<FleetMember> members;
    for (int n = 0; n < kRouters; ++n) {
      members.push_back({VmName("vm-" + std::to_string(n)),
                         HallName("hall-" + std::to_string(n % kHalls)), "a",
                         0});
    }
    std::map<TargetName, TargetEntry> targets;
    for (int n = 0; n < kEngineCount; ++n) {
      TargetEntry it;
      it.name = TargetName("e" + std::to_string(n));
      it.start = TargetStart(it.name.value + "@1");
      it.service = kService;
      // The hall does not follow the speed, which rotates by four as well.
      it.hall = HallName("hall-" + std::to_string(n / 14));
      it.slots = kSlots;
      targets[it.name] = it;
    }
    for (const FleetMember& it : members) {
      routers_.push_back(std::make_unique<Router>(it));
      Router& router = *routers_.back();
      router.fleet.Put(members);
      router.fleet.MarkRead();
      router.placement.SetTargets(At(0), targets);
      if (by_pace_)
        router.placement.SetRoutersInHall(router.fleet.routers_in_hall());
    }
  }

  Result Run() {
    std::size_t next = 0;
    double next_check = 0;
    while (true) {
      const double arrival =
          next < load_.arrivals.size() ? load_.arrivals[next].at_ms : kNever;
      const double step = steps_.empty() ? kNever : steps_.top().first;
      if (arrival == kNever && step == kNever) break;
      if (next_check <= std::min(arrival, step)) {
        Check(next_check);
        next_check += 200;
      } else if (arrival <= step) {
        Send(load_.arrivals[next++]);
      } else {
        const std::size_t engine = steps_.top().second;
        steps_.pop();
        EndStep(engine, step);
      }
    }
    return result_;
  }

  std::size_t slow_engines_known(std::size_t router) const {
    return routers_[router]->placement.pace().slow();
  }

  // Whether reports between halls are lost.
  bool is_cut = false;

 private:
  static constexpr double kNever = 1e18;

  struct Router {
    explicit Router(const FleetMember& self)
        : fleet(self, FleetOptions()),
          placement(self.hall),
          exchange(fleet, placement.pace()) {}

    FleetDirectory fleet;
    Placement placement;
    PaceExchange exchange;
  };
  struct Engine {
    std::deque<std::shared_ptr<Stream>> queue;
    std::vector<std::shared_ptr<Stream>> running;
    // Prefixes, the one used last at the front.
    std::list<std::uint64_t> cache;
    bool is_stepping = false;
    std::shared_ptr<Stream> prefilling;
  };

  void Check(double ms) {
    if (!by_pace_) return;
    const auto round = static_cast<std::size_t>(ms / 200);
    for (auto& it : routers_) it->placement.UpdatePace(At(ms));
    // Each router sends its heartbeat once a second, at a time of its own.
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      if (round % 5 == n % 5) SendReports(*routers_[n], ms);
    }
  }

  void SendReports(Router& from, double ms) {
    std::map<PaceScope, PaceReports> reports;
    const VmName& vm = from.fleet.self().vm;
    for (auto& to : routers_) {
      if (to.get() == &from) continue;
      const auto scope = from.exchange.ScopeFor(to->fleet.self().vm);
      if (!scope || (is_cut && *scope == PaceScope::kHall)) continue;
      if (!reports.contains(*scope))
        reports[*scope] = from.placement.pace().Report(At(ms), *scope);
      to->exchange.OnReport(At(ms), vm, {*scope, reports[*scope]});
    }
  }

  void Send(const Arrival& arrival) {
    auto it = std::make_shared<Stream>();
    const RequestClass& kind = *arrival.kind;
    it->arrival = &arrival;
    it->request.service = kService;
    it->request.parts = {{arrival.prefix, kind.shared},
                         {arrival.own, kind.own}};
    it->request.prompt_tokens = kind.shared + kind.own;
    it->request.pause_limit = Ms(kind.pause_limit_ms);
    it->request.latency_limit = Ms(kind.first_limit_ms);
    Placement& placement = routers_[arrival.router]->placement;
    const Instant now = At(arrival.at_ms);
    it->choice = *placement.Choose(now, it->request);
    it->sent_ms = arrival.at_ms;
    it->expected_prefill = placement.OnSent(
        now, it->choice.target.name, it->request, it->choice.is_preferred);
    if (by_pace_) placement.ExpectAnswer(now, it->choice);
    const auto n = static_cast<std::size_t>(
        std::stoi(it->choice.target.name.value.substr(1)));
    engines_[n].queue.push_back(std::move(it));
    if (!engines_[n].is_stepping) StartStep(n, arrival.at_ms);
  }

  double SlownessOf(std::size_t n, double ms) const {
    return (load_.IsSlow(n, ms) ? kSlowFactor : 1) / speeds_[n];
  }

  // Prefills one prompt, or makes one step of all streams.
  void StartStep(std::size_t n, double ms) {
    Engine& it = engines_[n];
    while (!it.queue.empty() && it.running.size() < kSlots) {
      it.running.push_back(it.queue.front());
      it.queue.pop_front();
    }
    it.is_stepping = !it.running.empty();
    if (!it.is_stepping) return;
    const auto fresh =
        std::find_if(it.running.begin(), it.running.end(),
                     [](const auto& at) { return !at->prefilled; });
    double took = 0;
    if (fresh != it.running.end()) {
      it.prefilling = *fresh;
      took =
          static_cast<double>(TokensToPrefill(it, **fresh, ms)) / kTokensPerMs;
    } else {
      took = 3.55 + 0.046 * static_cast<double>(it.running.size());
    }
    steps_.push({ms + took * SlownessOf(n, ms), n});
  }

  Tokens TokensToPrefill(Engine& engine, const Stream& stream, double ms) {
    const RequestClass& kind = *stream.arrival->kind;
    auto& cache = engine.cache;
    const auto at =
        std::find(cache.begin(), cache.end(), stream.arrival->prefix);
    const bool is_cached = at != cache.end();
    if (is_cached) cache.erase(at);
    cache.push_front(stream.arrival->prefix);
    if (cache.size() > kCachedParts) cache.pop_back();
    if (is_cached) return kind.own;
    if (ms >= counted_from_ms_) result_.shared_again += kind.shared;
    return kind.own + kind.shared;
  }

  void EndStep(std::size_t n, double ms) {
    Engine& engine = engines_[n];
    if (engine.prefilling) {
      engine.prefilling->prefilled = true;
      engine.prefilling.reset();
    } else {
      for (auto& it : engine.running) {
        if (it->steps++ % kStepsPerEvent == 0) OnEvent(*it, n, ms);
      }
      std::erase_if(engine.running, [](const auto& it) {
        return (it->steps - 1) / kStepsPerEvent + 1 >=
               it->arrival->kind->events;
      });
    }
    StartStep(n, ms);
  }

  void OnEvent(Stream& it, std::size_t n, double ms) {
    Router& router = *routers_[it.arrival->router];
    const bool is_far = router.fleet.self().hall != it.choice.target.hall;
    const double arrives = ms + (is_far ? 2 * kHallMs : 0);
    const Instant now = At(ms);
    Placement& placement = router.placement;
    const TargetName& name = it.choice.target.name;
    if (it.first_ms < 0) {
      it.first_ms = arrives - it.sent_ms;
      placement.OnAnswering(now, name, it.expected_prefill, Ms(it.first_ms));
    } else {
      it.pauses.push_back(Ms(arrives - it.last_ms));
    }
    it.last_ms = arrives;
    const RequestClass& kind = *it.arrival->kind;
    if (static_cast<int>(it.pauses.size()) + 1 < kind.events) return;
    std::sort(it.pauses.begin(), it.pauses.end());
    placement.OnPauses(now, name, it.pauses[(it.pauses.size() - 1) / 2],
                       it.pauses.back());
    placement.OnEnded(now, name, 0, PlacementOutcome::kGood);
    if (it.sent_ms < counted_from_ms_) return;
    ++result_.answers;
    result_.shared_requested += kind.shared;
    if (speeds_[n] < 1) ++result_.slow_engine_answers;
    if (is_far) ++result_.other_hall_answers;
    if (it.first_ms > kind.first_limit_ms ||
        it.pauses.back() > Ms(kind.pause_limit_ms))
      ++result_.late;
  }

  const Load& load_;
  const bool by_pace_;
  const std::vector<double> speeds_;
  const double counted_from_ms_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Engine> engines_;
  using Step = std::pair<double, std::size_t>;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  Result result_;
};

std::vector<double> UnevenSpeeds() {
  std::vector<double> out;
  for (int n = 0; n < kEngineCount; ++n) out.push_back(n % 4 == 0 ? 0.55 : 1.2);
  return out;
}

void Print(const char* name, const Result& it) {
  BOOST_TEST_MESSAGE(name << ": late " << it.LateShare() << ", answers "
                          << it.answers << ", from slow engines "
                          << it.slow_engine_answers << ", from other halls "
                          << it.other_hall_answers << ", shared tokens again "
                          << it.shared_again);
}

BOOST_AUTO_TEST_CASE(SlowEnginesMakeFewAnswersLate) {
  const Load load(40'000, 7);
  const Result without = Simulation(load, false, UnevenSpeeds(), 10'000).Run();
  const Result with = Simulation(load, true, UnevenSpeeds(), 10'000).Run();
  Print("without pace", without);
  Print("with pace", with);
  BOOST_TEST(without.LateShare() >= 0.08);
  BOOST_TEST(with.LateShare() < 0.03);
  BOOST_TEST(static_cast<double>(with.shared_again) <=
             1.1 * static_cast<double>(without.shared_again));
}

BOOST_AUTO_TEST_CASE(TheWholeDayWithItsStart) {
  const Load load(34'000, 11);
  const Result without = Simulation(load, false, UnevenSpeeds(), 0).Run();
  const Result with = Simulation(load, true, UnevenSpeeds(), 0).Run();
  Print("whole day without pace", without);
  Print("whole day with pace", with);
  BOOST_TEST(with.LateShare() < 0.5 * without.LateShare());
  BOOST_TEST(static_cast<double>(with.shared_again) <=
             1.1 * static_cast<double>(without.shared_again));
}

// Guards against an engine that gets a third of all requests, because they have
// one prefix, while others are free; and against traffic between halls for a
// prefix that each hall keeps in its caches.
BOOST_AUTO_TEST_CASE(APrefixInHighDemandIsSpreadWithinEachHall) {
  const Load load(34'000, 3, 0.33);
  const Result without = Simulation(load, false, UnevenSpeeds(), 5'000).Run();
  const Result with = Simulation(load, true, UnevenSpeeds(), 5'000).Run();
  Print("a hot prefix, without", without);
  Print("a hot prefix, with", with);
  BOOST_TEST(with.LateShare() < 0.5 * without.LateShare());
  BOOST_TEST(with.other_hall_answers < without.other_hall_answers);
  // Each hall prefills the prefix, and more than one engine of it: more than
  // without, but less than a hundredth of what is requested.
  BOOST_TEST(static_cast<double>(with.shared_again) <=
             0.01 * static_cast<double>(with.shared_requested));
}

// Slow moments alone must not change what the engines are thought to be.
BOOST_AUTO_TEST_CASE(SlowMomentsOfEqualEnginesChangeNoPace) {
  const Load load(40'000, 5);
  Simulation it(load, true, std::vector<double>(kEngineCount, 1.0), 10'000);
  const Result with = it.Run();
  const Result without =
      Simulation(load, false, std::vector<double>(kEngineCount, 1.0), 10'000)
          .Run();
  Print("equal engines, without pace", without);
  Print("equal engines, with pace", with);
  std::size_t known = 0;
  for (std::size_t n = 0; n < kRouters; ++n) known += it.slow_engines_known(n);
  BOOST_TEST_MESSAGE("engines thought slow, all routers: " << known);
  // At most one engine, at each router.
  BOOST_TEST(known <= kRouters);
  BOOST_TEST(with.LateShare() <= 1.1 * without.LateShare() + 0.002);
}

}  // namespace
}  // namespace quaytrack
