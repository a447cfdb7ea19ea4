// A client of the platform's key-value service, by the etcd v3 JSON gateway.
//
// Every call ends in one of three ways, and the third is why callers of this
// client are written the way they are:
//
//   kOk       answered;
//   kRefused  answered with an error, or certainly not sent: nothing happened;
//   kUnknown  sent, and no answer came: it may have happened, or may still.
//
//   EtcdTxn txn;
//   txn.compares.push_back(EtcdCompare::Revision("k", 0));   // must not exist
//   txn.puts.push_back({"k", "v", 0});
//   kv.Txn(txn, [](const EtcdTxnReply& it) {...});

#ifndef QUAYTRACK_ETCD_ETCD_CLIENT_H_
#define QUAYTRACK_ETCD_ETCD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {

enum class EtcdEnd { kOk, kRefused, kUnknown };

struct EtcdItem {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
};

// Comparison of a key's last-change revision; 0 means that it doesn't exist.
struct EtcdCompare {
  std::string key;
  std::int64_t mod_revision = 0;

  static EtcdCompare Revision(std::string key, std::int64_t revision) {
    return {std::move(key), revision};
  }
};

struct EtcdPut {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

// A key; all keys that start with it; or, with `end`, all keys from it up to
// but without `end`.
struct EtcdGet {
  std::string key;
  bool prefix = false;
  std::string end;
};

struct EtcdTxn {
  std::vector<EtcdCompare> compares;
  // Done if all comparisons hold.
  std::vector<EtcdPut> puts;
  std::vector<std::string> deletes;
  std::vector<EtcdGet> gets;
  // Done if one doesn't.
  std::vector<EtcdGet> else_gets;
};

struct EtcdTxnReply {
  EtcdEnd end = EtcdEnd::kUnknown;
  bool succeeded = false;
  std::int64_t revision = 0;
  // What each of `gets` (or `else_gets`) found.
  std::vector<std::vector<EtcdItem>> found;
};

struct EtcdLeaseReply {
  EtcdEnd end = EtcdEnd::kUnknown;
  std::int64_t lease = 0;
  // Seconds left; 0 when the lease has lapsed.
  std::int64_t ttl = 0;
};

struct EtcdWatchEvent {
  EtcdItem item;
  bool deleted = false;
};

class EtcdClient {
 public:
  struct Options {
    std::vector<std::string> endpoints;
    Duration timeout = std::chrono::milliseconds(1000);
  };
  using TxnHandler = std::function<void(const EtcdTxnReply&)>;
  using LeaseHandler = std::function<void(const EtcdLeaseReply&)>;

  // A running watch; ends when destroyed.
  class Watch {
   public:
    ~Watch();

   private:
    friend class EtcdClient;
    struct State;
    std::shared_ptr<State> state_;
  };
  struct WatchHandlers {
    std::function<void(std::int64_t revision,
                       const std::vector<EtcdWatchEvent>& events)>
        events;
    // The watch broke; whoever holds it reads again and starts a new one.
    std::function<void()> broken;
  };

  EtcdClient(Loop& loop, HttpClient& http, Options options);

  void Txn(const EtcdTxn& txn, TxnHandler handler);
  void GrantLease(std::int64_t ttl_seconds, LeaseHandler handler);
  void KeepAlive(std::int64_t lease, LeaseHandler handler);
  void RevokeLease(std::int64_t lease, std::function<void(EtcdEnd)> handler);
  // Reports changes of keys that start with `prefix` after `revision`.
  std::unique_ptr<Watch> StartWatch(const std::string& prefix,
                                    std::int64_t revision,
                                    WatchHandlers handlers);

  // Calls made so far, of all kinds.
  std::uint64_t calls() const { return calls_; }

 private:
  using ReplyHandler = std::function<void(EtcdEnd, const std::string& body)>;
  void Post(const std::string& path, std::string body, ReplyHandler handler);
  void LeaseCall(const std::string& path, std::string body,
                 LeaseHandler handler);
  const std::string& Endpoint() const;

  Loop& loop_;
  HttpClient& http_;
  Options options_;
  // Endpoint in use; moves on when one doesn't answer.
  std::size_t endpoint_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_ETCD_CLIENT_H_
