#include "relay/memory_guard.h"

#include <map>
#include <utility>

#include "base/log.h"
#include "relay/relayed_request.h"

namespace quaytrack {
namespace {

constexpr double kBytesPerMegabyte = 1e6;

// Interval of the checks while memory is watched. A check of 1,000 connections
// takes about a millisecond of a whole processor, of which a small VM has a
// tenth.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

// Largest read from a socket while memory is tight. 1,000 connections that are
// read in one turn of the loop then add 8 MB at most, instead of 64 MB.
constexpr std::size_t kTightRead = 8 * 1024;

// The kernel's buffer of received bytes for calls that start while memory is
// tight. 1,000 paused answers then take some 16 MB there, instead of 64 MB or
// more.
constexpr std::size_t kTightReceiveBuffer = 8 * 1024;

// Lines of one event in a second.
constexpr int kMaxLines = 10;

std::string Text(std::size_t n) { return std::to_string(n); }

}  // namespace

MemoryGuard::MemoryGuard(const Parts& parts, double megabytes)
    : parts_(parts),
      pressure_(static_cast<std::size_t>(megabytes * kBytesPerMegabyte *
                                         kBufferShare)) {}

MemoryGuard::~MemoryGuard() {
  parts_.loop.held().SetAlarm(HeldBytes::kNever, nullptr);
}

void MemoryGuard::Start() {
  if (!on()) return;
  CallerMemory rules;
  rules.admits_body = [this](std::size_t bytes) {
    return pressure_.Admits(held(), bytes);
  };
  rules.max_pending = [this] { return pressure_.UnsentLimit(held(), false); };
  parts_.callers.SetMemory(std::move(rules));
  timer_ = parts_.loop.Every(kCheckInterval, [this] {
    if (pressure_.IsWatched(held()) || pressure_.IsTight()) Check();
  });
  SetAlarm();
}

// Sets the alarm to the next level above what is held. Above all of them, the
// timer alone starts checks.
void MemoryGuard::SetAlarm() {
  for (const double share :
       {MemoryPressure::kTight, 1.0, MemoryPressure::kHard}) {
    const std::size_t level = pressure_.Level(share);
    if (held() > level) continue;
    return parts_.loop.held().SetAlarm(level, [this] { OnAlarm(); });
  }
}

// Runs inside the change of a buffer, so the check is posted.
void MemoryGuard::OnAlarm() {
  parts_.loop.held().SetMaxRead(kTightRead);
  if (std::exchange(check_posted_, true)) return;
  parts_.loop.Post([this] {
    check_posted_ = false;
    Check();
  });
}

void MemoryGuard::CheckState() {
  const bool changed = pressure_.Update(held());
  parts_.loop.held().SetMaxRead(pressure_.IsTight() ? kTightRead
                                                    : HeldBytes::kNever);
  if (!changed) return;
  parts_.targets.SetReceiveBuffer(pressure_.IsTight() ? kTightReceiveBuffer
                                                      : 0);
  LogEvent(Event::kMemoryState,
           {{"state", pressure_.IsTight() ? "tight" : "eased"},
            {"held", Text(held())},
            {"bound", Text(bound())},
            {"callers", Text(parts_.callers.connections())},
            {"requests", Text(parts_.requests.size())}});
}

void MemoryGuard::Check() {
  CheckState();
  std::vector<MemoryHolder> holders;
  const std::vector<Owner> owners = ListOwners(holders);
  const auto cuts = pressure_.Check(parts_.clock.Now(), held(), holders);
  for (const MemoryCut& it : cuts) {
    Cut(owners[it.holder], holders[it.holder], it);
  }
  if (!cuts.empty()) CheckState();
  SetAlarm();
}

// Lists the connections that hold bytes, with their running requests. A request
// whose caller has left still holds its own.
std::vector<MemoryGuard::Owner> MemoryGuard::ListOwners(
    std::vector<MemoryHolder>& holders) const {
  std::map<const CallerConnection*, std::shared_ptr<RelayedRequest>> running;
  parts_.requests.ForEach([&](RelayedRequest& it) {
    if (it.IsRunning()) running[it.caller().get()] = it.shared_from_this();
  });
  std::vector<Owner> out;
  const auto add = [&](const std::shared_ptr<CallerConnection>& caller,
                       const std::shared_ptr<RelayedRequest>& request) {
    // The small buffer that an idle connection keeps is no reason to cut it. A
    // request that is about to start is listed when it has.
    if (!request && (caller->IsIdle() || caller->IsAnswering())) return;
    MemoryHolder holder;
    holder.held = caller->held() + (request ? request->held() : 0);
    if (holder.held == 0) return;
    holder.id = caller->serial();
    holder.customer = CustomerName(caller->user().customer);
    holder.moved = caller->Moved();
    if (request) {
      holder.moved += request->Moved();
      holder.is_paused = request->IsPaused();
      holder.awaits_target = !holder.is_paused && caller->Unsent() == 0;
    }
    holders.push_back(std::move(holder));
    out.push_back({caller, request});
  };
  parts_.callers.ForEach([&](const std::shared_ptr<CallerConnection>& it) {
    const auto found = running.find(it.get());
    if (found == running.end()) return add(it, nullptr);
    add(it, found->second);
    running.erase(found);
  });
  for (const auto& [caller, request] : running) add(request->caller(), request);
  return out;
}

void MemoryGuard::Cut(const Owner& owner, const MemoryHolder& holder,
                      const MemoryCut& it) {
  parts_.metrics.CountMemoryCut(NameOf(it.rank));
  int skipped = 0;
  if (cut_lines_.Take(parts_.clock.Now(), skipped)) {
    LogEvent(Event::kMemoryCut,
             {{"request", owner.caller->user().request},
              {"customer", owner.caller->user().customer},
              {"rank", std::string(NameOf(it.rank))},
              {"held", Text(holder.held)},
              {"customer_held", Text(it.customer_held)},
              {"stalled_ms", MillisecondsText(it.without_progress)},
              {"total", Text(held())},
              {"bound", Text(bound())},
              {"skipped", std::to_string(skipped)}});
  }
  if (owner.request) owner.request->EndForMemory();
  // A caller that reads can take the final answer of its request. One that is
  // sending a body gets a refusal, too.
  const bool reads = it.rank == MemoryRank::kAwaitsTarget ||
                     it.rank == MemoryRank::kProgressing;
  if (owner.request && reads) return;
  if (!owner.caller->open()) return;
  if (owner.caller->IsReadingBody() && owner.caller->Unsent() == 0) {
    return owner.caller->RefuseBody();
  }
  owner.caller->Cut();
}

void MemoryGuard::LogRefused(const RequestId& request,
                             const CustomerName& customer, std::size_t bytes) {
  int skipped = 0;
  if (!refused_lines_.Take(parts_.clock.Now(), skipped)) return;
  LogEvent(Event::kMemoryRefused,
           {{"request", request.value},
            {"customer", customer.value},
            {"body", Text(bytes)},
            {"admitted", Text(pressure_.LargestBody(held()))},
            {"held", Text(held())},
            {"bound", Text(bound())},
            {"skipped", std::to_string(skipped)}});
}

bool MemoryGuard::LineLimit::Take(Instant now, int& skipped) {
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    lines_ = 0;
  }
  if (lines_ >= kMaxLines) {
    ++skipped_;
    return false;
  }
  ++lines_;
  skipped = std::exchange(skipped_, 0);
  return true;
}

}  // namespace quaytrack
