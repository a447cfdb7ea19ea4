#include "dispatch/pace_exchange.h"

namespace quaytrack {

bool PaceExchange::IsOfOwnHall(const VmName& vm) const {
  const FleetMember* member = directory_.Find(vm);
  return member != nullptr && member->hall == directory_.self().hall;
}

bool PaceExchange::IsSelfReader() const {
  return directory_.IsReader(directory_.self().vm);
}

std::optional<PaceScope> PaceExchange::ScopeFor(const VmName& peer) const {
  if (!directory_.IsRead()) return std::nullopt;
  if (directory_.IsSmall()) return PaceScope::kOwn;
  const bool own_hall = IsOfOwnHall(peer);
  if (directory_.IsReader(peer)) {
    if (own_hall) return PaceScope::kOwn;
    if (IsSelfReader()) return PaceScope::kHall;
    return std::nullopt;
  }
  if (IsSelfReader() && own_hall) return PaceScope::kAll;
  return std::nullopt;
}

std::optional<PaceSource> PaceExchange::SourceOf(const VmName& peer,
                                                 PaceScope scope) const {
  const FleetMember* member = directory_.Find(peer);
  if (member == nullptr) return std::nullopt;
  const bool small = directory_.IsSmall();
  const bool own_hall = IsOfOwnHall(peer);
  switch (scope) {
    case PaceScope::kOwn:
      if (!small && !(IsSelfReader() && own_hall)) return std::nullopt;
      return PaceSource{scope, peer.value};
    case PaceScope::kHall:
      if (own_hall || !IsSelfReader()) return std::nullopt;
      return PaceSource{scope, member->hall.value};
    case PaceScope::kAll:
      if (small || IsSelfReader() || !own_hall) return std::nullopt;
      return PaceSource{scope, ""};
  }
  return std::nullopt;
}

void PaceExchange::OnReport(Instant now, const VmName& peer,
                            const ScopedPace& report) {
  if (const auto source = SourceOf(peer, report.scope))
    pace_.OnReport(now, *source, report.engines);
}

}  // namespace quaytrack
