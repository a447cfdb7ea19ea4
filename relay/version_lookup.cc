#include "relay/version_lookup.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

void VersionLookup::Announce(const RequestId& id, const VersionName& version,
                             Duration time_left) {
  const Instant now = clock_.Now();
  versions_.NoteOwn(now, id, version, now + time_left);
  for (const Incarnation& it : on_.witnesses())
    SendBegan(it, id, version, time_left);
}

void VersionLookup::SendBegan(const Incarnation& peer, const RequestId& id,
                              const VersionName& version, Duration keep_for) {
  PeerMessage out;
  out.kind = PeerMessageKind::kStreamBegan;
  out.request = id;
  out.version = version;
  out.keep_for = keep_for;
  on_.send(peer, out);
}

void VersionLookup::SendRequest(const Incarnation& peer, const RequestId& id,
                                bool for_other) {
  PeerMessage out;
  out.kind = PeerMessageKind::kVersionRequest;
  out.request = id;
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
        now, [&](const RequestId& id, const VersionName& version,
                 Instant until) { SendBegan(peer, id, version, until - now); });
  }
  if (!is_in(on_.to_ask())) return;
  for (auto& [id, question] : questions_) {
    if (question.for_other) continue;
    question.unanswered.insert(peer);
    SendRequest(peer, id, false);
  }
}

void VersionLookup::Find(const RequestId& id, Found found) {
  if (const auto version = versions_.Find(clock_.Now(), id)) {
    return loop_.Post([found = std::move(found), version] { found(version); });
  }
  Ask(id, on_.to_ask(), kAnswerTime, false, std::move(found));
}

void VersionLookup::Ask(const RequestId& id,
                        const std::vector<Incarnation>& peers, Duration time,
                        bool for_other, Found found) {
  const bool awaits_link = !for_other && on_.has_others();
  if (peers.empty() && !awaits_link) {
    return loop_.Post([found = std::move(found)] { found(std::nullopt); });
  }
  const auto [it, is_new] = questions_.try_emplace(id);
  Question& question = it->second;
  question.for_other = for_other && (is_new || question.for_other);
  question.waiting.push_back(std::move(found));
  for (const Incarnation& peer : peers) {
    if (question.unanswered.insert(peer).second)
      SendRequest(peer, id, for_other);
  }
  if (!is_new) return;
  question.timer = loop_.After(time, [this, id] { End(id, std::nullopt); });
}

void VersionLookup::OnPeer(const PeerMessage& message) {
  const Instant now = clock_.Now();
  switch (message.kind) {
    case PeerMessageKind::kStreamBegan:
      versions_.Note(now, message.request, message.version,
                     now + message.keep_for);
      return End(message.request, versions_.Find(now, message.request));
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

void VersionLookup::OnRequest(const PeerMessage& message) {
  const auto answer = [this, to = message.from, id = message.request](
                          const std::optional<VersionName>& version) {
    PeerMessage out;
    out.kind = PeerMessageKind::kVersion;
    out.request = id;
    out.is_known = version.has_value();
    out.version = version.value_or(VersionName());
    on_.send(to, out);
  };
  const auto version = versions_.Find(clock_.Now(), message.request);
  if (version || message.for_other) return answer(version);
  Ask(message.request, on_.to_ask_for_others(), kForwardedTime, true, answer);
}

void VersionLookup::OnAnswer(const PeerMessage& message) {
  const auto it = questions_.find(message.request);
  if (it == questions_.end()) return;
  if (message.is_known) return End(message.request, message.version);
  it->second.unanswered.erase(message.from);
  if (it->second.unanswered.empty()) End(message.request, std::nullopt);
}

void VersionLookup::End(const RequestId& id,
                        const std::optional<VersionName>& version) {
  const auto it = questions_.find(id);
  if (it == questions_.end()) return;
  // `id` may belong to the question.
  const Question question = std::move(it->second);
  questions_.erase(it);
  for (const Found& found : question.waiting) found(version);
}

}  // namespace quaytrack
