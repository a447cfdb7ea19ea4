// VersionLookup tells other routers at which version a stream began and where
// it runs, and finds both for a stream that a caller takes up, wherever it
// began.
//
//   VersionLookup lookup(loop, clock, handlers);
//   lookup.Announce(id, note, time_left);          // before the first event
//   lookup.Find(id, [](std::optional<StreamNote> note) {...});
//   lookup.FindRequest(request, [](std::optional<StreamNote> note) {...});
//   lookup.OnPeer(message);                        // each message of a peer
//
// The router that begins a stream tells its witnesses: in a small fleet all
// linked peers, in a larger one the holders of its hall. It tells them again
// when another target goes on with the stream. A router that is asked for a
// stream which it doesn't know asks its witnesses; a holder that doesn't know
// either asks the holders of the other halls, as callers move to other halls
// when theirs fails. The first router that knows decides. If all that were
// asked have answered that they don't know, or `kAnswerTime` has passed, nobody
// knows.
//
// A stream is found by the id of its first try, or by what its caller's tries
// have in common (relay/stream_versions.h). Peers of earlier builds know
// nothing of the latter.
//
// A stream that is found by what tries have in common may be another caller's.
// So the router that knows it asks the one that has its run, and leaves the run
// out of the note if that router serves it to a caller. One that doesn't answer
// in `kConfirmTime`, or isn't linked any more, counts as stopped: nobody else
// would end the run. Peers of earlier builds don't answer. A router that finds
// the time over late has stood still itself, and asks again.
//
// A link that opens again, as after a freeze or a cut, has missed what was sent
// meanwhile. So its hello has the other router told of the streams that run
// here, and asked what is still open. A router without any link waits for one.
//
// Which routers are asked is up to the handlers. Owns this router's notes and
// its open questions; loop and clock must outlive it. Messages may be lost; the
// time-out covers that.

#ifndef QUAYTRACK_RELAY_VERSION_LOOKUP_H_
#define QUAYTRACK_RELAY_VERSION_LOOKUP_H_

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/loop.h"
#include "relay/peer_messages.h"
#include "relay/stream_versions.h"

namespace quaytrack {

class VersionLookup {
 public:
  struct Handlers {
    std::function<void(const Incarnation&, PeerMessage)> send;
    // The linked peers that are told, and the ones that are asked.
    std::function<std::vector<Incarnation>()> witnesses;
    std::function<std::vector<Incarnation>()> to_ask;
    // The linked peers that this router asks on behalf of another.
    std::function<std::vector<Incarnation>()> to_ask_for_others;
    // Whether there are other routers, linked or not.
    std::function<bool()> has_others = [] { return true; };
    std::function<bool(const Incarnation&)> is_linked;
    // Whether this router serves the request of a run to its caller.
    std::function<bool(const RequestId&)> is_served;
  };
  using Found = std::function<void(std::optional<StreamNote>)>;

  // How long an answer is waited for. A round trip between halls, twice, takes
  // some milliseconds.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
  // The same for a question that is asked on behalf of another router, which
  // needs the answer within its own time.
  static constexpr Duration kForwardedTime = std::chrono::milliseconds(150);
  // The same for the question to the router that has a run. A router that asks
  // it on behalf of another, or of one that asks for another, has to answer
  // within the two times above.
  static constexpr Duration kConfirmTime = std::chrono::milliseconds(100);

  VersionLookup(Loop& loop, const Clock& clock, Handlers handlers)
      : loop_(loop), clock_(clock), on_(std::move(handlers)) {}

  // Notes that the stream began, or goes on, as `note` says; its caller may
  // come back within `time_left`.
  void Announce(const RequestId& id, const StreamNote& note,
                Duration time_left);
  // Call `found` once, and not from inside. A note that is found by the request
  // has no run if a caller is being served with it.
  void Find(const RequestId& id, Found found);
  void FindRequest(const Fingerprint& request, Found found);
  void OnPeer(const PeerMessage& message);

  // Whether there are no other routers, so that each stream began here.
  bool IsAlone() const { return !on_.has_others(); }

  std::size_t size() const { return versions_.size(); }

 private:
  // What a question is about: one of the two is set.
  struct Subject {
    RequestId id;
    Fingerprint request;

    auto operator<=>(const Subject&) const = default;
  };
  struct Question {
    // Asked on behalf of another router.
    bool for_other = false;
    std::set<Incarnation> unanswered;
    std::vector<Found> waiting;
    std::unique_ptr<Timer> timer;
  };

  struct Confirmation {
    StreamNote note;
    Instant asked_at{};
    std::vector<Found> waiting;
    std::unique_ptr<Timer> timer;
  };

  static Subject SubjectOf(const PeerMessage& message);
  std::optional<StreamNote> NoteOf(const Subject& subject);
  void Look(const Subject& subject, Found found);
  // Reports a note that is known here, after its run is confirmed.
  void Report(const Subject& subject, const StreamNote& note, Found found);
  void Confirm(const StreamNote& note, Found found);
  void SendRunQuestion(Confirmation& confirmation);
  void OnUnconfirmed(const RequestId& id);
  void AnswerConfirmation(const PeerMessage& message);
  void OnConfirmation(const PeerMessage& message);
  void Ask(const Subject& subject, const std::vector<Incarnation>& peers,
           Duration time, bool for_other, Found found);
  void SendBegan(const Incarnation& peer, const RequestId& id,
                 const StreamNote& note, Duration keep_for);
  void SendRequest(const Incarnation& peer, const Subject& subject,
                   bool for_other);
  void OnLinked(const Incarnation& peer);
  void OnBegan(const PeerMessage& message);
  void OnRequest(const PeerMessage& message);
  void OnAnswer(const PeerMessage& message);
  void End(const Subject& subject, const std::optional<StreamNote>& note);

  Loop& loop_;
  const Clock& clock_;
  Handlers on_;
  StreamVersions versions_;
  std::map<Subject, Question> questions_;
  // Runs that are being confirmed, by the id of their request.
  std::map<RequestId, Confirmation> confirmations_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_VERSION_LOOKUP_H_
