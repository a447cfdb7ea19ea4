// Fetches bundles from the key-value service for the BundleKeeper
// (bundle/keeper.h).
//
// A watch on the head reports a new version immediately; a read every few
// seconds finds what a broken watch missed. The chunks of the text are fetched
// by digest. BundleDriver owns the BundleKeeper and the watch.

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
  // `on_accepted` is called after each bundle that comes into force.
  BundleDriver(Loop& loop, EtcdClient& kv, OperatorKeys keys,
               std::function<void()> on_accepted);

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
  std::function<void()> on_accepted_;
  std::unique_ptr<EtcdClient::Watch> watch_;
  std::unique_ptr<Timer> read_timer_;
  // Version being fetched; prevents a second fetch of this version.
  std::uint64_t fetching_version_ = 0;
  // Last refused version; prevents a second log of its refusal.
  std::uint64_t refused_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_BUNDLE_DRIVER_H_
