// Identifiers as distinct types, so that a customer's name can never be passed
// where a budget's name is expected.
//
//   const CustomerName customer("clinic-a");
//   std::map<BudgetName, Tokens> by_budget;
//   VmOf(Incarnation("vm-7@19ac-5e0c"));    // VmName("vm-7")
//
// An id owns its text, compares by it, and may key ordered and hashed maps. Any
// text is allowed here; whoever reads an id from outside checks it.

#ifndef QUAYTRACK_BASE_IDS_H_
#define QUAYTRACK_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

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
// One start of a target: a target that ends may start again under its name.
using TargetStart = Id<struct TargetStartTag>;
// Of a target's software.
using VersionName = Id<struct VersionTag>;
using HallName = Id<struct HallTag>;
// Halls that are near each other; see base/residency.h.
using RegionName = Id<struct RegionTag>;
using VmName = Id<struct VmTag>;
using RequestId = Id<struct RequestTag>;
// By which a caller's request is known again (relay/fingerprint.h).
using Fingerprint = Id<struct FingerprintTag>;
// The caller's Idempotency-Key header.
using IdempotencyKey = Id<struct IdempotencyTag>;

// One run of a process on one VM: "<vm>@<suffix>". The suffix differs with each
// start, so that a restart is a new incarnation, even at the same address. The
// relay's is random ("vm-7@5e0c91d2"); the router's begins with the time of its
// start ("vm-7@<start>-<random>").
using Incarnation = Id<struct IncarnationTag>;

// Prepaid units, signed so that a difference can be negative. For the relay
// they are the tokens of prompts and answers; for the router, prices in the
// bundle turn model tokens and service calls into these.
using Tokens = std::int64_t;

// The VM part of an incarnation's name; all of it if it has no '@'.
inline VmName VmOf(const Incarnation& it) {
  return VmName(it.value.substr(0, it.value.rfind('@')));
}

}  // namespace quaytrack

template <class Tag>
struct std::hash<quaytrack::Id<Tag>> {
  std::size_t operator()(const quaytrack::Id<Tag>& it) const {
    return std::hash<std::string>()(it.value);
  }
};

#endif  // QUAYTRACK_BASE_IDS_H_
