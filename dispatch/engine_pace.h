// EnginePace: learns how fast each engine is relative to the other engines of
// its service, from this router's answers and from reports of other routers.
//
//   EnginePace pace;
//   pace.OnFirstEvent(now, service, start, waited_ms / expected_ms);
//   pace.OnPauses(now, service, start, median_ms, longest_ms);
//   message.engines = pace.Report(now, PaceScope::kOwn);    // to peers
//   pace.OnReport(now, {PaceScope::kOwn, vm}, message.engines);
//   for (const PaceChange& it : pace.Update(now)) Log(it);
//   const double ratio = pace.RatioOf(start);   // 1; 2 takes twice as long
//
// Evidence. An engine's pace is the ratio of its times to those of its service.
// Pauses between events show it best: the median pause of a stream is hardly
// changed by a queue or by prompts that are prefilled between two events. The
// wait for the first event contains the queue that other routers caused, so its
// ratio counts only for engines of which no pauses are known, and by its square
// root. The usual pause of a service is the median over the last answers, so
// that a minority of slow engines does not move it.
//
// A slow moment is not a slow engine. Each answer moves the estimate by at most
// `kMaxStep`, relative to what is known of the engine (Huber's M-estimator). An
// engine that takes 2.5 times as long for 15 hundredths of the time is
// estimated 5 hundredths slower; one that always does reaches its ratio within
// a few exchanges of reports.
//
// Levels. The ratio that is used is a power of the square root of two, and it
// changes by one level at a time, after the evidence has been beyond the
// present level for `kSettleTime`. Routers whose evidence differs a little
// therefore use the same ratios, and prefer the same engines
// (dispatch/placement.h). Engines within a fifth of their service have the
// ratio 1 exactly.
//
// Reports. A router reports the engines whose ratio deviates by a fifth, by its
// own answers or by the present estimate (an estimate that rests on a few
// routers' slow answers is corrected by what the others saw), at most
// `kMaxReported` in a message, and those that were reported longest ago first.
// A report holds the state of its source and replaces that source's earlier
// one, so a lost or repeated message is neither missed nor counted twice. The
// sources are kept apart by scope, so that no answer counts twice when readers
// exchange sums:
//
//   kOwn    answers of the sender; the source is its VM
//   kHall   answers of all routers of a hall; the source is the hall. All
//           readers of the hall report the same, and replace each other.
//   kAll    answers of all halls, from a reader to the routers of its hall.
//           It includes the receiver's answers, so it is used alone.
//
// A report loses its weight evenly with its age, until `kMaxReportAge`. Answers
// lose half of their weight in `kHalfLife`. An engine of which little is known
// has the ratio 1.
//
// Owns what was learned; relies on the time passed in, which never goes back.
// Reports are checked when they are read; any finite ratio is accepted and
// clamped. A new start of an engine has a new TargetStart, so nothing is known
// of it.

#ifndef QUAYTRACK_DISPATCH_ENGINE_PACE_H_
#define QUAYTRACK_DISPATCH_ENGINE_PACE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"
#include "dispatch/late_odds.h"
#include "dispatch/running_median.h"

namespace quaytrack {

// Whose answers a report covers.
enum class PaceScope { kOwn, kHall, kAll };

template <>
struct EnumTable<PaceScope> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<PaceScope>>({{PaceScope::kOwn, "own"},
                                           {PaceScope::kHall, "hall"},
                                           {PaceScope::kAll, "all"}});
};

// What a report says of one engine. Ratios are relative to the service; 0 means
// that no answer has shown them.
struct PaceReport {
  double first = 0;
  double pause = 0;
  // Number of answers, with decayed weights.
  double answers = 0;
  // Time since a router has sent these figures, averaged over the routers.
  Duration age{};
};

using PaceReports = std::map<ServiceName, std::map<TargetStart, PaceReport>>;

struct PaceSource {
  PaceScope scope = PaceScope::kOwn;
  // The VM or hall; empty for kAll.
  std::string name;

  auto operator<=>(const PaceSource&) const = default;
};

// An engine whose level has changed, and the evidence for it.
struct PaceChange {
  TargetStart start;
  ServiceName service;
  double ratio = 1;
  PaceReport evidence;
};

class EnginePace {
 public:
  // Maximum number of engines in a report.
  static constexpr std::size_t kMaxReported = 64;
  static constexpr Duration kMaxReportAge = std::chrono::seconds(10);

