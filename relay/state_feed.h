// StateFeed keeps this router's copy of one prefix of the store up to date,
// with few calls of the fleet as a whole.
//
//   StateFeed feed(context, options, handlers, links);
//   feed.Start();
//   feed.SetRole(fleet.IsReader(self));
//   feed.OnPeer(message);                  // each message of a peer
//   feed.Check();                          // several times a second
//   heartbeat.marks[options.name] = *feed.Mark();
//
// In a small fleet each router follows the store itself (kv/follower.h). In a
// larger one, following costs a call of each router for every change, and one
// for every wait that ends without a change. So a few routers of each hall are
// its **readers**: holders of the hall (fleet/fleet.h). The list of routers
// determines the readers, so none has to be appointed, and the other routers
// are already linked to them. Readers follow the store and send its changes to
// their hall and to each other. The other routers make no calls while they
// receive these changes. The states are in chart/charts/feed.json.
//
// The store remains the only authority. Updates carry the store's revisions and
// take effect only if they start at or before the revision that is known here;
// a router that has missed an update requests from a reader what has changed
// since, page by page (relay/feed_pages.h). Anything older than what is known
// is ignored, whichever router sends it, so the state never goes back.
//
// A store that has come back from an older copy of itself (kv/store.h) is in a
// later era. A router that calls the store reads everything again as soon as
// any answer shows the later era. Readers announce the later era and send all
// items on request. A message of an earlier era than the known one shows
// nothing, not even that nothing has changed.
//
// No rule depends on a reader staying alive, nor on how long a message takes. A
// router is **current** as of a time of its own clock: it knows every change
// that the store had accepted by then. Only answers to its own questions show
// that, because nothing else bounds how long the news was on its way, in a full
// link or in a process that stood still:
//
//   - a call to the store shows all changes made before the call was started;
//   - a reader's answer to a mark request (kMarkRequest) shows all changes that
//     the reader knew, less the age that it states, as of the time at which the
//     request was sent. The request carries that time and the answer repeats
//     it; no clocks of two routers are compared.
//
// A router asks the readers in turn, and the next one after an answer that
// doesn't come or is old (relay/reader_poll.h). A reader that is asked, and
// wasn't current for a while, asks the first reader in the order of names, and
// the store if it is the first itself or gets no answer at once. So the calls
// to the store don't grow with the fleet. Heartbeats and updates carry changes
// and show that there are some, but not that there are none.
//
// A router that isn't current for `kFreshFor` calls the store itself, until a
// reader has shown that it is current again. So a reader that is dead, frozen,
// cut off on either side or slow delays no router for longer. Including the
// time of the call, a router that reaches the store knows each change after at
// most kFreshFor + kFreshSpread + the interval of `Check`, about 2 s.
//
// Nothing tells a lost wait from an open one. In a small fleet the first router
// in the order of names therefore checks every `Options::fresh_for`, and its
// heartbeats show the others what it finds. In a large fleet, routers without a
// current reader each check as often.
//
// Loss of the store. Routers that rely on readers take it for lost when they
// aren't current any more, and for back when they are, or when a change
// arrives, and report both as a follower does; relay/target_follower.h depends
// on that.
//
// StateFeed owns the follower, the time up to which its state is current and,
// at readers, all items. Loop, clock, store and chart must outlive it. An
// update that is invalid or doesn't come from a reader changes nothing and is
// logged. The next heartbeat makes up for lost updates.

#ifndef QUAYTRACK_RELAY_STATE_FEED_H_
#define QUAYTRACK_RELAY_STATE_FEED_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kv/follower.h"
#include "net/loop.h"
#include "relay/feed_chart.h"
#include "relay/feed_news.h"
#include "relay/feed_pages.h"
#include "relay/packed_value_cache.h"
#include "relay/peer_messages.h"
#include "relay/reader_poll.h"

