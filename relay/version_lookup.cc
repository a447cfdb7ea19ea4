#include "relay/version_lookup.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace quaytrack {
namespace {

void FillNote(const StreamNote& note, PeerMessage& out) {
  out.version = note.version;
  out.fingerprint = note.request;
  out.run = note.run;
}

StreamNote NoteIn(const PeerMessage& message) {
  return {message.version, message.run, message.fingerprint, {}};
}

StreamNote WithoutRun(StreamNote note) {
  note.run.reset();
  return note;
}

// Takes the run out of a note, as its router serves it to a caller.
StreamNote LeaveOutRun(const StreamNote& note) {
  LogEvent(Event::kRunServed, {{"request", note.run->id.value},
                               {"target", note.run->target.value},
                               {"by", note.router.value}});
  return WithoutRun(note);
}

}  // namespace

// Questions by the request carry it in place of an id as well, which peers of
// earlier builds repeat in their answers.
VersionLookup::Subject VersionLookup::SubjectOf(const PeerMessage& message) {
  Subject out;
  if (message.request.value == message.fingerprint.value) {
    out.request = message.fingerprint;
  } else {
    out.id = message.request;
  }
  return out;
}

std::optional<StreamNote> VersionLookup::NoteOf(const Subject& subject) {
  const Instant now = clock_.Now();
  return subject.request.empty() ? versions_.Find(now, subject.id)
                                 : versions_.FindRequest(now, subject.request);
}

void VersionLookup::Announce(const RequestId& id, const StreamNote& note,
                             Duration time_left) {
  const Instant now = clock_.Now();
  versions_.NoteOwn(now, id, note, now + time_left);
  for (const Incarnation& it : on_.witnesses())
    SendBegan(it, id, note, time_left);
}

void VersionLookup::SendBegan(const Incarnation& peer, const RequestId& id,
                              const StreamNote& note, Duration keep_for) {
  PeerMessage out;
  out.kind = PeerMessageKind::kStreamBegan;
  out.request = id;
  FillNote(note, out);
  out.keep_for = keep_for;
  on_.send(peer, out);
}

void VersionLookup::SendRequest(const Incarnation& peer, const Subject& subject,
                                bool for_other) {
  PeerMessage out;
  out.kind = PeerMessageKind::kVersionRequest;
  out.request =
      subject.request.empty() ? subject.id : RequestId(subject.request.value);
  out.fingerprint = subject.request;
  out.for_other = for_other;
  on_.send(peer, out);
}

// Called when a link to the peer has opened, perhaps after a gap.
void VersionLookup::OnLinked(const Incarnation& peer) {
  const auto is_in = [&](const std::vector<Incarnation>& peers) {
    return std::find(peers.begin(), peers.end(), peer) != peers.end();
  };
  const Instant now = clock_.Now();
  if (is_in(on_.witnesses())) {
    versions_.ForEachOwn(
        now, [&](const RequestId& id, const StreamNote& note, Instant until) {
          SendBegan(peer, id, note, until - now);
        });
  }
  if (!is_in(on_.to_ask())) return;
  for (auto& [subject, question] : questions_) {
    if (question.for_other) continue;
    question.unanswered.insert(peer);
    SendRequest(peer, subject, false);
  }
}

void VersionLookup::Find(const RequestId& id, Found found) {
  Look({id, {}}, std::move(found));
}

void VersionLookup::FindRequest(const Fingerprint& request, Found found) {
  Look({{}, request}, std::move(found));
}

void VersionLookup::Look(const Subject& subject, Found found) {
  if (const auto note = NoteOf(subject)) {
    return loop_.Post([this, subject, note, found = std::move(found)] {
      Report(subject, *note, found);
    });
  }
  Ask(subject, on_.to_ask(), kAnswerTime, false, std::move(found));
}

void VersionLookup::Report(const Subject& subject, const StreamNote& note,
                           Found found) {
  if (subject.request.empty() || !note.run) return found(note);
  const bool is_own = note.router.empty();
  if (is_own)
    return found(on_.is_served(note.run->id) ? LeaveOutRun(note) : note);
  if (!on_.is_linked(note.router)) return found(note);
  Confirm(note, std::move(found));
}

// Asks the router that has the run whether it serves it to its caller.
void VersionLookup::Confirm(const StreamNote& note, Found found) {
  const RequestId id = note.run->id;
  const auto [it, is_new] = confirmations_.try_emplace(id);
  it->second.waiting.push_back(std::move(found));
  if (!is_new) return;
  it->second.note = note;
  SendRunQuestion(it->second);
}

