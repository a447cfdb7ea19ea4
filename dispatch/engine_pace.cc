#include "dispatch/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quaytrack {
namespace {

// Natural logarithm of the ratio by which one answer may differ from the
// estimate: 1.35. Larger steps make slow moments of 0.6 s visible, smaller ones
// make a slow engine known later.
constexpr double kMaxStep = 0.3;
// An engine is reported if its ratio is beyond this, either way.
constexpr double kDeviation = 1.2;
// Weight, in answers, of the assumption that an engine is like the others.
constexpr double kPriorAnswers = 4;
// With fewer answers the ratio is 1. One engine's answers within a slow moment
// are about as many.
constexpr double kMinAnswers = 8;
// Levels per factor of two.
constexpr double kStepsPerOctave = 2;
// Share of a level by which the evidence must be beyond it before the level
// changes, so that a ratio between two levels does not alternate.
constexpr double kBeyond = 0.65;
// The evidence must have been beyond a level for this time. Slow moments last
// 0.6 s.
constexpr Duration kSettleTime = std::chrono::milliseconds(1200);
// Lowest and highest level: 0.5 and 4.
constexpr int kMinStep = -2;
constexpr int kMaxLevel = 4;
// Bounds of a ratio, far beyond any engine that serves.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 20;
// Answers of one engine within this time count as one group, whose mean is
// kept. The groups that are kept cover a half-life.
constexpr Duration kAnswersTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxAnswers = 40;
// More answers in a group weigh no more.
constexpr double kMaxCount = 4;
// An engine without new answers is reported again after this time, so that its
// report does not lose its weight.
constexpr Duration kRepeatAfter = std::chrono::seconds(3);
// Answers with less weight than this, together, are forgotten.
constexpr double kForgottenAnswers = 0.1;

double Clamped(double ratio) { return std::clamp(ratio, kMinRatio, kMaxRatio); }

bool Deviates(double ratio) {
  return ratio > 0 && (ratio >= kDeviation || ratio <= 1 / kDeviation);
}

// The ratio that the evidence shows; 0 if it shows none.
double RatioFrom(const PaceReport& it) {
  return it.pause > 0 ? it.pause : std::sqrt(it.first);
}

bool Deviates(const PaceReport& it) { return Deviates(RatioFrom(it)); }

double WeightAt(Duration age, Duration half_life) {
  return std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

}  // namespace

void EnginePace::Append(Instant now, std::vector<Answers>& answers,
                        double ratio) {
  if (answers.empty() || now - answers.back().since >= kAnswersTime) {
    if (answers.size() >= kMaxAnswers) answers.erase(answers.begin());
    answers.push_back({now, 0, 0});
  }
  Answers& at = answers.back();
  at.count += 1;
  at.log_ratio += (std::log(Clamped(ratio)) - at.log_ratio) / at.count;
}

void EnginePace::OnFirstEvent(Instant now, const ServiceName& service,
                              const TargetStart& start, double ratio) {
  if (!std::isfinite(ratio) || ratio <= 0) return;
  Service& at = services_[service];
  OwnAnswers& own = at.own[start];
  Append(now, own.first, ratio);
  own.has_new = true;
  at.first_odds.Record(ratio / RatioOf(start));
}

void EnginePace::OnPauses(Instant now, const ServiceName& service,
                          const TargetStart& start, double median_ms,
                          double longest_ms) {
  if (!std::isfinite(median_ms) || median_ms <= 0) return;
  Service& at = services_[service];
  at.pauses.Add(median_ms);
  const double usual_ms = at.pauses.value();
  if (usual_ms <= 0) return;
  OwnAnswers& own = at.own[start];
  Append(now, own.pause, median_ms / usual_ms);
  own.has_new = true;
  at.pause_odds.Record(longest_ms / (usual_ms * RatioOf(start)));
}

// --- Reports -----------------------------------------------------------------

double EnginePace::LogEstimateOf(const TargetStart& start) const {
  const auto it = levels_.find(start);
  return it == levels_.end() ? 0 : it->second.log_estimate;
}

bool EnginePace::IsKnownToDeviate(const TargetStart& start) const {
  const auto it = levels_.find(start);
  return it != levels_.end() &&
         (it->second.step != 0 || Deviates(it->second.evidence));
}

PaceReport EnginePace::OwnReport(Instant now, const OwnAnswers& own,
                                 double log_estimate) {
  const auto mean = [&](const std::vector<Answers>& answers, double& weight) {
    double sum = 0;
    weight = 0;
    for (const Answers& it : answers) {
      const double w =
          std::min(it.count, kMaxCount) * WeightAt(now - it.since, kHalfLife);
      sum += w * std::clamp(it.log_ratio, log_estimate - kMaxStep,
                            log_estimate + kMaxStep);
      weight += w;
    }
    return weight > 0 ? std::exp(sum / weight) : 0;
  };
  PaceReport out;
  double first_answers = 0;
  double pause_answers = 0;
  out.first = mean(own.first, first_answers);
  out.pause = mean(own.pause, pause_answers);
  out.answers = pause_answers > 0 ? pause_answers : first_answers;
  return out;
}

void EnginePace::Sums::Add(const PaceReport& report, double factor) {
  const double w = report.answers * factor;
  if (!(w > 0)) return;
  if (report.first > 0) {
    first += w * std::log(Clamped(report.first));
    first_answers += w;
  }
  if (report.pause > 0) {
    pause += w * std::log(Clamped(report.pause));
    pause_answers += w;
  }
  age_s += w * ToSeconds(report.age);
  weight += w;
}

PaceReport EnginePace::Sums::Mean() const {
  PaceReport out;
  if (!(weight > 0)) return out;
  if (first_answers > 0) out.first = std::exp(first / first_answers);
  if (pause_answers > 0) out.pause = std::exp(pause / pause_answers);
  out.answers = pause_answers > 0 ? pause_answers : first_answers;
  out.age = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(age_s / weight));
  return out;
}

