// StreamVersions remembers at which software version of its service each stream
// began, so that the stream goes on at that version only.
//
//   StreamVersions versions;
//   versions.Note(now, id, version, deadline);        // or NoteOwn
//   if (const auto version = versions.Find(now, id)) ...
//
// A note is kept until the caller can't come back any more. A later note for
// the same id is ignored: a stream has one version. There is a bound on the
// number of notes (`kMaxNotes`); beyond it, the one that ends first is dropped,
// and its stream counts as unknown.
//
// Owns the notes. Reads no clock.

#ifndef QUAYTRACK_RELAY_STREAM_VERSIONS_H_
#define QUAYTRACK_RELAY_STREAM_VERSIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

class StreamVersions {
 public:
  // A router hears of some hundred streams a second, for some ten seconds each.
  static constexpr std::size_t kMaxNotes = 50'000;

  void Note(Instant now, const RequestId& id, const VersionName& version,
            Instant until) {
    Add(now, id, {version, until, false});
  }
  // The same for a stream that began at this router.
  void NoteOwn(Instant now, const RequestId& id, const VersionName& version,
               Instant until) {
    Add(now, id, {version, until, true});
  }

  std::optional<VersionName> Find(Instant now, const RequestId& id) {
    DropOld(now);
    const auto it = notes_.find(id);
    if (it == notes_.end()) return std::nullopt;
    return it->second.version;
  }

  // Calls `visit(id, version, until)` for each stream that began at this
  // router.
  template <class Visit>
  void ForEachOwn(Instant now, Visit visit) {
    DropOld(now);
    for (const auto& [id, it] : notes_) {
      if (it.is_own) visit(id, it.version, it.until);
    }
  }

  std::size_t size() const { return notes_.size(); }

 private:
  struct Entry {
    VersionName version;
    Instant until{};
    bool is_own = false;
  };

  void Add(Instant now, const RequestId& id, const Entry& entry) {
    DropOld(now);
    if (entry.until <= now) return;
    if (!notes_.try_emplace(id, entry).second) return;
    ends_.emplace(entry.until, id);
    if (notes_.size() > kMaxNotes) DropFirst();
  }

  void DropOld(Instant now) {
    while (!ends_.empty() && ends_.begin()->first <= now) DropFirst();
  }
  void DropFirst() {
    notes_.erase(ends_.begin()->second);
    ends_.erase(ends_.begin());
  }

  std::unordered_map<RequestId, Entry> notes_;
  std::set<std::pair<Instant, RequestId>> ends_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STREAM_VERSIONS_H_