  // Takes the ratio of the wait for a first event to the expected wait.
  void OnFirstEvent(Instant now, const ServiceName& service,
                    const TargetStart& start, double ratio);
  // Takes the median and the longest pause of a stream that has ended.
  void OnPauses(Instant now, const ServiceName& service,
                const TargetStart& start, double median_ms, double longest_ms);

  // The report for peers that expect this scope.
  PaceReports Report(Instant now, PaceScope scope);
  // Takes a report. An empty report counts as well: it says that no engine
  // deviates.
  void OnReport(Instant now, const PaceSource& source,
                const PaceReports& reports);

  // Brings the levels up to date; returns those that have changed. To be called
  // several times a second.
  std::vector<PaceChange> Update(Instant now);

  // How many times as long as usual the engine takes; 1 if nothing is known.
  double RatioOf(const TargetStart& start) const;
  // By how much more likely an answer is late because the engine has this
  // ratio, 0 to 1: its longest pause exceeds `pause_limit_ms`, or its first
  // event takes longer than `first_limit_ms` where `first_expected_ms` are
  // usual. A limit of 0 means none.
  double ExcessLate(const ServiceName& service, double ratio,
                    double pause_limit_ms, double first_limit_ms,
                    double first_expected_ms) const;

  // Number of engines with a ratio above 1, and below 1.
  std::size_t slow() const;
  std::size_t fast() const;

 private:
  // Half of the weight of an answer is lost in this time. Speed belongs to the
  // machine; the time is long enough that an engine that is hardly used because
  // it is slow stays known for a minute.
  static constexpr Duration kHalfLife = std::chrono::seconds(20);

  // The answers of a short time, so that a slow moment fills few of them
  // however many answers a router gets.
  struct Answers {
    Instant since{};
    // Mean of the logarithms of the ratios.
    double log_ratio = 0;
    double count = 0;
  };
  // This router's last answers of one engine.
  struct OwnAnswers {
    std::vector<Answers> first;
    std::vector<Answers> pause;
    // Last time at which the engine was in a report of kOwn.
    Instant reported_at = Instant::min();
    bool has_new = false;
  };
  struct SourceReport {
    PaceReport report;
    Instant received_at{};
  };
  // Sums over answers with weights.
  struct Sums {
    double first = 0;
    double first_answers = 0;
    double pause = 0;
    double pause_answers = 0;
    double age_s = 0;
    double weight = 0;

    void Add(const PaceReport& report, double factor);
    PaceReport Mean() const;
  };
  struct Level {
    ServiceName service;
    // Ratio is 2 to the power of half of this.
    int step = 0;
    // The natural logarithm of the estimate, which bounds what an answer moves.
    double log_estimate = 0;
    PaceReport evidence;
    // Since when the evidence has been beyond the present level;
    // Instant::max() if it is not.
    Instant beyond_since = Instant::max();
    Instant reported_at = Instant::min();
  };
  struct Service {
    std::map<TargetStart, OwnAnswers> own;
    // The median pauses of the last streams.
    RunningMedian pauses;
    LateOdds first_odds;
    LateOdds pause_odds;
  };
  using Totals = std::map<ServiceName, std::map<TargetStart, Sums>>;

  static void Append(Instant now, std::vector<Answers>& answers, double ratio);
  static PaceReport OwnReport(Instant now, const OwnAnswers& own,
                              double log_estimate);
  double LogEstimateOf(const TargetStart& start) const;
  bool IsKnownToDeviate(const TargetStart& start) const;
  bool HasFreshAll(Instant now) const;
  void AddOwn(Instant now, Totals& out) const;
  void AddSources(Instant now, PaceScope scope, Totals& out) const;
  // The sums for a scope, as this router reports or uses them.
  Totals TotalsFor(Instant now, PaceScope scope) const;
  Totals TotalsInUse(Instant now) const;
  PaceReports OwnReports(Instant now);
  static bool UpdateLevel(Instant now, Level& level, const PaceReport& mean);
  void Forget(Instant now);

  std::map<ServiceName, Service> services_;
  std::map<PaceSource,
           std::map<ServiceName, std::map<TargetStart, SourceReport>>>
      sources_;
  // When the last report of kAll arrived.
  Instant all_received_at_ = Instant::min();
  std::map<TargetStart, Level> levels_;
};

// The key by which engines are ordered for a prompt part: the larger key is
// preferred. Weighted rendezvous hashing: an engine with twice the weight is
// first for twice as many parts, and a change of one weight moves only parts of
// that engine. With equal weights the order is that of `hash`.
struct WeightedKey {
  double score = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const WeightedKey&) const = default;
};
WeightedKey KeyFor(std::uint64_t hash, double ratio);

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_ENGINE_PACE_H_
