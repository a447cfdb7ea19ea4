#include "relay/state_feed.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"
#include "relay/own_wait.h"

namespace quaytrack {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Added to `Options::fresh_for`: a random time up to this, drawn once by each
// router, so that routers that lose their readers or the store at the same
// moment don't all call at once.
constexpr Duration kFreshSpread = milliseconds(300);
// A heartbeat whose age is at most this ends a router's own calls. It is less
// than `kFreshFor`, so that routers don't switch back and forth.
constexpr Duration kMaxHeartbeatAge = milliseconds(1000);

// Time added to each age in a peer's message, as the age doesn't include the
// transit. When fifteen readers pass an age on to each other, each sending once
// a second, an age without this addition would come out younger by fifteen
// transit times. With it the age grows unless a message takes longer; links of
// a fleet take some milliseconds.
constexpr Duration kTransitTime = milliseconds(100);

// The interval at which all readers of a fleet together call the store if
// holders don't. Of the five readers that a router is linked to, the latest
// heartbeat then nearly always shows an age below `kMaxHeartbeatAge`. If it
// doesn't, the routers of a hall switch to reading the store, and back.
constexpr Duration kFleetCallInterval = milliseconds(80);
// Bounds for one reader's wait. The lower bound is much longer than a call,
// which takes some milliseconds; by the upper bound a lost wait is noticed
// within the limit of 3 s.
constexpr Duration kMinWaitTimeout = milliseconds(500);
constexpr Duration kMaxWaitTimeout = milliseconds(2000);
// Each wait lasts a random share of its length, from this to 1, so that readers
// that started together don't call together.
constexpr double kMinTimeoutShare = 0.5;
// While the store has answered other calls within this time, short waits are
// needless.
constexpr Duration kRecentAnswer = milliseconds(500);

// Pauses between calls that fail. Readers retry often, as all routers depend on
// them. The other routers are many and will be notified by readers: with a
// first pause of 500 ms, 280 of them made 3,400 calls around a cut of 8 s.
constexpr Duration kReaderRetry = milliseconds(250);
constexpr Duration kFirstRetry = milliseconds(2000);
constexpr Duration kMaxRetry = milliseconds(4000);

// Changes of up to this many bytes of values are always sent without a request.
// Each router is notified by several readers but sends a request to only one of
// them, and a configuration may be large: sending 100 kB to 60 routers takes a
// reader's link of 20 Mbit/s 7 s if sent three times, and 0.8 s if sent once.
constexpr std::size_t kAlwaysSentBytes = 8 * 1024;
// Larger changes are also sent without a request if all items are at least this
// many times as large, and up to `kMaxUnrequestedBytes`: for some dozen changes
// in a long list, a round trip costs more than it saves.
constexpr std::size_t kMinItemsToChangesRatio = 4;
// Changes above this limit are sent only on request: without one, each reader
// of a hall sends them to all its routers, while the answer to a request comes
// from one reader only.
constexpr std::size_t kMaxUnrequestedBytes = 32 * 1024;
// A request without an answer goes to another reader after this time, and to
// the next one after twice as long. A reader that is slow to answer is likely
// to have many requests.
constexpr Duration kFirstRequestTimeout = milliseconds(300);
constexpr Duration kMaxRequestTimeout = milliseconds(2400);

Duration ReaderWaitTimeout(std::size_t readers) {
  const Duration timeout = kFleetCallInterval * static_cast<int>(readers);
  return std::clamp(timeout, kMinWaitTimeout, kMaxWaitTimeout);
}

std::size_t BytesOf(const std::vector<StoreChange>& changes) {
  std::size_t out = 0;
  for (const StoreChange& it : changes) out += it.item.value.size();
  return out;
}

}  // namespace

StateFeed::StateFeed(const FeedContext& context, Options options,
                     Handlers handlers, FeedLinks links)
    : context_(context),
      options_(std::move(options)),
      on_(std::move(handlers)),
      links_(std::move(links)),
      follower_(context.loop, context.store, options_.follower,
                FollowerHandlers()),
      machine_(context.chart),
      current_at_(context.clock.Now()),
      fresh_for_(options_.fresh_for + Jittered(random_, kFreshSpread, 0, 1)) {}

