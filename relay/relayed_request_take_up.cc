// The part of RelayedRequest that is about streams that callers take up: at
// which version a stream goes on, and what becomes of the run that had it.

#include <algorithm>
#include <utility>

#include "relay/reach_driver.h"
#include "relay/relayed_request.h"
#include "relay/run_stopper.h"
#include "relay/target_follower.h"
#include "relay/version_lookup.h"

namespace quaytrack {
namespace {

// A target that has sent something within this time counts as alive. It is the
// time in which a silent stream is taken for one whose target has ended.
constexpr Duration kHeardFor = std::chrono::milliseconds(1000);

}  // namespace

// --- The version -------------------------------------------------------------

void RelayedRequest::FindStream() {
  const RequestId& first_try = admission_.facts.first_try;
  const auto found =
      [self = shared_from_this()](const std::optional<StreamNote>& note) {
        self->OnStreamFound(note);
      };
  if (first_try.empty()) {
    context_.versions.FindRequest(StreamKey(), found);
  } else {
    context_.versions.Find(first_try, found);
  }
}

// A note that was found by the request may be another caller's, so it doesn't
// show the version. One that was found by an id may be of another request,
// whose run and cache are not this caller's.
void RelayedRequest::OnStreamFound(const std::optional<StreamNote>& note) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  if (note && note->run && note->request == StreamKey())
    NoteEarlierRun(*note->run);
  if (note && !admission_.facts.first_try.empty())
    return TakeUpAt(note->version, VersionSource::kNote);
  // Waiting can't make a version the only one.
  if (!OnlyVersion()) return TakeUpAt(std::nullopt, VersionSource::kNone);
  context_.target_list.AwaitCurrent(request_.begun, [self](bool is_current) {
    self->OnListAsked(is_current);
  });
}

// The version at which every stream of the service began, by the list of
// targets as it is known here.
std::optional<VersionName> RelayedRequest::OnlyVersion() const {
  const Instant now = context_.clock.Now();
  // A caller that names no first try knows nothing of versions, so it comes
  // from a deployment that has had one.
  const Duration min_time = admission_.facts.first_try.empty()
                                ? Duration::zero()
                                : Placement::kMaxStreamAge;
  if (now - context_.target_list.complete_since() < min_time)
    return std::nullopt;
  return context_.placement.OnlyVersion(now, admission_.service->name,
                                        min_time);
}

// Called when the store or a peer has shown the present list of targets, or
// none has answered.
void RelayedRequest::OnListAsked(bool is_current) {
  const auto self = shared_from_this();
  if (machine_.state() == RelayState::kEnded) return;
  // Without a first try there is nothing else to go by while the store is away.
  const bool agrees =
      context_.versions.IsAlone() || context_.target_list.AgreesWithPeers();
  const bool may_decide =
      is_current || (admission_.facts.first_try.empty() && agrees);
  auto version = may_decide ? OnlyVersion() : std::nullopt;
  const auto source = version ? VersionSource::kList : VersionSource::kNone;
  TakeUpAt(std::move(version), source);
}

void RelayedRequest::TakeUpAt(std::optional<VersionName> version,
                              VersionSource source) {
  LogStreamTakenUp(admission_, version, source, earlier_run_);
  if (!version) return GiveUp(Ran::kNo, RelayCause::kVersionUnknown);
  if (!context_.placement.HasVersion(admission_.service->name, *version))
    return GiveUp(Ran::kNo, RelayCause::kVersionGone);
  admission_.placement.version = std::move(version);
  Hold();
}

// Called before the first event is passed on, and before each later one while
// the version isn't known: the stream stays on its connection, so a target that
// turns out not to have started again had the version that it has now. From
// then on the stream belongs to that version, also if this router ends and the
// caller comes back elsewhere.
void RelayedRequest::BindToVersion() {
  const auto version = context_.placement.VersionOf(context_.clock.Now(),
                                                    attempt_.choice.target);
  may_go_on_ = version.has_value();
  if (!version) return;
  admission_.placement.version = version;
  AnnounceRun();
}

// Tells the witnesses where the stream runs. The caller may name this try next,
// or the one that it named now.
void RelayedRequest::AnnounceRun() {
  if (!admission_.route->resumable) return;
  const TargetEntry& target = attempt_.choice.target;
  const StreamNote note{*admission_.placement.version,
                        StreamRun{target.name, target.address, id()},
                        StreamKey()};
  const Duration waits =
      admission_.facts.time_left.value_or(admission_.route->timeout);
  const Duration longest = Placement::kMaxStreamAge;
  const Duration time_left = std::min(waits, longest);
  context_.versions.Announce(id(), note, time_left);
  const RequestId& first_try = admission_.facts.first_try;
  if (!first_try.empty())
    context_.versions.Announce(first_try, note, time_left);
}

