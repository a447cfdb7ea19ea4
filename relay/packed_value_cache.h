// PackedValueCache packs the values of the store's items for peers
// (base/packed_text.h), and keeps the last large one: a reader sends a
// configuration to its whole hall, and packing it each time would take longer
// than sending it.
//
//   PackedValueCache cache;
//   message.item_value = cache.Pack(item);
//
// Owns that one value. An item is known by its key and revision.

#ifndef QUAYTRACK_RELAY_PACKED_VALUE_CACHE_H_
#define QUAYTRACK_RELAY_PACKED_VALUE_CACHE_H_

#include <cstddef>
#include <string>

#include "base/packed_text.h"
#include "kv/store.h"

namespace quaytrack {

class PackedValueCache {
 public:
  std::string Pack(const StoreItem& item) {
    if (item.value.size() < kLargeBytes) return PackText(item.value);
    if (item.key != key_ || item.revision != revision_) {
      packed_ = PackText(item.value);
      key_ = item.key;
      revision_ = item.revision;
    }
    return packed_;
  }

 private:
  static constexpr std::size_t kLargeBytes = 16 * 1024;

  std::string key_;
  StoreRevision revision_;
  std::string packed_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_PACKED_VALUE_CACHE_H_
