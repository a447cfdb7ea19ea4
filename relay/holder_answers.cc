#include "relay/holder_answers.h"

#include <algorithm>

namespace quaytrack {

void HolderAnswers::OnAnswered(const Incarnation& holder, Instant asked_at) {
  Evidence& it = holders_[holder];
  it.answered = std::max(it.answered, asked_at);
  it.unanswered = 0;
}

bool HolderAnswers::OnUnanswered(Instant now, const Incarnation& holder,
                                 Instant asked_at) {
  Evidence& it = holders_[holder];
  if (asked_at <= it.answered) return false;
  const bool was_silent = IsSilent(now, it);
  if (it.unanswered == 0 || asked_at < it.first_asked) {
    it.first_asked = asked_at;
  }
  ++it.unanswered;
  it.last_timeout = now;
  return !was_silent && IsSilent(now, it);
}

bool HolderAnswers::IsSilent(Instant now, const Evidence& it) const {
  return it.unanswered >= limits_.min_unanswered &&
         now - it.first_asked >= limits_.min_silence &&
         now - it.last_timeout < limits_.evidence_lifetime;
}

bool HolderAnswers::Answers(Instant now, const Incarnation& holder) const {
  const auto it = holders_.find(holder);
  return it == holders_.end() || !IsSilent(now, it->second);
}

bool HolderAnswers::TakeProbe(Instant now, const Incarnation& holder) {
  Evidence& it = holders_[holder];
  if (now - it.last_probe < limits_.probe_every) return false;
  it.last_probe = now;
  return true;
}

int HolderAnswers::Unanswered(const Incarnation& holder) const {
  const auto it = holders_.find(holder);
  return it == holders_.end() ? 0 : it->second.unanswered;
}

}  // namespace quaytrack