void StateFeed::StartFromReaders(Duration within) {
  if (HasState() || IsReader()) return;
  WaitForReaders(within);
}

// Waits for `within`, then lets this router follow the store itself, starting
// from the items that it has. Does nothing if a reader has shown by then that
// this router is current. Waits again while a reader is sending pages.
void StateFeed::WaitForReaders(Duration within) {
  start_timer_ = context_.loop.After(within, [this, within] {
    start_timer_.reset();
    if (state() != FeedState::kReading) return;
    if (pages_.IsInProgress()) return WaitForReaders(within);
    follower_.Resume();
  });
}

// --- Results of the store ----------------------------------------------------

StoreFollower::Handlers StateFeed::FollowerHandlers() {
  StoreFollower::Handlers on;
  on.replaced = [this](const std::vector<StoreItem>& it) { OnItems(it); };
  on.changed = [this](const StoreChange& it) { OnChange(it); };
  on.settled = [this] { Settle(); };
  on.reachable = [this](bool reachable) { SetLost(!reachable); };
  on.answered = [this] { OnAnswered(); };
  return on;
}

void StateFeed::OnAnswered() {
  MarkCurrent(Duration::zero());
  links_.store_answered(*this);
  if (IsReader()) follower_.SetWaitTimeout(NextWaitTimeout());
}

Duration StateFeed::NextWaitTimeout() {
  const Instant now = context_.clock.Now();
  const bool busy = now - store_answered_at_ < kRecentAnswer;
  return Jittered(random_, busy ? kMaxWaitTimeout : ReaderWaitTimeout(readers_),
                  kMinTimeoutShare, 1);
}

void StateFeed::OnStoreAnswered() {
  store_answered_at_ = context_.clock.Now();
  if (!IsOfPresentEra(Known())) return;
  if (IsReader() && !store_lost_ && follower_.IsWaiting()) {
    current_at_ = store_answered_at_;
  }
}

void StateFeed::OnItems(const std::vector<StoreItem>& items) {
  if (IsReader() && has_items_) {
    pending_ = items_.Replace(items, Known());
  } else if (IsReader()) {
    items_.Start(items, Known());
    has_items_ = true;
  }
  on_.replaced(items);
}

void StateFeed::OnChange(const StoreChange& change) {
  if (IsReader()) RecordChange(change);
  on_.changed(change);
}

void StateFeed::Settle() {
  on_.settled();
  SendPending();
  announced_revision_ = LatestKnown();
}

void StateFeed::SetLost(bool lost) {
  if (lost == store_lost_) return;
  store_lost_ = lost;
  on_.reachable(!lost);
}

// --- States ------------------------------------------------------------------

void StateFeed::SetRole(bool is_reader, std::size_t readers) {
  readers_ = readers;
  Apply(is_reader ? FeedEvent::kChosen : FeedEvent::kResigned);
}

void StateFeed::Check() {
  if (state() == FeedState::kNotified && Age() > fresh_for_) {
    Apply(FeedEvent::kStale);
  }
}

void StateFeed::Apply(FeedEvent event) {
  const FeedState before = state();
  const FeedAction action = machine_.Apply(event);
  if (state() != before) {
    const auto age_ms = duration_cast<milliseconds>(Age()).count();
    LogEvent(Event::kFeedState, {{"feed", std::string(NameOf(options_.name))},
                                 {"state", std::string(NameOf(state()))},
                                 {"age_ms", std::to_string(age_ms)}});
  }
  Do(action);
}

void StateFeed::Do(FeedAction action) {
  switch (action) {
    case FeedAction::kNone:
      return;
    case FeedAction::kStopCalling:
      start_timer_.reset();
      return follower_.Pause();
    case FeedAction::kResumeCalls:
      SetLost(true);
      follower_.SetRetry(kFirstRetry, kMaxRetry);
      return follower_.Resume();
    case FeedAction::kReadForAll:
      follower_.SetWaitTimeout(NextWaitTimeout());
      follower_.SetRetry(kReaderRetry, kReaderRetry);
      return follower_.ReadAgain();
    case FeedAction::kReadForItself:
      has_items_ = false;
      items_.Clear();
      follower_.SetWaitTimeout(options_.follower.wait_timeout);
      return follower_.SetRetry(kFirstRetry, kMaxRetry);
  }
}

