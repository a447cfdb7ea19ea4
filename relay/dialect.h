// The interface between the router and a platform: what the router needs to
// know about requests, answers and stored items, independent of their format. A
// platform's adapter implements these classes and makes no decisions; the
// router knows none of the platform's names.
//
//   CallerDialect      a caller's head         ->  RequestFacts
//   TargetDialect      SendFacts               ->  the head that a target gets
//                      a target's head         ->  AnswerFacts
//   SharedStateReader  an item of the store    ->  configuration, target
//
// Implementations are stateless, and outlive the router that uses them. Input
// that can't be read yields an error that names the field (HeaderError,
// ItemError). Times are milliseconds, amounts are tokens.

#ifndef QUAYTRACK_RELAY_DIALECT_H_
#define QUAYTRACK_RELAY_DIALECT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"
#include "base/ids.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "dispatch/rate_limits.h"
#include "fleet/target_registry.h"
#include "kv/store.h"
#include "net/http_message.h"
#include "relay/stream_versions.h"
#include "rollout/rollout_chart.h"
#include "rollout/rollout_order.h"

namespace quaytrack {

// The contents of a request's head.
struct RequestFacts {
  // Id that is unique to one attempt of a caller; empty if the head has none.
  RequestId id;
  // How long the caller waits, from the request's first byte; unset if the head
  // doesn't state it.
  std::optional<std::chrono::milliseconds> time_left;
  // The caller's key; empty if it has none.
  std::string key;
  // Size of the prompt, and the maximum size of its answer; 0 for requests that
  // don't use a model.
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  // Whether the caller takes a stream up after an event that it has received,
  // and the id of the try that brought its first event; empty if not stated.
  bool takes_up = false;
  RequestId first_try;
  // The prompt's parts in order, which select a target with a matching prefix
  // cache; may be empty.
  std::vector<PromptPart> parts;
};

// What is sent to a target in addition to the request.
struct SendFacts {
  TargetName target;
  CustomerName customer;
  std::chrono::milliseconds time_left{};
  // Priority of the request at the target; 0 is the most urgent.
  int priority = 0;
  // Id of the event after which the target continues a broken stream; sent in
  // place of the caller's last-event-id header. If empty, that header isn't
  // replaced.
  std::string last_event;
  // Names the copy of a run's cache from which the target goes on
  // (`CacheFrom`); empty if there is none.
  std::string cache_from;
};

// A run that its target shall end, so that the stream goes on elsewhere.
struct RunMove {
  StreamRun run;
  // "host:port" of the target that gets a copy of the run's cache.
  std::string destination;
};

// What has become of a run that a target was told to end.
enum class RunEnd {
  kNoAnswer,    // unknown: the target doesn't answer
  kMoved,       // it has ended, and the destination has its cache
  kKept,        // it has ended, and only its target has its cache
  kNotRunning,  // the target doesn't have it
  kRefused,     // the target doesn't say that it has ended
};

template <>
struct EnumTable<RunEnd> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<RunEnd>>({{RunEnd::kNoAnswer, "no_answer"},
                                        {RunEnd::kMoved, "moved"},
                                        {RunEnd::kKept, "kept"},
                                        {RunEnd::kNotRunning, "not_running"},
                                        {RunEnd::kRefused, "refused"}});
};

struct StoppedRun {
  RunEnd end = RunEnd::kNoAnswer;
  // The target's name for the cache; may be empty.
  std::string cache;
};

// What an answer states about rejections that its target bears.
struct RejectionStatement {
  // The rest of this statement is valid.
  bool is_stated = false;
  // The number of requests a second that the target can reject without
  // failing; unset if it states no bound.
  std::optional<int> max_rejections;
};

// The contents of an answer's head.
struct AnswerFacts {
  // The request that it answers; empty if not stated.
  RequestId request;
  // Whether the target states that it did not run the request.
  bool not_run = false;
  // Whether the target vouches for this answer.
  bool sealed = false;
  // How much longer the target is cold, that is, slow after its start; 0 if not
  // stated.
  std::chrono::milliseconds cold_for{0};
  // The target's rate limit, as stated in the head.
  RateStatement rate;
  RejectionStatement rejections;
  // Whether the target announces that it leaves.
  bool leaving = false;
  // How long the target accepts no further requests from this router; 0 if not
  // stated.
  std::chrono::milliseconds back_off{0};
};

class CallerDialect {
 public:
  virtual ~CallerDialect() = default;
  // Reads a request's head. The error names the header that can't be read.
  virtual boost::leaf::result<RequestFacts> Read(
      const HttpHead& head) const = 0;
};

// A header of a request that can't be read.
struct HeaderError {
  std::string header;
};

class TargetDialect {
 public:
  virtual ~TargetDialect() = default;
  // Returns the head to send, including the empty line at its end.
  virtual std::string Head(const HttpHead& request, const SendFacts& facts,
                           std::size_t body_bytes) const = 0;
  virtual AnswerFacts Read(const HttpHead& head) const = 0;

  // Returns the request that has the run's target end it.
  virtual std::string MoveRun(const RunMove& move) const = 0;
  // Reads the answer to that.
  virtual StoppedRun ReadMove(int status, std::string_view body) const = 0;
  // Returns the request that frees the copies of a run's cache.
  virtual std::string DropCache(const StreamRun& run,
                                const std::string& cache) const = 0;
  // The value of `SendFacts::cache_from` for the cache of the run.
  virtual std::string CacheFrom(const StreamRun& run,
                                const std::string& cache) const = 0;
};

// Why an item of the store can't be used.
struct ItemError {
  std::string field;
  std::string problem;
};

// The stored status of a service's roll-out to another version: started
// (kStarted), or how it ended (kCompleted, kReverted).
struct RolloutStatus {
  ServiceName service;
  VersionName version;
  RolloutEvent event = RolloutEvent::kStarted;
};

// Reads the items that operators and targets keep in the store.
class SharedStateReader {
 public:
  virtual ~SharedStateReader() = default;
  virtual std::string ConfigPrefix() const = 0;
  virtual std::string TargetsPrefix() const = 0;
  // Reads the configuration; returns null if the item isn't the configuration.
  virtual boost::leaf::result<ServiceMapPtr> Config(
      const StoreItem& item) const = 0;
  virtual boost::leaf::result<TargetEntry> Target(
      const StoreItem& item) const = 0;
  virtual TargetName TargetOf(const std::string& key) const = 0;
  // The hall that an item with this key closes to new work, whatever its value;
  // std::nullopt for other items and if the key names no hall. Such keys are
  // below `ConfigPrefix`.
  virtual std::optional<HallName> ClosedHall(const std::string& key) const = 0;
  // The service whose roll-out an item with this key orders; std::nullopt for
  // other items. Such keys are below `ConfigPrefix`.
  virtual std::optional<ServiceName> RolledOutService(
      const std::string& key) const = 0;
  virtual boost::leaf::result<RolloutOrder> Rollout(
      const StoreItem& item) const = 0;
  // The key at which operators read a roll-out's status, and its value.
  virtual std::string RolloutStatusKey(const ServiceName& service) const = 0;
  virtual std::string EncodeRolloutStatus(
      const RolloutStatus& status) const = 0;
  virtual boost::leaf::result<RolloutStatus> ReadRolloutStatus(
      const StoreItem& item) const = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_DIALECT_H_
