// VersionLookup tells other routers at which version a stream began, and finds
// the version of a stream that a caller takes up, wherever it began.
//
//   VersionLookup lookup(loop, clock, handlers);
//   lookup.Announce(id, version, time_left);       // before the first event
//   lookup.Find(id, [](std::optional<VersionName> version) {...});
//   lookup.OnPeer(message);                        // each message of a peer
//
// The router that begins a stream tells its witnesses: in a small fleet all
// linked peers, in a larger one the holders of its hall. A router that is asked
// for a stream which it doesn't know asks its witnesses; a holder that doesn't
// know either asks the holders of the other halls, as callers move to other
// halls when theirs fails. The first router that knows decides. If all that
// were asked have answered that they don't know, or `kAnswerTime` has passed,
// nobody knows.
//
// A link that opens again, as after a freeze or a cut, has missed what was sent
// meanwhile. So its hello has the other router told of the streams that began
// here, and asked what is still open. A router without any link waits for one.
//
// Which routers are asked is up to the handlers. Owns this router's notes
// (relay/stream_versions.h) and its open questions; loop and clock must outlive
// it. Messages may be lost; the time-out covers that.

#ifndef QUAYTRACK_RELAY_VERSION_LOOKUP_H_
#define QUAYTRACK_RELAY_VERSION_LOOKUP_H_

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
  };
  using Found = std::function<void(std::optional<VersionName>)>;

  // How long an answer is waited for. A round trip between halls, twice, takes
  // some milliseconds.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
  // The same for a question that is asked on behalf of another router, which
  // needs the answer within its own time.
  static constexpr Duration kForwardedTime = std::chrono::milliseconds(150);

  VersionLookup(Loop& loop, const Clock& clock, Handlers handlers)
      : loop_(loop), clock_(clock), on_(std::move(handlers)) {}

  // Notes that the stream began at `version`; its caller may come back within
  // `time_left`.
  void Announce(const RequestId& id, const VersionName& version,
                Duration time_left);
  // Calls `found` once, and not from inside.
  void Find(const RequestId& id, Found found);
  void OnPeer(const PeerMessage& message);

  // Whether there are no other routers, so that each stream began here.
  bool IsAlone() const { return !on_.has_others(); }

  std::size_t size() const { return versions_.size(); }

 private:
  struct Question {
    // Asked on behalf of another router.
    bool for_other = false;
    std::set<Incarnation> unanswered;
    std::vector<Found> waiting;
    std::unique_ptr<Timer> timer;
  };

  void Ask(const RequestId& id, const std::vector<Incarnation>& peers,
           Duration time, bool for_other, Found found);
  void SendBegan(const Incarnation& peer, const RequestId& id,
                 const VersionName& version, Duration keep_for);
  void SendRequest(const Incarnation& peer, const RequestId& id,
                   bool for_other);
  void OnLinked(const Incarnation& peer);
  void OnRequest(const PeerMessage& message);
  void OnAnswer(const PeerMessage& message);
  void End(const RequestId& id, const std::optional<VersionName>& version);

  Loop& loop_;
  const Clock& clock_;
  Handlers on_;
  StreamVersions versions_;
  std::map<RequestId, Question> questions_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_VERSION_LOOKUP_H_
