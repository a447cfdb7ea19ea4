#include "relay/fleet_driver.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"
#include "net/address.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Prefix of the routers' entries; the name of the VM follows.
constexpr char kPrefix[] = "quaytrack/router/";

// Interval from the first read of the list to the second; each later one is
// twice the one before it, up to the maximum.
constexpr Duration kFirstInterval = milliseconds(1500);
constexpr Duration kMaxInterval = milliseconds(15000);
// The maximum where readers send the number of routers: the read then only has
// to find an entry that was replaced.
constexpr Duration kMaxIntervalWithReaders = milliseconds(60000);
// Minimum time between two reads because of a differing number of routers, and
// the delay from the heartbeat with that number to the read.
constexpr Duration kMinCountReadInterval = milliseconds(5000);
constexpr Duration kCountReadDelay = milliseconds(500);
// Delay from a failed call to the next try.
constexpr Duration kRetryAfter = milliseconds(400);
// Each delay is multiplied by a random factor between these, so that routers
// that started together don't call together.
constexpr double kMinJitter = 0.8;
constexpr double kMaxJitter = 1.2;

// Whether the entry at `key` is one that the router of `member` may have
// written. Any process may write below the prefix.
bool IsEntryOf(const FleetMember& member, const std::string& key) {
  return key == kPrefix + member.vm.value &&
         ParseAddress(member.address).has_value();
}

}  // namespace

FleetDriver::FleetDriver(Loop& loop, KvStore& store, FleetMember self,
                         FleetOptions options)
    : loop_(loop),
      store_(store),
      directory_(std::move(self), options),
      interval_(kFirstInterval),
      max_interval_(kMaxInterval) {}

void FleetDriver::SetAddress(const std::string& address) {
  FleetMember self = directory_.self();
  self.address = address;
  directory_.Put({self});
}

void FleetDriver::WriteEntry() {
  const FleetMember& self = directory_.self();
  StoreWrite write;
  const std::string key = kPrefix + self.vm.value;
  write.puts.push_back({key, EncodeMember(self), 0});
  if (!has_predecessor_) write.conditions.push_back({key, 0});
  call_ = store_.Write(write, [this](const StoreWritten& it) {
    call_.reset();
    // After an unanswered write, the entry may be this process's own; it then
    // counts as a predecessor's.
    if (it.end == StoreEnd::kRejected && !has_predecessor_) {
      has_predecessor_ = true;
      return WriteEntry();
    }
    if (it.end != StoreEnd::kDone) {
      return RunLater(kRetryAfter, &FleetDriver::WriteEntry);
    }
    ReadEntries();
  });
}

void FleetDriver::ReadEntries() {
  call_ = store_.Range(kPrefix,
                       [this](const StoreSnapshot& it) { OnSnapshot(it); });
}

void FleetDriver::OnSnapshot(const StoreSnapshot& snapshot) {
  call_.reset();
  if (snapshot.end != StoreEnd::kDone) {
    return RunLater(kRetryAfter, &FleetDriver::ReadEntries);
  }
  directory_.MarkRead();
  const bool changed = directory_.Put(OtherMembers(snapshot));
  const bool first = interval_ == kFirstInterval;
  const bool settles = !first && !settled_;
  if (settles) settled_ = true;
  if (changed || settles) changed_();
  if (first_read_) std::exchange(first_read_, nullptr)();
  RunLater(interval_ + DrawSpread(), &FleetDriver::ReadEntries);
  interval_ = std::min(interval_ * 2, max_interval_);
}

Duration FleetDriver::DrawSpread() {
  const bool is_reader = directory_.IsReader(directory_.self().vm);
  if (is_reader || directory_.IsSmall()) return Duration::zero();
  return Jittered(random_, ReadingSpread(directory_.size()), 0, 1);
}

void FleetDriver::Settle() {
  settled_ = true;
  changed_();
}

void FleetDriver::OnReaderCounts(std::size_t routers) {
  const bool agrees = directory_.IsRead() && routers == directory_.size();
  if (!settled_ && agrees) Settle();
  if (!settled_) return;
  max_interval_ = kMaxIntervalWithReaders;
  if (interval_ < max_interval_ && !call_) {
    interval_ = max_interval_;
    RunLater(interval_, &FleetDriver::ReadEntries);
  }
  if (routers != directory_.size()) ScheduleCountRead();
}

void FleetDriver::ScheduleCountRead() {
  if (recent_timer_ || call_) return;
  recent_timer_ =
      loop_.After(kMinCountReadInterval, [this] { recent_timer_.reset(); });
  RunLater(kCountReadDelay + DrawSpread(), &FleetDriver::ReadEntries);
}

// Returns the members without this router, whose entry may be that of an
// earlier run, at another address.
std::vector<FleetMember> FleetDriver::OtherMembers(
    const StoreSnapshot& snapshot) const {
  std::vector<FleetMember> out;
  for (const StoreItem& it : snapshot.items) {
    const auto member = DecodeMember(it.value);
    if (!member || !IsEntryOf(*member, it.key)) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      continue;
    }
    if (member->vm != directory_.self().vm) out.push_back(*member);
  }
  return out;
}

void FleetDriver::RunLater(Duration delay, void (FleetDriver::*step)()) {
  timer_ = loop_.After(Jittered(random_, delay, kMinJitter, kMaxJitter),
                       [this, step] { (this->*step)(); });
}

// Writes this router's entry again after a delay, as all routers see the new
// era at about the same time.
void FleetDriver::OnStoreEra() {
  call_.reset();
  has_predecessor_ = true;
  RunLater(kRetryAfter, &FleetDriver::WriteEntry);
}

void FleetDriver::OnHello(const FleetMember& member) {
  if (member.address.empty() || member.vm == directory_.self().vm) return;
  if (directory_.Put({member})) changed_();
}

}  // namespace quaytrack
