#include "dispatch/crash_blame.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

bool CrashBlame::Note(const CrashReport& report, WallTime now) {
  if (!Add(report, now)) return false;
  Evaluate();
  return true;
}

void CrashBlame::NoteRan(const Fingerprint& request, WallTime at,
                         WallTime now) {
  if (AddRan({request, at}, now)) Evaluate();
}

void CrashBlame::NoteAll(const std::vector<CrashReport>& crashes,
                         const std::vector<RanReport>& ran, WallTime now) {
  bool changed = false;
  for (const CrashReport& it : crashes) changed |= Add(it, now);
  for (const RanReport& it : ran) changed |= AddRan(it, now);
  if (changed) Evaluate();
}

bool CrashBlame::Add(const CrashReport& report, WallTime now) {
  CrashReport it = report;
  it.at = std::min(it.at, now);
  if (now - it.at > kCrashMemory) return false;
  Suspect& suspect = suspects_[it.request];
  if (suspect.reports.size() >= kMaxReports) return false;
  if (!suspect.reports.try_emplace(it.target, it).second) return false;
  EvictIfFull();
  return true;
}

bool CrashBlame::AddRan(const RanReport& report, WallTime now) {
  const auto it = suspects_.find(report.request);
  if (it == suspects_.end()) return false;
  const WallTime ran_at = std::min(report.at, now);
  if (ran_at <= it->second.ran_at) return false;
  it->second.ran_at = ran_at;
  return true;
}

void CrashBlame::Expire(WallTime now) {
  const auto is_old = [now](const auto& it) {
    return now - it.second.at > kCrashMemory;
  };
  std::size_t expired = 0;
  for (auto& [request, it] : suspects_) {
    expired += std::erase_if(it.reports, is_old);
  }
  if (expired == 0) return;
  std::erase_if(suspects_,
                [](const auto& it) { return it.second.reports.empty(); });
  Evaluate();
}

std::size_t CrashBlame::Crashes(const Fingerprint& request) const {
  const auto it = suspects_.find(request);
  if (it == suspects_.end()) return 0;
  return UnexplainedCrashes(request, it->second, {}).crashes;
}

std::vector<TargetStart> CrashBlame::TargetsOf(
    const Fingerprint& request) const {
  std::vector<TargetStart> out;
  const auto it = suspects_.find(request);
  if (it == suspects_.end()) return out;
  for (const auto& [target, report] : it->second.reports) out.push_back(target);
  return out;
}

// The request is blamed until so many reports have expired that fewer than
// `kCrashesToBlame` are left.
Duration CrashBlame::Remaining(const Fingerprint& request, WallTime now) const {
  const auto it = suspects_.find(request);
  if (it == suspects_.end()) return Duration::zero();
  std::vector<WallTime> times;
  for (const auto& [target, report] : it->second.reports) {
    if (CountsAgainst(it->second, report)) times.push_back(report.at);
  }
  if (times.size() < kCrashesToBlame) return Duration::zero();
  std::sort(times.begin(), times.end());
  const WallTime last = times[times.size() - kCrashesToBlame];
  return std::max<Duration>(last + kCrashMemory - now, Duration::zero());
}

// --- The decision ------------------------------------------------------------

CrashBlame::Candidate CrashBlame::UnexplainedCrashes(
    const Fingerprint& request, const Suspect& it,
    const std::set<TargetStart>& explained) {
  Candidate out;
  out.request = request;
  for (const auto& [target, report] : it.reports) {
    if (explained.contains(target) || !CountsAgainst(it, report)) continue;
    ++out.crashes;
    out.run_time += report.run_time;
  }
  return out;
}

// Whether `a` is blamed before `b`.
bool CrashBlame::IsBlamedBefore(const Candidate& a, const Candidate& b) {
  if (a.crashes != b.crashes) return a.crashes > b.crashes;
  if (a.run_time != b.run_time) return a.run_time < b.run_time;
  return a.request < b.request;
}

void CrashBlame::Evaluate() {
  blamed_.clear();
  std::set<TargetStart> explained;
  while (true) {
    Candidate worst;
    for (const auto& [request, it] : suspects_) {
      if (it.reports.size() < kCrashesToBlame || blamed_.contains(request)) {
        continue;
      }
      const Candidate next = UnexplainedCrashes(request, it, explained);
      if (next.crashes < kCrashesToBlame) continue;
      if (worst.crashes == 0 || IsBlamedBefore(next, worst)) worst = next;
    }
    if (worst.crashes == 0) return;
    blamed_.insert(worst.request);
    for (const auto& [target, report] : suspects_.at(worst.request).reports) {
      explained.insert(target);
    }
  }
}

void CrashBlame::EvictIfFull() {
  if (suspects_.size() <= kMaxRequests) return;
  const auto rank = [](const Suspect& it) {
    WallTime latest{};
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
