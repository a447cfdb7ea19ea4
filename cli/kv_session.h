// The key-value service for commands: each call waits for its answer.

#ifndef QUAYTRACK_CLI_KV_SESSION_H_
#define QUAYTRACK_CLI_KV_SESSION_H_

#include <string>
#include <vector>

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

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_KV_SESSION_H_
