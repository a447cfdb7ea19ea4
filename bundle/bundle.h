// The bundle: everything that operators configure, in one versioned text.
//
// Each line is one item: a kind, a name, and fields as name=value. A '#' starts
// a comment. The first line gives the format and the version:
//
//   quaytrack-bundle format=1 version=7
//   budget clinics limit=2000000 cover=600s standing=32
//   customer clinic-a budget=clinics key=sha256:9f86d0... weight=2
//   model thai-8b price-prompt=1 price-output=3 default-max-tokens=256
//   service consent price=5
//   call consent method=POST path=/sign repeat=never
//   target engine-1 kind=engine models=thai-8b address=10.1.0.7:8000
//          hall=bkk-1 slots=16 vm=vm-e1            (on one line)
//   target forms-1 kind=service service=consent address=10.1.0.9:80 hall=bkk-1
//
// Every problem in a text is reported with its line and field, and a text with
// any problem is rejected.
//
//   auto bundle = ReadBundle(text);   // error: BundleProblems

#ifndef QUAYTRACK_BUNDLE_BUNDLE_H_
#define QUAYTRACK_BUNDLE_BUNDLE_H_

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"
#include "base/ids.h"
#include "ledger/sync.h"

namespace quaytrack {

enum class TargetKind { kEngine, kService };

template <>
struct EnumTable<TargetKind> {
  static constexpr auto kEntries = std::to_array<EnumEntry<TargetKind>>(
      {{TargetKind::kEngine, "engine"}, {TargetKind::kService, "service"}});
};

enum class YesNo { kYes, kNo };

template <>
struct EnumTable<YesNo> {
  static constexpr auto kEntries = std::to_array<EnumEntry<YesNo>>(
      {{YesNo::kYes, "yes"}, {YesNo::kNo, "no"}});
};

// Whether a call may be sent again after a failure that leaves unknown whether
// the call ran.
enum class Repeat { kAllowed, kNever };

template <>
struct EnumTable<Repeat> {
  static constexpr auto kEntries = std::to_array<EnumEntry<Repeat>>(
      {{Repeat::kAllowed, "allowed"}, {Repeat::kNever, "never"}});
};

struct CustomerSetting {
  CustomerName name;
  BudgetName budget;
  // SHA-256 of the bearer key in lower-case hex; the key itself isn't stored.
  std::string key_sha256;
  int weight = 1;
};

struct ModelSetting {
  ModelName name;
  Tokens price_prompt = 1;
  Tokens price_output = 1;
  std::int64_t default_max_tokens = 256;
  std::int64_t max_tokens = 8192;
};

// Whether the calls of a service with this method and path may be repeated. A
// `path` that ends in '*' matches every path that starts with the text before
// it.
struct CallSetting {
  std::string method;
  std::string path;
  Repeat repeat = Repeat::kAllowed;
};

struct ServiceSetting {
  ServiceName name;
  Tokens price = 1;
  std::chrono::milliseconds timeout{30000};
  std::vector<CallSetting> calls;
};

struct TargetSetting {
  TargetName name;
  TargetKind kind = TargetKind::kEngine;
  std::vector<ModelName> models;
  ServiceName service;
  std::string address;
  HallName hall;
  VmName vm;
  int slots = 8;
  bool leaving = false;
};

struct Bundle {
  std::uint64_t version = 0;
  std::vector<BudgetSetting> budgets;
  std::map<CustomerName, CustomerSetting> customers;
  // Customers by the SHA-256 of their bearer keys.
  std::map<std::string, CustomerName> customer_by_key;
  std::map<ModelName, ModelSetting> models;
  std::map<ServiceName, ServiceSetting> services;
  std::vector<TargetSetting> targets;

  // Whether this call may be repeated. The service's first matching call line
  // decides. A call without a matching line may be repeated; a call of an
  // unknown service may not.
  Repeat RepeatOf(const ServiceName& service, std::string_view method,
                  std::string_view path) const;
};

// One problem in a text. `line` counts from 1; `field` is empty if the problem
// isn't in one field.
struct BundleProblem {
  int line = 0;
  std::string field;
  std::string message;

  std::string ToString() const;
};

struct BundleProblems {
  std::vector<BundleProblem> list;
};

// Parses a bundle text; the error is a BundleProblems.
boost::leaf::result<Bundle> ReadBundle(std::string_view text);

// Returns the lines that differ: lines only in `before` with "- " in front,
// lines only in `after` with "+ " in front.
std::vector<std::string> DiffBundles(std::string_view before,
                                     std::string_view after);

}  // namespace quaytrack

#endif  // QUAYTRACK_BUNDLE_BUNDLE_H_
