// ServiceMap: the configuration in force for requests: which service serves
// them, which customers may send them, and within which limits.
//
//   const RouteRule* route = map->Match("api.example", "/books/7/");
//   const CustomerRule* customer = map->FindKey("secret");
//   const ServiceName& service = PickService(*route, draw);
//
// Immutable. A request keeps the map that it was admitted under
// (`ServiceMapPtr`), so that a change of the configuration doesn't affect
// running requests. The pointers that a map returns live as long as the map.
//
// The map owns the rules, relies on nothing and validates nothing;
// platform/config_reader.h checks the rules before a map is made. Of two routes
// with the same host and prefix the later one counts, which is open to all only
// if both are. A lookup that finds nothing returns null.
//
// What is in doubt lets nobody in. A key that more than one customer has finds
// none of them, and so does each key of customers that share a name. A route or
// customer that could be read only in part stays in the map and serves nobody
// (`is_unreadable`), so that a shorter prefix doesn't take the route's
// requests. `IsInDoubt` tells a key that may be somebody's from one that is
// nobody's.
//
// The defaults below apply to fields that the configuration leaves out.

#ifndef QUAYTRACK_CONFIG_SERVICE_MAP_H_
#define QUAYTRACK_CONFIG_SERVICE_MAP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/residency.h"

namespace quaytrack {

// Whether a request may run more than once, and whether its answer is a stream.
enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming };

// Values of the metrics' label `kind`; dashboards and alerts use them.
template <>
struct EnumTable<RouteKind> {
  static constexpr auto kEntries = std::to_array<EnumEntry<RouteKind>>(
      {{RouteKind::kIdempotent, "idempotent"},
       {RouteKind::kNonIdempotent, "non_idempotent"},
       {RouteKind::kStreaming, "streaming"}});
};

// A service's share of a route's requests.
struct ServiceShare {
  ServiceName service;
  // Relative to the sum of the route's weights.
  int weight = 1;
};

struct RouteRule {
  // The route's name in the log; may be empty.
  std::string name;
  // The host that requests name, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // The longest time that a request may take, even if its caller allows more.
  std::chrono::milliseconds timeout{30000};
  // The time within which a complete answer, or the first event of a stream,
  // counts as in time.
  std::chrono::milliseconds target_latency{1000};
  // Urgency of the requests; 0 is the most urgent.
  int priority = 0;
  // The services of the route, at least one. Each request goes to one of them,
  // drawn by weight.
  std::vector<ServiceShare> services;
  // Number of targets that one request may be sent to, including the first.
  int max_attempts = 1;
  // Whether requests need no key.
  bool open_to_all = false;
  // Whether another target may continue a broken stream.
  bool resumable = false;
  // The longest pause between events of a stream that is in time.
  std::chrono::milliseconds target_gap{0};
  // Where the route's requests may be processed.
  Residency residency;
  // Only the host, the prefix and maybe the name are known.
  bool is_unreadable = false;

  // Whether a request may be run again although an earlier attempt may have
  // run.
  bool Repeatable() const {
    if (kind == RouteKind::kStreaming) return resumable;
    return kind == RouteKind::kIdempotent;
  }
};

struct ServiceRule {
  ServiceName name;
  // Requests that one engine runs at the same time; 0 if the service's targets
  // aren't engines.
  int engine_slots = 0;
  // Tokens in one event of a stream.
  int event_tokens = 1;
  // How long a target is slow after a start, and the requests per second that
  // it can serve meanwhile; `cold_per_s` is 0 if no bound is known.
  std::chrono::milliseconds cold_start{0};
  double cold_per_s = 0;

  bool IsEngine() const { return engine_slots > 0; }
};

struct CustomerRule {
  CustomerName name;
  std::vector<std::string> keys;
  // Urgency of the requests; 0 is the most urgent. This priority takes
  // precedence over the route's.
  int priority = 0;
  // Total tokens that the customer may use, prompts and answers together;
  // negative if it has no budget.
  Tokens prepaid = -1;
  // Where the customer's requests may be processed; the route's residency
  // applies as well.
  Residency residency;
  // The entry has faults for which nobody may use its keys.
  bool is_unreadable = false;
  // The customer may have more keys than `keys`.
  bool has_unreadable_keys = false;
};

// Limits on what a caller may send, and on how long sending may take.
struct RequestLimits {
  // Bytes of the request line and the headers together.
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  // The longest time from a request's first byte to the end of its head.
  std::chrono::milliseconds head_timeout{3000};
  // The longest time between two requests, and without progress inside a body.
  std::chrono::milliseconds idle_timeout{15000};
};

class ServiceMap {
 public:
  // Without a list of customers, callers need no keys; with an empty one, no
  // key is known.
  ServiceMap(std::uint64_t version, std::vector<RouteRule> routes,
             std::vector<ServiceRule> services,
             std::optional<std::vector<CustomerRule>> customers,
             RequestLimits limits);

  std::uint64_t version() const { return version_; }
  const RequestLimits& limits() const { return limits_; }
  const std::vector<CustomerRule>& customers() const { return customers_; }
  const std::vector<ServiceRule>& services() const { return services_; }
  // Whether callers need keys for routes that aren't open to all.
  bool needs_keys() const { return needs_keys_; }

  // Returns, among the routes of `host`, the one with the longest prefix of
  // `path`; null if there is none.
  const RouteRule* Match(std::string_view host, std::string_view path) const;
  // The only customer that has this key; null if there is none. An empty key is
  // nobody's.
  const CustomerRule* FindKey(const std::string& key) const;
  // Whether a key that `FindKey` doesn't find may be some customer's.
  bool IsInDoubt(const std::string& key) const;
  // The same configuration, in which callers need keys and no key is known.
  std::shared_ptr<const ServiceMap> WithoutAccess() const;
  // The service of this name; null if there is none.
  const ServiceRule* FindService(const ServiceName& name) const;

 private:
  using PrefixMap = std::unordered_map<std::string, std::size_t>;

  void AddRoute(std::size_t i);
  void AddKeys();

  std::uint64_t version_;
  std::vector<RouteRule> routes_;
  std::vector<ServiceRule> services_;
  bool needs_keys_;
  std::vector<CustomerRule> customers_;
  RequestLimits limits_;
  // For each host, positions in `routes_` by prefix.
  std::map<std::string, PrefixMap, std::less<>> hosts_;
  // Positions in `customers_` by key; unset for a key in doubt.
  std::unordered_map<std::string, std::optional<std::size_t>> keys_;
  // There may be keys that aren't in `keys_`.
  bool has_unreadable_keys_ = false;
};

using ServiceMapPtr = std::shared_ptr<const ServiceMap>;

// The service that a request goes to, drawn by weight; the last service if no
// weight is above 0. `draw` is uniform in [0, 1).
const ServiceName& PickService(const RouteRule& route, double draw);

}  // namespace quaytrack

#endif  // QUAYTRACK_CONFIG_SERVICE_MAP_H_
