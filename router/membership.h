// This router's registration, the other routers, and the VM list.
//
// The registration is a key under a lease that is kept alive; if the
// lease lapses, the router registers again under a new one. The others are
// known from a watch on their keys, and a full read now and then that finds
// what a watch missed. The VM list is polled. It owns the registry and the VM
// tracker (member/registry.h, member/vm_tracker.h), which draw the conclusions;
// a call that fails leaves them as they are, and a VM list that is lost or back
// is logged.

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
    // Empty when there is no VM list.
    std::string vm_list_address;
    std::string vm_list_path = "/vms";
    Duration vm_poll = std::chrono::milliseconds(500);
    std::chrono::seconds lease_ttl{10};
    VmTrackerOptions tracker;
  };
  struct Handlers {
    // Registered at this revision.
    std::function<void(std::int64_t created)> registered;
    // The set of routers or of VMs changed.
    std::function<void()> changed;
  };

  Membership(Loop& loop, EtcdClient& kv, HttpClient& http, const Clock& clock,
             Options options, Handlers handlers);

  const RouterRegistry& registry() const { return registry_; }
  const VmTracker& vms() const { return vms_; }
  const RouterEntry& self() const { return options_.self; }

  // Shown to operators in the registration.
  void SetBundleVersion(std::uint64_t version);

  // Takes the registration back, for a planned stop.
  void Leave();

  bool ProvenDead(const Incarnation& incarnation, std::int64_t created) const;

 private:
  void KeepLease();
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
  std::int64_t created_ = 0;
  bool lease_call_open_ = false;
  bool vm_call_open_ = false;
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
