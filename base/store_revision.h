// StoreRevision identifies a state of the store by an era and a number in it.
//
//   if (change.revision <= known) return;    // older or known
//
// Numbers rise with each change, but only within an era. A store that failed
// may be restored from an older copy of itself. The store then starts a later
// era: the changes since the copy are lost, and their numbers are assigned to
// new changes. So numbers of different eras can't be compared, and any revision
// of a later era is the later one. Items in the copy keep their numbers in the
// new era.
//
// Era 0 is used for a store, or a peer, that doesn't state eras.

#ifndef QUAYTRACK_BASE_STORE_REVISION_H_
#define QUAYTRACK_BASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace quaytrack {

struct StoreRevision {
  constexpr StoreRevision() = default;
  // This constructor is implicit, as the revision of a store without eras is
  // just a number.
  constexpr StoreRevision(std::int64_t in_number) : number(in_number) {}
  constexpr StoreRevision(std::int64_t in_era, std::int64_t in_number)
      : era(in_era), number(in_number) {}

  auto operator<=>(const StoreRevision&) const = default;

  // `era` is declared first, so that it is compared first.
  std::int64_t era = 0;
  std::int64_t number = 0;
};

// Formats as "era/number", for logs.
inline std::string ToText(const StoreRevision& it) {
  return std::to_string(it.era) + "/" + std::to_string(it.number);
}

inline std::ostream& operator<<(std::ostream& out, const StoreRevision& it) {
  return out << ToText(it);
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_STORE_REVISION_H_
