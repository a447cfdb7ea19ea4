// Identifiers as distinct types, so that a customer's name can never be passed
// where a budget's name is expected.
//
//   CustomerName c{"clinic-a"};
//   std::map<BudgetName, Tokens> by_budget;

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
using HallName = Id<struct HallTag>;
using VmName = Id<struct VmTag>;
using RequestId = Id<struct RequestTag>;
// The caller's Idempotency-Key header.
using IdempotencyKey = Id<struct IdempotencyTag>;

// One run of the router process on one VM: "<vm>@<start>-<random>". A restart
// is a new incarnation, even at the same address.
using Incarnation = Id<struct IncarnationTag>;

// Prepaid units. Prices in the bundle turn model tokens and service calls into
// these. Signed, so that a difference can be negative.
using Tokens = std::int64_t;

// Returns the VM part of an incarnation's name.
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
