#include "relay/link_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/log.h"

namespace quaytrack {
namespace {

// Interval of the checks of connections and of other routers' free shares.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
// A receive buffer is the part of a quarter of a second of the link that each
// of this many active callers gets.
constexpr double kWindowS = 0.25;
constexpr double kActiveCallers = 256;
// The smallest buffer that the kernel takes, and the size from which the
// kernel's own buffers are small relative to the link.
constexpr double kLeastBuffer = 1152;
constexpr double kFastLinkBuffer = 32 * 1024;
// The queue of bodies gets at least this part of the link, so that its longest
// wait remains the exception.
constexpr double kLeastSendRate = 0.5;
constexpr double kReadRate = 0.9;
// The queues of an unknown link are never used, but need a rate.
constexpr double kUnusedRate = 1e9;
// Log lines about refused requests in a second.
constexpr int kMaxLinesPerS = 20;

double RateOr(double bytes_per_s, double share) {
  return bytes_per_s > 0 ? bytes_per_s * share : kUnusedRate;
}

std::string Text(double value) {
  return std::isfinite(value) ? std::to_string(std::llround(value)) : "none";
}

std::string ShareText(double value) {
  return std::to_string(std::llround(value * 100)) + "%";
}

// Free shares are sent with two digits.
double Rounded(double room) { return std::round(room * 100) / 100; }

}  // namespace

LinkGate::LinkGate(Context context, Handlers handlers)
    : context_(std::move(context)),
      on_(std::move(handlers)),
      monitor_(context_.loop, context_.clock, context_.link_mbps),
      admission_({.bytes_per_s = monitor_.bytes_per_s()}),
      sends_(RateOr(monitor_.bytes_per_s(), 1), kLongestSendWait),
      reads_(RateOr(monitor_.bytes_per_s(), kReadRate), kLongestReadWait) {}

LinkGate::~LinkGate() = default;

void LinkGate::Start() {
  if (!admission_.IsOn()) return;
  observe_timer_ = context_.loop.Every(LinkAdmission::kObserveInterval,
                                       [this] { Observe(); });
  check_timer_ = context_.loop.Every(kCheckInterval, [this] { Check(); });
}

int LinkGate::ReceiveBuffer() const {
  if (!admission_.IsOn()) return 0;
  const double size = monitor_.bytes_per_s() * kWindowS / kActiveCallers;
  if (size >= kFastLinkBuffer) return 0;
  return static_cast<int>(std::max(size, kLeastBuffer));
}

void LinkGate::Observe() {
  const Instant now = context_.clock.Now();
  const WireTotals totals = monitor_.Totals();
  if (admission_.Observe(now, totals.in, totals.out)) LogReadiness();
  sends_.SetRate(now, std::max(admission_.usable_rate(),
                               kLeastSendRate * monitor_.bytes_per_s()));
}

void LinkGate::LogReadiness() const {
  const bool ready = admission_.IsReady();
  LogEvent(ready ? Event::kLinkReady : Event::kLinkUnready,
           {{"offered", ShareText(admission_.offered_load())},
            {"load_in", ShareText(admission_.load_in())},
            {"load_out", ShareText(admission_.load_out())}});
}

void LinkGate::Check() {
  const Instant now = context_.clock.Now();
  if (monitor_.Observe()) {
    LogEvent(monitor_.IsBusy() ? Event::kLinkBusy : Event::kLinkEased,
             {{"load", std::to_string(monitor_.load())}});
  }
  UpdateRoom(now);
  if (on_.is_stopping()) return;
  const std::size_t closed = on_.close_idle(admission_.MaxConnections());
  if (closed > 0) {
    LogEvent(Event::kLinkIdleClosed,
             {{"closed", std::to_string(closed)},
              {"most", std::to_string(admission_.MaxConnections())}});
  }
  if (!admission_.WantsMove(now)) return;
  const int moved = admission_.StartMove(now, on_.connections());
  LogEvent(
      Event::kLinkMoving,
      {{"connections", std::to_string(moved)},
       {"offered", ShareText(admission_.offered_load())},
       {"hall_room", admission_.hall_room() ? ShareText(*admission_.hall_room())
                                            : "unknown"}});
}

void LinkGate::UpdateRoom(Instant now) {
  admission_.SetHallRoom(rooms_.Largest(now, context_.hall, false));
}

void LinkGate::OnPeer(const PeerMessage& message) {
  const VmName vm = VmOf(message.from);
  rooms_.SetHall(vm, message.hall);
  rooms_.OnReport(context_.clock.Now(), vm, message.room, message.hall_room);
}

void LinkGate::Fill(PeerMessage& message, bool is_holder) const {
  if (!admission_.IsOn()) return;
  message.room = Rounded(admission_.Room());
  if (!is_holder) return;
  const Instant now = context_.clock.Now();
  const double others =
      rooms_.Largest(now, context_.hall, true).value_or(message.room);
  message.hall_room = std::max(message.room, others);
}

// --- Requests ----------------------------------------------------------------

LinkGate::Verdict LinkGate::OnHead(
    const std::shared_ptr<CallerConnection>& caller, CallerRequest& request,
    std::size_t body_bytes) {
  if (!admission_.IsUnderPressure()) return Verdict::kRead;
  const ServiceMapPtr map = on_.map();
  Admission admitted;
  // A request that is refused for another reason is read and refused as usual.
  if (Admit({map.get(), context_.dialect, request}, admitted)) {
    return Verdict::kRead;
  }
  caller->SetCustomer(admitted.customer);
  request.screened = true;
  request.refused_retry_after = Decide(admitted, body_bytes);
  if (request.refused_retry_after) return Verdict::kRefuse;
  const bool is_small = body_bytes <= static_cast<std::size_t>(ReceiveBuffer());
  if (is_small || !admission_.IsIncomingFull()) return Verdict::kRead;
  const auto ticket = reads_.Push(context_.clock.Now(),
                                  {.flow = admitted.customer.value,
                                   .bytes = static_cast<double>(body_bytes)});
  const std::weak_ptr<CallerConnection> weak = caller;
  read_actions_[ticket] = [weak] {
    if (const auto it = weak.lock()) it->AllowBody();
  };
  context_.loop.Post([this] { RunReads(); });
  return Verdict::kWait;
}

std::optional<Duration> LinkGate::Refuses(const CallerRequest& request,
                                          const Admission& admission) {
  if (!admission_.IsOn()) return std::nullopt;
  if (request.screened) return request.refused_retry_after;
  return Decide(admission, request.body.size());
}

std::optional<Duration> LinkGate::Decide(const Admission& admission,
                                         std::size_t body_bytes) {
  const Instant now = context_.clock.Now();
  const double bytes =
      static_cast<double>(body_bytes) + LinkAdmission::kRequestOverhead;
  const int urgency = admission.route->priority;
  if (admission_.Admit(now, {admission.customer, urgency, bytes})) {
    return std::nullopt;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const Duration out = admission_.RetryAfter(urgency, draw(random_));
  LogRefused(now, admission, bytes, out);
  return out;
}

void LinkGate::LogRefused(Instant now, const Admission& admission, double bytes,
                          Duration retry_after) {
  if (now - lines_since_ >= std::chrono::seconds(1)) {
    lines_since_ = now;
    lines_ = 0;
  }
  if (++lines_ > kMaxLinesPerS) {
    ++lines_left_out_;
    return;
  }
  const auto facts = admission_.FactsOf(now, admission.customer);
  LogEvent(Event::kLinkRefused,
           {{"request", admission.facts.id.value},
            {"customer", admission.customer.value},
            {"bytes", Text(bytes)},
            {"customer_bytes_per_s", Text(facts.customer_rate)},
            {"level_bytes_per_s", Text(facts.level)},
            {"usable_bytes_per_s", Text(admission_.usable_rate())},
            {"load_in", ShareText(admission_.load_in())},
            {"load_out", ShareText(admission_.load_out())},
            {"retry_after_ms", MillisecondsText(retry_after)},
            {"left_out", std::to_string(std::exchange(lines_left_out_, 0))}});
}

bool LinkGate::EndsConnection(const CustomerName& customer) {
  if (!admission_.IsOn() || on_.is_stopping()) return false;
  return admission_.EndsConnection(context_.clock.Now(), customer);
}

// --- Bodies ------------------------------------------------------------------

bool LinkGate::SendsNow(std::size_t bytes) {
  return !admission_.IsOn() ||
         sends_.TakeNow(context_.clock.Now(), static_cast<double>(bytes));
}

void LinkGate::Queue(int urgency, const std::string& flow, std::size_t bytes,
                     std::function<void()> send) {
  const auto ticket = sends_.Push(context_.clock.Now(),
                                  {urgency, flow, static_cast<double>(bytes)});
  send_actions_[ticket] = std::move(send);
  if (!send_timer_) context_.loop.Post([this] { RunSends(); });
}

void LinkGate::RunSends() {
  Run(sends_, send_actions_, send_timer_, &LinkGate::RunSends);
}

void LinkGate::RunReads() {
  Run(reads_, read_actions_, read_timer_, &LinkGate::RunReads);
}

void LinkGate::Run(SendQueue& queue, Actions& actions,
                   std::unique_ptr<Timer>& timer, void (LinkGate::*again)()) {
  const Instant now = context_.clock.Now();
  while (const auto ticket = queue.Pop(now)) {
    const auto it = actions.find(*ticket);
    if (it == actions.end()) continue;
    const auto action = std::move(it->second);
    actions.erase(it);
    action();
  }
  timer.reset();
  const auto next = queue.NextAt(now);
  if (!next) return;
  timer = context_.loop.After(std::max(*next - now, Duration::zero()),
                              [this, again] { (this->*again)(); });
}

}  // namespace quaytrack
