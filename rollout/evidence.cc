#include "rollout/evidence.h"

namespace quaytrack {
namespace {

// Operators may configure many routes. Routes beyond this number are counted
// together, under `kOtherRoutes`.
constexpr std::size_t kMaxRoutes = 32;
constexpr char kOtherRoutes[] = "";

RouteEvidence& At(RoutesEvidence& routes, const std::string& route) {
  const bool is_new = !routes.contains(route);
  return routes[is_new && routes.size() >= kMaxRoutes ? kOtherRoutes : route];
}

void MergeRoutes(RoutesEvidence& into, const RoutesEvidence& from) {
  for (const auto& [route, it] : from) {
    RouteEvidence& out = At(into, route);
    out.answers += it.answers;
    out.failed += it.failed;
    out.first_event.Merge(it.first_event);
    out.pause.Merge(it.pause);
  }
}

}  // namespace

void VersionEvidence::Add(const std::string& route, bool is_next,
                          const AttemptOutcome& outcome) {
  RouteEvidence& out = At(is_next ? next : current, route);
  ++out.answers;
  if (outcome.failed) ++out.failed;
  if (outcome.first_event) out.first_event.Add(*outcome.first_event);
  if (outcome.pause) out.pause.Add(*outcome.pause);
}

void VersionEvidence::Merge(const VersionEvidence& other) {
  MergeRoutes(next, other.next);
  MergeRoutes(current, other.current);
}

std::uint64_t AnswersOf(const RoutesEvidence& routes) {
  std::uint64_t out = 0;
  for (const auto& [route, it] : routes) out += it.answers;
  return out;
}

}  // namespace quaytrack