bool EnginePace::HasFreshAll(Instant now) const {
  return all_received_at_ != Instant::min() &&
         now - all_received_at_ < kMaxReportAge;
}

void EnginePace::AddOwn(Instant now, Totals& out) const {
  for (const auto& [name, service] : services_) {
    for (const auto& [start, own] : service.own)
      out[name][start].Add(OwnReport(now, own, LogEstimateOf(start)), 1);
  }
}

void EnginePace::AddSources(Instant now, PaceScope scope, Totals& out) const {
  for (const auto& [source, services] : sources_) {
    if (source.scope != scope) continue;
    for (const auto& [service, engines] : services) {
      for (const auto& [start, it] : engines) {
        PaceReport report = it.report;
        report.age += now - it.received_at;
        const double left =
            1 - ToSeconds(report.age) / ToSeconds(kMaxReportAge);
        if (left > 0) out[service][start].Add(report, left);
      }
    }
  }
}

EnginePace::Totals EnginePace::TotalsFor(Instant now, PaceScope scope) const {
  Totals out;
  AddOwn(now, out);
  if (scope == PaceScope::kOwn) return out;
  AddSources(now, PaceScope::kOwn, out);
  if (scope == PaceScope::kAll) AddSources(now, PaceScope::kHall, out);
  return out;
}

EnginePace::Totals EnginePace::TotalsInUse(Instant now) const {
  if (!HasFreshAll(now)) return TotalsFor(now, PaceScope::kAll);
  Totals out;
  AddSources(now, PaceScope::kAll, out);
  return out;
}

PaceReports EnginePace::Report(Instant now, PaceScope scope) {
  if (scope == PaceScope::kOwn) return OwnReports(now);
  // Engines in the order of their last report, oldest first.
  struct Due {
    Instant reported_at{};
    ServiceName service;
    TargetStart start;
    PaceReport report;
  };
  std::vector<Due> due;
  for (const auto& [service, engines] : TotalsFor(now, scope)) {
    for (const auto& [start, sums] : engines) {
      const PaceReport mean = sums.Mean();
      if (!(mean.answers > 0)) continue;
      if (!Deviates(mean) && !IsKnownToDeviate(start)) continue;
      Level& level = levels_[start];
      level.service = service;
      due.push_back({level.reported_at, service, start, mean});
    }
  }
  std::stable_sort(due.begin(), due.end(), [](const Due& a, const Due& b) {
    return a.reported_at < b.reported_at;
  });
  if (due.size() > kMaxReported) due.resize(kMaxReported);
  PaceReports out;
  for (const Due& it : due) {
    levels_[it.start].reported_at = now;
    out[it.service][it.start] = it.report;
  }
  return out;
}

PaceReports EnginePace::OwnReports(Instant now) {
  std::vector<std::pair<OwnAnswers*, std::pair<ServiceName, TargetStart>>> due;
  for (auto& [name, service] : services_) {
    for (auto& [start, own] : service.own) {
      const bool repeat = own.reported_at == Instant::min() ||
                          now - own.reported_at >= kRepeatAfter;
      if (own.has_new || repeat) due.push_back({&own, {name, start}});
    }
  }
  std::stable_sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
    return a.first->reported_at < b.first->reported_at;
  });
  PaceReports out;
  std::size_t reported = 0;
  for (const auto& [own, key] : due) {
    const auto& [service, start] = key;
    const PaceReport it = OwnReport(now, *own, LogEstimateOf(start));
    if (!Deviates(it) && !IsKnownToDeviate(start)) continue;
    if (++reported > kMaxReported) break;
    own->reported_at = now;
    own->has_new = false;
    out[service][start] = it;
  }
  return out;
}

