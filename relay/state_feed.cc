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
constexpr Duration kFreshSpread = milliseconds(200);
// A router asks a reader every this part of `fresh_for`, and a reader that is
// asked answers without a question of its own if it was current within the next
// part. Together they leave time for a reader that doesn't answer.
constexpr int kPollsPerFreshTime = 4;
constexpr int kChecksPerFreshTime = 5;
// A router that was current within this share of `fresh_for`, as shown by a
// reader, makes no calls of its own. It is less than 1, so that routers don't
// switch back and forth.
constexpr double kCurrentShare = 0.75;
// How long a reader gives another one to answer before it asks the store: much
// longer than a round trip between halls.
constexpr Duration kReaderAnswerTime = milliseconds(150);

// Peers that `AskNow` asks at once: some may be cut off like this router.
constexpr std::size_t kMaxAsked = 4;

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
// to have many requests. While an answer is arriving, the request isn't
// repeated, since each copy of a large answer delays all of them.
constexpr Duration kFirstRequestTimeout = milliseconds(300);
constexpr Duration kMaxRequestTimeout = milliseconds(2400);

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
      follower_(context.loop, context.clock, context.store, options_.follower,
                FollowerHandlers()),
      machine_(context.chart),
      fresh_for_(options_.fresh_for + Jittered(random_, kFreshSpread, 0, 1)),
      max_reader_age_(
          duration_cast<Duration>(options_.fresh_for * kCurrentShare)),
      poll_(options_.fresh_for / kPollsPerFreshTime) {}

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
  on.answered = [this](Instant asked_at) { OnStoreAnswered(asked_at); };
  return on;
}

