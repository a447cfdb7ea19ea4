// The key-value service for commands: each call waits for its answer.
//
//   KvSession kv(common.kv);
//   const EtcdTxnReply reply = kv.Get(keys::kBundleHead);
//   if (reply.end != EtcdEnd::kOk) return Unreachable();
//
// It owns a loop of its own and is for processes that do nothing else. A read
// that isn't answered goes to the other endpoints as well; a transaction that
// writes is sent once, as it may have taken effect.

#ifndef QUAYTRACK_CLI_KV_SESSION_H_
#define QUAYTRACK_CLI_KV_SESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cli/exit_codes.h"
#include "etcd/etcd_client.h"
#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {

// How long a command waits for one answer. A router has callers that wait and
// gives up sooner; an operator would only ask again. Not measured.
inline constexpr Duration kCommandTimeout = std::chrono::seconds(5);

class KvSession {
 public:
  explicit KvSession(const std::vector<std::string>& endpoints)
      : endpoints_(endpoints.size()),
        http_(loop_),
        kv_(loop_, http_, {endpoints, kCommandTimeout}) {}

  EtcdTxnReply Txn(const EtcdTxn& txn) {
    EtcdTxnReply out;
    kv_.Txn(txn, [&](const EtcdTxnReply& it) {
      out = it;
      loop_.Stop();
    });
    loop_.Run();
    return out;
  }

  EtcdTxnReply Get(const std::string& key, bool prefix = false) {
    EtcdTxn txn;
    txn.gets.push_back({key, prefix});
    return Read(txn);
  }

  // A transaction of reads alone. The client goes to its next endpoint when one
  // doesn't answer, so each is asked once.
  EtcdTxnReply Read(const EtcdTxn& txn) {
    EtcdTxnReply out;
    for (std::size_t n = 0; n < endpoints_; ++n) {
      out = Txn(txn);
      if (out.end == EtcdEnd::kOk) break;
    }
    return out;
  }

 private:
  std::size_t endpoints_;
  Loop loop_;
  HttpClient http_;
  EtcdClient kv_;
};

// Says so, and returns the exit code for it.
inline int Unreachable() {
  std::fprintf(stderr, "the key-value service can't be reached\n");
  return kExitUnreachable;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_KV_SESSION_H_
