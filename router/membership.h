// This router's registration, the other routers, and the VM list.
//
// The registration is a key under a lease that is renewed periodically; if the
// lease expires, the router registers again under a new one. The other routers
// are known from a watch on their keys, and from an occasional full read that
// finds what the watch missed. The VM list is polled. Membership owns the
// registry and the VM tracker (member/registry.h, member/vm_tracker.h), which
// decide which routers are dead. A failed call leaves the registry and the
// tracker unchanged. Loss and recovery of the VM list are logged.

#ifndef QUAYTRACK_ROUTER_MEMBERSHIP_H_
#define QUAYTRACK_ROUTER_MEMBERSHIP_H_

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "etcd/etcd_client.h"
#include "evhttp/http_client.h"
#include "member/registry.h"
#include "member/vm_tracker.h"
#include "net/loop.h"

namespace quaytrack {

class Membership {
 public:
  struct Options {
    RouterEntry self;
    // Address of the VM list; empty if there is none.
    std::string vm_list_address;
    std::string vm_list_path = "/vms";
    Duration vm_poll = std::chrono::milliseconds(500);
    std::chrono::seconds lease_ttl{10};
    VmTrackerOptions tracker;
  };
  struct Handlers {
    // Called once, after the first registration, with its revision.
    std::function<void(std::int64_t created)> registered;
    // Called after each update of the routers or the VM list.
    std::function<void()> changed;
  };

  Membership(Loop& loop, EtcdClient& kv, HttpClient& http, const Clock& clock,
             Options options, Handlers handlers);

  const RouterRegistry& registry() const { return registry_; }
  const VmTracker& vms() const { return vms_; }
  const RouterEntry& self() const { return options_.self; }

  // Publishes the bundle version in the registration, for operators.
  void SetBundleVersion(std::uint64_t version);

  // Removes the registration, for a planned stop.
  void Leave();

  bool ProvenDead(const Incarnation& incarnation, std::int64_t created) const;

 private:
  void RenewLease();
  void Register();
  void ReadRegistry();
  void StartWatch(std::int64_t revision);
  void PollVmList();
  void OnVmList(const HttpResult& result);

  Loop& loop_;
  EtcdClient& kv_;
  HttpClient& http_;
  const Clock& clock_;
  Options options_;
  Handlers handlers_;
  RouterRegistry registry_;
  VmTracker vms_;
  std::int64_t lease_ = 0;
  std::int64_t created_revision_ = 0;
  bool lease_call_pending_ = false;
  bool vm_call_pending_ = false;
  bool vm_list_ok_ = true;
  bool leaving_ = false;
  Instant last_read_{};
  std::unique_ptr<EtcdClient::Watch> watch_;
  std::unique_ptr<Timer> lease_timer_;
  std::unique_ptr<Timer> read_timer_;
  std::unique_ptr<Timer> vm_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_MEMBERSHIP_H_
