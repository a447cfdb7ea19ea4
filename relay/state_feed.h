// StateFeed keeps one prefix of the store known to this router, with few calls
// of the whole fleet.
//
//   StateFeed feed(context, options, handlers, links);
//   feed.Start();
//   feed.SetRole(fleet.IsReader(self), fleet.readers());
//   feed.OnPeer(message);                  // each message of a peer
//   feed.Check();                          // some times a second
//   sign.marks[options.name] = *feed.Mark();
//
// In a small fleet each router follows the store itself (kv/follower.h). In a
// larger one that costs a call of each router for every change, and one for
// every wait that ends without: 295 routers made 11,000 to 30,000 calls in a
// day of 48 s, most of them for this. So a few routers of each hall are its
// **readers**. They are the holders of the hall (fleet/fleet.h), who follow
// from the list of routers; nobody is appointed, and the links are there.
// Readers follow the store and tell their hall and each other. The others make
// no calls while they are told. The states are chart/charts/feed.json.
//
// The store stays the only truth. News carry the store's revisions, and take
// effect only if they lead on from what is known here; whoever has missed some
// asks a reader for what has changed since, page by page (relay/feed_pages.h).
// What is older than what is known is passed over, whoever shows it, so nothing
// ever goes back.
//
// A store that has come back from an older copy of itself (kv/store.h) is in a
// later era. Whoever calls it reads all anew as soon as any answer shows that.
// Readers announce the later era and send all items to who asks; what is told
// of an earlier era than is known here shows nothing, not even that nothing has
// changed.
//
// No rule depends on a reader's life. A router is told that nothing has
// changed, as well as what has: each sign of life of a reader carries the age
// of its knowledge (`FeedMark`), the least of what the store and the other
// readers have shown it, and something for the way (`kOnTheWay`), so that
// readers without the store can't keep each other current. A router that has
// not been shown for `kFreshFor` that
// it is current calls the store itself from then on, until a reader is current
// again. So a reader that is dead, frozen, cut off on either side or slow holds
// nobody back for longer, and one that is behind turns nobody back. With the
// call's own time a router that reaches the store knows each change after at
// most kFreshFor + kFreshSpread + the interval of `Check`, about 2 s.
//
// What shows a reader that it is current: the store has answered, while a wait
// for changes is under way that it would have answered before. Any call's
// answer counts, that of another feed's wait among them, as holders call the
// store all the time for the budgets. Where they don't, readers end their waits
// often enough that together they ask about once in `kAskEvery`, however many
// they are, so that the calls don't grow with the fleet. A wait that was
// swallowed ends after `kLongestPatience`, and sooner if another reader's sign
// of life shows a change.
//
// A store that is lost. Routers that are told take the lack of signs for a loss
// of the store, and the first sign after it for its return, and report both as
// a follower does; relay/target_follower.h depends on that.
//
// It owns the follower, what is known to be current, and at readers all items.
// Loop, clock, store and chart must outlive it. News that can't be or come from
// a router that isn't a reader change nothing and leave a line in the log. Lost
// news are made up for by the next sign of life.

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

// How a feed reaches other routers, and the other feeds of its process.
struct FeedLinks {
  // Sends a message to one peer.
  std::function<void(const Incarnation&, PeerMessage)> send;
  // Sends a message to all that a reader tells: its hall and other readers.
  std::function<void(PeerMessage)> tell;
  // By this router's list of routers.
  std::function<bool(const Incarnation&)> is_reader;
  // Those that are linked, in the order in which this router asks them.
  std::function<std::vector<Incarnation>()> readers;
  // The store has answered a call of `feed`; see `TellOthersOfAnswer`.
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
  // How long a router does without a sign that it is current. Signs come from
  // several readers each second (relay/peer_mesh.h), so it is a few lost ones.
  // The least of the users' bounds for a configuration in force is 2 s. Not
  // compared with other values.
  static constexpr Duration kFreshFor = std::chrono::milliseconds(1500);

  // How long a router that starts waits for a reader's items. Links are open
  // some hundred milliseconds after the list of routers was read.
  static constexpr Duration kToldWithin = std::chrono::milliseconds(3000);

  struct Options {
    FeedName name = FeedName::kConfig;
    StoreFollower::Options follower;
    // Longer than `kFreshFor` for what peers tell each other by other ways as
    // well.
    Duration fresh_for = kFreshFor;
  };
  // As of a follower; `answered` is not used.
  using Handlers = StoreFollower::Handlers;

  StateFeed(const FeedContext& context, Options options, Handlers handlers,
            FeedLinks links);

  FeedName name() const { return options_.name; }

