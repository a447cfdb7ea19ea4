#include "dispatch/crash_blame.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quaytrack {
namespace {

// Crashes by which a part is suspected before it can be blamed.
constexpr std::size_t kCrashesToSuspectPart = 2;
// Least number of requests whose crashes speak against a part; those of a
// single one speak against that request.
constexpr std::size_t kMinRequests = 2;

std::size_t CountRequests(const std::vector<const CrashReport*>& crashes) {
  std::set<Fingerprint> out;
  for (const CrashReport* it : crashes) out.insert(it->request);
  return out.size();
}

// `crashes` are in the order of their times.
std::size_t CountMoments(const std::vector<const CrashReport*>& crashes) {
  std::size_t out = 0;
  WallTime end{};
  for (const CrashReport* it : crashes) {
    if (out > 0 && it->at < end) continue;
    ++out;
    end = it->at + kMomentLength;
  }
  return out;
}

bool HasAll(const std::vector<CauseId>& parts,
            const std::vector<CauseId>& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const CauseId& it) {
    return std::find(parts.begin(), parts.end(), it) != parts.end();
  });
}

bool IsEarlier(const CrashReport& a, const CrashReport& b) {
  return std::tie(a.at, a.target) < std::tie(b.at, b.target);
}

}  // namespace

bool CrashBlame::Note(const CrashReport& report, WallTime now) {
  if (!Add(report, now)) return false;
  Evaluate();
  return true;
}

bool CrashBlame::NoteRan(const RanReport& report, WallTime now) {
  if (!AddRan(report, now)) return false;
  Evaluate();
  return true;
}

std::vector<CrashReport> CrashBlame::NoteAll(
    const std::vector<CrashReport>& crashes, const std::vector<RanReport>& ran,
    WallTime now) {
  std::vector<CrashReport> out;
  bool changed = false;
  for (const CrashReport& it : crashes) {
    if (Add(it, now)) out.push_back(it);
  }
  for (const RanReport& it : ran) changed |= AddRan(it, now);
  if (changed || !out.empty()) Evaluate();
  return out;
}

bool CrashBlame::Add(const CrashReport& report, WallTime now) {
  CrashReport it = report;
  it.at = std::min(it.at, now);
  if (now - it.at > kCrashMemory) return false;
  Suspect& suspect = SuspectOf(it.cause);
  const auto [at, is_new] = suspect.reports.try_emplace(it.target, it);
  if (!is_new) {
    // Routers that saw the same crash agree on one of their reports.
    const auto rank = [](const CrashReport& r) {
      return std::tie(r.at, r.run_time, r.request);
    };
    if (rank(it) >= rank(at->second)) return false;
    at->second = it;
    return true;
  }
  if (suspect.reports.size() > kMaxReports) {
    suspect.reports.erase(
        std::min_element(suspect.reports.begin(), suspect.reports.end(),
                         [](const auto& a, const auto& b) {
                           return IsEarlier(a.second, b.second);
                         }));
  }
  EvictIfFull();
  return true;
}

bool CrashBlame::AddRan(const RanReport& report, WallTime now) {
  // A report may arrive before those that it clears.
  Suspect& suspect = SuspectOf(report.cause);
  const WallTime ran_at = std::min(report.at, now);
  if (now - ran_at > kCrashMemory || ran_at <= suspect.ran_at) {
    if (suspect.reports.empty() && suspect.ran_at == WallTime{})
      suspects_.erase(report.cause);
    return false;
  }
  suspect.ran_at = ran_at;
  EvictIfFull();
  return true;
}

void CrashBlame::Expire(WallTime now) {
  const auto is_old = [now](const auto& it) {
    return now - it.second.at > kCrashMemory;
  };
  std::size_t expired = 0;
  for (auto& [cause, it] : suspects_) {
    expired += std::erase_if(it.reports, is_old);
  }
  expired += std::erase_if(suspects_, [now](const auto& it) {
    return it.second.reports.empty() && now - it.second.ran_at > kCrashMemory;
  });
  if (expired > 0) Evaluate();
}

const Blame* CrashBlame::Find(const RequestCauses& request) const {
  const CauseId cause = CauseOf(request.request);
  for (const Blame& it : blamed_) {
    const bool applies = it.kind == CauseKind::kRequest
                             ? it.causes.front() == cause
                             : HasAll(request.parts, it.causes);
    if (applies) return &it;
  }
  return nullptr;
}

bool CrashBlame::HasSuspectedParts(const RequestCauses& request) const {
  return !suspected_parts_.empty() && HasAll(request.parts, suspected_parts_);
}

