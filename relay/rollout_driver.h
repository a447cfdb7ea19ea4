// RolloutDriver carries out operators' orders to move services to other
// versions. It sends the rules to the placement, the evidence of the answers to
// the peers, and the outcome to the store.
//
//   RolloutDriver rollouts({clock, store, chart}, reader, options, handlers);
//   rollouts.OnOrder(service, order);       // null: the order was withdrawn
//   rollouts.OnAnswer(service, version, "review", seen);
//   rollouts.Check();                       // several times a second
//   rollouts.Fill(heartbeat);               // each heartbeat
//   rollouts.OnPeer(message);
//
// rollout/rollout.h makes the decisions. The deciders are the readers of a
// large fleet (relay/state_feed.h) and all routers of a small one.
//
// The status in the store. A decider writes that a roll-out is running once it
// has seen the order, and later how it ended, each on the condition that the
// status was not written meanwhile. So the first writer wins, and a later one
// learns from its rejection what the status is. A status of an earlier order or
// of another version doesn't count for the present order. A write without an
// answer is repeated, and the answer shows what became of the first write.
// Deciders wait a random time before they write; by then most know that another
// one has written.
//
// Versions that were ordered before and not completed get no requests as long
// as another version has a target, until they are ordered again: their targets
// may still be there for some seconds.
//
// A store that is back from an older copy of itself, in a later era
// (kv/store.h), may lack the status; deciders write it again.
//
// RolloutDriver owns the roll-outs and its calls to the store. Clock, store,
// reader and chart must outlive it. An order of a version that no target runs
// is withdrawn when its time is over. A peer's report on another order changes
// nothing.

#ifndef QUAYTRACK_RELAY_ROLLOUT_DRIVER_H_
#define QUAYTRACK_RELAY_ROLLOUT_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/clock.h"
#include "dispatch/version_gate.h"
#include "kv/store.h"
#include "relay/dialect.h"
#include "relay/peer_messages.h"
#include "rollout/rollout.h"

namespace quaytrack {

class RolloutDriver {
 public:
  struct Context {
    const Clock& clock;
    KvStore& store;
    const RolloutChart& chart;
  };
  struct Handlers {
    // `begin` is where this router starts to count (dispatch/version_gate.h).
    std::function<void(const ServiceName&, const VersionRule&, double begin)>
        rule;
    // Returns a context with the values that follow from this router's list of
    // routers; the two handlers below give `has_next` and
    // `running_at_other_versions`.
    std::function<RolloutContext()> scene;
    std::function<bool(const ServiceName&, const VersionName&)> has_version;
    std::function<std::size_t(const ServiceName&, const VersionName&)>
        running_elsewhere;
    std::function<bool(const Incarnation&)> is_decider;
    // Sends a heartbeat to the peers at once.
    std::function<void()> broadcast_heartbeat;
  };

  RolloutDriver(const Context& context, const SharedStateReader& reader,
                Rollout::Options options, Handlers handlers);

  // `order` is null if the order was withdrawn.
  void OnOrder(const ServiceName& service, const RolloutOrder* order);
  // Whether answers of the service are to be passed to `OnAnswer`.
  bool IsEvaluating(const ServiceName& service) const;
  void OnAnswer(const ServiceName& service, const VersionName& version,
                const std::string& route, const AttemptOutcome& seen);
  void OnPeer(const PeerMessage& message);
  void OnStoreEra();
  void Check();
  void Fill(PeerMessage& message) const;

  // Null if the service has no order.
  const Rollout* Find(const ServiceName& service) const;
  // Number of roll-outs that aren't over.
  std::size_t running() const;

 private:
  struct Entry {
    std::optional<Rollout> rollout;
    // Earlier versions that were not completed.
    std::set<VersionName> barred;
    VersionRule rule;
    RolloutState logged = RolloutState::kUnconfirmed;

    // The status to be written, and the time from which this router writes it.
    std::optional<RolloutEvent> pending;
    Instant write_at{};
    // Revision of the status in the store, as far as it is known.
    StoreRevision written;
    KvStore::CallPtr call;
  };

  RolloutContext SceneOf(const Rollout& rollout) const;
  void CheckOne(const ServiceName& service, Entry& entry);
  void Begin(Entry& entry, const RolloutOrder& order);
  void EndOrder(Entry& entry);
  void Bar(Entry& entry, const VersionName& version);
  void SetRule(const ServiceName& service, Entry& entry);
  void LogState(const ServiceName& service, Entry& entry);

  void RequestWrite(Entry& entry, RolloutEvent event);
  void RequestMissingWrite(Entry& entry);
  void Redeclare(Entry& entry);
  void Write(const ServiceName& service, Entry& entry);
  void OnWritten(const ServiceName& service, RolloutEvent event,
                 const StoreWritten& written);
  void OnConflict(Entry& entry, const StoreWritten& written);

  Context context_;
  const SharedStateReader& reader_;
  Rollout::Options options_;
  Handlers on_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<ServiceName, Entry> entries_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ROLLOUT_DRIVER_H_
