// PartFleet simulates targets that crash under some prompt parts, and routers
// that report crashes and share what they know after a while. It has no sockets
// and no clock, and draws from a seed.
//
//   PartFleet fleet({.harmful_parts = 1}, seed);
//   fleet.Run(25'000);
//   for (const auto& it : fleet.harmful()) ...   // crashes, late sends
//   fleet.after().refused                        // of sound requests
//
// Header for tests of dispatch/crash_blame.h.

#ifndef QUAYTRACK_DISPATCH_TESTING_PART_FLEET_H_
#define QUAYTRACK_DISPATCH_TESTING_PART_FLEET_H_

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/crash_blame.h"

namespace quaytrack {

// The platform's limits: crashes after which a part must be known, and the time
// until then.
inline constexpr std::size_t kPlatformCrashes = 5;
inline constexpr int kPlatformKnownMs = 3000;

inline const WallTime kEpoch{std::chrono::hours(1000)};
inline const ServiceName kPartService{"llm"};
inline constexpr PartId kHarmfulPart = 0xdead;
inline constexpr PartId kPopularPart = 0xaa;

// When a target sends the head of an answer: when the request begins to run, or
// with its first event.
enum class Heads { kEarly, kLate };

struct PartFleetSpec {
  int targets = 12;
  // Each beside the popular one. `harmful_every_ms` is that of all together.
  int harmful_parts = 0;
  int harmful_every_ms = 200;
  bool harmful_request = false;
  // Targets also crash without a cause: one, or a rack of four.
  int crash_every_ms = 0;
  int rack_every_ms = 0;
  int longest_wait_ms = 300;
  Heads heads = Heads::kEarly;
};

// Simulates targets, and routers that share their reports after a while. Time
// advances in steps of 10 ms. Sound requests have the popular part and one of
// eight others; a lost request is sent to a second target, and its caller
// returns once. Harmful parts come from `kHarmfulFromMs` on.
class PartFleet {
 public:
  static constexpr int kStepMs = 10;
  static constexpr int kDownMs = 2500;
  static constexpr int kSpreadMs = 400;
  static constexpr int kStartPhaseMs = 300;
  static constexpr int kHarmfulFromMs = 5000;
  static constexpr int kRack = 4;
  static constexpr int kMaxSends = 2;

  PartFleet(const PartFleetSpec& spec, unsigned seed)
      : spec_(spec), random_(seed) {
    for (int n = 0; n < spec.targets; ++n)
      targets_.push_back({++starts_, 0, {}});
    harmful_.resize(static_cast<std::size_t>(spec.harmful_parts));
  }

  void Run(int ms) {
    while (now_ms_ < ms) Step();
  }

  struct Harmful {
    int next_ms = kHarmfulFromMs;
    std::vector<int> crashes;
    int late = 0;
  };
  // Of sound requests, by when they were sent.
  struct Sound {
    int asked = 0;
    int refused = 0;
    int begun = 0;
  };
  const std::vector<Harmful>& harmful() const { return harmful_; }
  const Sound& before() const { return before_; }
  const Sound& during() const { return during_; }
  const Sound& after() const { return after_; }

 private:
  struct Request {
    int number = 0;
    std::vector<PartId> parts;
    // Position in `harmful_`; -1 for others.
    int harmful = -1;
    bool crashes = false;
    Sound* counts = nullptr;
    bool begun = false;
    int sends = 0;
    int returns = 0;
  };
  struct Running {
    Request request;
    int sent_ms;
    int begun_ms;
    int events_ms;
    int ends_ms;
    bool reported_ran = false;
  };
  struct Target {
    int start;
    int down_until_ms;
    std::vector<Running> running;
  };
  struct Pending {
    int at_ms;
    std::optional<CrashReport> crash;
    std::optional<RanReport> ran;
  };