namespace quaytrack {

// Connects a feed to other routers.
struct FeedLinks {
  // Sends a message to one peer.
  std::function<void(const Incarnation&, PeerMessage)> send;
  // Sends a message to every router that relies on this reader: those of its
  // hall and the other readers.
  std::function<void(PeerMessage)> publish;
  // Whether the peer is a reader, by this router's list of routers.
  std::function<bool(const Incarnation&)> is_reader = [](const Incarnation&) {
    return false;
  };
  // The linked readers, in the order in which this router sends them requests.
  std::function<std::vector<Incarnation>()> readers = [] {
    return std::vector<Incarnation>();
  };
  // The linked peer that asks the store for all that follow it; empty if this
  // router does.
  std::function<Incarnation()> checking_peer = [] { return Incarnation(); };
  // All linked peers, readers or not.
  std::function<std::vector<Incarnation>()> peers = [] {
    return std::vector<Incarnation>();
  };
  // Number of bytes that have arrived of a message of the peer that isn't
  // complete yet; 0 if there is none.
  std::function<std::uint64_t(const Incarnation&)> partial_bytes =
      [](const Incarnation&) { return 0; };
};

// What the feeds of a process share.
struct FeedContext {
  Loop& loop;
  const Clock& clock;
  KvStore& store;
  const FeedChart& chart;
};

class StateFeed {
 public:
  // How long a router that relies on readers goes without being current before
  // it calls the store itself. The tightest bound is 2 s, for a configuration
  // to be in force; the rest of it is for that call.
  static constexpr Duration kFreshFor = std::chrono::milliseconds(1500);

  // How long a starting router waits for a reader's items before it reads the
  // store itself. The router's links to readers open some hundred milliseconds
  // after it has read the list of routers.
  static constexpr Duration kDefaultReaderTimeout =
      std::chrono::milliseconds(3000);

  struct Options {
    FeedName name = FeedName::kConfig;
    StoreFollower::Options follower;
    // Longer than `kFreshFor` for state that peers also send each other in
    // other ways.
    Duration fresh_for = kFreshFor;
  };
  // The handlers of a StoreFollower. `answered` is called when `current_at` has
  // risen, before the changes that it includes are passed on.
  using Handlers = StoreFollower::Handlers;

  StateFeed(const FeedContext& context, Options options, Handlers handlers,
            FeedLinks links);

  FeedName name() const { return options_.name; }

  void Start() { follower_.Start(); }
  // Starts the feed in a fleet that has readers: requests all items from a
  // reader, and reads the store only if no reader has started to send them
  // within `within`.
  void StartFromReaders(Duration within = kDefaultReaderTimeout);
  // Sets whether this router is a reader.
  void SetRole(bool is_reader);
  void OnPeer(const PeerMessage& message);
  // Called when an answer to some call of this router has shown a later era of
  // the store.
  void OnStoreEra() { follower_.CheckEra(); }
  // Asks readers and the store as described above, and detects that this router
  // wasn't current for too long.
  void Check();
  // Asks the store, if this router may call it, and the peers whether there are
  // changes. An answer raises `current_at`.
  void AskNow();
  // Starts the open wait for changes again, as it may be lost.
  void RestartWait();
  // Reads all items again, if this router follows the store itself.
  void ReadAgain();
  // Reads up to `revision`, which a peer knows and this router doesn't.
  void ReadUpTo(StoreRevision revision);

  // The mark for a reader's heartbeat; std::nullopt at other routers.
  std::optional<FeedMark> Mark() const;
  // The revision up to which every change was passed to the handlers.
  StoreRevision known() const { return Known(); }
  // Revision of the latest change that was reported
  // (StoreFollower::latest_change).
  StoreRevision latest_change() const { return follower_.latest_change(); }
  // Whether every change up to `revision` is known here. Knowing an item of
  // that revision isn't enough: a read in pages may show a later item and miss
  // an earlier change.
  bool HasRead(StoreRevision revision) const { return revision <= Known(); }
  FeedState state() const { return machine_.state(); }
  // Every change that the store had accepted by this time is known here.
  Instant current_at() const { return current_at_; }
  Duration Age() const { return context_.clock.Now() - current_at_; }
  // Whether a reader's answer with changes is arriving.
  bool IsReceiving() const {
    return request_timer_ && links_.partial_bytes(requested_from_) != 0;
  }

