// Identifiers as distinct types, so that passing a customer's name where a
// budget's name is expected doesn't compile.
//
//   const CustomerName customer("clinic-a");
//   std::map<BudgetName, Tokens> by_budget;
//   VmOf(Incarnation("vm-7@19ac-5e0c"));    // VmName("vm-7")
//
// An id owns its text, compares by it, and may key ordered and hashed maps. Any
// text is allowed here; code that reads an id from outside validates it.

#ifndef QUAYTRACK_BASE_IDS_H_
#define QUAYTRACK_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace quaytrack {

// A string that names one kind of thing. `Tag` is never instantiated.
template <class Tag>
struct Id {
  std::string value;

  Id() = default;
  explicit Id(std::string v) : value(std::move(v)) {}
  auto operator<=>(const Id&) const = default;
  bool empty() const { return value.empty(); }
};

using CustomerName = Id<struct CustomerTag>;
using BudgetName = Id<struct BudgetTag>;
using ModelName = Id<struct ModelTag>;
using ServiceName = Id<struct ServiceTag>;
using TargetName = Id<struct TargetTag>;
// Identifies one run of a target's process: a target that ended may start again
// under its name.
using TargetStart = Id<struct TargetStartTag>;
// A version of a target's software.
using VersionName = Id<struct VersionTag>;
using HallName = Id<struct HallTag>;
// A group of halls that are near each other; see base/residency.h.
using RegionName = Id<struct RegionTag>;
using VmName = Id<struct VmTag>;
using RequestId = Id<struct RequestTag>;
// Identifies requests of a caller that are equal (relay/fingerprint.h).
using Fingerprint = Id<struct FingerprintTag>;
// The value of the caller's Idempotency-Key header.
using IdempotencyKey = Id<struct IdempotencyTag>;

// One run of a process on one VM: "<vm>@<suffix>". The suffix differs with each
// start of the process, so that a restart is a new incarnation, even at the
// same address. A relay's suffix is random ("vm-7@5e0c91d2"); a router's begins
// with its start time ("vm-7@<start>-<random>").
using Incarnation = Id<struct IncarnationTag>;

// Prepaid units, signed so that a difference can be negative. In the relay they
// are the tokens of prompts and answers; in the router they are computed from
// model tokens and service calls with the prices in the bundle.
using Tokens = std::int64_t;

// Returns the VM part of an incarnation, or all of its text if it has no '@'.
inline VmName VmOf(const Incarnation& it) {
  return VmName(it.value.substr(0, it.value.rfind('@')));
}

// The names, separated by commas.
template <class Tag>
std::string JoinedNames(const std::vector<Id<Tag>>& names) {
  std::string out;
  for (const Id<Tag>& it : names) {
    if (!out.empty()) out += ',';
    out += it.value;
  }
  return out;
}

}  // namespace quaytrack

template <class Tag>
struct std::hash<quaytrack::Id<Tag>> {
  std::size_t operator()(const quaytrack::Id<Tag>& it) const {
    return std::hash<std::string>()(it.value);
  }
};

#endif  // QUAYTRACK_BASE_IDS_H_
