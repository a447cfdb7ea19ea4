#include "config/service_map.h"

#include <numeric>
#include <utility>

namespace quaytrack {

ServiceMap::ServiceMap(std::uint64_t version, std::vector<RouteRule> routes,
                       std::vector<ServiceRule> services,
                       std::optional<std::vector<CustomerRule>> customers,
                       RequestLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      needs_keys_(customers.has_value()),
      customers_(std::move(customers).value_or(std::vector<CustomerRule>())),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i) AddRoute(i);
  AddKeys();
}

void ServiceMap::AddRoute(std::size_t i) {
  RouteRule& it = routes_[i];
  const auto [at, is_new] = hosts_[it.host].emplace(it.path_prefix, i);
  if (is_new) return;
  it.open_to_all = it.open_to_all && routes_[at->second].open_to_all;
  at->second = i;
}

void ServiceMap::AddKeys() {
  std::map<CustomerName, int> entries;
  for (const CustomerRule& it : customers_) ++entries[it.name];
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    const CustomerRule& it = customers_[i];
    const bool is_sound = !it.is_unreadable && entries[it.name] == 1;
    for (const std::string& key : it.keys) {
      const auto [at, is_new] = keys_.emplace(key, i);
      if (!is_sound || (!is_new && at->second != i)) at->second.reset();
    }
    if (it.is_unreadable || it.has_unreadable_keys) has_unreadable_keys_ = true;
  }
  keys_.erase("");
}

// Prefixes end with a slash, so only leading parts of the path that end with a
// slash can match.
const RouteRule* ServiceMap::Match(std::string_view host,
                                   std::string_view path) const {
  const auto routes = hosts_.find(host);
  if (routes == hosts_.end()) return nullptr;
  for (std::size_t n = path.rfind('/'); n != std::string_view::npos;) {
    const auto it = routes->second.find(std::string(path.substr(0, n + 1)));
    if (it != routes->second.end()) return &routes_[it->second];
    if (n == 0) break;
    n = path.rfind('/', n - 1);
  }
  return nullptr;
}

const CustomerRule* ServiceMap::FindKey(const std::string& key) const {
  const auto it = keys_.find(key);
  const bool is_known = it != keys_.end() && it->second;
  return is_known ? &customers_[*it->second] : nullptr;
}

bool ServiceMap::IsInDoubt(const std::string& key) const {
  if (key.empty()) return false;
  const auto it = keys_.find(key);
  return it == keys_.end() ? has_unreadable_keys_ : !it->second;
}

std::shared_ptr<const ServiceMap> ServiceMap::WithoutAccess() const {
  CustomerRule unknown;
  unknown.is_unreadable = true;
  return std::make_shared<const ServiceMap>(version_, routes_, services_,
                                            std::vector<CustomerRule>{unknown},
                                            limits_);
}

const ServiceRule* ServiceMap::FindService(const ServiceName& name) const {
  for (const ServiceRule& it : services_) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

const ServiceName& PickService(const RouteRule& route, double draw) {
  const int total = std::accumulate(
      route.services.begin(), route.services.end(), 0,
      [](int sum, const ServiceShare& it) { return sum + it.weight; });
  double remaining = draw * total;
  for (const ServiceShare& it : route.services) {
    remaining -= it.weight;
    if (remaining < 0) return it.service;
  }
  return route.services.back().service;
}

}  // namespace quaytrack
