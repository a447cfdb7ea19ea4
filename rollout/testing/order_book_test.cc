// The orders that apply as the store is read, and after it was restored.

#include "rollout/order_book.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

const ServiceName kService("s");

RolloutOrder Order(const char* version, StoreRevision revision) {
  return {kService, VersionName(version), std::chrono::seconds(12), revision};
}

BOOST_AUTO_TEST_CASE(OrdersComeChangeAndGo) {
  RolloutOrders it;
  BOOST_TEST(it.Replace({}, 1).empty());
  BOOST_TEST(it.Put(Order("v2", 2)));
  BOOST_TEST((it.Find(kService)->version == VersionName("v2")));
  // The same change is read again.
  BOOST_TEST(!it.Put(Order("v2", 2)));
  BOOST_TEST(!it.Put(Order("v1", 1)));
  BOOST_TEST(it.Put(Order("v3", 3)));
  BOOST_TEST(it.Remove(kService));
  BOOST_TEST(!it.Remove(kService));
  BOOST_TEST(it.Find(kService) == nullptr);
}

BOOST_AUTO_TEST_CASE(AReadingTakesBackWhatItDoesntHave) {
  RolloutOrders it;
  it.Replace({Order("v2", 2)}, 2);
  BOOST_TEST(it.Replace({}, 5).size() == 1U);
  BOOST_TEST(it.Find(kService) == nullptr);
}

// The restored copy may be older than the order, and operators write it again.
BOOST_AUTO_TEST_CASE(AStoreThatCameBackOlderTakesNoOrderBackAtOnce) {
  RolloutOrders it;
  it.Replace({Order("v2", {1, 20})}, {1, 20});
  BOOST_TEST(it.Replace({}, {2, 5}).empty());
  BOOST_TEST(it.Find(kService) != nullptr);
  BOOST_TEST(it.HasCarried());
  BOOST_TEST(it.Put(Order("v2", {2, 7})));
  BOOST_TEST(!it.HasCarried());
  BOOST_TEST(it.DropCarried().empty());
  BOOST_TEST(it.Find(kService) != nullptr);
}

BOOST_AUTO_TEST_CASE(WhatIsntWrittenAgainIsGone) {
  RolloutOrders it;
  it.Replace({Order("v2", {1, 20})}, {1, 20});
  it.Replace({}, {2, 5});
  BOOST_TEST(it.DropCarried().size() == 1U);
  BOOST_TEST(it.Find(kService) == nullptr);
}

}  // namespace
}  // namespace quaytrack
