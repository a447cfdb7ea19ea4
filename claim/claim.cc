#include "claim/claim.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace quaytrack {

using Json = nlohmann::json;

std::string EncodeClaim(const ClaimEntry& entry) {
  return Json{{"state", NameOf(entry.state)},
              {"owner", entry.owner.value},
              {"owner_registered", entry.owner_registered},
              {"request", entry.request.value},
              {"digest", entry.digest},
              {"status", entry.answer.status},
              {"content_type", entry.answer.content_type},
              {"body", Base64Encode(entry.answer.body)},
              {"too_large", entry.answer.too_large},
              {"at_ms", entry.at_ms}}
      .dump();
}

std::optional<ClaimEntry> DecodeClaim(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    ClaimEntry out;
    const auto state =
        FromName<ClaimState>(json.at("state").get<std::string>());
    const auto body = Base64Decode(json.at("body").get<std::string>());
    if (!state || !body) return std::nullopt;
    out.state = *state;
    out.owner.value = json.at("owner").get<std::string>();
    out.owner_registered = json.at("owner_registered").get<std::int64_t>();
    out.request.value = json.at("request").get<std::string>();
    out.digest = json.at("digest").get<std::string>();
    out.answer.status = json.at("status").get<int>();
    out.answer.content_type = json.at("content_type").get<std::string>();
    out.answer.body = *body;
    out.answer.too_large = json.at("too_large").get<bool>();
    out.at_ms = json.at("at_ms").get<std::int64_t>();
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

ClaimBook::ClaimBook(Incarnation self, ClaimOptions options)
    : self_(std::move(self)), options_(options) {}

ClaimAnswer ClaimBook::AnswerFrom(const ClaimEntry& entry,
                                  const std::string& digest) const {
  if (entry.digest != digest) return {ClaimAnswerKind::kMismatch, entry};
  switch (entry.state) {
    case ClaimState::kDone:
      return {ClaimAnswerKind::kReplay, entry};
    case ClaimState::kUnknown:
      return {ClaimAnswerKind::kUnknown, entry};
    case ClaimState::kClaimed:
      return {ClaimAnswerKind::kElsewhere, entry};
  }
  return {ClaimAnswerKind::kUnknown, entry};
}

ClaimAnswer ClaimBook::Begin(Instant now, const ClaimKey& key,
                             const std::string& digest,
                             const RequestId& request, std::int64_t wall_ms) {
  auto it = locals_.find(key);
  if (it != locals_.end()) {
    Local& local = it->second;
    if (local.entry.digest != digest) {
      return {ClaimAnswerKind::kMismatch, local.entry};
    }
    const bool running = local.entry.state == ClaimState::kClaimed;
    if (!running || local.withdrawing) return AnswerFrom(local.entry, digest);
    local.joined.push_back(request);
    return {ClaimAnswerKind::kJoin, local.entry};
  }
  Local local;
  local.entry.state = ClaimState::kClaimed;
  local.entry.owner = self_;
  local.entry.owner_registered = registered_;
  local.entry.request = request;
  local.entry.digest = digest;
  local.entry.at_ms = wall_ms;
  local.writing = true;
  Enqueue(now, {ClaimWriteKind::kCreate, key, local.entry, 0});
  locals_.emplace(key, std::move(local));
  return {ClaimAnswerKind::kWait, {}};
}

void ClaimBook::Abandon(Instant now, const ClaimKey& key,
                        const RequestId& request) {
  auto it = locals_.find(key);
  if (it == locals_.end()) return;
  Local& local = it->second;
  if (local.entry.request != request) {
    std::erase(local.joined, request);
    return;
  }
  if (local.writing) {
    local.abandoned = true;
  } else if (local.owned) {
    NotSent(now, key);
  }
}

void ClaimBook::Done(Instant now, const ClaimKey& key, KeptAnswer answer) {
  Finish(now, key, ClaimState::kDone, std::move(answer));
}

void ClaimBook::Lost(Instant now, const ClaimKey& key) {
  Finish(now, key, ClaimState::kUnknown, {});
}

void ClaimBook::Finish(Instant now, const ClaimKey& key, ClaimState state,
                       KeptAnswer answer) {
  auto it = locals_.find(key);
  if (it == locals_.end() || !it->second.owned) return;
  Local& local = it->second;
  local.entry.state = state;
  local.entry.answer = std::move(answer);
  Enqueue(now, {ClaimWriteKind::kReplace, key, local.entry, local.revision});
  TellJoined(local);
  Remember(key);
}

void ClaimBook::NotSent(Instant now, const ClaimKey& key) {
  auto it = locals_.find(key);
  if (it == locals_.end() || !it->second.owned) return;
  Local& local = it->second;
  Enqueue(now, {ClaimWriteKind::kDelete, key, local.entry, local.revision});
  // Whoever joined may try again by itself.
  TellJoined(local);
  local.owned = false;
  local.withdrawing = true;
}

void ClaimBook::TellJoined(Local& local) {
  const ClaimAnswer answer = AnswerFrom(local.entry, local.entry.digest);
  for (const RequestId& it : local.joined) {
    events_.push_back({ClaimEventKind::kResolved, it, answer});
  }
  local.joined.clear();
}

void ClaimBook::Enqueue(Instant now, ClaimWrite write) {
  if (queue_.empty() && in_flight_.empty()) due_ = now + options_.group_delay;
  queue_.push_back(std::move(write));
}

std::optional<ClaimCommit> ClaimBook::Next(Instant now) {
  if (!in_flight_.empty() || queue_.empty() || now < due_) {
    return std::nullopt;
  }
  ClaimCommit out;
  std::set<ClaimKey> keys;
  std::deque<ClaimWrite> rest;
  // One write a key in a transaction; a key's writes keep their order.
  for (ClaimWrite& it : queue_) {
    const bool fits = out.writes.size() < options_.max_group;
    if (fits && keys.insert(it.key).second) {
      out.writes.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  queue_ = std::move(rest);
  in_flight_ = out.writes;
  return out;
}

void ClaimBook::OnCommit(Instant now, ClaimOutcome outcome,
                         std::int64_t revision,
                         const std::vector<FoundClaim>& found) {
  std::vector<ClaimWrite> writes = std::exchange(in_flight_, {});
  reachable_ = outcome != ClaimOutcome::kUnknown;
  due_ = now;
  if (outcome == ClaimOutcome::kUnknown) {
    due_ = now + options_.retry_after_failure;
    queue_.insert(queue_.begin(), writes.begin(), writes.end());
    return;
  }
  for (std::size_t n = 0; n < writes.size(); ++n) {
    const ClaimWrite& it = writes[n];
    if (outcome == ClaimOutcome::kRejected) {
      Resolve(now, it, found[n]);
    } else if (it.kind == ClaimWriteKind::kCreate) {
      OnCreated(now, it.key, revision);
    } else {
      OnStored(it, revision);
    }
  }
}

void ClaimBook::Resolve(Instant now, const ClaimWrite& write,
                        const FoundClaim& found) {
  if (write.kind == ClaimWriteKind::kCreate) {
    if (!found.exists) {
      queue_.push_front(write);
    } else if (found.entry.request == write.entry.request) {
      OnCreated(now, write.key, found.revision);
    } else {
      OnTaken(write.key, found.entry);
    }
    return;
  }
  const bool untouched = found.exists && found.revision == write.revision;
  if (untouched) {
    queue_.push_front(write);
  } else {
    // An earlier attempt of the same write was applied.
    OnStored(write, found.revision);
  }
}

void ClaimBook::OnCreated(Instant now, const ClaimKey& key,
                          std::int64_t revision) {
  Local& local = locals_[key];
  local.writing = false;
  local.owned = true;
  local.revision = revision;
  if (local.abandoned) {
    NotSent(now, key);
    return;
  }
  events_.push_back({ClaimEventKind::kClaimed, local.entry.request, {}});
}

void ClaimBook::OnTaken(const ClaimKey& key, const ClaimEntry& entry) {
  Local local = std::move(locals_[key]);
  locals_.erase(key);
  const ClaimAnswer answer = AnswerFrom(entry, local.entry.digest);
  if (!local.abandoned) {
    events_.push_back({ClaimEventKind::kResolved, local.entry.request, answer});
  }
  for (const RequestId& it : local.joined) {
    events_.push_back({ClaimEventKind::kResolved, it, answer});
  }
  if (entry.state == ClaimState::kClaimed) return;
  Local known;
  known.entry = entry;
  locals_[key] = std::move(known);
  Remember(key);
}

void ClaimBook::OnStored(const ClaimWrite& write, std::int64_t revision) {
  auto it = locals_.find(write.key);
  if (it == locals_.end()) return;
  if (write.kind == ClaimWriteKind::kDelete) {
    locals_.erase(it);
  } else {
    it->second.revision = revision;
  }
}

void ClaimBook::Remember(const ClaimKey& key) {
  remembered_.push_back(key);
  while (remembered_.size() > options_.remembered) {
    auto it = locals_.find(remembered_.front());
    const bool stored =
        it != locals_.end() && it->second.entry.state != ClaimState::kClaimed;
    if (stored) locals_.erase(it);
    remembered_.pop_front();
  }
}

std::vector<ClaimEvent> ClaimBook::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace quaytrack
