#include "relay/fleet_driver.h"

#include <algorithm>
#include <vector>

#include "base/log.h"

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

constexpr char kPrefix[] = "quaytrack/router/";
// The first read again comes soon, as a fleet starts together; each later one
// after twice the time, up to the longest.
constexpr Duration kFirstInterval = milliseconds(1500);
constexpr Duration kLongestInterval = milliseconds(15000);
constexpr Duration kRetryAfter = milliseconds(400);

}  // namespace

FleetDriver::FleetDriver(Loop& loop, KvStore& store, FleetMember self,
                         FleetOptions options)
    : loop_(loop),
      store_(store),
      directory_(std::move(self), options),
      interval_(kFirstInterval) {}

void FleetDriver::SetAddress(const std::string& address) {
  FleetMember self = directory_.self();
  self.address = address;
  directory_.Put({self});
}

void FleetDriver::Start() { Register(); }

void FleetDriver::Register() {
  const FleetMember& self = directory_.self();
  StoreWrite write;
  write.puts.push_back({kPrefix + self.vm.value, EncodeMember(self), 0});
  call_ = store_.Write(write, [this](const StoreWritten& it) {
    call_.reset();
    // Written twice, it is the same.
    if (it.end != StoreEnd::kDone) {
      return After(kRetryAfter, &FleetDriver::Register);
    }
    Read();
  });
}

void FleetDriver::Read() {
  call_ = store_.Range(kPrefix,
                       [this](const StoreSnapshot& it) { OnSnapshot(it); });
}

void FleetDriver::OnSnapshot(const StoreSnapshot& snapshot) {
  call_.reset();
  if (snapshot.end != StoreEnd::kDone) {
    return After(kRetryAfter, &FleetDriver::Read);
  }
  std::vector<FleetMember> members;
  for (const StoreItem& it : snapshot.items) {
    const auto member = DecodeMember(it.value);
    if (!member) {
      LogEvent(Event::kRecordRefused, {{"key", it.key}});
      continue;
    }
    if (member->vm != directory_.self().vm) members.push_back(*member);
  }
  const bool changed = directory_.Put(members);
  const bool second = interval_ > kFirstInterval;
  const bool settles = second && !settled_;
  settled_ = settled_ || second;
  if (changed || settles) changed_();
  After(interval_, &FleetDriver::Read);
  interval_ = std::min(interval_ * 2, kLongestInterval);
}

void FleetDriver::After(Duration delay, void (FleetDriver::*step)()) {
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  const auto when =
      std::chrono::duration_cast<Duration>(delay * jitter(random_));
  timer_ = loop_.After(when, [this, step] { (this->*step)(); });
}

void FleetDriver::OnHello(const FleetMember& member) {
  if (member.address.empty() || member.vm == directory_.self().vm) return;
  if (directory_.Put({member})) changed_();
}

}  // namespace quaytrack