// --- Messages from readers ---------------------------------------------------

void StateFeed::OnPeer(const PeerMessage& message) {
  const auto mark = message.marks.find(options_.name);
  // The lists of two routers may differ for a while, so a mark of a router that
  // isn't known as a reader is no fault, and is ignored.
  if (mark != message.marks.end() && links_.is_reader(message.from)) {
    OnMark(mark->second);
  }
  if (message.update.feed != options_.name) return;
  switch (message.kind) {
    case PeerMessageKind::kUpdate:
      if (IsValid(message)) OnUpdate(message.update);
      return;
    case PeerMessageKind::kState:
      if (IsValid(message)) OnState(message.update);
      return;
    case PeerMessageKind::kStateRequest:
      return SendState(message.from, message.update);
    default:
      return;
  }
}

bool StateFeed::IsValid(const PeerMessage& message) const {
  const FeedUpdate& update = message.update;
  const auto in_span = [&](const StoreChange& it) {
    return it.item.revision <= update.revision;
  };
  const char* problem = nullptr;
  if (!links_.is_reader(message.from)) {
    problem = "not from a reader";
  } else if (update.since < StoreRevision() ||
             update.since >= update.revision) {
    problem = "revisions out of order";
  } else if (!std::all_of(update.changes.begin(), update.changes.end(),
                          in_span)) {
    problem = "a change after the update's revision";
  }
  if (problem == nullptr) return true;
  LogEvent(Event::kFeedNewsRefused,
           {{"feed", std::string(NameOf(options_.name))},
            {"peer", message.from.value},
            {"problem", problem}});
  return false;
}

void StateFeed::OnMark(const FeedMark& mark) {
  // This router has no state yet, so it is behind whatever the reader's
  // revision.
  if (start_timer_ && !HasState()) return OnBehind(1);
  if (!HasRead(mark.revision)) return OnBehind(mark.revision);
  if (!IsOfPresentEra(mark.revision)) return;
  MarkCurrentByReader(mark.age);
}

void StateFeed::OnUpdate(const FeedUpdate& update) {
  if (update.revision <= Known()) return OnMark({update.revision, update.age});
  // The read in progress shows all changes of `update`.
  if (IsReader() && !has_items_) return;
  const bool leads_on =
      update.since <= Known() && update.since.era == update.revision.era;
  if (update.only_notice || !leads_on) return OnBehind(update.revision);
  // The end of an outage is reported before the removals made during it.
  MarkCurrent(update.age + kTransitTime);
  ApplyChanges(update);
  MarkCurrentByReader(update.age);
}

// Applies the changes that aren't known yet. Two readers may batch the same
// changes differently, so some may be known.
void StateFeed::ApplyChanges(const FeedUpdate& update) {
  const StoreRevision known = Known();
  StoreRevision latest(update.revision.era, 0);
  for (const StoreChange& it : update.changes) {
    if (it.item.revision <= known) continue;
    latest = std::max(latest, it.item.revision);
    OnChange(it);
  }
  follower_.SkipTo(update.revision, latest);
  Settle();
}

void StateFeed::OnState(const FeedUpdate& update) {
  if (update.revision <= Known()) return;
  const bool leads_on =
      update.since == StoreRevision() ||
      (update.since <= Known() && update.since.era == update.revision.era);
  if (!leads_on) return;
  const Instant shown_at = context_.clock.Now() - update.age;
  const bool begins = update.after.empty();
  pages_shown_at_ = begins ? shown_at : std::min(pages_shown_at_, shown_at);
  const PageStep step = pages_.AddPage(update);
  if (step == PageStep::kIgnored) return;
  request_timeout_ = kFirstRequestTimeout;
  if (step == PageStep::kComplete) ApplyState(pages_.Finish());
  request_timer_.reset();
  if (HasRead(peer_revision_)) return pages_.Drop();
  RequestState();
}

void StateFeed::ApplyState(FeedUpdate update) {
  if (update.revision <= Known()) return;
  update.age = context_.clock.Now() - pages_shown_at_;
  MarkCurrent(update.age + kTransitTime);
  if (update.since != StoreRevision()) {
    ApplyChanges(update);
    return MarkCurrentByReader(update.age);
  }
  std::vector<StoreItem> items;
  StoreRevision latest(update.revision.era, 0);
  for (const StoreChange& it : update.changes) {
    items.push_back(it.item);
    latest = std::max(latest, it.item.revision);
  }
  follower_.SkipTo(update.revision, latest);
  OnItems(items);
  Settle();
  MarkCurrentByReader(update.age);
}

