// RolloutDriver carries out operators' orders to move services to other
// versions: it tells the placement who may get what, the peers what answers
// have shown, and the store how it stands.
//
//   RolloutDriver rollouts({clock, store, chart}, reader, options, handlers);
//   rollouts.OnOrder(service, order);       // null: there is none any more
//   rollouts.OnAnswer(service, version, "review", seen);
//   rollouts.Check();                       // some times a second
//   rollouts.Fill(sign);                    // each sign of life
//   rollouts.OnPeer(message);
//
// What decides stands in rollout/rollout.h. The deciders are the readers of a
// large fleet (relay/state_feed.h) and all routers of a small one.
//
// The store's word. A decider writes that a roll-out is running once it has
// seen the order, and how it ended, each under the condition that nothing was
// written meanwhile; so the first one to write is right, and a late writer
// learns from its refusal what stands there. What stands there of an earlier
// order, or of another version, is no word on this one. A write without an
// answer is made again, and shows what became of the first. Deciders wait a
// random time before they write, and most then know that another one has.
//
// Versions that were ordered before and not completed get nothing as long as
// another version has a target, until they are ordered again: their targets may
// be there for some seconds more.
//
// A store in a later era may lack what was written; deciders write it again.
//
// It owns the roll-outs and its calls. Clock, store, reader and chart must
// outlive it. An order of a version that nobody runs is withdrawn when its time
// is over. A peer's report on another order changes nothing.

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
    // `begin` is where this router begins to count (dispatch/version_gate.h).
    std::function<void(const ServiceName&, const VersionRule&, double begin)>
        rule;
    // By this router's list of routers; `has_next` and `running_elsewhere` are
    // filled in by the two below.
    std::function<RolloutScene()> scene;
    std::function<bool(const ServiceName&, const VersionName&)> has_version;
    std::function<std::size_t(const ServiceName&, const VersionName&)>
        running_elsewhere;
    std::function<bool(const Incarnation&)> is_decider;
    // Tells the peers at once what is in force here.
    std::function<void()> tell;
  };

  RolloutDriver(const Context& context, const SharedStateReader& reader,
                Rollout::Options options, Handlers handlers);

  // Null if there is none any more.
  void OnOrder(const ServiceName& service, const RolloutOrder* order);
  // Whether answers of the service are to be reported.
  bool IsJudging(const ServiceName& service) const;
  void OnAnswer(const ServiceName& service, const VersionName& version,
                const std::string& route, const AnswerSeen& seen);
  void OnPeer(const PeerMessage& message);
  void OnStoreEra();
  void Check();
  void Fill(PeerMessage& message) const;

  // Null if nothing was ordered.
  const Rollout* Find(const ServiceName& service) const;
  // Roll-outs that aren't over.
  std::size_t running() const;

 private:
  struct Entry {
    std::optional<Rollout> rollout;
    // Earlier versions that were not completed.
    std::set<VersionName> barred;
    VersionRule rule;
    RolloutState logged = RolloutState::kUnheard;

    // What the store is to say, and from when on this router writes it.
    std::optional<RolloutEvent> wanted;
    Instant write_at{};
    // Of what stands there, as far as it is known.
    StoreRevision written;
    KvStore::CallPtr call;
  };

  RolloutScene SceneOf(const Rollout& rollout) const;
  void CheckOne(const ServiceName& service, Entry& entry);
  void Begin(Entry& entry, const RolloutOrder& order);
  void EndOrder(Entry& entry);
  void Bar(Entry& entry, const VersionName& version);
  void SetRule(const ServiceName& service, Entry& entry);
  void LogState(const ServiceName& service, Entry& entry);

  void Want(Entry& entry, RolloutEvent said);
  void WantWhatIsMissing(Entry& entry);
  void Redeclare(Entry& entry);
  void Write(const ServiceName& service, Entry& entry);
  void OnWritten(const ServiceName& service, RolloutEvent said,
                 const StoreWritten& written);
  void OnPresent(Entry& entry, const StoreWritten& written);

  Context context_;
  const SharedStateReader& reader_;
  Rollout::Options options_;
  Handlers on_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<ServiceName, Entry> entries_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_ROLLOUT_DRIVER_H_