 private:
  StoreFollower::Handlers FollowerHandlers();
  void OnItems(const std::vector<StoreItem>& items);
  void OnChange(const StoreChange& change);
  void Settle();
  // The revision up to which every change is known here.
  StoreRevision Known() const { return follower_.revision(); }
  // The latest change up to that revision.
  StoreRevision LatestKnown() const {
    return std::min(Known(), follower_.latest_change());
  }
  // Whether some state was read or received.
  bool HasState() const { return Known() != StoreRevision(); }
  // Whether `revision` is of the store's present era, as far as this router
  // knows.
  bool IsOfPresentEra(StoreRevision revision) const {
    return revision.era == std::max(Known().era, context_.store.era());
  }
  bool IsReader() const { return state() == FeedState::kReader; }

  void Apply(FeedEvent event);
  void Do(FeedAction action);
  void SetLost(bool lost);

  bool IsValid(const PeerMessage& message) const;
  void OnMark(const FeedMark& mark);
  void OnUpdate(const FeedUpdate& update);
  void OnState(const PeerMessage& message);
  void ApplyState(const FeedUpdate& update);
  void ApplyChanges(const FeedUpdate& update);
  void OnStoreAnswered(Instant asked_at);
  void MarkCurrent(Instant at);
  void MarkCurrentByReader(Instant at);

  // Questions to the store and to readers.
  void CheckWait();
  void PollReaders();
  void AskForMarkRequests();
  void SendMarkRequest(const Incarnation& peer);
  void OnMarkRequest(const PeerMessage& message);
  void OnMarkAnswer(const PeerMessage& message);
  void AnswerMarkRequests();

  // Functions of readers.
  void RecordChange(const StoreChange& change);
  void SendPending();
  // Whether changes of this size are only announced, and sent on request.
  bool ShouldOnlyAnnounce(std::size_t bytes) const;
  void PackValues(FeedUpdate& update);
  void SendState(const PeerMessage& request);

  // Functions of routers that are behind.
  void OnBehind(StoreRevision revision);
  void RequestState();
  void StartRequestTimer();
  void OnRequestTimeout();
  void WaitForReaders(Duration within);

  FeedContext context_;
  Options options_;
  Handlers on_;
  FeedLinks links_;
  StoreFollower follower_;
  ChartMachine<FeedState, FeedEvent, FeedAction> machine_;
  Instant current_at_{};
  std::minstd_rand random_{std::random_device{}()};
  // `Options::fresh_for` with a random part.
  Duration fresh_for_;
  // The largest age of an answer by which a router is current.
  Duration max_reader_age_;
  bool store_lost_ = false;
  ReaderPoll poll_;
  Instant checked_at_{};
  // Peers whose mark requests wait for the store's answer, with the time that
  // each request carries.
  std::map<Incarnation, std::int64_t> mark_requests_;
  // Runs until these requests are answered.
  std::unique_ptr<Timer> answer_timer_;
  // Runs until the store is asked because a reader hasn't answered.
  std::unique_ptr<Timer> ask_timer_;

  // At a reader, whether `items_` holds all items.
  bool has_items_ = false;
  FeedItemTable items_;
  PackedValueCache packed_values_;
  // Changes after `announced_revision_`, not yet sent to the hall.
  std::vector<StoreChange> pending_;
  StoreRevision announced_revision_;

  // The latest revision that a peer is known to have.
  StoreRevision peer_revision_;
  // The pages received so far of an answer, and the time as of which they are
  // current.
  FeedPageAssembler pages_;
  Instant pages_current_at_{};
  // Runs until a reader has sent all items at the start, or the store is read.
  std::unique_ptr<Timer> start_timer_;
  // Index of the linked reader that gets the next request.
  std::size_t reader_index_ = 0;
  // The reader that got the last request, and what had arrived of its next
  // message when this was last looked at.
  Incarnation requested_from_;
  std::uint64_t partial_bytes_ = 0;
  // Time after which the request goes to another reader, unless its answer is
  // arriving.
  Duration request_timeout_{};
  std::unique_ptr<Timer> request_timer_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STATE_FEED_H_
