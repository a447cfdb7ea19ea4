// The key-value store, as the parts that keep or follow shared state see it.
//
// Every call ends in one of four ways, and the last is why callers are written
// the way they are:
//
//   kDone      answered;
//   kRejected  a condition didn't hold: nothing was written;
//   kRefused   answered with an error, or certainly not sent: nothing happened;
//   kUnknown   sent, and no answer came: it may have happened, or still may.
//
//   store.Range("op/", [](const StoreSnapshot& it) {...});
//   auto waiting = store.Wait("op/", it.revision, 10s, [](StoreChanges it)
//   {...});

#ifndef QUAYTRACK_KV_STORE_H_
#define QUAYTRACK_KV_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"

namespace quaytrack {

enum class StoreEnd { kDone, kRejected, kRefused, kUnknown };

template <>
struct EnumTable<StoreEnd> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<StoreEnd>>({{StoreEnd::kDone, "done"},
                                          {StoreEnd::kRejected, "rejected"},
                                          {StoreEnd::kRefused, "refused"},
                                          {StoreEnd::kUnknown, "unknown"}});
};

struct StoreItem {
  std::string key;
  std::string value;
  // Of its last change; 0 for a key that doesn't exist.
  std::int64_t revision = 0;
};

struct StoreCondition {
  std::string key;
  // Revision of its last change; 0: it must not exist.
  std::int64_t revision = 0;
};

// Done as a whole, if every condition holds.
struct StoreWrite {
  std::vector<StoreCondition> conditions;
  // Their revisions are not used.
  std::vector<StoreItem> puts;
  std::vector<std::string> removes;
};

struct StoreWritten {
  StoreEnd end = StoreEnd::kUnknown;
  std::int64_t revision = 0;
  // After kRejected, the present items of the conditions' keys.
  std::vector<StoreItem> present;
};

// All items below a prefix. They were read page by page, so a change after
// `revision` may be among them; following from `revision` shows it again.
struct StoreSnapshot {
  StoreEnd end = StoreEnd::kUnknown;
  std::int64_t revision = 0;
  std::vector<StoreItem> items;
};

struct StoreChange {
  StoreItem item;
  bool removed = false;
};

struct StoreChanges {
  StoreEnd end = StoreEnd::kUnknown;
  // The store has forgotten changes since the given revision: read anew.
  bool forgotten = false;
  std::int64_t revision = 0;
  std::vector<StoreChange> changes;
};

class KvStore {
 public:
  // A call under way; it ends without a report when destroyed. Its report may
  // destroy it, or put another call in its place.
  class Call {
   public:
    virtual ~Call() = default;
  };
  using CallPtr = std::unique_ptr<Call>;

  virtual ~KvStore() = default;
  virtual CallPtr Range(const std::string& prefix,
                        std::function<void(const StoreSnapshot&)> done) = 0;
  virtual CallPtr Write(const StoreWrite& write,
                        std::function<void(const StoreWritten&)> done) = 0;
  // Answers as soon as something below `prefix` changed after `revision`, or
  // without changes after `patience`.
  virtual CallPtr Wait(const std::string& prefix, std::int64_t revision,
                       Duration patience,
                       std::function<void(const StoreChanges&)> done) = 0;
  // Calls made so far.
  virtual std::uint64_t calls() const = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_STORE_H_
