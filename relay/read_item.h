// Reads one item of the store. An item that can't be read is left out, with a
// line in the log that says why; what was known before stays as it was.
//
//   const auto entry = ReadOrLog(item, [&] { return reader.Target(item); });
//   if (!entry) return;

#ifndef QUAYTRACK_RELAY_READ_ITEM_H_
#define QUAYTRACK_RELAY_READ_ITEM_H_

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "base/log.h"
#include "kv/store.h"
#include "relay/dialect.h"

namespace quaytrack {

inline void LogItemRefused(const StoreItem& item, const ItemError& error) {
  LogEvent(
      Event::kItemRefused,
      {{"key", item.key}, {"field", error.field}, {"problem", error.problem}});
}

// What `read` returns; nothing if it fails.
template <class Read>
auto ReadOrLog(const StoreItem& item, Read read)
    -> std::optional<std::decay_t<decltype(read().value())>> {
  using Value = std::decay_t<decltype(read().value())>;
  using Result = std::optional<Value>;
  namespace leaf = boost::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(value, read());
        return Result(std::move(value));
      },
      [&](const ItemError& error) -> Result {
        LogItemRefused(item, error);
        return std::nullopt;
      },
      // A reader gives an `ItemError` for each fault that it knows.
      [&]() -> Result {
        LogItemRefused(item, {"", "failed for a reason that was not given"});
        return std::nullopt;
      });
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_READ_ITEM_H_
