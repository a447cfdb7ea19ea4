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

// Up to so much longer, drawn by each router once: when all lose their readers
// or the store at the same moment, they don't all call at once. Not measured.
constexpr Duration kFreshSpread = milliseconds(300);
// A sign no older than this ends a router's own calls. Less than `kFreshFor`,
// so that routers don't go to and fro. Not measured.
constexpr Duration kFreshAgain = milliseconds(1000);

// Added to each age that a peer tells, since the time on the way isn't in it.
// Fifteen readers that pass an age on from one to the next, each sending once a
// second, make it younger by fifteen times what a message takes; with this much
// added for each, it grows unless a message takes longer. Links of a fleet take
// some milliseconds. Not measured.
constexpr Duration kOnTheWay = milliseconds(100);

// All readers of a fleet whose holders don't call the store together ask it
// about so often. Of five readers that a router is linked to, the youngest sign
// is then younger than `kFreshAgain` nearly always. With 130 ms, and waits and
// signs in step after a common start, 280 routers went to and fro between being
// told and reading every two seconds: 18,400 calls in a day of 48 s.
constexpr Duration kAskEvery = milliseconds(80);
// Bounds for one reader's wait: a call takes some milliseconds, and a wait that
// was swallowed has to be noticed within the users' 3 s. Not measured.
constexpr Duration kShortestPatience = milliseconds(500);
constexpr Duration kLongestPatience = milliseconds(2000);
// Each wait is drawn from between this part of it and all of it, so that
// readers that started together don't ask together. Not measured.
constexpr double kLeastPatience = 0.5;
// Other calls answered as recently as this make short waits needless.
constexpr Duration kAnsweredLately = milliseconds(500);

// Pauses between calls that fail. Readers keep trying, as all depend on them.
// The others are many and will be told: with a first pause of 500 ms, 280 of
// them made 3,400 calls around a cut of 8 s.
constexpr Duration kReaderRetry = milliseconds(250);
constexpr Duration kFirstRetry = milliseconds(2000);
constexpr Duration kLongestRetry = milliseconds(4000);

// Values of more bytes together aren't sent unasked. Each router is told by
// several readers and asks only one of them, and a configuration may be large:
// at 100 kB, telling 60 routers three times takes a link of 20 Mbit/s 7 s for
// each reader, and once 0.8 s. Reckoned, not measured.
constexpr std::size_t kMostUnasked = 8 * 1024;
// But a round trip for some dozen changes in a long list costs more than it
// saves, so changes are sent unasked up to this part of all items, and up to
// `kMostInOneMessage`.
constexpr std::size_t kPartOfAll = 4;
// Each reader of a hall sends this to all its routers; what is asked for comes
// from one of them.
constexpr std::size_t kMostInOneMessage = 32 * 1024;
// After so long another reader is asked, and after twice that the next. Who is
// slow to answer is likely to have many that ask.
constexpr Duration kAskAgainAfter = milliseconds(300);
constexpr Duration kLongestAskPatience = milliseconds(2400);

Duration ReaderPatience(std::size_t readers) {
  const Duration wanted = kAskEvery * static_cast<int>(readers);
  return std::clamp(wanted, kShortestPatience, kLongestPatience);
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
      patience_(options_.fresh_for + DrawPart(random_, kFreshSpread, 0, 1)) {}

void StateFeed::StartFromReaders(Duration within) {
  if (KnowsAny() || IsReader()) return;
  WaitForReaders(within);
}

// Whoever has items and was not shown since that they are current follows the
// store from there.
void StateFeed::WaitForReaders(Duration within) {
  start_timer_ = context_.loop.After(within, [this, within] {
    start_timer_.reset();
    if (state() != FeedState::kReading) return;
    if (pages_.IsUnderWay()) return WaitForReaders(within);
    follower_.Resume();
  });
}

// --- What the store shows ----------------------------------------------------

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
  ShownCurrent(Duration::zero());
  links_.store_answered(*this);
  if (IsReader()) follower_.SetPatience(NextPatience());
}

Duration StateFeed::NextPatience() {
  const Instant now = context_.clock.Now();
  const bool busy = now - store_answered_at_ < kAnsweredLately;
  return DrawPart(random_, busy ? kLongestPatience : ReaderPatience(readers_),
                  kLeastPatience, 1);
}

