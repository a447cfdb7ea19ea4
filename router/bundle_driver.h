// Brings bundles from the key-value service to the BundleKeeper.
//
// A watch on the head reports a new version at once; a read every few seconds
// finds what a broken watch missed. The text's chunks are fetched by digest.

#ifndef QUAYTRACK_ROUTER_BUNDLE_DRIVER_H_
#define QUAYTRACK_ROUTER_BUNDLE_DRIVER_H_

#include <functional>
#include <memory>

#include "bundle/keeper.h"
#include "etcd/etcd_client.h"
#include "net/loop.h"

namespace quaytrack {

class BundleDriver {
 public:
  // `taken` is called after each bundle that comes into force.
  BundleDriver(Loop& loop, EtcdClient& kv, OperatorKeys keys,
               std::function<void()> taken);

  const BundleKeeper& keeper() const { return keeper_; }

 private:
  void ReadHead();
  void StartWatch(std::int64_t revision);
  void OnHead(const std::string& text);
  void Fetch(const BundleHead& head);
  void Offer(const BundleHead& head, const std::string& text);

  Loop& loop_;
  EtcdClient& kv_;
  BundleKeeper keeper_;
  std::function<void()> taken_;
  std::unique_ptr<EtcdClient::Watch> watch_;
  std::unique_ptr<Timer> read_timer_;
  // Version being fetched, so that one is fetched once.
  std::uint64_t fetching_ = 0;
  // Version refused last, so that it is logged once.
  std::uint64_t refused_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_BUNDLE_DRIVER_H_
