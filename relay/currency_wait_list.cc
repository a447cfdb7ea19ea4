#include "relay/currency_wait_list.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

CurrencyWaitList::CurrencyWaitList(
    Loop& loop, std::function<bool(Instant at)> is_current_at,
    std::function<void()> ask)
    : loop_(loop),
      is_current_at_(std::move(is_current_at)),
      ask_(std::move(ask)) {}

void CurrencyWaitList::Await(Instant at, Done done) {
  auto wait = std::make_unique<Wait>();
  wait->at = at;
  wait->done = std::move(done);
  wait->timer =
      loop_.After(kAnswerTime, [this, it = wait.get()] { GiveUp(it); });
  const bool is_first = waits_.empty();
  waits_.push_back(std::move(wait));
  if (is_first) ask_();
  AskLater();
}

// Asks again for the waits that the running question can't serve.
void CurrencyWaitList::AskLater() {
  if (ask_timer_) return;
  ask_timer_ = loop_.After(kAskInterval, [this] {
    ask_timer_.reset();
    if (waits_.empty()) return;
    ask_();
    AskLater();
  });
}

void CurrencyWaitList::ServeLater() {
  if (waits_.empty() || serve_timer_) return;
  serve_timer_ = loop_.After(Duration::zero(), [this] { Serve(); });
}

void CurrencyWaitList::Serve() {
  serve_timer_.reset();
  const auto served = std::stable_partition(
      waits_.begin(), waits_.end(),
      [this](const auto& it) { return !is_current_at_(it->at); });
  std::vector<std::unique_ptr<Wait>> ended(
      std::make_move_iterator(served), std::make_move_iterator(waits_.end()));
  waits_.erase(served, waits_.end());
  for (const auto& it : ended) it->done(true);
}

void CurrencyWaitList::GiveUp(const Wait* wait) {
  const auto at =
      std::find_if(waits_.begin(), waits_.end(),
                   [&](const auto& it) { return it.get() == wait; });
  if (at == waits_.end()) return;
  // The timer that runs now belongs to the wait.
  const std::shared_ptr<Wait> ended = std::move(*at);
  waits_.erase(at);
  loop_.Post([ended] {});
  ended->done(is_current_at_(ended->at));
}

}  // namespace quaytrack
