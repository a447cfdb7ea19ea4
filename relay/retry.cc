#include "relay/retry.h"

namespace quaytrack {

bool MaySendAgain(const RetryFacts& facts) {
  if (facts.caller_gone || facts.crashes_targets) return false;
  if (!facts.may_go_on) return false;
  if (facts.left < kMinTimeToSend) return false;
  if (facts.sends >= kMaxSends) return false;
  if (facts.ran == Ran::kNo) return true;
  return facts.repeatable && facts.sends < facts.max_attempts;
}

bool RetryShares::TakeRetry(Instant now, const RetryFacts& facts,
                            const Placement& placement,
                            const PlacementRequest& request) {
  if (!MaySendAgain(facts)) return false;
  if (!facts.awaits_probes && !placement.Choose(now, request)) return false;
  if (!facts.was_sent) return true;
  return ShareOf(request.service).TryRetry(now);
}

RetryShare& RetryShares::ShareOf(const ServiceName& service) {
  RetryShare& out = shares_.try_emplace(service, options_).first->second;
  out.SetRouters(routers_);
  out.SetHasPredecessor(has_predecessor_);
  return out;
}

}  // namespace quaytrack
