// ScriptedStore: a store whose calls stay open until the test answers them, by
// prefix.
//
//   ScriptedStore store;
//   store.AnswerRange("t/", {StoreEnd::kDone, 5, items});
//   store.AnswerWait("t/", {StoreEnd::kDone, false, 6, changes});
//
// A call that its owner has destroyed is cancelled: it can't be answered.

#ifndef QUAYTRACK_KV_TESTING_SCRIPTED_STORE_H_
#define QUAYTRACK_KV_TESTING_SCRIPTED_STORE_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "kv/store.h"
#include "net/loop.h"
#include "testing/run_for.h"

namespace quaytrack {

class ScriptedStore final : public KvStore {
 public:
  CallPtr Range(const std::string& prefix,
                std::function<void(const StoreSnapshot&)> done) override {
    return ranges.Add(prefix, std::move(done), receiving);
  }
  CallPtr Write(const StoreWrite& write,
                std::function<void(const StoreWritten&)> done) override {
    last_write = write;
    return writes.Add(write.puts.at(0).key, std::move(done), receiving);
  }
  CallPtr Wait(const std::string& prefix, StoreRevision, Duration timeout,
               std::function<void(const StoreChanges&)> done) override {
    last_timeout[prefix] = timeout;
    return waits.Add(prefix, std::move(done), receiving);
  }
  std::uint64_t calls() const override {
    return ranges.started + writes.started + waits.started;
  }

  bool AnswerRange(const std::string& prefix, const StoreSnapshot& it) {
    return ranges.Answer(prefix, it);
  }
  bool AnswerWait(const std::string& prefix, const StoreChanges& it) {
    return waits.Answer(prefix, it);
  }
  bool AnswerWrite(const std::string& key, const StoreWritten& it) {
    return writes.Answer(key, it);
  }

  // The open calls of one kind.
  template <class Result>
  struct OpenCalls {
    using Done = std::function<void(const Result&)>;
    struct Entry {
      std::string key;
      Done done;
      bool cancelled = false;
    };
    struct Handle final : Call {
      Handle(std::shared_ptr<Entry> it, const bool& is_receiving)
          : entry(std::move(it)), receiving(is_receiving) {}
      ~Handle() override { entry->cancelled = true; }
      bool IsReceiving() const override { return receiving; }
      std::shared_ptr<Entry> entry;
      const bool& receiving;
    };

    CallPtr Add(const std::string& key, Done done, const bool& receiving) {
      ++started;
      ++started_by_key[key];
      entries.push_back(
          std::make_shared<Entry>(Entry{key, std::move(done), false}));
      return std::make_unique<Handle>(entries.back(), receiving);
    }
    // False if no such call is open.
    bool Answer(const std::string& key, const Result& result) {
      entries.remove_if([](const auto& it) { return it->cancelled; });
      for (const auto& it : entries) {
        if (it->key != key) continue;
        const std::shared_ptr<Entry> entry = it;
        entries.remove(entry);
        entry->done(result);
        return true;
      }
      return false;
    }

    std::uint64_t started = 0;
    std::map<std::string, int> started_by_key;
    std::list<std::shared_ptr<Entry>> entries;
  };
  // Whether the answers of all open calls have begun to arrive.
  bool receiving = false;
  // Timeout of the latest wait for each prefix.
  std::map<std::string, Duration> last_timeout;
  OpenCalls<StoreSnapshot> ranges;
  OpenCalls<StoreWritten> writes;
  OpenCalls<StoreChanges> waits;
  StoreWrite last_write;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_KV_TESTING_SCRIPTED_STORE_H_
