// Recovers the accounts of dead routers, as their witness.
//
// Every second it checks all writers in the ledger records. For a writer that
// is proven dead and has this router as its witness, it queries the targets for
// the cost of the open requests and writes the recovery (ledger/recovery.h). A
// writer without grants in any record needs no witness; any router may remove
// such a writer.

#ifndef QUAYTRACK_ROUTER_RECOVERY_DRIVER_H_
#define QUAYTRACK_ROUTER_RECOVERY_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "etcd/etcd_client.h"
#include "evhttp/http_client.h"
#include "ledger/recovery.h"
#include "net/loop.h"
#include "router/ledger_driver.h"
#include "router/membership.h"
#include "router/peer_driver.h"

namespace quaytrack {

class RecoveryDriver {
 public:
  RecoveryDriver(Loop& loop, EtcdClient& kv, HttpClient& http,
                 const RetentionLease& retention, LedgerDriver& ledger,
                 Membership& members, PeerDriver& peers, Incarnation self);

  // Prepaid tokens in grants of dead routers whose witness is no longer
  // registered.
  Tokens Stranded() const { return stranded_; }

 private:
  // A recovery in progress.
  struct Job {
    RecoveryInput input;
    std::size_t pending_queries = 0;
    // Whether this router has the copies of the dead router's bills.
    bool as_witness = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void CheckWriters();
  void Consider(const Incarnation& writer, const WriterEntry& entry,
                const LedgerRecord& record);
  bool HoldsGrantsAnywhere(const Incarnation& writer) const;
  void Recover(const Incarnation& dead, const WitnessCopy& copy,
               bool as_witness);
  void QueryTarget(const JobPtr& job, const Intent& intent);
  void OnTargetReply(const JobPtr& job, const Intent& intent,
                     const HttpResult& result);
  void ReadSnapshot(const JobPtr& job);
  void OnSnapshot(const JobPtr& job, const EtcdTxnReply& reply);
  void Write(const JobPtr& job, const LedgerCommit& commit);
  void Finish(const JobPtr& job, bool done);

  Loop& loop_;
  EtcdClient& kv_;
  HttpClient& http_;
  const RetentionLease& retention_;
  LedgerDriver& ledger_;
  Membership& members_;
  PeerDriver& peers_;
  Incarnation self_;
  std::map<Incarnation, JobPtr> jobs_;
  Tokens stranded_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_RECOVERY_DRIVER_H_