bool CrashBlame::WouldHelp(const RanReport& report) const {
  const auto it = suspects_.find(report.cause);
  if (it == suspects_.end() || it->second.reports.empty()) return false;
  const Suspect& suspect = it->second;
  if (suspect.ran_at == WallTime{}) return true;
  return std::any_of(suspect.reports.begin(), suspect.reports.end(),
                     [&](const auto& entry) {
                       const WallTime at = entry.second.at;
                       return at > suspect.ran_at && at <= report.at;
                     });
}

bool CrashBlame::Counts(const CrashReport& report) const {
  const auto it = suspects_.find(report.cause);
  return it == suspects_.end() || report.at > it->second.ran_at;
}

std::size_t CrashBlame::Crashes(const CauseId& cause) const {
  const auto it = suspects_.find(cause);
  if (it == suspects_.end()) return 0;
  return CountUnexplained(it->second, {});
}

Duration CrashBlame::Remaining(const Blame& blame, WallTime now) const {
  if (blame.kind == CauseKind::kPart) {
    return std::max<Duration>(NextTest(blame) - now, Duration::zero());
  }
  // A request is blamed until so many reports have expired that fewer than
  // `kCrashesToBlame` are left.
  const auto it = suspects_.find(blame.causes.front());
  if (it == suspects_.end()) return Duration::zero();
  const auto crashes = Unexplained(it->first, it->second, {}).crashes;
  if (crashes.size() < kCrashesToBlame) return Duration::zero();
  const WallTime last = crashes[crashes.size() - kCrashesToBlame]->at;
  return std::max<Duration>(last + kCrashMemory - now, Duration::zero());
}

WallTime CrashBlame::NextTest(const Blame& blame) {
  const TestSchedule& tests =
      blame.is_proven ? kTestsOfProvenPart : kTestsOfPart;
  const auto delay = (blame.latest - blame.first) * tests.factor;
  return blame.latest + std::max<WallTime::duration>(delay, tests.min_delay);
}

std::vector<CrashReport> CrashBlame::LatestOf(const Blame& blame) const {
  std::vector<CrashReport> out;
  for (const CauseId& cause : blame.causes) {
    const auto it = suspects_.find(cause);
    if (it == suspects_.end()) continue;
    for (const auto& [target, report] : it->second.reports) {
      if (target == blame.targets.back()) out.push_back(report);
    }
  }
  return out;
}

// --- The decision ------------------------------------------------------------

CrashBlame::Suspect& CrashBlame::SuspectOf(const CauseId& cause) {
  const auto [it, is_new] = suspects_.try_emplace(cause);
  if (is_new) it->second.kind = KindOf(cause);
  return it->second;
}

std::size_t CrashBlame::CountUnexplained(const Suspect& it,
                                         const Targets& explained) {
  return static_cast<std::size_t>(std::count_if(
      it.reports.begin(), it.reports.end(), [&](const auto& entry) {
        return IsUnexplained(it, entry.second, explained);
      }));
}

CrashBlame::Candidate CrashBlame::Unexplained(const CauseId& cause,
                                              const Suspect& it,
                                              const Targets& explained) {
  Candidate out;
  out.cause = cause;
  out.kind = it.kind;
  for (const auto& [target, report] : it.reports) {
    if (!IsUnexplained(it, report, explained)) continue;
    out.crashes.push_back(&report);
    out.run_time += report.run_time;
  }
  std::sort(out.crashes.begin(), out.crashes.end(),
            [](const auto* a, const auto* b) { return IsEarlier(*a, *b); });
  return out;
}

// Whether `a` is blamed before `b`.
bool CrashBlame::IsBlamedBefore(const Candidate& a, const Candidate& b) {
  if (a.crashes.size() != b.crashes.size())
    return a.crashes.size() > b.crashes.size();
  if (a.kind != b.kind) return a.kind == CauseKind::kRequest;
  return std::tie(a.run_time, a.cause) < std::tie(b.run_time, b.cause);
}

bool CrashBlame::Passes(const Candidate& it, const Threshold& threshold) const {
  return it.kind == CauseKind::kRequest
             ? it.crashes.size() >= threshold.request_crashes
             : PartPasses(it, threshold);
}

bool CrashBlame::PartPasses(const Candidate& it,
                            const Threshold& threshold) const {
  const auto is_spread = [](const Candidate& at, std::size_t moments) {
    return CountRequests(at.crashes) >= kMinRequests &&
           CountMoments(at.crashes) >= moments;
  };
  const std::size_t n = it.crashes.size();
  if (IsProven(it.cause)) {
    return n >= threshold.proven_part_crashes &&
           is_spread(it, threshold.proven_part_moments);
  }
  if (n >= threshold.part_crashes && is_spread(it, threshold.part_moments))
    return true;
  const Candidate in_all = Unexplained(it.cause, suspects_.at(it.cause), {});
  return n > 0 && in_all.crashes.size() >= threshold.unproven_part_crashes &&
         is_spread(in_all, threshold.part_moments);
}

