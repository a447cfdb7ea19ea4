// StreamVersions remembers, for each stream that a caller may take up, the
// software version that began it and the run that has it, so that the stream
// goes on at that version only, and in one run.
//
//   StreamVersions versions;
//   versions.Note(now, id, note, deadline);           // or NoteOwn
//   if (const auto note = versions.Find(now, id)) ...
//   if (const auto note = versions.FindRequest(now, request)) ...
//
// A note is kept until the caller can't come back any more. A stream has one
// version, so a later note for the same id keeps the first one's; the run is
// that of the latest note. There is a bound on the number of notes
// (`kMaxNotes`); beyond it, the one that ends first is dropped, and its stream
// counts as unknown.
//
// A caller that doesn't name the try that began the stream sends the same
// request again, so the latest stream of that request is found as well. Another
// caller of the same customer may have sent an equal one, so such a note shows
// where the stream may run, and neither its version nor whose it is.
//
// Owns the notes. Reads no clock.

#ifndef QUAYTRACK_RELAY_STREAM_VERSIONS_H_
#define QUAYTRACK_RELAY_STREAM_VERSIONS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// A stream's request at a target.
struct StreamRun {
  TargetName target;
  // "host:port".
  std::string address;
  // The id of the request there.
  RequestId id;

  bool operator==(const StreamRun&) const = default;
};

struct StreamNote {
  VersionName version;
  // Unset in notes of routers of earlier builds.
  std::optional<StreamRun> run;
  // What the caller's tries have in common; may be empty.
  Fingerprint request;
  // The router that has the run; empty in the notes of that router itself. It
  // isn't part of messages.
  Incarnation router = {};
};

class StreamVersions {
 public:
  // A router hears of some hundred streams a second, for some ten seconds each.
  static constexpr std::size_t kMaxNotes = 50'000;

  void Note(Instant now, const RequestId& id, const StreamNote& note,
            Instant until) {
    Add(now, id, {note, until, false});
  }
  // The same for a stream that runs at this router.
  void NoteOwn(Instant now, const RequestId& id, const StreamNote& note,
               Instant until) {
    Add(now, id, {note, until, true});
  }

  std::optional<StreamNote> Find(Instant now, const RequestId& id) {
    DropOld(now);
    const auto it = notes_.find(id);
    if (it == notes_.end()) return std::nullopt;
    return it->second.note;
  }
  std::optional<StreamNote> FindRequest(Instant now,
                                        const Fingerprint& request) {
    DropOld(now);
    const auto it = latest_.find(request);
    if (it == latest_.end()) return std::nullopt;
    return notes_.at(it->second).note;
  }

  // Calls `visit(id, note, until)` for each stream that runs at this router.
  template <class Visit>
  void ForEachOwn(Instant now, Visit visit) {
    DropOld(now);
    for (const auto& [id, it] : notes_) {
      if (it.is_own) visit(id, it.note, it.until);
    }
  }

  std::size_t size() const { return notes_.size(); }

 private:
  struct Entry {
    StreamNote note;
    Instant until{};
    bool is_own = false;
  };

  void Add(Instant now, const RequestId& id, const Entry& entry) {
    DropOld(now);
    if (entry.until <= now) return;
    const auto [it, is_new] = notes_.try_emplace(id, entry);
    if (!is_new) Update(it->second, id, entry);
    ends_.emplace(it->second.until, id);
    const Fingerprint& request = it->second.note.request;
    if (!request.empty()) latest_[request] = id;
    if (notes_.size() > kMaxNotes) DropFirst();
  }
  void Update(Entry& known, const RequestId& id, const Entry& entry) {
    if (!entry.note.run) return;
    ends_.erase({known.until, id});
    known.until = std::max(known.until, entry.until);
    known.note.run = entry.note.run;
    known.note.router = entry.note.router;
    known.is_own = entry.is_own;
  }

  void DropOld(Instant now) {
    while (!ends_.empty() && ends_.begin()->first <= now) DropFirst();
  }
  void DropFirst() {
    const RequestId id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    const auto it = notes_.find(id);
    const auto latest = latest_.find(it->second.note.request);
    if (latest != latest_.end() && latest->second == id) latest_.erase(latest);
    notes_.erase(it);
  }

  std::unordered_map<RequestId, Entry> notes_;
  std::set<std::pair<Instant, RequestId>> ends_;
  // The stream of each request that was noted last.
  std::unordered_map<Fingerprint, RequestId> latest_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STREAM_VERSIONS_H_