void VersionLookup::SendRunQuestion(Confirmation& confirmation) {
  const RequestId id = confirmation.note.run->id;
  confirmation.asked_at = clock_.Now();
  confirmation.timer =
      loop_.After(kConfirmTime, [this, id] { OnUnconfirmed(id); });
  PeerMessage out;
  out.kind = PeerMessageKind::kRunQuestion;
  out.request = id;
  on_.send(confirmation.note.router, out);
}

// Called when there is no answer in time. If this router has stood still
// meanwhile, that says nothing about the other one.
void VersionLookup::OnUnconfirmed(const RequestId& id) {
  const auto it = confirmations_.find(id);
  if (clock_.Now() - it->second.asked_at >= 2 * kConfirmTime)
    return SendRunQuestion(it->second);
  const auto confirmation = confirmations_.extract(it);
  for (const Found& each : confirmation.mapped().waiting)
    each(confirmation.mapped().note);
}

void VersionLookup::OnConfirmation(const PeerMessage& message) {
  const auto it = confirmations_.find(message.request);
  if (it == confirmations_.end() || it->second.note.router != message.from)
    return;
  const auto confirmation = confirmations_.extract(it);
  const StreamNote& note = confirmation.mapped().note;
  const StreamNote out = message.is_known ? LeaveOutRun(note) : note;
  for (const Found& each : confirmation.mapped().waiting) each(out);
}

void VersionLookup::Ask(const Subject& subject,
                        const std::vector<Incarnation>& peers, Duration time,
                        bool for_other, Found found) {
  const bool awaits_link = !for_other && on_.has_others();
  if (peers.empty() && !awaits_link) {
    return loop_.Post([found = std::move(found)] { found(std::nullopt); });
  }
  const auto [it, is_new] = questions_.try_emplace(subject);
  Question& question = it->second;
  question.for_other = for_other && (is_new || question.for_other);
  question.waiting.push_back(std::move(found));
  for (const Incarnation& peer : peers) {
    if (question.unanswered.insert(peer).second)
      SendRequest(peer, subject, for_other);
  }
  if (!is_new) return;
  question.timer =
      loop_.After(time, [this, subject] { End(subject, std::nullopt); });
}

void VersionLookup::OnPeer(const PeerMessage& message) {
  switch (message.kind) {
    case PeerMessageKind::kStreamBegan:
      return OnBegan(message);
    case PeerMessageKind::kVersionRequest:
      return OnRequest(message);
    case PeerMessageKind::kVersion:
      return OnAnswer(message);
    case PeerMessageKind::kRunQuestion:
      return AnswerConfirmation(message);
    case PeerMessageKind::kRunAnswer:
      return OnConfirmation(message);
    case PeerMessageKind::kHello:
      return OnLinked(message.from);
    default:
      return;
  }
}

void VersionLookup::OnBegan(const PeerMessage& message) {
  const Instant now = clock_.Now();
  StreamNote note = NoteIn(message);
  note.router = message.from;
  versions_.Note(now, message.request, note, now + message.keep_for);
  const Subject by_id{message.request, {}};
  End(by_id, NoteOf(by_id));
  // A router that tells of a stream serves it.
  End({{}, message.fingerprint}, WithoutRun(note));
}

void VersionLookup::OnRequest(const PeerMessage& message) {
  const Subject subject = SubjectOf(message);
  const auto answer = [this, to = message.from, id = message.request](
                          const std::optional<StreamNote>& note) {
    PeerMessage out;
    out.kind = PeerMessageKind::kVersion;
    if (note) FillNote(*note, out);
    out.request = id;
    out.is_known = note.has_value();
    on_.send(to, out);
  };
  const auto note = NoteOf(subject);
  if (note) return Report(subject, *note, answer);
  if (message.for_other) return answer(note);
  Ask(subject, on_.to_ask_for_others(), kForwardedTime, true, answer);
}

void VersionLookup::AnswerConfirmation(const PeerMessage& message) {
  PeerMessage out;
  out.kind = PeerMessageKind::kRunAnswer;
  out.request = message.request;
  out.is_known = on_.is_served(message.request);
  on_.send(message.from, out);
}

void VersionLookup::OnAnswer(const PeerMessage& message) {
  auto it = questions_.find({message.request, {}});
  if (it == questions_.end())
    it = questions_.find({{}, Fingerprint(message.request.value)});
  if (it == questions_.end()) return;
  if (message.is_known) return End(it->first, NoteIn(message));
  it->second.unanswered.erase(message.from);
  if (it->second.unanswered.empty()) End(it->first, std::nullopt);
}

void VersionLookup::End(const Subject& subject,
                        const std::optional<StreamNote>& note) {
  const auto it = questions_.find(subject);
  if (it == questions_.end()) return;
  // `subject` may belong to the question.
  const Question question = std::move(it->second);
  questions_.erase(it);
  for (const Found& found : question.waiting) found(note);
}

}  // namespace quaytrack
