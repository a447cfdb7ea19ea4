#include "relay/version_lookup.h"

#include <algorithm>
#include <utility>

namespace quaytrack {
namespace {

void FillNote(const StreamNote& note, PeerMessage& out) {
  out.version = note.version;
  out.fingerprint = note.request;
  out.run = note.run;
}

StreamNote NoteIn(const PeerMessage& message) {
  return {message.version, message.run, message.fingerprint};
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
    return loop_.Post([found = std::move(found), note] { found(note); });
  }
  Ask(subject, on_.to_ask(), kAnswerTime, false, std::move(found));
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
    case PeerMessageKind::kHello:
      return OnLinked(message.from);
    default:
      return;
  }
}

void VersionLookup::OnBegan(const PeerMessage& message) {
  const Instant now = clock_.Now();
  versions_.Note(now, message.request, NoteIn(message), now + message.keep_for);
  for (const Subject& it :
       {Subject{message.request, {}}, Subject{{}, message.fingerprint}}) {
    End(it, NoteOf(it));
  }
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
  if (note || message.for_other) return answer(note);
  Ask(subject, on_.to_ask_for_others(), kForwardedTime, true, answer);
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
