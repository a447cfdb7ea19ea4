// What the relay needs to know about requests and answers, apart from how they
// are spelled. An interface to callers and targets implements these; the relay
// knows none of their names.

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
#include "fleet/target_registry.h"
#include "kv/store.h"
#include "net/http_message.h"

namespace quaytrack {

// A request's head, understood.
struct RequestFacts {
  // Unique to one attempt of a caller; empty if it has none.
  RequestId id;
  std::optional<std::chrono::milliseconds> time_left;
  // The caller's key; empty if it has none.
  std::string key;
  Tokens prompt_tokens = 0;
  Tokens most_tokens_out = 0;
  std::vector<PromptPart> parts;
};

// What a target is told beside the request itself.
struct SendFacts {
  TargetName target;
  CustomerName customer;
  std::chrono::milliseconds time_left{};
  // 0 is the most urgent.
  int priority = 0;
  // Where a broken stream goes on; empty for its beginning.
  std::string last_event;
};

// An answer's head, understood.
struct AnswerFacts {
  // Empty if the answer doesn't say.
  RequestId request;
  // The target did not run the request.
  bool not_run = false;
  // The target vouches for this answer.
  bool sealed = false;
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
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_DIALECT_H_
