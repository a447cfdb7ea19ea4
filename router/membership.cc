#include "router/membership.h"

#include <utility>

#include "base/log.h"
#include "etcd/keys.h"

namespace quaytrack {
namespace {

constexpr Duration kLeaseRenewInterval = std::chrono::seconds(3);
// A full read finds what a watch missed. Its size grows with the fleet, so it
// is rare while there is a watch.
constexpr Duration kRegistryReadInterval = std::chrono::seconds(5);
constexpr Duration kWatchedRegistryReadInterval = std::chrono::seconds(30);
constexpr Duration kVmListTimeout = std::chrono::seconds(2);

}  // namespace

Membership::Membership(Loop& loop, EtcdClient& kv, HttpClient& http,
                       const Clock& clock, Options options, Handlers handlers)
    : loop_(loop),
      kv_(kv),
      http_(http),
      clock_(clock),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      vms_(options_.tracker),
      lease_timer_(loop.Every(kLeaseRenewInterval, [this] { RenewLease(); })),
      read_timer_(
          loop.Every(kRegistryReadInterval, [this] { ReadRegistry(); })),
      vm_timer_(loop.Every(options_.vm_poll, [this] { PollVmList(); })) {
  loop_.Post([this] {
    RenewLease();
    ReadRegistry();
    PollVmList();
  });
}

void Membership::RenewLease() {
  if (lease_call_pending_ || leaving_) return;
  lease_call_pending_ = true;
  if (lease_ == 0) {
    kv_.GrantLease(options_.lease_ttl.count(),
                   [this](const EtcdLeaseReply& it) {
                     lease_call_pending_ = false;
                     if (it.end != EtcdEnd::kOk) return;
                     lease_ = it.lease;
                     Register();
                   });
    return;
  }
  kv_.KeepAlive(lease_, [this](const EtcdLeaseReply& it) {
    lease_call_pending_ = false;
    // If the lease has expired, the registration was deleted with it.
    const bool expired = it.end == EtcdEnd::kOk && it.ttl == 0;
    if (!expired) return;
    lease_ = 0;
    RenewLease();
  });
}

void Membership::Register() {
  EtcdTxn txn;
  txn.puts.push_back({keys::Router(options_.self.incarnation),
                      EncodeRouter(options_.self), lease_});
  kv_.Txn(txn, [this](const EtcdTxnReply& it) {
    if (it.end != EtcdEnd::kOk || created_revision_ != 0) return;
    created_revision_ = it.revision;
    LogEvent(Event::kRegistered,
             {{"incarnation", options_.self.incarnation.value}});
    handlers_.registered(created_revision_);
  });
}

void Membership::SetBundleVersion(std::uint64_t version) {
  options_.self.bundle_version = version;
  if (lease_ != 0 && !leaving_) Register();
}

void Membership::Leave() {
  leaving_ = true;
  if (lease_ != 0) kv_.RevokeLease(lease_, [](EtcdEnd) {});
}

void Membership::ReadRegistry() {
  const Instant now = clock_.Now();
  if (watch_ && now - last_read_ < kWatchedRegistryReadInterval) return;
  EtcdTxn txn;
  txn.gets.push_back({keys::kRouterPrefix, true});
  kv_.Txn(txn, [this](const EtcdTxnReply& reply) {
    if (reply.end != EtcdEnd::kOk) return;
    std::vector<RouterEntry> entries;
    for (const EtcdItem& it : reply.found[0]) {
      auto entry = DecodeRouter(it.value);
      if (!entry) continue;
      entry->created = it.create_revision;
      entries.push_back(*entry);
    }
    registry_.Reset(entries);
    last_read_ = clock_.Now();
    if (!watch_) StartWatch(reply.revision);
    handlers_.changed();
  });
}

void Membership::StartWatch(std::int64_t revision) {
  EtcdClient::WatchHandlers on;
  on.events = [this](std::int64_t, const std::vector<EtcdWatchEvent>& events) {
    for (const EtcdWatchEvent& it : events) {
      if (it.deleted) {
        registry_.Remove(
            Incarnation(it.item.key.substr(keys::kRouterPrefix.size())));
        continue;
      }
      auto entry = DecodeRouter(it.item.value);
      if (!entry) continue;
      entry->created = it.item.create_revision;
      registry_.Put(*entry);
    }
    handlers_.changed();
  };
  // If the watch breaks, the next read starts a new one.
  on.broken = [this] { loop_.Post([this] { watch_.reset(); }); };
  watch_ = kv_.StartWatch(keys::kRouterPrefix, revision, std::move(on));
}

void Membership::PollVmList() {
  if (options_.vm_list_address.empty() || vm_call_pending_) return;
  vm_call_pending_ = true;
  HttpRequest request;
  request.address = options_.vm_list_address;
  request.path = options_.vm_list_path;
  request.idle_timeout = kVmListTimeout;
  HttpCall::Handlers on;
  on.end = [this](const HttpResult& result) { OnVmList(result); };
  http_.Start(std::move(request), std::move(on));
}

void Membership::OnVmList(const HttpResult& result) {
  vm_call_pending_ = false;
  const auto list = result.ok() ? DecodeVmList(result.body) : std::nullopt;
  if (list.has_value() != vm_list_ok_) {
    vm_list_ok_ = list.has_value();
    LogEvent(vm_list_ok_ ? Event::kVmListBack : Event::kVmListLost,
             {{"address", options_.vm_list_address}});
  }
  if (!list) return;
  vms_.OnList(clock_.Now(), *list);
  handlers_.changed();
}

bool Membership::ProvenDead(const Incarnation& incarnation,
                            std::int64_t created) const {
  return registry_.ProvenDead(clock_.Now(), incarnation, created, vms_);
}

}  // namespace quaytrack
