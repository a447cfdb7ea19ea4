// Tests the rules of routes, the shares of services, customers' keys, and the
// metrics' label values for kinds of routes.

#include "config/service_map.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

// Guards against changed label values, which dashboards and alerts use.
BOOST_AUTO_TEST_CASE(KindsOfRoutesKeepTheirWordsInTheMetrics) {
  BOOST_TEST(NameOf(RouteKind::kIdempotent) == "idempotent");
  BOOST_TEST(NameOf(RouteKind::kNonIdempotent) == "non_idempotent");
  BOOST_TEST(NameOf(RouteKind::kStreaming) == "streaming");
}

BOOST_AUTO_TEST_CASE(AStreamMayBeRepeatedOnlyIfItMayBeResumed) {
  RouteRule route;
  BOOST_TEST(!route.Repeatable());
  route.resumable = true;
  BOOST_TEST(!route.Repeatable());
  route.kind = RouteKind::kStreaming;
  BOOST_TEST(route.Repeatable());
  route.resumable = false;
  BOOST_TEST(!route.Repeatable());
  route.kind = RouteKind::kIdempotent;
  BOOST_TEST(route.Repeatable());
}

BOOST_AUTO_TEST_CASE(ServicesArePickedByTheirShares) {
  RouteRule route;
  route.services = {
      {ServiceName("a"), 1}, {ServiceName("none"), 0}, {ServiceName("b"), 3}};
  BOOST_TEST((PickService(route, 0.0) == ServiceName("a")));
  BOOST_TEST((PickService(route, 0.249) == ServiceName("a")));
  BOOST_TEST((PickService(route, 0.25) == ServiceName("b")));
  BOOST_TEST((PickService(route, 0.999) == ServiceName("b")));
  // If no weight is above 0, the last service is picked.
  route.services = {{ServiceName("a"), 0}, {ServiceName("b"), 0}};
  BOOST_TEST((PickService(route, 0.5) == ServiceName("b")));
}

BOOST_AUTO_TEST_CASE(WithoutAListOfCustomersNoKeyIsNeeded) {
  const ServiceMap open(1, {}, {}, std::nullopt, {});
  BOOST_TEST(!open.needs_keys());
  CustomerRule customer;
  customer.keys = {"k1", "k2"};
  const ServiceMap keyed(2, {}, {}, {{customer}}, {});
  BOOST_TEST(keyed.needs_keys());
  BOOST_TEST(keyed.FindKey("k2") == &keyed.customers()[0]);
  BOOST_TEST(keyed.FindKey("k3") == nullptr);
  const ServiceMap empty(3, {}, {}, std::vector<CustomerRule>(), {});
  BOOST_TEST(empty.needs_keys());
  BOOST_TEST(empty.FindKey("k1") == nullptr);
}

}  // namespace
}  // namespace quaytrack
