// The key-value service for commands: each call waits for its answer.
//
//   KvSession kv(common.kv);
//   const EtcdTxnReply reply = kv.Get(keys::kBundleHead);
//   if (reply.end != EtcdEnd::kOk) return Unreachable();
//
// It owns a loop of its own and is for processes that do nothing else. A call
// that gets no answer ends after the client's timeout (etcd/etcd_client.h).

#ifndef QUAYTRACK_CLI_KV_SESSION_H_
#define QUAYTRACK_CLI_KV_SESSION_H_

#include <cstdio>
#include <string>
#include <vector>

#include "cli/exit_codes.h"
#include "etcd/etcd_client.h"
#include "evhttp/http_client.h"
#include "net/loop.h"

namespace quaytrack {

class KvSession {
 public:
  explicit KvSession(std::vector<std::string> endpoints)
      : http_(loop_), kv_(loop_, http_, {std::move(endpoints)}) {}

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
    return Txn(txn);
  }

 private:
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
