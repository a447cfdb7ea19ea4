#include "relay/fleet_driver.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

// Under which each router's entry stands, by the name of its VM.
constexpr char kPrefix[] = "quaytrack/router/";

// From the first read of the list to the second; each later pause is twice the
// one before it, up to the longest. All since commit e7705ae; not measured.
constexpr Duration kFirstInterval = milliseconds(1500);
constexpr Duration kLongestInterval = milliseconds(15000);
// The longest where readers say how many routers there are: it only has to show
// an entry that another has replaced. Not measured.
constexpr Duration kLongestWhenTold = milliseconds(60000);
// Least time between two reads because of a number, and the time after which
// those that hear of it begin to.
constexpr Duration kBetweenCounts = milliseconds(5000);
constexpr Duration kCountRead = milliseconds(500);
// From a call that failed to the next try. Not measured.
constexpr Duration kRetryAfter = milliseconds(400);
// Each pause is drawn from between these parts of it, so that routers that
// started together don't call together. Not measured.
constexpr double kLeastJitter = 0.8;
constexpr double kMostJitter = 1.2;

}  // namespace

FleetDriver::FleetDriver(Loop& loop, KvStore& store, FleetMember self,
                         FleetOptions options)
    : loop_(loop),
      store_(store),
      directory_(std::move(self), options),
      interval_(kFirstInterval),
      longest_interval_(kLongestInterval) {}

void FleetDriver::SetAddress(const std::string& address) {
  FleetMember self = directory_.self();
  self.address = address;
  directory_.Put({self});
}

void FleetDriver::WriteOwnEntry() {
  const FleetMember& self = directory_.self();
  StoreWrite write;
  write.puts.push_back({kPrefix + self.vm.value, EncodeMember(self), 0});
  call_ = store_.Write(write, [this](const StoreWritten& it) {
    call_.reset();
    if (it.end != StoreEnd::kDone) {
      return RunLater(kRetryAfter, &FleetDriver::WriteOwnEntry);
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
  const bool changed = directory_.Put(OthersIn(snapshot));
  const bool first = interval_ == kFirstInterval;
  const bool settles = !first && !settled_;
  if (settles) settled_ = true;
  if (changed || settles) changed_();
  if (first_read_) std::exchange(first_read_, nullptr)();
  RunLater(interval_ + DrawSpread(), &FleetDriver::ReadEntries);
  interval_ = std::min(interval_ * 2, longest_interval_);
}

Duration FleetDriver::DrawSpread() {
  const bool reads = directory_.IsReader(directory_.self().vm);
  if (reads || directory_.IsSmall()) return Duration::zero();
  return DrawPart(random_, ReadingSpread(directory_.size()), 0, 1);
}

void FleetDriver::Settle() {
  settled_ = true;
  changed_();
}

void FleetDriver::OnReaderCounts(std::size_t routers) {
  const bool agrees = directory_.IsRead() && routers == directory_.size();
  if (!settled_ && agrees) Settle();
  if (!settled_) return;
  longest_interval_ = kLongestWhenTold;
  if (interval_ < longest_interval_ && !call_) {
    interval_ = longest_interval_;
    RunLater(interval_, &FleetDriver::ReadEntries);
  }
  if (routers != directory_.size()) ReadSoon();
}

void FleetDriver::ReadSoon() {
  if (recent_timer_ || call_) return;
  recent_timer_ =
      loop_.After(kBetweenCounts, [this] { recent_timer_.reset(); });
  RunLater(kCountRead + DrawSpread(), &FleetDriver::ReadEntries);
}

// This router's own entry may be that of an earlier run, at another address.
std::vector<FleetMember> FleetDriver::OthersIn(
    const StoreSnapshot& snapshot) const {
  std::vector<FleetMember> out;
  for (const StoreItem& it : snapshot.items) {
    const auto member = DecodeMember(it.value);
    if (!member) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      continue;
    }
    if (member->vm != directory_.self().vm) out.push_back(*member);
  }
  return out;
}

void FleetDriver::RunLater(Duration delay, void (FleetDriver::*step)()) {
  timer_ = loop_.After(DrawPart(random_, delay, kLeastJitter, kMostJitter),
                       [this, step] { (this->*step)(); });
}

// Later, as all routers see it at about the same time.
void FleetDriver::OnStoreEra() {
  call_.reset();
  RunLater(kRetryAfter, &FleetDriver::WriteOwnEntry);
}

void FleetDriver::OnHello(const FleetMember& member) {
  if (member.address.empty() || member.vm == directory_.self().vm) return;
  if (directory_.Put({member})) changed_();
}

}  // namespace quaytrack