// What the caller's tries have in common. The last part of a prompt belongs to
// its request, also where bodies are alike.
Fingerprint RelayedRequest::StreamKey() {
  Fingerprint out = causes().request;
  const auto& parts = admission_.facts.parts;
  if (!parts.empty()) out.value += "-" + HexText(parts.back().id);
  return out;
}

// --- The earlier run ---------------------------------------------------------

// Notes the run that had the stream. If it is one of this router, its caller
// has left it; where the caller named no try, it may be another caller's.
// VersionLookup looks at those of other routers.
void RelayedRequest::NoteEarlierRun(const StreamRun& run) {
  const auto request = context_.requests.Find(run.id);
  const bool runs_here = request && request.get() != this &&
                         request->machine_.state() != RelayState::kEnded;
  if (runs_here && admission_.facts.first_try.empty()) return;
  if (runs_here) request->OnCallerGone();
  earlier_run_ = run;
}

// Has the target of the earlier run end it, before another one goes on: its
// router may have stopped without a sign, so that it would work on.
void RelayedRequest::StopEarlierRun() {
  if (is_stopping_run_) return;
  PlacementRequest elsewhere = admission_.placement;
  elsewhere.tried.insert(earlier_run_->target);
  const auto next = context_.placement.Choose(context_.clock.Now(), elsewhere);
  const bool is_reached = !context_.reach.IsCutOff(admission_.service->name);
  if (!next || !is_reached) {
    earlier_run_.reset();
    return Choose();
  }
  is_stopping_run_ = true;
  context_.run_stops.Stop(
      {*earlier_run_, next->target.address},
      [self = shared_from_this(), next = next->target.name](
          const StoppedRun& it) { self->OnEarlierRunStopped(next, it); });
}

// Binds the request to the target that can go on best: one that has the cache
// of the earlier run, or the one that may still have that run. The target that
// has answered lives; the next one may have ended without a sign if nothing has
// come from it lately. The run of a caller that names no try was found by what
// two callers that send equal requests have in common as well, so its cache may
// be that of another caller's request, and isn't used.
void RelayedRequest::OnEarlierRunStopped(const TargetName& next,
                                         const StoppedRun& stopped) {
  is_stopping_run_ = false;
  stopped_run_ = *std::exchange(earlier_run_, std::nullopt);
  earlier_cache_ = stopped.cache;
  if (machine_.state() == RelayState::kEnded) return DropEarlierCache();
  if (admission_.facts.first_try.empty()) DropEarlierCache();
  const Instant heard_since = context_.clock.Now() - kHeardFor;
  const bool is_next_alive = context_.reach.HasHeardFrom(next, heard_since);
  switch (stopped.end) {
    case RunEnd::kMoved:
      admission_.placement.only = is_next_alive ? next : stopped_run_.target;
      break;
    case RunEnd::kNoAnswer:
      admission_.placement.only = next;
      break;
    case RunEnd::kKept:
    case RunEnd::kRefused:
      admission_.placement.only = stopped_run_.target;
      break;
    case RunEnd::kNotRunning:
      break;
  }
  Choose();
}

// Frees the copies of the earlier run's cache, from which nothing goes on.
void RelayedRequest::DropEarlierCache() {
  context_.run_stops.Drop(stopped_run_, std::exchange(earlier_cache_, {}));
}

// Called when an attempt at `target` has been stopped while the stream goes on
// in the current one. Closing the connection ends its run there, but not all
// targets notice that at once.
void RelayedRequest::StopRunAt(const TargetEntry& target) const {
  if (progress_.events > 0) EndRunAt(target);
}

// Notes that the attempt's target has sent what can't be read, so that it lives
// and may work on.
void RelayedRequest::NoteRunLeft(const AttemptState& attempt,
                                 AttemptFault fault) {
  if (IsUnreadableAnswer(fault)) runs_left_.push_back(attempt.choice.target);
}

// Ends the runs that were left so, once the stream goes on in the current
// attempt.
void RelayedRequest::EndRunsLeft() {
  for (const TargetEntry& it : std::exchange(runs_left_, {})) EndRunAt(it);
}

void RelayedRequest::EndRunAt(const TargetEntry& target) const {
  const TargetEntry& current = attempt_.choice.target;
  const bool goes_on =
      admission_.route->resumable && current.name != target.name;
  if (!goes_on || context_.reach.IsCutOff(admission_.service->name)) return;
  context_.run_stops.StopAfterClose(
      {{target.name, target.address, id()}, current.address});
}

}  // namespace quaytrack