  int Random(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }
  WallTime Now() const { return kEpoch + std::chrono::milliseconds(now_ms_); }
  static Fingerprint NameOf(const Request& it) {
    return Fingerprint(std::to_string(it.number));
  }
  static RequestCauses CausesOf(const Request& it) {
    return {NameOf(it), CausesOfParts(kPartService, it.parts)};
  }
  std::vector<CauseId> AllCauses(const Request& it) const {
    std::vector<CauseId> out = CausesOf(it).parts;
    out.push_back(CauseOf(NameOf(it)));
    return out;
  }
  Target* Choose() {
    std::vector<Target*> up;
    for (Target& it : targets_) {
      if (it.down_until_ms <= now_ms_) up.push_back(&it);
    }
    if (up.empty()) return nullptr;
    return up[static_cast<std::size_t>(
        Random(0, static_cast<int>(up.size()) - 1))];
  }
  // Whether the request passes as the test of a blamed part.
  bool IsTest(const Blame& blame) {
    if (blame.kind == CauseKind::kRequest ||
        Now() < CrashBlame::NextTest(blame))
      return false;
    if (now_ms_ < tested_ms_ + 3000) return false;
    tested_ms_ = now_ms_;
    return true;
  }
  void Send(Request request) {
    const Blame* blame = blame_.Find(CausesOf(request));
    if (blame != nullptr && (request.sends > 0 || !IsTest(*blame))) {
      if (request.counts != nullptr && request.sends == 0)
        ++request.counts->refused;
      return;
    }
    Target* target = Choose();
    if (target == nullptr) return;
    ++request.sends;
    if (request.harmful >= 0) CountSend(request);
    Running it;
    it.sent_ms = now_ms_;
    it.begun_ms = now_ms_ + Random(0, spec_.longest_wait_ms);
    if (request.crashes) {
      it.events_ms = it.ends_ms = it.begun_ms + Random(30, 120);
    } else {
      it.events_ms = it.begun_ms + Random(30, 300);
      it.ends_ms = it.events_ms + Random(300, 2500);
    }
    it.request = std::move(request);
    target->running.push_back(std::move(it));
  }
  void CountSend(const Request& request) {
    Harmful& it = harmful_[static_cast<std::size_t>(request.harmful)];
    if (it.crashes.size() >= kPlatformCrashes &&
        now_ms_ > it.crashes[kPlatformCrashes - 1] + kPlatformKnownMs)
      ++it.late;
  }
  void ReportRan(Running& it) {
    if (std::exchange(it.reported_ran, true)) return;
    for (const CauseId& cause : AllCauses(it.request)) {
      const WallTime at = kEpoch + std::chrono::milliseconds(it.events_ms);
      if (KindOf(cause) == CauseKind::kPart) ran_at_[cause] = at;
      if (blame_.IsSuspected(cause)) SpreadRan({cause, at});
    }
  }
  void SpreadRan(const RanReport& ran) {
    Pending report{now_ms_ + Random(0, kSpreadMs), {}, {}};
    report.ran = ran;
    pending_.push_back(report);
  }
  void Crash(Target& target) {
    std::vector<Running> lost = std::exchange(target.running, {});
    const TargetStart start(std::to_string(target.start));
    target.start = ++starts_;
    target.down_until_ms = now_ms_ + kDownMs;
    for (Running& it : lost) {
      if (now_ms_ - it.events_ms > kStartPhaseMs) {
        ReportRan(it);
        continue;
      }
      const bool seen = spec_.heads == Heads::kEarly || it.events_ms <= now_ms_;
      const int run_ms = now_ms_ - (seen ? it.begun_ms : it.sent_ms);
      if (run_ms < 0) continue;
      const int at_ms = now_ms_ + Random(20, kSpreadMs);
      for (const CauseId& cause : AllCauses(it.request)) {
        Pending report{at_ms, {}, {}};
        report.crash =
            CrashReport{cause, start, Now(), std::chrono::milliseconds(run_ms),
                        NameOf(it.request)};
        pending_.push_back(report);
      }
    }
    for (Running& it : lost) Resend(it);
  }
  void Resend(const Running& lost) {
    Request it = lost.request;
    const bool had_begun = lost.events_ms <= now_ms_;
    const bool may_be_cause = now_ms_ - lost.events_ms <= kStartPhaseMs;
    if (had_begun && !may_be_cause) return;
    const bool suspected = blame_.HasSuspectedParts(CausesOf(it));
    if (it.sends < kMaxSends && !suspected) return Send(std::move(it));
    if (it.returns > 0) return;
    ++it.returns;
    it.sends = 0;
    it.counts = nullptr;
    Send(std::move(it));
  }
  void Advance(Target& target) {
    bool crashes = false;
    for (Running& it : target.running) {
      if (it.request.crashes) {
        if (it.ends_ms > now_ms_) continue;
        if (it.request.harmful >= 0) {
          harmful_[static_cast<std::size_t>(it.request.harmful)]
              .crashes.push_back(now_ms_);
        }
        crashes = true;
        break;
      }
      if (it.events_ms <= now_ms_ && !std::exchange(it.request.begun, true) &&
          it.request.counts != nullptr)
        ++it.request.counts->begun;
      if (now_ms_ - it.events_ms > kStartPhaseMs) ReportRan(it);
    }
    if (crashes) return Crash(target);
    std::erase_if(target.running,
                  [&](const Running& it) { return it.ends_ms <= now_ms_; });
  }
  Sound& SoundAt() {
    if (now_ms_ < kHarmfulFromMs) return before_;
    std::vector<int> fifths;
    for (const Harmful& it : harmful_) {
      if (it.crashes.size() < kPlatformCrashes) return during_;
      fifths.push_back(it.crashes[kPlatformCrashes - 1]);
    }
    if (fifths.empty()) return during_;
    const int last = *std::max_element(fifths.begin(), fifths.end());
    return now_ms_ > last + 2 * kPlatformKnownMs ? after_ : during_;
  }
  void SendSound() {
    Request it;
    it.number = ++requests_;
    it.parts = {kPopularPart, static_cast<PartId>(Random(1, 8))};
    it.counts = &SoundAt();
    ++it.counts->asked;
    Send(std::move(it));
  }
  void SendHarmful() {
    for (std::size_t n = 0; n < harmful_.size(); ++n) {
      if (harmful_[n].next_ms > now_ms_) continue;
      const int every_ms = spec_.harmful_every_ms * spec_.harmful_parts;
      harmful_[n].next_ms = now_ms_ + Random(every_ms / 2, every_ms * 3 / 2);
      Request it;
      it.number = ++requests_;
      it.parts = {kPopularPart, kHarmfulPart + n};
      it.harmful = static_cast<int>(n);
      it.crashes = true;
      Send(std::move(it));
    }
    if (!spec_.harmful_request || next_request_ms_ > now_ms_) return;
    next_request_ms_ = now_ms_ + Random(200, 1000);
    Request it;
    it.number = 0;
    it.parts = {kPopularPart, 1};
    it.crashes = true;
    it.returns = 1;
    Send(std::move(it));
  }
  void CrashByThemselves() {
    if (spec_.crash_every_ms > 0 && Random(0, spec_.crash_every_ms) < kStepMs) {
      if (Target* it = Choose()) Crash(*it);
    }
    if (spec_.rack_every_ms > 0 && Random(0, spec_.rack_every_ms) < kStepMs) {
      for (int n = 0; n < kRack; ++n) {
        if (Target* it = Choose()) Crash(*it);
      }
    }
  }
  void Step() {
    now_ms_ += kStepMs;
    std::vector<CrashReport> crashes;
    std::vector<RanReport> ran;
    for (auto it = pending_.begin(); it != pending_.end();) {
      if (it->at_ms > now_ms_) {
        ++it;
        continue;
      }
      if (it->crash) crashes.push_back(*it->crash);
      if (it->ran) ran.push_back(*it->ran);
      it = pending_.erase(it);
    }
    blame_.NoteAll(crashes, ran, Now());
    for (const CrashReport& it : crashes) {
      const auto ran_at = ran_at_.find(it.cause);
      if (ran_at != ran_at_.end()) SpreadRan({it.cause, ran_at->second});
    }
    for (Target& it : targets_) Advance(it);
    if (Random(0, 99) < 40) SendSound();
    SendHarmful();
    CrashByThemselves();
  }

  PartFleetSpec spec_;
  std::mt19937 random_;
  CrashBlame blame_;
  std::vector<Target> targets_;
  std::vector<Harmful> harmful_;
  std::list<Pending> pending_;
  // When the latest run of a part began that is known to have gone well.
  std::map<CauseId, WallTime> ran_at_;
  Sound before_;
  Sound during_;
  Sound after_;
  int starts_ = 0;
  int requests_ = 0;
  int now_ms_ = 0;
  int next_request_ms_ = kHarmfulFromMs + 400;
  int tested_ms_ = -100'000;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TESTING_PART_FLEET_H_
