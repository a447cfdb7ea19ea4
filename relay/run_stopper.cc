#include "relay/run_stopper.h"

#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

// Longest answer that is read; the usual ones have less than 100 bytes.
constexpr std::size_t kMaxAnswerBytes = 4096;

void LogStopped(const RunMove& move, RunEnd end, Duration took) {
  LogEvent(Event::kRunStopped, {{"request", move.run.id.value},
                                {"target", move.run.target.value},
                                {"for", move.destination},
                                {"end", std::string(NameOf(end))},
                                {"ms", MillisecondsText(took)}});
}

}  // namespace

RunStopper::~RunStopper() {
  for (auto& [number, call] : calls_) {
    if (call.handle) call.handle->Cancel();
  }
}

void RunStopper::Stop(const RunMove& move, Done done) {
  const int number = next_number_++;
  Call& call = calls_[number];
  call.move = move;
  call.done = std::move(done);
  Start(number, dialect_.MoveRun(move));
  call.answer_timer = loop_.After(kAnswerTime, [this, number] {
    const auto it = calls_.find(number);
    if (it != calls_.end()) Report(it->second, {});
  });
}

void RunStopper::StopAfterClose(const RunMove& move) {
  const int number = next_number_++;
  Call& call = calls_[number];
  call.move = move;
  call.end_timer = loop_.After(kCloseTime, [this, number] {
    Start(number, dialect_.MoveRun(calls_.at(number).move));
  });
}

void RunStopper::Drop(const StreamRun& run, const std::string& cache) {
  if (cache.empty()) return;
  const int number = next_number_++;
  Call& call = calls_[number];
  call.move.run = run;
  call.is_stop = false;
  Start(number, dialect_.DropCache(run, cache));
}

void RunStopper::Start(int number, const std::string& bytes) {
  Call& call = calls_.at(number);
  call.begun = clock_.Now();
  TargetCall order;
  order.address = call.move.run.address;
  order.bytes = bytes;
  order.request = call.move.run.id.value;
  call.handle = targets_.Start(order, HandlersOf(number));
  call.end_timer = loop_.After(
      kMaxCallTime, [this, number] { OnEnd(number, CallEnd::kBroken); });
}

CallHandle::Handlers RunStopper::HandlersOf(int number) {
  CallHandle::Handlers on;
  on.head = [this, number](const HttpHead& head) {
    Call& call = calls_.at(number);
    // An answer that is late by one belongs to an earlier request.
    const RequestId id = dialect_.Read(head).request;
    if (!id.empty() && id != call.move.run.id) return false;
    call.status = head.status;
    return true;
  };
  on.body = [this, number](std::string_view bytes) {
    Call& call = calls_.at(number);
    if (call.body.size() + bytes.size() <= kMaxAnswerBytes) {
      call.body.append(bytes);
      return;
    }
    // Posted, because this runs inside the call.
    loop_.Post([this, number] { OnEnd(number, CallEnd::kBroken); });
  };
  on.end = [this, number](CallEnd end) { OnEnd(number, end); };
  return on;
}

void RunStopper::OnEnd(int number, CallEnd end) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Call call = std::move(it->second);
  calls_.erase(it);
  call.handle->Cancel();
  if (!call.is_stop) return;
  StoppedRun stopped;
  if (call.status != 0) stopped.end = RunEnd::kRefused;
  if (end == CallEnd::kComplete)
    stopped = dialect_.ReadMove(call.status, call.body);
  const bool is_awaited = call.done != nullptr;
  const bool is_known = stopped.end != RunEnd::kNoAnswer;
  if (is_known || !call.is_reported) Report(call, stopped);
  if (!is_awaited) Drop(call.move.run, stopped.cache);
}

void RunStopper::Report(Call& call, const StoppedRun& stopped) {
  call.answer_timer.reset();
  call.is_reported = true;
  LogStopped(call.move, stopped.end, clock_.Now() - call.begun);
  metrics_.CountRunStopped(NameOf(stopped.end));
  if (const Done done = std::exchange(call.done, nullptr)) done(stopped);
}

}  // namespace quaytrack
