// Reads shared state from short items that are convenient in tests.
//
// "c/config" = "7" is a configuration of version 7. A target "t/a" is "ready"
// or "leaving". "c/closed/a" closes hall "a". "c/rollout/s" = "v2" orders that
// service s moves to v2 within 12 s, and "s/rollout/s" holds the status of that
// order. Any other item can't be read; the value "unexplained" fails without a
// reason.

#ifndef QUAYTRACK_RELAY_TESTING_PLAIN_STATE_READER_H_
#define QUAYTRACK_RELAY_TESTING_PLAIN_STATE_READER_H_

#include <boost/leaf/error.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/dialect.h"

namespace quaytrack {

class PlainStateReader final : public SharedStateReader {
 public:
  std::string ConfigPrefix() const override { return "c/"; }
  std::string TargetsPrefix() const override { return "t/"; }

  boost::leaf::result<ServiceMapPtr> Config(
      const StoreItem& item) const override {
    if (item.key != "c/config") return ServiceMapPtr();
    // A version with this behind it mentions no customers.
    constexpr std::string_view kOpen = "-open";
    const bool is_open = item.value.ends_with(kOpen);
    const std::string number =
        item.value.substr(0, item.value.size() - (is_open ? kOpen.size() : 0));
    if (number.find_first_not_of("0123456789") != std::string::npos) {
      return boost::leaf::new_error(ItemError{"version", "is not a number"});
    }
    std::optional<std::vector<CustomerRule>> customers;
    if (!is_open) customers.emplace();
    return std::make_shared<const ServiceMap>(
        std::stoull(number), std::vector<RouteRule>(),
        std::vector<ServiceRule>(), std::move(customers), RequestLimits());
  }

  boost::leaf::result<TargetEntry> Target(
      const StoreItem& item) const override {
    if (item.value == "unexplained") return boost::leaf::new_error();
    if (item.value != "ready" && item.value != "leaving") {
      return boost::leaf::new_error(ItemError{"state", "is unknown"});
    }
    TargetEntry out;
    out.name = TargetOf(item.key);
    out.leaving = item.value == "leaving";
    return out;
  }

  TargetName TargetOf(const std::string& key) const override {
    return TargetName(key.substr(key.rfind('/') + 1));
  }

  std::optional<HallName> ClosedHall(const std::string& key) const override {
    constexpr std::string_view kPrefix = "c/closed/";
    if (!key.starts_with(kPrefix)) return std::nullopt;
    return HallName(key.substr(kPrefix.size()));
  }

  std::optional<ServiceName> RolledOutService(
      const std::string& key) const override {
    constexpr std::string_view kPrefix = "c/rollout/";
    if (!key.starts_with(kPrefix)) return std::nullopt;
    return ServiceName(key.substr(kPrefix.size()));
  }
  boost::leaf::result<RolloutOrder> Rollout(
      const StoreItem& item) const override {
    if (item.value.empty()) {
      return boost::leaf::new_error(ItemError{"version", "is empty"});
    }
    RolloutOrder out;
    out.service = *RolledOutService(item.key);
    out.version = VersionName(item.value);
    out.duration = std::chrono::seconds(12);
    out.revision = item.revision;
    return out;
  }
  std::string RolloutStatusKey(const ServiceName& service) const override {
    return "s/rollout/" + service.value;
  }
  std::string EncodeRolloutStatus(const RolloutStatus& status) const override {
    return status.version.value + " " + std::string(NameOf(status.event));
  }
  boost::leaf::result<RolloutStatus> ReadRolloutStatus(
      const StoreItem& item) const override {
    const std::size_t space = item.value.find(' ');
    if (space == std::string::npos) {
      return boost::leaf::new_error(ItemError{"state", "is missing"});
    }
    const auto said = FromName<RolloutEvent>(item.value.substr(space + 1));
    if (!said) return boost::leaf::new_error(ItemError{"state", "is unknown"});
    return RolloutStatus{{}, VersionName(item.value.substr(0, space)), *said};
  }
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_TESTING_PLAIN_STATE_READER_H_