void StateFeed::OnStoreAnswered(Instant asked_at) {
  SetLost(false);
  MarkCurrent(asked_at);
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

void StateFeed::SetRole(bool is_reader) {
  Apply(is_reader ? FeedEvent::kChosen : FeedEvent::kResigned);
}

void StateFeed::Check() {
  PollReaders();
  CheckWait();
  if (state() == FeedState::kNotified && Age() > fresh_for_) {
    Apply(FeedEvent::kStale);
  }
}

// Checks with the store whether the open wait was lost.
void StateFeed::CheckWait() {
  if (state() != FeedState::kReading || !links_.checking_peer().empty()) return;
  const Instant now = context_.clock.Now();
  const Duration interval = options_.fresh_for;
  if (Age() < interval || now - checked_at_ < interval) return;
  checked_at_ = now;
  follower_.Check();
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
      follower_.Resume();
      return follower_.Check();
    case FeedAction::kReadForAll:
      follower_.SetRetry(kReaderRetry, kReaderRetry);
      return follower_.ReadAgain();
    case FeedAction::kReadForItself:
      has_items_ = false;
      items_.Clear();
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
      if (IsValid(message)) OnState(message);
      return;
    case PeerMessageKind::kStateRequest:
      return SendState(message);
    case PeerMessageKind::kMarkRequest:
      return OnMarkRequest(message);
    case PeerMessageKind::kMark:
      return OnMarkAnswer(message);
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

// A heartbeat shows which changes there are, and says nothing about the
// present.
void StateFeed::OnMark(const FeedMark& mark) {
  // This router has no state yet, so it is behind whatever the reader's
  // revision.
  if (start_timer_ && !HasState()) return OnBehind(1);
  if (!HasRead(mark.revision)) OnBehind(mark.revision);
}

void StateFeed::OnUpdate(const FeedUpdate& update) {
  if (update.revision <= Known()) return;
  // The read in progress shows all changes of `update`.
  if (IsReader() && !has_items_) return;
  const bool leads_on =
      update.since <= Known() && update.since.era == update.revision.era;
  if (update.only_notice || !leads_on) return OnBehind(update.revision);
  // A change shows that the store is back; that is reported before the removals
  // made during an outage.
  SetLost(false);
  ApplyChanges(update);
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

void StateFeed::OnState(const PeerMessage& message) {
  const FeedUpdate& update = message.update;
  if (update.revision <= Known()) return;
  const bool leads_on =
      update.since == StoreRevision() ||
      (update.since <= Known() && update.since.era == update.revision.era);
  if (!leads_on) return;
  const auto asked_at = AskedAt(message, context_.clock.Now());
  const Instant current_at = asked_at ? *asked_at - update.age : Instant{};
  const bool begins = update.after.empty();
  pages_current_at_ =
      begins ? current_at : std::min(pages_current_at_, current_at);
  const PageStep step = pages_.AddPage(update);
  if (step == PageStep::kIgnored) return;
  request_timeout_ = kFirstRequestTimeout;
  if (step == PageStep::kComplete) ApplyState(pages_.Finish());
  request_timer_.reset();
  if (HasRead(peer_revision_)) return pages_.Drop();
  RequestState();
}

void StateFeed::ApplyState(const FeedUpdate& update) {
  if (update.revision <= Known()) return;
  SetLost(false);
  if (update.since != StoreRevision()) {
    ApplyChanges(update);
    return MarkCurrentByReader(pages_current_at_);
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
  MarkCurrentByReader(pages_current_at_);
}

// Called when every change made by `at` is known here, or is about to be passed
// to the handlers.
void StateFeed::MarkCurrent(Instant at) {
  if (at <= current_at_) return;
  current_at_ = at;
  if (on_.answered) on_.answered(at);
  if (mark_requests_.empty()) return;
  // The answers include the changes that are passed on first.
  answer_timer_ =
      context_.loop.After(Duration::zero(), [this] { AnswerMarkRequests(); });
}

// Called when a reader has shown this; a router that is current by readers
// needs no calls of its own.
void StateFeed::MarkCurrentByReader(Instant at) {
  MarkCurrent(at);
  if (context_.clock.Now() - at > max_reader_age_) return;
  SetLost(false);
  if (HasState()) Apply(FeedEvent::kReaderCurrent);
}

// --- Questions about the present ---------------------------------------------

void StateFeed::PollReaders() {
  if (IsReader()) return;
  const auto reader = poll_.Next(context_.clock.Now(), links_.readers());
  if (reader) SendMarkRequest(*reader);
}

void StateFeed::AskNow() {
  if (state() != FeedState::kNotified) follower_.Check();
  std::vector<Incarnation> peers = links_.readers();
  if (peers.empty()) peers = links_.peers();
  if (peers.size() > kMaxAsked) peers.resize(kMaxAsked);
  for (const Incarnation& it : peers) SendMarkRequest(it);
}

void StateFeed::SendMarkRequest(const Incarnation& peer) {
  PeerMessage out;
  out.kind = PeerMessageKind::kMarkRequest;
  out.update.feed = options_.name;
  out.asked_ms = AskedMs(context_.clock.Now());
  links_.send(peer, std::move(out));
}

// A router that relies on readers has nothing to tell that they wouldn't.
void StateFeed::OnMarkRequest(const PeerMessage& message) {
  if (state() == FeedState::kNotified || !HasState()) return;
  if (IsReader() && !has_items_) return;
  mark_requests_[message.from] = message.asked_ms;
  if (Age() <= options_.fresh_for / kChecksPerFreshTime) {
    return AnswerMarkRequests();
  }
  AskForMarkRequests();
}

void StateFeed::AskForMarkRequests() {
  const Incarnation peer = links_.checking_peer();
  if (peer.empty()) return follower_.Check();
  if (ask_timer_) return;
  SendMarkRequest(peer);
  ask_timer_ = context_.loop.After(kReaderAnswerTime, [this] {
    ask_timer_.reset();
    if (!mark_requests_.empty()) follower_.Check();
  });
}

void StateFeed::AnswerMarkRequests() {
  answer_timer_.reset();
  for (const auto& [peer, asked_ms] : std::exchange(mark_requests_, {})) {
    PeerMessage out;
    out.kind = PeerMessageKind::kMark;
    out.update.feed = options_.name;
    out.update.revision = LatestKnown();
    out.update.age = Age();
    out.asked_ms = asked_ms;
    links_.send(peer, std::move(out));
  }
}

void StateFeed::OnMarkAnswer(const PeerMessage& message) {
  const FeedUpdate& mark = message.update;
  const Instant now = context_.clock.Now();
  const auto asked_at = AskedAt(message, now);
  if (!asked_at || !links_.is_reader(message.from)) return;
  poll_.OnAnswer(message.from, mark.age <= max_reader_age_);
  if (!HasRead(mark.revision)) return OnBehind(mark.revision);
  if (!IsOfPresentEra(mark.revision)) return;
  MarkCurrentByReader(*asked_at - mark.age);
}

// --- Readers -----------------------------------------------------------------

std::optional<FeedMark> StateFeed::Mark() const {
  if (!IsReader() || !has_items_) return std::nullopt;
  return FeedMark{LatestKnown(), Age()};
}

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

void StateFeed::PackValues(FeedUpdate& update) {
  for (StoreChange& it : update.changes) {
    if (!it.removed) it.item.value = packed_values_.Pack(it.item);
  }
}

void StateFeed::SendState(const PeerMessage& request) {
  if (!IsReader() || !has_items_) return;
  // An item of a list that was read in pages may be of a later change than
  // `Known`; the next wait reports that change at once.
  if (Known() < follower_.latest_change()) return;
  auto page = items_.PageFor(request.update, Known());
  if (!page) return;
  PeerMessage out;
  out.kind = PeerMessageKind::kState;
  out.update = std::move(*page);
  out.update.feed = options_.name;
  out.update.age = Age();
  out.asked_ms = request.asked_ms;
  out.packed = request.packed;
  if (out.packed) PackValues(out.update);
  links_.send(request.from, std::move(out));
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
  out.asked_ms = AskedMs(context_.clock.Now());
  out.packed = true;
  requested_from_ = readers[reader_index_ % readers.size()];
  links_.send(requested_from_, std::move(out));
  StartRequestTimer();
}

void StateFeed::StartRequestTimer() {
  partial_bytes_ = links_.partial_bytes(requested_from_);
  request_timer_ =
      context_.loop.After(request_timeout_, [this] { OnRequestTimeout(); });
}

void StateFeed::OnRequestTimeout() {
  request_timer_.reset();
  if (HasRead(peer_revision_)) return pages_.Drop();
  const std::uint64_t arrived = links_.partial_bytes(requested_from_);
  if (arrived != 0 && arrived != partial_bytes_) return StartRequestTimer();
  ++reader_index_;
  request_timeout_ = std::min(request_timeout_ * 2, kMaxRequestTimeout);
  RequestState();
}

void StateFeed::ReadAgain() {
  if (state() != FeedState::kNotified) follower_.ReadAgain();
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
