// A client of the platform's key-value service, by the etcd v3 JSON gateway.
//
// Every call ends in one of three ways. Callers must handle kUnknown, as the
// call may take effect even after its end has been reported:
//
//   kOk       answered;
//   kRefused  answered with an error, or certainly not sent: had no effect;
//   kUnknown  sent without an answer: may have had an effect, or may still.
//
//   EtcdTxn txn;
//   txn.compares.push_back(EtcdCompare::Revision("k", 0));   // must not exist
//   txn.puts.push_back({"k", "v", 0});
//   kv.Txn(txn, [](const EtcdTxnReply& it) {...});
//
// EtcdClient uses one endpoint at a time, and moves to the next when a call
// gets no answer.

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

// Requires that a key was last modified at a revision; 0 requires that the key
// doesn't exist.
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

// Reads one key; with `prefix`, all keys that start with it; with `end`, all
// keys from `key` (inclusive) to `end` (exclusive).
struct EtcdGet {
  std::string key;
  bool prefix = false;
  std::string end;
};

struct EtcdTxn {
  std::vector<EtcdCompare> compares;
  // `puts`, `deletes` and `gets` are executed if all comparisons hold.
  std::vector<EtcdPut> puts;
  std::vector<std::string> deletes;
  std::vector<EtcdGet> gets;
  // `else_gets` are executed if a comparison doesn't hold.
  std::vector<EtcdGet> else_gets;
};

struct EtcdTxnReply {
  EtcdEnd end = EtcdEnd::kUnknown;
  bool succeeded = false;
  std::int64_t revision = 0;
  // The items found by each of `gets` (or `else_gets`).
  std::vector<std::vector<EtcdItem>> found;
};

struct EtcdLeaseReply {
  EtcdEnd end = EtcdEnd::kUnknown;
  std::int64_t lease = 0;
  // Remaining seconds; 0 if the lease has expired.
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

  // A running watch; it ends when destroyed.
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
    // Called when the watch broke. Its owner must read the keys again and start
    // a new watch.
    std::function<void()> broken;
  };

  EtcdClient(Loop& loop, HttpClient& http, Options options);

  void Txn(const EtcdTxn& txn, TxnHandler handler);
  void GrantLease(std::int64_t ttl_seconds, LeaseHandler handler);
  void KeepAlive(std::int64_t lease, LeaseHandler handler);
  void RevokeLease(std::int64_t lease, std::function<void(EtcdEnd)> handler);
  // Reports changes after `revision` of the keys that start with `prefix`.
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
  // The endpoint in use, modulo their number; increased when a call gets no
  // answer.
  std::size_t endpoint_index_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ETCD_ETCD_CLIENT_H_
