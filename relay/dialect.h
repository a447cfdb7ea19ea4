// The relay's interface to its surroundings: what it needs to know about
// requests, answers and stored items, apart from how they are spelled. The
// adapter to a platform implements these classes and decides nothing; the relay
// knows none of the platform's names.
//
//   CallerDialect      a caller's head         ->  RequestFacts
//   TargetDialect      SendFacts               ->  the head that a target gets
//                      a target's head         ->  AnswerFacts
//   SharedStateReader  an item of the store    ->  configuration, target
//
// Implementations keep no state, and outlive the router that uses them. What
// can't be read is an error that names the field (HeaderError, ItemError).
// Times are milliseconds, amounts are tokens.

#ifndef QUAYTRACK_RELAY_DIALECT_H_
#define QUAYTRACK_RELAY_DIALECT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "config/service_map.h"
#include "dispatch/placement.h"
#include "dispatch/rate_limits.h"
#include "fleet/target_registry.h"
#include "kv/store.h"
#include "net/http_message.h"
#include "rollout/rollout_chart.h"
#include "rollout/rollout_order.h"

namespace quaytrack {

// What a request's head says.
struct RequestFacts {
  // Unique to one attempt of a caller; empty if it has none.
  RequestId id;
  // How long the caller waits, from its first byte; nothing if it doesn't say.
  std::optional<std::chrono::milliseconds> time_left;
  // The caller's key; empty if it has none.
  std::string key;
  // Size of the prompt, and the most that its answer may have; 0 for requests
  // that are none of a model.
  Tokens prompt_tokens = 0;
  Tokens most_tokens_out = 0;
  // The prompt's parts in their order, by which targets with a prefix cache are
  // told apart; may be empty.
  std::vector<PromptPart> parts;
};

// What a target is told beside the request itself.
struct SendFacts {
  TargetName target;
  CustomerName customer;
  std::chrono::milliseconds time_left{};
  // 0 is the most urgent.
  int priority = 0;
  // The id of the event after which a broken stream goes on; empty to leave
  // what the request says.
  std::string last_event;
};

// What an answer's head says.
struct AnswerFacts {
  // The request that it answers; empty if it doesn't say.
  RequestId request;
  // The target did not run the request.
  bool not_run = false;
  // The target vouches for this answer.
  bool sealed = false;
  // How much longer the target is slow, if it says so.
  std::chrono::milliseconds cold_for{0};
  // What it says of the target's rate limit.
  RateStatement rate;
  // The target says that it leaves.
  bool leaving = false;
  // For how long the target wants nothing further of this router; 0 if it
  // doesn't say so.
  std::chrono::milliseconds back_off{0};
};

class CallerDialect {
 public:
  virtual ~CallerDialect() = default;
  // An error names the header that can't be read.
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
  // The head to send, up to and with the empty line.
  virtual std::string Head(const HttpHead& request, const SendFacts& facts,
                           std::size_t body_bytes) const = 0;
  virtual AnswerFacts Read(const HttpHead& head) const = 0;
};

// Why an item of the store can't be used.
struct ItemError {
  std::string field;
  std::string problem;
};

// What the store says of a service's move to another version: that it has begun
// (kBegun), or how it ended (kCompleted, kReverted).
struct RolloutStatus {
  ServiceName service;
  VersionName version;
  RolloutEvent said = RolloutEvent::kBegun;
};

// Reads what operators and targets keep in the store.
class SharedStateReader {
 public:
  virtual ~SharedStateReader() = default;
  virtual std::string ConfigPrefix() const = 0;
  virtual std::string TargetsPrefix() const = 0;
  // Null for an item that is not the configuration.
  virtual boost::leaf::result<ServiceMapPtr> Config(
      const StoreItem& item) const = 0;
  virtual boost::leaf::result<TargetEntry> Target(
      const StoreItem& item) const = 0;
  virtual TargetName TargetOf(const std::string& key) const = 0;
  // The hall that an item with this key closes to new work, whatever its value;
  // nothing if it is another item or names no hall. It stands below
  // `ConfigPrefix`.
  virtual std::optional<HallName> ClosedHall(const std::string& key) const = 0;
  // The service whose move to another version an item with this key orders;
  // nothing if it is another item. It stands below `ConfigPrefix`.
  virtual std::optional<ServiceName> RolledOutService(
      const std::string& key) const = 0;
  virtual boost::leaf::result<RolloutOrder> Rollout(
      const StoreItem& item) const = 0;
  // Where operators read how it stands, and what.
  virtual std::string RolloutStatusKey(const ServiceName& service) const = 0;
  virtual std::string EncodeRolloutStatus(
      const RolloutStatus& status) const = 0;
  virtual boost::leaf::result<RolloutStatus> ReadRolloutStatus(
      const StoreItem& item) const = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_DIALECT_H_
