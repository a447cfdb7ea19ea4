// Reads one item of the store. An item that can't be read is skipped, and the
// log says why; the caller keeps the previous value.
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

// Returns the value of `read`, or std::nullopt if it fails.
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
      // A reader reports an `ItemError` for each fault that it detects.
      [&]() -> Result {
        LogItemRefused(item, {"", "can't be read, for no stated reason"});
        return std::nullopt;
      });
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_READ_ITEM_H_
