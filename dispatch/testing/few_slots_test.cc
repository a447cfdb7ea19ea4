// The plain service of docs/design/hard-load.md: seven targets in halls of 2,
// 2, 2 and 1, six slots each, a queue of 24, then a refusal; 63 routers in four
// halls that know only their own requests, 302 requests a second, and slow
// moments. Guards against targets that get far more than their share: a router
// that sends to its hall's first target, and a hall whose only target gets all
// requests of the hall.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dispatch/placement.h"

namespace quaytrack {
namespace {

constexpr int kRouters = 63;
constexpr int kHallOf[] = {0, 0, 1, 1, 2, 2, 3};
constexpr int kTargets = std::size(kHallOf);
constexpr int kSlots = 6;
constexpr std::size_t kQueue = 24;
constexpr double kRequestsPerMs = 0.302;
constexpr double kEndMs = 40'000;
constexpr double kLateMs = 300;
const ServiceName kService("desk");

Duration Ms(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}
Instant At(double ms) { return Instant(std::chrono::hours(1)) + Ms(ms); }

class DeskSimulation {
 public:
  DeskSimulation(double answer_ms, unsigned seed)
      : answer_ms_(answer_ms), random_(seed), desks_(kTargets) {
    std::map<TargetName, TargetEntry> targets;
    for (int n = 0; n < kTargets; ++n) {
      TargetEntry it;
      it.name = TargetName("d" + std::to_string(n));
      it.service = kService;
      it.hall = HallName("hall-" + std::to_string(kHallOf[n]));
      it.slots = kSlots;
      targets[it.name] = it;
      desks_[static_cast<std::size_t>(n)].next_slow_ms = pause_(random_);
    }
    for (int n = 0; n < kRouters; ++n) {
      routers_.push_back(std::make_unique<Placement>(
          HallName("hall-" + std::to_string(n % 4))));
      routers_.back()->SetTargets(At(0), targets);
    }
  }

  void Run() {
    std::exponential_distribution<double> gap(kRequestsPerMs);
    double next_ms = gap(random_);
    while (next_ms < kEndMs || !ends_.empty()) {
      if (next_ms < kEndMs && (ends_.empty() || next_ms <= ends_.top().at_ms)) {
        Send(next_ms);
        next_ms += gap(random_);
      } else {
        const End end = ends_.top();
        ends_.pop();
        OnEnd(end);
      }
    }
  }

  // Requests of the busiest target over those of the mean.
  double Imbalance() const {
    int most = 0;
    for (const Desk& it : desks_) most = std::max(most, it.requests);
    return static_cast<double>(most) * kTargets / requests_;
  }
  double LateShare() const { return static_cast<double>(late_) / requests_; }
  int refused() const { return refused_; }

 private:
  struct Job {
    std::size_t router = 0;
    double sent_ms = 0;
  };
  struct Desk {
    std::deque<Job> queue;
    int running = 0;
    int requests = 0;
    double next_slow_ms = 0;
    double slow_until_ms = 0;
  };
  struct End {
    double at_ms = 0;
    std::size_t desk = 0;
    Job job;

    bool operator<(const End& other) const { return at_ms > other.at_ms; }
  };

  static TargetName NameOf(std::size_t desk) {
    return TargetName("d" + std::to_string(desk));
  }

  void Send(double ms) {
    const std::size_t router = random_() % kRouters;
    PlacementRequest request;
    request.service = kService;
    Placement& placement = *routers_[router];
    const TargetName name = placement.Choose(At(ms), request)->target.name;
    placement.OnSent(At(ms), name, request, false);
    const auto n = static_cast<std::size_t>(std::stoi(name.value.substr(1)));
    Desk& desk = desks_[n];
    ++requests_;
    ++desk.requests;
    if (desk.queue.size() >= kQueue) {
      ++refused_;
      return placement.OnEnded(At(ms), name, 0, PlacementOutcome::kRefused);
    }
    desk.queue.push_back({router, ms});
    StartNext(n, ms);
  }

  double SlownessOf(Desk& desk, double ms) {
    while (ms > desk.next_slow_ms) {
      desk.slow_until_ms = desk.next_slow_ms + 600;
      desk.next_slow_ms = desk.slow_until_ms + pause_(random_);
    }
    return ms < desk.slow_until_ms ? 2.5 : 1;
  }

  void StartNext(std::size_t n, double ms) {
    Desk& desk = desks_[n];
    std::exponential_distribution<double> spread(1);
    while (desk.running < kSlots && !desk.queue.empty()) {
      const double took = answer_ms_ * (0.7 + 0.3 * spread(random_));
      ends_.push({ms + took * SlownessOf(desk, ms), n, desk.queue.front()});
      desk.queue.pop_front();
      ++desk.running;
    }
  }

  void OnEnd(const End& end) {
    Placement& placement = *routers_[end.job.router];
    const double took = end.at_ms - end.job.sent_ms;
    if (took > kLateMs) ++late_;
    placement.OnAnswered(At(end.at_ms), NameOf(end.desk), Ms(took));
    placement.OnEnded(At(end.at_ms), NameOf(end.desk), 0,
                      PlacementOutcome::kGood);
    --desks_[end.desk].running;
    StartNext(end.desk, end.at_ms);
  }

  const double answer_ms_;
  std::mt19937 random_;
  std::exponential_distribution<double> pause_{1.0 / 3400};
  std::vector<std::unique_ptr<Placement>> routers_;
  std::vector<Desk> desks_;
  std::priority_queue<End> ends_;
  int requests_ = 0;
  int late_ = 0;
  int refused_ = 0;
};

BOOST_AUTO_TEST_CASE(TheTargetsOfAServiceWithFewSlotsShareItsLoad) {
  for (const double answer_ms : {40.0, 60.0, 80.0}) {
    for (const unsigned seed : {1U, 2U}) {
      DeskSimulation it(answer_ms, seed);
      it.Run();
      BOOST_TEST_MESSAGE(answer_ms << " ms: busiest over mean "
                                   << it.Imbalance() << ", late "
                                   << it.LateShare());
      BOOST_TEST(it.Imbalance() < 1.15);
      BOOST_TEST(it.refused() == 0);
    }
  }
}

}  // namespace
}  // namespace quaytrack
