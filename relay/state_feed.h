// StateFeed keeps this router's copy of one prefix of the store up to date,
// with few calls of the fleet as a whole.
//
//   StateFeed feed(context, options, handlers, links);
//   feed.Start();
//   feed.SetRole(fleet.IsReader(self), fleet.readers());
//   feed.OnPeer(message);                  // each message of a peer
//   feed.Check();                          // several times a second
//   heartbeat.marks[options.name] = *feed.Mark();
//
// In a small fleet each router follows the store itself (kv/follower.h). In a
// larger one, following costs a call of each router for every change, and one
// for every wait that ends without a change. So a few routers of each hall are
// its **readers**: the holders of the hall (fleet/fleet.h). The list of routers
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
// No rule depends on a reader staying alive. Routers are notified that nothing
// has changed, as well as of changes: each heartbeat of a reader carries the
// age of its knowledge (`FeedMark`). The age is the lowest of those that the
// store and the other readers have shown, plus `kTransitTime` for the transit,
// so that readers without the store can't keep each other current. A router
// that wasn't shown for `kFreshFor` that it is current calls the store itself
// from then on, until a reader is current again. So a reader that is dead,
// frozen, cut off on either side or slow delays no router for longer, and a
// reader that is behind sets no router back. Including the time of the call, a
// router that reaches the store knows each change after at most kFreshFor +
// kFreshSpread + the interval of `Check`, about 2 s.
//
// A reader counts as current when the store answers a call while a wait for
// changes is open that the store would have answered before. The answer to any
// call counts, including another feed's wait, as holders call the store all the
// time for the budgets. Where they don't, readers end their waits often enough
// that together they call about once in `kFleetCallInterval`, however many they
// are, so the calls don't grow with the fleet. A wait that was lost ends after
// `kMaxWaitTimeout`, or sooner if another reader's heartbeat shows a change.
//
// Loss of the store. Routers that rely on readers take missing heartbeats for a
// loss of the store, and the first heartbeat after it for its return, and
// report both as a follower does; relay/target_follower.h depends on that.
//
// StateFeed owns the follower, the time up to which its state is current and,
// at readers, all items. Loop, clock, store and chart must outlive it. An
// update that is invalid or doesn't come from a reader changes nothing and is
// logged. The next heartbeat makes up for lost updates.

#ifndef QUAYTRACK_RELAY_STATE_FEED_H_
#define QUAYTRACK_RELAY_STATE_FEED_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kv/follower.h"
#include "net/loop.h"
#include "relay/feed_chart.h"
#include "relay/feed_news.h"
#include "relay/feed_pages.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class StateFeed;

// Connects a feed to other routers, and to the other feeds of its process.
struct FeedLinks {
  // Sends a message to one peer.
  std::function<void(const Incarnation&, PeerMessage)> send;
  // Sends a message to every router that relies on this reader: those of its
  // hall and the other readers.
  std::function<void(PeerMessage)> publish;
  // Whether the peer is a reader, by this router's list of routers.
  std::function<bool(const Incarnation&)> is_reader;
  // The linked readers, in the order in which this router sends them requests.
  std::function<std::vector<Incarnation>()> readers;
  // Called when the store has answered a call of `feed`; see
  // `NotifyOtherFeeds`.
  std::function<void(const StateFeed& feed)> store_answered =
      [](const StateFeed&) {};
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
  // How long a router relies on the last heartbeat that showed it to be
  // current. Several readers send one each second (relay/peer_mesh.h), so this
  // allows for a few lost ones. The tightest bound is 2 s, for a configuration
  // to be in force.
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
  // The handlers of a StoreFollower; `answered` is not used.
  using Handlers = StoreFollower::Handlers;

  StateFeed(const FeedContext& context, Options options, Handlers handlers,
            FeedLinks links);

  FeedName name() const { return options_.name; }

  void Start() { follower_.Start(); }
  // Starts the feed in a fleet that has readers: requests all items from a
  // reader, and reads the store only if no reader has started to send them
  // within `within`.
  void StartFromReaders(Duration within = kDefaultReaderTimeout);
  // Sets whether this router is one of the fleet's `readers` readers.
  void SetRole(bool is_reader, std::size_t readers);
  void OnPeer(const PeerMessage& message);
  // Called when the store has answered some call of this router.
  void OnStoreAnswered();
  // Called when an answer to some call of this router has shown a later era of
  // the store.
  void OnStoreEra() { follower_.CheckEra(); }
  // Detects that this router wasn't shown to be current for too long.
  void Check();
  // Starts the open wait for changes again, as it may be lost.
  void RestartWait();
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
  // Time since this router was last known to be current.
  Duration Age() const { return context_.clock.Now() - current_at_; }

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
  void OnState(const FeedUpdate& update);
  void ApplyState(FeedUpdate update);
  void ApplyChanges(const FeedUpdate& update);
  void OnAnswered();
  Duration NextWaitTimeout();
  void MarkCurrent(Duration age);
  void MarkCurrentByReader(Duration age);

  // Functions of readers.
  void RecordChange(const StoreChange& change);
  void SendPending();
  // Whether changes of this size are only announced, and sent on request.
  bool ShouldOnlyAnnounce(std::size_t bytes) const;
  void SendState(const Incarnation& peer, const FeedUpdate& wanted);

  // Functions of routers that are behind.
  void OnBehind(StoreRevision revision);
  void RequestState();
  void RequestFromNextReader();
  void WaitForReaders(Duration within);

  FeedContext context_;
  Options options_;
  Handlers on_;
  FeedLinks links_;
  StoreFollower follower_;
  ChartMachine<FeedState, FeedEvent, FeedAction> machine_;
  // The time at which every change of the store was known here.
  Instant current_at_;
  std::minstd_rand random_{std::random_device{}()};
  // How long this router relies on the last heartbeat that showed it to be
  // current.
  Duration fresh_for_;
  // Number of the fleet's readers; set at readers.
  std::size_t readers_ = 0;
  // When the store last answered a call of another part of this process.
  Instant store_answered_at_{};
  bool store_lost_ = false;

  // At a reader, whether `items_` holds all items.
  bool has_items_ = false;
  FeedItemTable items_;
  // Changes after `announced_revision_`, not yet sent to the hall.
  std::vector<StoreChange> pending_;
  StoreRevision announced_revision_;

  // The latest revision that a peer is known to have.
  StoreRevision peer_revision_;
  // The pages received so far of an answer, and the lowest time at which they
  // were current.
  FeedPageAssembler pages_;
  Instant pages_shown_at_{};
  // Runs until a reader has sent all items at the start, or the store is read.
  std::unique_ptr<Timer> start_timer_;
  // Index of the linked reader that gets the next request.
  std::size_t reader_index_ = 0;
  // Time after which the request goes to another reader.
  Duration request_timeout_{};
  std::unique_ptr<Timer> request_timer_;
};

// Notifies the other feeds of a process that the store has answered `feed`:
// they are current, and needn't call as often. `feed` itself isn't notified, as
// its own calls say nothing of how often other calls are answered.
inline void NotifyOtherFeeds(std::span<StateFeed* const> feeds,
                             const StateFeed& feed) {
  for (StateFeed* it : feeds) {
    if (it != &feed) it->OnStoreAnswered();
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STATE_FEED_H_