void StateFeed::OnStoreAnswered() {
  store_answered_at_ = context_.clock.Now();
  if (!IsOfPresentEra(Known())) return;
  if (IsReader() && !lost_ && follower_.IsWaiting()) {
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
  if (IsReader()) Keep(change);
  on_.changed(change);
}

void StateFeed::Settle() {
  on_.settled();
  TellPending();
  told_up_to_ = LatestKnown();
}

void StateFeed::SetLost(bool lost) {
  if (lost == lost_) return;
  lost_ = lost;
  on_.reachable(!lost);
}

// --- States ------------------------------------------------------------------

void StateFeed::SetRole(bool is_reader, std::size_t readers) {
  readers_ = readers;
  Apply(is_reader ? FeedEvent::kChosen : FeedEvent::kResigned);
}

void StateFeed::Check() {
  if (state() == FeedState::kTold && Age() > patience_) {
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
    case FeedAction::kCallAgain:
      SetLost(true);
      follower_.SetRetry(kFirstRetry, kLongestRetry);
      return follower_.Resume();
    case FeedAction::kReadForAll:
      follower_.SetPatience(NextPatience());
      follower_.SetRetry(kReaderRetry, kReaderRetry);
      return follower_.ReadAgain();
    case FeedAction::kReadForItself:
      has_items_ = false;
      items_.Clear();
      follower_.SetPatience(options_.follower.patience);
      return follower_.SetRetry(kFirstRetry, kLongestRetry);
  }
}

// --- What readers show -------------------------------------------------------

void StateFeed::OnPeer(const PeerMessage& message) {
  const auto mark = message.marks.find(options_.name);
  // The lists of two routers may differ for a while, so a mark of one that
  // isn't known as a reader is no fault, and says nothing.
  if (mark != message.marks.end() && links_.is_reader(message.from)) {
    OnMark(mark->second);
  }
  if (message.news.feed != options_.name) return;
  switch (message.kind) {
    case PeerMessageKind::kNews:
      if (IsSound(message)) OnNews(message.news);
      return;
    case PeerMessageKind::kState:
      if (IsSound(message)) OnState(message.news);
      return;
    case PeerMessageKind::kStateWanted:
      return SendState(message.from, message.news);
    default:
      return;
  }
}

bool StateFeed::IsSound(const PeerMessage& message) const {
  const FeedNews& news = message.news;
  const auto in_span = [&](const StoreChange& it) {
    return it.item.revision <= news.revision;
  };
  const char* problem = nullptr;
  if (!links_.is_reader(message.from)) {
    problem = "not from a reader";
  } else if (news.since < StoreRevision() || news.since >= news.revision) {
    problem = "revisions that can't be";
  } else if (!std::all_of(news.changes.begin(), news.changes.end(), in_span)) {
    problem = "a change beyond its revision";
  }
  if (problem == nullptr) return true;
  LogEvent(Event::kFeedNewsRefused,
           {{"feed", std::string(NameOf(options_.name))},
            {"peer", message.from.value},
            {"problem", problem}});
  return false;
}

void StateFeed::OnMark(const FeedMark& mark) {
  // Nothing is known here yet, so the reader's latest change says nothing.
  if (start_timer_ && !KnowsAny()) return OnBehind(1);
  if (!HasRead(mark.revision)) return OnBehind(mark.revision);
  if (!IsOfPresentEra(mark.revision)) return;
  ShownByReader(mark.age);
}

void StateFeed::OnNews(const FeedNews& news) {
  if (news.revision <= Known()) return OnMark({news.revision, news.age});
  // The read that is under way shows all of it.
  if (IsReader() && !has_items_) return;
  const bool leads_on =
      news.since <= Known() && news.since.era == news.revision.era;
  if (news.only_notice || !leads_on) return OnBehind(news.revision);
  // An outage is over before what it removed is handed out.
  ShownCurrent(news.age + kOnTheWay);
  TakeChanges(news);
  ShownByReader(news.age);
}

// Of changes that two readers tell in different batches, some may be known.
void StateFeed::TakeChanges(const FeedNews& news) {
  const StoreRevision known = Known();
  StoreRevision latest(news.revision.era, 0);
  for (const StoreChange& it : news.changes) {
    if (it.item.revision <= known) continue;
    latest = std::max(latest, it.item.revision);
    OnChange(it);
  }
  follower_.SkipTo(news.revision, latest);
  Settle();
}

void StateFeed::OnState(const FeedNews& news) {
  if (news.revision <= Known()) return;
  const bool leads_on =
      news.since == StoreRevision() ||
      (news.since <= Known() && news.since.era == news.revision.era);
  if (!leads_on) return;
  const Instant shown_at = context_.clock.Now() - news.age;
  const bool begins = news.after.empty();
  pages_shown_at_ = begins ? shown_at : std::min(pages_shown_at_, shown_at);
  const PageStep step = pages_.Take(news);
  if (step == PageStep::kPassedOver) return;
  ask_patience_ = kAskAgainAfter;
  if (step == PageStep::kComplete) TakeState(pages_.Finish());
  behind_timer_.reset();
  if (HasRead(behind_)) return pages_.Drop();
  AskReader();
}

void StateFeed::TakeState(FeedNews news) {
  if (news.revision <= Known()) return;
  news.age = context_.clock.Now() - pages_shown_at_;
  ShownCurrent(news.age + kOnTheWay);
  if (news.since != StoreRevision()) {
    TakeChanges(news);
    return ShownByReader(news.age);
  }
  std::vector<StoreItem> items;
  StoreRevision latest(news.revision.era, 0);
  for (const StoreChange& it : news.changes) {
    items.push_back(it.item);
    latest = std::max(latest, it.item.revision);
  }
  follower_.SkipTo(news.revision, latest);
  OnItems(items);
  Settle();
  ShownByReader(news.age);
}

// It is shown that nothing had changed `age` ago that isn't known here, or is
// handed out next.
void StateFeed::ShownCurrent(Duration age) {
  current_at_ = std::max(current_at_, context_.clock.Now() - age);
  if (age <= kFreshAgain) SetLost(false);
}

// A reader has shown it, so this router needs no calls of its own.
void StateFeed::ShownByReader(Duration age) {
  ShownCurrent(age + kOnTheWay);
  if (age <= kFreshAgain && KnowsAny()) Apply(FeedEvent::kToldFresh);
}

std::optional<FeedMark> StateFeed::Mark() const {
  if (!IsReader() || !has_items_) return std::nullopt;
  return FeedMark{LatestKnown(), Age()};
}

// --- Readers -----------------------------------------------------------------

void StateFeed::Keep(const StoreChange& change) {
  items_.Apply(change);
  pending_.push_back(change);
}

void StateFeed::TellPending() {
  const std::vector<StoreChange> changes = std::exchange(pending_, {});
  if (changes.empty() || !IsReader()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kNews;
  out.news.feed = options_.name;
  out.news.since = told_up_to_;
  out.news.revision = Known();
  out.news.age = Age();
  const bool leads_on = told_up_to_.era == Known().era;
  out.news.only_notice = !leads_on || IsCheaperAsked(BytesOf(changes));
  if (!out.news.only_notice) out.news.changes = changes;
  links_.tell(std::move(out));
}

bool StateFeed::IsCheaperAsked(std::size_t bytes) const {
  if (bytes <= kMostUnasked) return false;
  return bytes > kMostInOneMessage || bytes > items_.bytes() / kPartOfAll;
}

void StateFeed::SendState(const Incarnation& peer, const FeedNews& wanted) {
  if (!IsReader() || !has_items_) return;
  // An item of a list that was read in pages may be of a later change, of which
  // the next wait tells at once.
  if (Known() < follower_.latest_change()) return;
  auto page = items_.PageFor(wanted, Known());
  if (!page) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kState;
  out.news = std::move(*page);
  out.news.feed = options_.name;
  out.news.age = Age();
  links_.send(peer, std::move(out));
}

// --- Routers that are behind -------------------------------------------------

void StateFeed::OnBehind(StoreRevision revision) {
  behind_ = std::max(behind_, revision);
  if (behind_timer_) return;
  ask_patience_ = kAskAgainAfter;
  if (state() == FeedState::kTold || start_timer_) return AskReader();
  behind_timer_ = context_.loop.After(kOwnWaitFirst, [this] {
    behind_timer_.reset();
    if (HasRead(behind_)) return;
    AskFor(behind_);
    AskReader();
  });
}

void StateFeed::AskReader() {
  const std::vector<Incarnation> readers = links_.readers();
  if (readers.empty()) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kStateWanted;
  out.news = pages_.Next(Known());
  out.news.feed = options_.name;
  links_.send(readers[asked_ % readers.size()], std::move(out));
  behind_timer_ = context_.loop.After(ask_patience_, [this] {
    behind_timer_.reset();
    if (HasRead(behind_)) return pages_.Drop();
    AskNextReader();
  });
}

void StateFeed::AskNextReader() {
  ++asked_;
  ask_patience_ = std::min(ask_patience_ * 2, kLongestAskPatience);
  AskReader();
}

void StateFeed::AskAgain() {
  if (state() != FeedState::kTold) follower_.AskAgain();
}

// A wait from a revision of an earlier era may be held although much has
// changed.
void StateFeed::AskFor(StoreRevision revision) {
  if (revision.era == Known().era) return AskAgain();
  if (state() != FeedState::kTold) follower_.ReadAgain();
}

}  // namespace quaytrack