void EnginePace::OnReport(Instant now, const PaceSource& source,
                          const PaceReports& reports) {
  if (source.scope == PaceScope::kAll) all_received_at_ = now;
  for (const auto& [service, engines] : reports) {
    for (const auto& [start, it] : engines) {
      sources_[source][service][start] = {it, now};
    }
  }
}

// --- Levels ------------------------------------------------------------------

// Changes the level by at most one; returns whether it has changed.
bool EnginePace::UpdateLevel(Instant now, Level& level,
                             const PaceReport& mean) {
  const double ratio = RatioFrom(mean);
  const bool is_known = ratio > 0 && mean.answers >= kMinAnswers;
  const double sure = mean.answers / (mean.answers + kPriorAnswers);
  level.evidence = mean;
  // The estimate moves also with few answers: it bounds only what the next
  // answers may add.
  level.log_estimate = ratio > 0 ? std::log(ratio) * sure : 0;
  const double steps =
      is_known ? level.log_estimate / std::log(2.0) * kStepsPerOctave : 0;
  const double beyond = steps - level.step;
  if (std::abs(beyond) <= kBeyond) {
    level.beyond_since = Instant::max();
    return false;
  }
  if (level.beyond_since == Instant::max()) level.beyond_since = now;
  if (now - level.beyond_since < kSettleTime) return false;
  level.beyond_since = now;
  const int step =
      std::clamp(level.step + (beyond > 0 ? 1 : -1), kMinStep, kMaxLevel);
  return std::exchange(level.step, step) != step;
}

std::vector<PaceChange> EnginePace::Update(Instant now) {
  Forget(now);
  const Totals totals = TotalsInUse(now);
  std::vector<PaceChange> out;
  const auto update = [&](const ServiceName& service, const TargetStart& start,
                          const PaceReport& mean) {
    Level& level = levels_[start];
    level.service = service;
    if (!UpdateLevel(now, level, mean)) return;
    out.push_back({start, service, RatioOf(start), mean});
  };
  for (const auto& [service, engines] : totals) {
    for (const auto& [start, sums] : engines)
      update(service, start, sums.Mean());
  }
  for (auto it = levels_.begin(); it != levels_.end();) {
    const auto service = totals.find(it->second.service);
    const bool is_total =
        service != totals.end() && service->second.contains(it->first);
    if (!is_total) update(it->second.service, it->first, {});
    const bool is_done = !is_total && it->second.step == 0;
    it = is_done ? levels_.erase(it) : std::next(it);
  }
  return out;
}

void EnginePace::Forget(Instant now) {
  for (auto& [name, service] : services_) {
    std::erase_if(service.own, [now](const auto& it) {
      return OwnReport(now, it.second, 0).answers < kForgottenAnswers;
    });
  }
  for (auto& [source, services] : sources_) {
    for (auto& [service, engines] : services) {
      std::erase_if(engines, [now](const auto& it) {
        const SourceReport& at = it.second;
        return now - at.received_at + at.report.age >= kMaxReportAge;
      });
    }
    std::erase_if(services, [](const auto& it) { return it.second.empty(); });
  }
  std::erase_if(sources_, [](const auto& it) { return it.second.empty(); });
}

double EnginePace::RatioOf(const TargetStart& start) const {
  const auto it = levels_.find(start);
  return it == levels_.end() ? 1 : std::exp2(it->second.step / kStepsPerOctave);
}

double EnginePace::ExcessLate(const ServiceName& service, double ratio,
                              double pause_limit_ms, double first_limit_ms,
                              double first_expected_ms) const {
  const auto it = services_.find(service);
  if (it == services_.end() || ratio <= 1) return 0;
  const auto excess = [ratio](const LateOdds& odds, double limit,
                              double usual) {
    if (limit <= 0 || usual <= 0) return 0.0;
    return odds.Beyond(limit / (usual * ratio)) - odds.Beyond(limit / usual);
  };
  const Service& at = it->second;
  return std::max({0.0,
                   excess(at.pause_odds, pause_limit_ms, at.pauses.value()),
                   excess(at.first_odds, first_limit_ms, first_expected_ms)});
}

std::size_t EnginePace::slow() const {
  return static_cast<std::size_t>(
      std::count_if(levels_.begin(), levels_.end(),
                    [](const auto& it) { return it.second.step > 0; }));
}

std::size_t EnginePace::fast() const {
  return static_cast<std::size_t>(
      std::count_if(levels_.begin(), levels_.end(),
                    [](const auto& it) { return it.second.step < 0; }));
}

WeightedKey KeyFor(std::uint64_t hash, double ratio) {
  // In (0, 1), rising with the hash. Of 53 bits, the highest would be rounded
  // to 1, whose logarithm is 0.
  const double u = (static_cast<double>(hash >> 12) + 0.5) * 0x1p-52;
  return {-1 / (ratio * std::log(u)), hash};
}

}  // namespace quaytrack
