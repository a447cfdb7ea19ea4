// KvStore: the interface to the key-value store that holds shared state.
// `platform/` implements it.
//
//   auto reading = store.Range("op/", [](const StoreSnapshot& it) {...});
//   auto waiting = store.Wait("op/", revision, std::chrono::seconds(8),
//                             [](const StoreChanges& it) {...});
//   auto writing = store.Write(write, [](const StoreWritten& it) {...});
//
// Each call reports its result once, in a callback of the loop. The caller
// keeps the returned `Call`; destroying it cancels the call, and nothing is
// reported.
//
// Every call ends in one of four ways. Because of `kUnknown`, callers that
// write give conditions, and read before they write again:
//
//   kDone      answered;
//   kRejected  a condition didn't hold: nothing was written;
//   kRefused   answered with an error, or certainly not sent: nothing changed;
//   kUnknown   sent, and no answer came: it may be done now or later.
//
// Eras. A store that fails may be restored from an older copy: changes that it
// had acknowledged are lost, and their revisions are assigned again. Its
// answers name its era, a number that rises with each restore; `era` returns
// the latest era that any answer has named.
//
// Each change of the store has a revision (base/store_revision.h). The result
// in an answer of an earlier era than the latest is not used: a read ends as
// refused, and a write as unknown, because it may be lost. Conditions name
// revisions of one era; a write that reaches the store in a later era ends as
// rejected or unknown, because the same number may name other content there.
// Keys are text and values any bytes. Times are `Duration`s; the implementation
// sets how long a call waits for an answer. An answer may be large and the link
// slow, so a call whose answer is arriving isn't unanswered.

#ifndef QUAYTRACK_KV_STORE_H_
#define QUAYTRACK_KV_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/log.h"
#include "base/store_revision.h"

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

// A key and its value.
struct StoreItem {
  std::string key;
  std::string value;
  // Revision of the item's last change; its number is 0 if the key doesn't
  // exist.
  StoreRevision revision;
};

// Requires that a key has not changed since a revision.
struct StoreCondition {
  std::string key;
  // Revision of the key's last change. Number 0 requires that the key doesn't
  // exist.
  StoreRevision revision;
};

// An atomic write: if every condition holds, all of it is done, else nothing.
struct StoreWrite {
  std::vector<StoreCondition> conditions;
  // Revisions of these items are ignored.
  std::vector<StoreItem> puts;
  std::vector<std::string> removes;
};

// How a write ended.
struct StoreWritten {
  StoreEnd end = StoreEnd::kUnknown;
  // Revision of the write; set if `end` is kDone.
  StoreRevision revision;
  // The present items of the conditions' keys, if `end` is kRejected; empty if
  // the write was rejected without being sent.
  std::vector<StoreItem> present;
};

// All items below a prefix. The items are read page by page, so they may
// include changes after `revision`; waiting from `revision` reports those
// again.
struct StoreSnapshot {
  StoreEnd end = StoreEnd::kUnknown;
  StoreRevision revision;
  std::vector<StoreItem> items;
};

struct StoreChange {
  // The value is empty if the item was removed.
  StoreItem item;
  bool removed = false;
};

// The answer to a wait: what changed below its prefix after its revision.
struct StoreChanges {
  StoreEnd end = StoreEnd::kUnknown;
  // Whether the store no longer has all changes since the wait's revision. The
  // caller then reads all items again.
  bool forgotten = false;
  // Revision from which the next wait starts. If its era isn't that of the
  // answered wait's revision, `changes` may be incomplete, and the caller reads
  // all items again.
  StoreRevision revision;
  std::vector<StoreChange> changes;
};

class KvStore {
 public:
  // A running call. Destroying the object cancels the call without a report.
  // The handler of the report may destroy or replace the object.
  class Call {
   public:
    virtual ~Call() = default;
    // Whether part of the answer has arrived. Such a call is worth waiting for:
    // a new one would transfer the answer from its start.
    virtual bool IsReceiving() const { return false; }
  };
  using CallPtr = std::unique_ptr<Call>;

  virtual ~KvStore() = default;
  // Reads all items below `prefix`.
  virtual CallPtr Range(const std::string& prefix,
                        std::function<void(const StoreSnapshot&)> done) = 0;
  // Does all of `write` or none of it.
  virtual CallPtr Write(const StoreWrite& write,
                        std::function<void(const StoreWritten&)> done) = 0;
  // Reports as soon as something below `prefix` changed after `revision`, or
  // reports no changes once `timeout` has passed.
  virtual CallPtr Wait(const std::string& prefix, StoreRevision revision,
                       Duration timeout,
                       std::function<void(const StoreChanges&)> done) = 0;
  // Number of calls made so far.
  virtual std::uint64_t calls() const = 0;

  // The latest era that an answer has named; 0 before the first answer, and for
  // a store that names no era.
  std::int64_t era() const { return era_; }
  // Sets the handler for a change to a later era. The handler is called while
  // an answer is being reported, and must not destroy calls.
  void OnNewEra(std::function<void()> handler) {
    on_new_era_ = std::move(handler);
  }

 protected:
  // Updates `era`. The implementation calls this with the era that each answer
  // names.
  void NoteEra(std::int64_t era) {
    if (era <= era_) return;
    const std::int64_t before = std::exchange(era_, era);
    if (before == 0) return;
    LogEvent(Event::kStoreEra, {{"era", std::to_string(era)},
                                {"before", std::to_string(before)}});
    if (on_new_era_) on_new_era_();
  }

 private:
  std::int64_t era_ = 0;
  std::function<void()> on_new_era_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_STORE_H_