  void Start() { follower_.Start(); }
  // The same in a fleet that has readers: asks one of them for all items, and
  // the store only if none has begun to send them `within` that time.
  void StartFromReaders(Duration within = kToldWithin);
  // Whether this router is one of the fleet's `readers` readers.
  void SetRole(bool is_reader, std::size_t readers);
  void OnPeer(const PeerMessage& message);
  // The store has answered some call of this router.
  void OnStoreAnswered();
  // The store has named a later era, in the answer to any call of this router.
  void OnStoreEra() { follower_.CheckEra(); }
  // Notices that nobody has shown for too long that this router is current.
  void Check();
  // There is reason to think that this router's call is lost.
  void AskAgain();
  // A peer knows this revision, which isn't known here.
  void AskFor(StoreRevision revision);

  // What a reader says in a sign of life; nothing at others.
  std::optional<FeedMark> Mark() const;
  // Every change up to this revision of the store has been handed out.
  StoreRevision known() const { return Known(); }
  // As of the follower.
  StoreRevision latest_change() const { return follower_.latest_change(); }
  // Every change up to that revision is known here. That an item of it is known
  // says less: a read in pages may show a later item and miss an earlier
  // change.
  bool HasRead(StoreRevision revision) const { return revision <= Known(); }
  FeedState state() const { return machine_.state(); }
  // Since when this router is not known to be current.
  Duration Age() const { return context_.clock.Now() - current_at_; }

 private:
  StoreFollower::Handlers FollowerHandlers();
  void OnItems(const std::vector<StoreItem>& items);
  void OnChange(const StoreChange& change);
  void Settle();
  // Every change up to this revision is known here.
  StoreRevision Known() const { return follower_.revision(); }
  // The latest change of which that can be said.
  StoreRevision LatestKnown() const {
    return std::min(Known(), follower_.latest_change());
  }
  // Something was read or told.
  bool KnowsAny() const { return Known() != StoreRevision(); }
  // What is known is of the store's present era, as far as this router knows.
  bool IsOfPresentEra(StoreRevision revision) const {
    return revision.era == std::max(Known().era, context_.store.era());
  }
  bool IsReader() const { return state() == FeedState::kReader; }

  void Apply(FeedEvent event);
  void Do(FeedAction action);
  void SetLost(bool lost);

  bool IsSound(const PeerMessage& message) const;
  void OnMark(const FeedMark& mark);
  void OnNews(const FeedNews& news);
  void OnState(const FeedNews& news);
  void TakeState(FeedNews news);
  void TakeChanges(const FeedNews& news);
  void OnAnswered();
  Duration NextPatience();
  void ShownCurrent(Duration age);
  void ShownByReader(Duration age);

  // Readers.
  void Keep(const StoreChange& change);
  void TellPending();
  // Whether changes of so many bytes are announced, and not sent unasked.
  bool IsCheaperAsked(std::size_t bytes) const;
  void SendState(const Incarnation& peer, const FeedNews& wanted);

  // Routers that are behind.
  void OnBehind(StoreRevision revision);
  void AskReader();
  void AskNextReader();
  void WaitForReaders(Duration within);

  FeedContext context_;
  Options options_;
  Handlers on_;
  FeedLinks links_;
  StoreFollower follower_;
  ChartMachine<FeedState, FeedEvent, FeedAction> machine_;
  // Nothing had changed by then that isn't known here.
  Instant current_at_;
  std::minstd_rand random_{std::random_device{}()};
  // How long this router does without a sign.
  Duration patience_;
  // Of the fleet, at a reader.
  std::size_t readers_ = 0;
  // When the store last answered a call of another part.
  Instant store_answered_at_{};
  bool lost_ = false;

  // At a reader, all items there are, once they were read.
  bool has_items_ = false;
  FeedItemBook items_;
  // Changes after `told_up_to_`, of which the hall isn't told yet.
  std::vector<StoreChange> pending_;
  StoreRevision told_up_to_;

  // The latest change that a peer is known to have.
  StoreRevision behind_;
  // Of an answer that has begun to come, and when its pages show that nothing
  // else had changed.
  FeedPageReader pages_;
  Instant pages_shown_at_{};
  // Runs until a reader has sent all items at the start, or the store is asked.
  std::unique_ptr<Timer> start_timer_;
  // Which of the linked readers is asked.
  std::size_t asked_ = 0;
  // Until another one is.
  Duration ask_patience_{};
  std::unique_ptr<Timer> behind_timer_;
};

// The store has answered `feed`, which shows the other feeds of its process
// that they are current, and that they needn't ask as often. Not the feed
// itself: its own answers say nothing of how often others come.
inline void TellOthersOfAnswer(std::span<StateFeed* const> feeds,
                               const StateFeed& feed) {
  for (StateFeed* it : feeds) {
    if (it != &feed) it->OnStoreAnswered();
  }
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_STATE_FEED_H_
