#include "router/bundle_driver.h"

#include <utility>

#include "base/log.h"
#include "etcd/keys.h"

namespace quaytrack {
namespace {

constexpr Duration kReadInterval = std::chrono::seconds(3);

}  // namespace

BundleDriver::BundleDriver(Loop& loop, EtcdClient& kv, OperatorKeys keys,
                           std::function<void()> on_accepted)
    : loop_(loop),
      kv_(kv),
      keeper_(std::move(keys)),
      on_accepted_(std::move(on_accepted)),
      read_timer_(loop.Every(kReadInterval, [this] { ReadHead(); })) {
  loop_.Post([this] { ReadHead(); });
}

void BundleDriver::ReadHead() {
  EtcdTxn txn;
  txn.gets.push_back({keys::kBundleHead});
  kv_.Txn(txn, [this](const EtcdTxnReply& reply) {
    if (reply.end != EtcdEnd::kOk) return;
    if (!watch_) StartWatch(reply.revision);
    if (!reply.found[0].empty()) OnHead(reply.found[0][0].value);
  });
}

void BundleDriver::StartWatch(std::int64_t revision) {
  EtcdClient::WatchHandlers on;
  on.events = [this](std::int64_t, const std::vector<EtcdWatchEvent>& events) {
    for (const EtcdWatchEvent& it : events) {
      if (!it.deleted) OnHead(it.item.value);
    }
  };
  // If the watch breaks, the next read starts a new one.
  on.broken = [this] { loop_.Post([this] { watch_.reset(); }); };
  watch_ = kv_.StartWatch(keys::kBundleHead, revision, std::move(on));
}

void BundleDriver::OnHead(const std::string& text) {
  const auto head = DecodeHead(text);
  if (!head || !keeper_.IsNewer(*head)) return;
  if (head->version == fetching_version_) return;
  Fetch(*head);
}

void BundleDriver::Fetch(const BundleHead& head) {
  fetching_version_ = head.version;
  EtcdTxn txn;
  for (const std::string& it : head.chunks) {
    txn.gets.push_back({keys::BundleChunk(it)});
  }
  kv_.Txn(txn, [this, head](const EtcdTxnReply& reply) {
    fetching_version_ = 0;
    if (reply.end != EtcdEnd::kOk) return;
    std::string text;
    for (const auto& it : reply.found) {
      if (!it.empty()) text += it[0].value;
    }
    Offer(head, text);
  });
}

void BundleDriver::Offer(const BundleHead& head, const std::string& text) {
  const BundleVerdict verdict = keeper_.Offer(head, text);
  const std::string version = std::to_string(head.version);
  if (verdict == BundleVerdict::kAccepted) {
    LogEvent(Event::kBundleTaken,
             {{"version", version}, {"applied_by", head.applied_by}});
    on_accepted_();
    return;
  }
  if (verdict == BundleVerdict::kNotNewer || refused_ == head.version) return;
  refused_ = head.version;
  LogEvent(Event::kBundleRefused,
           {{"version", version}, {"why", std::string(NameOf(verdict))}});
}

}  // namespace quaytrack