std::vector<CrashBlame::Candidate> CrashBlame::Candidates(
    const Targets& explained, const Threshold& threshold) const {
  std::vector<Candidate> out;
  for (const auto& [cause, it] : suspects_) {
    const bool is_part = it.kind == CauseKind::kPart;
    const std::size_t least =
        is_part ? threshold.part_crashes : threshold.request_crashes;
    const std::size_t least_unexplained = is_part ? 1 : least;
    if (it.reports.size() < least ||
        CountUnexplained(it, explained) < least_unexplained)
      continue;
    Candidate next = Unexplained(cause, it, explained);
    if (Passes(next, threshold)) out.push_back(std::move(next));
  }
  return out;
}

// The parts that can't be told apart from `worst`: those that were at more than
// half of its crashes, and at no others.
std::vector<CauseId> CrashBlame::WithItsCompanions(
    const Candidate& worst, const std::vector<Candidate>& suspects) {
  std::vector<CauseId> out = {worst.cause};
  if (worst.kind == CauseKind::kRequest) return out;
  Targets targets;
  for (const CrashReport* it : worst.crashes) targets.insert(it->target);
  for (const Candidate& it : suspects) {
    if (it.kind != CauseKind::kPart || it.cause == worst.cause) continue;
    if (it.crashes.size() * 2 <= targets.size()) continue;
    const bool inside = std::all_of(
        it.crashes.begin(), it.crashes.end(),
        [&](const CrashReport* r) { return targets.contains(r->target); });
    if (inside) out.push_back(it.cause);
  }
  std::sort(out.begin(), out.end());
  return out;
}

Blame CrashBlame::MakeBlame(const Candidate& worst,
                            const std::vector<Candidate>& suspects) const {
  Blame out;
  out.kind = worst.kind;
  out.causes = WithItsCompanions(worst, suspects);
  for (const CrashReport* it : worst.crashes) out.targets.push_back(it->target);
  out.first = worst.crashes.front()->at;
  out.latest = worst.crashes.back()->at;
  out.is_proven =
      std::all_of(out.causes.begin(), out.causes.end(),
                  [this](const CauseId& it) { return IsProven(it); });
  return out;
}

bool CrashBlame::IsProven(const CauseId& cause) const {
  return suspects_.at(cause).ran_at != WallTime{};
}

void CrashBlame::Evaluate() {
  constexpr Threshold kToBlame{kCrashesToBlame,
                               kCrashesToBlamePart,
                               kMinMoments,
                               kCrashesOfUnprovenPart,
                               kCrashesToBlameProvenPart,
                               kMinMomentsOfProvenPart};
  // Neither requests nor parts that have run well are suspected.
  constexpr std::size_t kNever = CrashBlame::kMaxReports + 1;
  constexpr Threshold kToSuspect{
      kNever, kCrashesToSuspectPart, 1, kNever, kNever, 1};
  blamed_.clear();
  suspected_parts_.clear();
  CountReports();
  Targets explained;
  while (true) {
    const std::vector<Candidate> all = Candidates(explained, kToBlame);
    const auto worst = std::min_element(all.begin(), all.end(), IsBlamedBefore);
    if (worst == all.end()) break;
    const bool is_part = worst->kind == CauseKind::kPart;
    blamed_.push_back(MakeBlame(*worst, is_part
                                            ? Candidates(explained, kToSuspect)
                                            : std::vector<Candidate>()));
    for (const CauseId& cause : blamed_.back().causes) {
      for (const auto& [target, report] : suspects_.at(cause).reports)
        explained.insert(target);
    }
  }
  if (part_reports_ == 0) return;
  const std::vector<Candidate> all = Candidates(explained, kToSuspect);
  const auto worst = std::min_element(all.begin(), all.end(), IsBlamedBefore);
  if (worst != all.end()) suspected_parts_ = WithItsCompanions(*worst, all);
}

void CrashBlame::CountReports() {
  reports_ = 0;
  part_reports_ = 0;
  suspected_ = 0;
  for (const auto& [cause, it] : suspects_) {
    reports_ += it.reports.size();
    if (!it.reports.empty()) ++suspected_;
    if (it.kind == CauseKind::kPart) part_reports_ += it.reports.size();
  }
}

void CrashBlame::EvictIfFull() {
  if (suspects_.size() <= kMaxSuspects) return;
  const auto rank = [](const Suspect& it) {
    WallTime latest = it.ran_at;
    for (const auto& [target, report] : it.reports) {
      latest = std::max(latest, report.at);
    }
    return std::pair(it.reports.size(), latest);
  };
  const auto evicted = std::min_element(
      suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
        return rank(a.second) < rank(b.second);
      });
  suspects_.erase(evicted);
}

}  // namespace quaytrack
