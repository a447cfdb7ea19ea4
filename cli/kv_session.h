// KvSession gives commands blocking calls to the key-value service.
//
//   KvSession kv(common.kv);
//   const EtcdTxnReply reply = kv.Get(keys::kBundleHead);
//   if (reply.end != EtcdEnd::kOk) return Unreachable();
//
// A session runs its own loop, and is for processes that do nothing else
// meanwhile. A read that fails is repeated at the other endpoints; a
// transaction that writes is sent only once, as it may have taken effect
// without an answer.

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

// Timeout of one call. A router's timeout is shorter, because its callers wait;
// an operator would only repeat the command.
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

  // Runs a transaction that only reads. The client switches to its next
  // endpoint when one doesn't answer, so each endpoint is tried once.
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

// Prints that the service can't be reached, and returns the exit code.
inline int Unreachable() {
  std::fprintf(stderr, "the key-value service can't be reached\n");
  return kExitUnreachable;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_KV_SESSION_H_
