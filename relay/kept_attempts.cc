#include "relay/kept_attempts.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

auto WithNumber(std::vector<AttemptState>& attempts, int number) {
  return std::find_if(
      attempts.begin(), attempts.end(),
      [number](const AttemptState& it) { return it.number == number; });
}

}  // namespace

void KeptAttempts::Add(AttemptState attempt, AttemptFault kept_for,
                       EventReader reader) {
  attempt.kept_for = kept_for;
  attempt.reader = std::move(reader);
  attempts_.push_back(std::move(attempt));
}

AttemptState* KeptAttempts::Find(int number) {
  const auto at = WithNumber(attempts_, number);
  return at == attempts_.end() ? nullptr : &*at;
}

AttemptState KeptAttempts::Take(int number) {
  const auto at = WithNumber(attempts_, number);
  AttemptState out = std::move(*at);
  attempts_.erase(at);
  return out;
}

std::size_t KeptAttempts::BodyBytes() const {
  std::size_t out = 0;
  for (const AttemptState& it : attempts_) out += it.body.capacity();
  return out;
}

std::vector<int> KeptAttempts::SilentNumbers() const {
  std::vector<int> out;
  for (const AttemptState& it : attempts_) {
    if (it.kept_for == AttemptFault::kTimeout) out.push_back(it.number);
  }
  return out;
}

SilenceStep StepAfterSilence(const SilenceFacts& facts) {
  if (facts.has_retry) return SilenceStep::kSendBeside;
  // Before the first event, waiting costs the caller nothing that another look
  // would save: the target may just be busy with other prompts.
  if (!facts.has_begun || !facts.may_be_sent_again) return SilenceStep::kWait;
  return SilenceStep::kCheckLater;
}

KeptBytes StepAfterBytes(RouteKind kind, AttemptState& attempt,
                         std::string_view bytes) {
  const bool by_event =
      IsForwardedByEvent(kind, attempt.answer.status, attempt.facts.sealed);
  if (!by_event) {
    KeptBytes out;
    if (!attempt.TakeBody(bytes)) out.step = KeptStep::kEnd;
    return out;
  }
  KeptBytes out;
  out.events = attempt.reader.Take(bytes);
  if (!out.events.valid()) {
    out.step = KeptStep::kEnd;
  } else if (!out.events.bytes.empty()) {
    out.step = KeptStep::kGoOn;
  }
  return out;
}

KeptStep StepAfterKeptEnd(const AttemptResult& result, int status) {
  const bool serves = result.answered && !IsServerError(status);
  return serves ? KeptStep::kGoOn : KeptStep::kEnd;
}

OverlapStep StepAfterOverlap(const OverlapFacts& facts) {
  if (facts.is_answering) return OverlapStep::kStopSilent;
  if (!facts.has_begun) return OverlapStep::kNone;
  return facts.is_target_alive ? OverlapStep::kStopSilent
                               : OverlapStep::kStopCurrent;
}

EndStep StepAfterEnd(bool has_retry, bool has_kept) {
  if (has_retry) return EndStep::kRetry;
  return has_kept ? EndStep::kAwaitKept : EndStep::kGiveUp;
}

}  // namespace quaytrack