// Called when every change made up to `age` ago is known here, or is about to
// be passed to the handlers.
void StateFeed::MarkCurrent(Duration age) {
  current_at_ = std::max(current_at_, context_.clock.Now() - age);
  if (age <= kMaxHeartbeatAge) SetLost(false);
}

// Called when a reader has shown that this router is current, so that this
// router needs no calls of its own.
void StateFeed::MarkCurrentByReader(Duration age) {
  MarkCurrent(age + kTransitTime);
  if (age <= kMaxHeartbeatAge && HasState()) Apply(FeedEvent::kReaderCurrent);
}

std::optional<FeedMark> StateFeed::Mark() const {
  if (!IsReader() || !has_items_) return std::nullopt;
  return FeedMark{LatestKnown(), Age()};
}

// --- Readers -----------------------------------------------------------------

void StateFeed::RecordChange(const StoreChange& change) {
  items_.Apply(change);
  pending_.push_back(change);
}

void StateFeed::SendPending() {
  const std::vector<StoreChange> changes = std::exchange(pending_, {});
  if (changes.empty() || !IsReader()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kUpdate;
  out.update.feed = options_.name;
  out.update.since = announced_revision_;
  out.update.revision = Known();
  out.update.age = Age();
  const bool leads_on = announced_revision_.era == Known().era;
  out.update.only_notice = !leads_on || ShouldOnlyAnnounce(BytesOf(changes));
  if (!out.update.only_notice) out.update.changes = changes;
  links_.publish(std::move(out));
}

bool StateFeed::ShouldOnlyAnnounce(std::size_t bytes) const {
  if (bytes <= kAlwaysSentBytes) return false;
  return bytes > kMaxUnrequestedBytes ||
         bytes > items_.bytes() / kMinItemsToChangesRatio;
}

void StateFeed::SendState(const Incarnation& peer, const FeedUpdate& wanted) {
  if (!IsReader() || !has_items_) return;
  // An item of a list that was read in pages may be of a later change than
  // `Known`; the next wait reports that change at once.
  if (Known() < follower_.latest_change()) return;
  auto page = items_.PageFor(wanted, Known());
  if (!page) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kState;
  out.update = std::move(*page);
  out.update.feed = options_.name;
  out.update.age = Age();
  links_.send(peer, std::move(out));
}

// --- Routers that are behind -------------------------------------------------

void StateFeed::OnBehind(StoreRevision revision) {
  peer_revision_ = std::max(peer_revision_, revision);
  if (request_timer_) return;
  request_timeout_ = kFirstRequestTimeout;
  if (state() == FeedState::kNotified || start_timer_) return RequestState();
  request_timer_ = context_.loop.After(kLocalWaitTime, [this] {
    request_timer_.reset();
    if (HasRead(peer_revision_)) return;
    ReadUpTo(peer_revision_);
    RequestState();
  });
}

void StateFeed::RequestState() {
  const std::vector<Incarnation> readers = links_.readers();
  if (readers.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kStateRequest;
  out.update = pages_.Next(Known());
  out.update.feed = options_.name;
  links_.send(readers[reader_index_ % readers.size()], std::move(out));
  request_timer_ = context_.loop.After(request_timeout_, [this] {
    request_timer_.reset();
    if (HasRead(peer_revision_)) return pages_.Drop();
    RequestFromNextReader();
  });
}

void StateFeed::RequestFromNextReader() {
  ++reader_index_;
  request_timeout_ = std::min(request_timeout_ * 2, kMaxRequestTimeout);
  RequestState();
}

void StateFeed::RestartWait() {
  if (state() != FeedState::kNotified) follower_.RestartWait();
}

// A wait that starts at a revision of an earlier era may stay unanswered even
// though much has changed, so everything is read again for a later era.
void StateFeed::ReadUpTo(StoreRevision revision) {
  if (revision.era == Known().era) return RestartWait();
  if (state() != FeedState::kNotified) follower_.ReadAgain();
}

}  // namespace quaytrack
