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

ClaimTracker::ClaimTracker(Incarnation self, ClaimOptions options,
                           const ClaimChart& chart)
    : self_(std::move(self)), options_(options), chart_(chart) {}

ClaimAnswer ClaimTracker::AnswerFrom(const ClaimEntry& entry,
                                     const std::string& digest) const {
  if (entry.digest != digest) return {ClaimAnswerKind::kMismatch, entry};
  switch (entry.state) {
    case ClaimState::kDone:
      return {ClaimAnswerKind::kReplay, entry};
    case ClaimState::kUnknown:
      return {ClaimAnswerKind::kUnknown, entry};
    case ClaimState::kClaimed:
      return {ClaimAnswerKind::kOtherRouter, entry};
  }
  return {ClaimAnswerKind::kUnknown, entry};
}

ClaimAnswer ClaimTracker::Begin(Instant now, const ClaimKey& key,
                                const std::string& digest,
                                const RequestId& request,
                                std::int64_t wall_ms) {
  auto resolved = resolved_.find(key);
  if (resolved != resolved_.end()) return AnswerFrom(resolved->second, digest);
  auto it = local_claims_.find(key);
  if (it != local_claims_.end()) {
    LocalClaim& local = it->second;
    const bool ended = local.entry.state != ClaimState::kClaimed ||
                       local.machine.state() == ClaimPhase::kWithdrawing;
    if (ended || local.entry.digest != digest) {
      return AnswerFrom(local.entry, digest);
    }
    local.joined.push_back(request);
    return {ClaimAnswerKind::kJoin, local.entry};
  }
  ClaimEntry entry;
  entry.state = ClaimState::kClaimed;
  entry.owner = self_;
  entry.owner_registered = registered_;
  entry.request = request;
  entry.digest = digest;
  entry.at_ms = wall_ms;
  Enqueue(now, {ClaimWriteKind::kCreate, key, entry, 0});
  local_claims_.emplace(key, LocalClaim(chart_, std::move(entry)));
  return {ClaimAnswerKind::kWait, {}};
}

void ClaimTracker::Abandon(Instant now, const ClaimKey& key,
                           const RequestId& request) {
  auto it = local_claims_.find(key);
  if (it == local_claims_.end()) return;
  if (it->second.entry.request == request) {
    Apply(now, key, ClaimStep::kAbandoned);
  } else {
    std::erase(it->second.joined, request);
  }
}

void ClaimTracker::MarkDone(Instant now, const ClaimKey& key,
                            StoredAnswer answer) {
  auto it = local_claims_.find(key);
  if (it == local_claims_.end()) return;
  it->second.entry.state = ClaimState::kDone;
  it->second.entry.answer = std::move(answer);
  Apply(now, key, ClaimStep::kRan);
}

void ClaimTracker::MarkUnknown(Instant now, const ClaimKey& key) {
  auto it = local_claims_.find(key);
  if (it == local_claims_.end()) return;
  it->second.entry.state = ClaimState::kUnknown;
  Apply(now, key, ClaimStep::kLost);
}

void ClaimTracker::Apply(Instant now, const ClaimKey& key, ClaimStep step) {
  auto it = local_claims_.find(key);
  if (it == local_claims_.end()) return;
  PerformAction(now, key, it->second, it->second.machine.Apply(step));
}

void ClaimTracker::PerformAction(Instant now, const ClaimKey& key,
                                 LocalClaim& local, ClaimAction action) {
  switch (action) {
    case ClaimAction::kNone:
      return;
    case ClaimAction::kNotifyOwner:
      events_.push_back({ClaimEventKind::kClaimed, local.entry.request, {}});
      return;
    case ClaimAction::kNotifyTaken:
      events_.push_back({ClaimEventKind::kResolved, local.entry.request,
                         AnswerFrom(resolved_[key], local.entry.digest)});
      return;
    case ClaimAction::kStore:
      Enqueue(now,
              {ClaimWriteKind::kReplace, key, local.entry, local.revision});
      return NotifyJoined(local);
    case ClaimAction::kDelete:
      Enqueue(now, {ClaimWriteKind::kDelete, key, local.entry, local.revision});
      // The requests that joined are notified now, so that their callers may
      // retry.
      return NotifyJoined(local);
  }
}

void ClaimTracker::NotifyJoined(LocalClaim& local) {
  const ClaimAnswer answer = AnswerFrom(local.entry, local.entry.digest);
  for (const RequestId& it : local.joined) {
    events_.push_back({ClaimEventKind::kResolved, it, answer});
  }
  local.joined.clear();
}

void ClaimTracker::Enqueue(Instant now, ClaimWrite write) {
  if (queue_.empty() && in_flight_.empty()) due_ = now + options_.group_delay;
  queue_.push_back(std::move(write));
}

std::optional<ClaimCommit> ClaimTracker::Next(Instant now) {
  if (!in_flight_.empty() || queue_.empty() || now < due_) {
    return std::nullopt;
  }
  ClaimCommit out;
  std::set<ClaimKey> keys;
  std::deque<ClaimWrite> remaining;
  // A transaction has at most one write of a key; a key's writes keep their
  // order.
  for (ClaimWrite& it : queue_) {
    const bool fits = out.writes.size() < options_.max_group;
    if (fits && keys.insert(it.key).second) {
      out.writes.push_back(std::move(it));
    } else {
      remaining.push_back(std::move(it));
    }
  }
  queue_ = std::move(remaining);
  in_flight_ = out.writes;
  return out;
}

void ClaimTracker::OnCommit(Instant now, ClaimOutcome outcome,
                            std::int64_t revision,
                            const std::vector<FoundClaim>& found) {
  std::vector<ClaimWrite> writes = std::exchange(in_flight_, {});
  due_ = now;
  if (outcome == ClaimOutcome::kUnknown) {
    due_ = now + options_.retry_after_failure;
    queue_.insert(queue_.begin(), writes.begin(), writes.end());
    return;
  }
  for (std::size_t n = 0; n < writes.size(); ++n) {
    if (outcome == ClaimOutcome::kRejected) {
      ResolveRejected(now, writes[n], found[n]);
    } else {
      OnWritten(now, writes[n], revision);
    }
  }
}

// Resolves one write of a rejected group from the present value of its key.
// Another write may have caused the rejection, or an earlier attempt of this
// write may have been applied.
void ClaimTracker::ResolveRejected(Instant now, const ClaimWrite& write,
                                   const FoundClaim& found) {
  if (write.kind != ClaimWriteKind::kCreate) {
    const bool untouched = found.exists && found.revision == write.revision;
    if (!untouched) return OnWritten(now, write, found.revision);
    queue_.push_front(write);
    return;
  }
  if (!found.exists) {
    queue_.push_front(write);
  } else if (found.entry.request == write.entry.request) {
    OnWritten(now, write, found.revision);
  } else {
    auto it = local_claims_.find(write.key);
    resolved_[write.key] = found.entry;
    Apply(now, write.key, ClaimStep::kTaken);
    for (const RequestId& request : it->second.joined) {
      events_.push_back({ClaimEventKind::kResolved, request,
                         AnswerFrom(found.entry, it->second.entry.digest)});
    }
    local_claims_.erase(it);
    // A call that may still run at another router must be looked up each time.
    resolved_.erase(write.key);
    if (found.entry.state != ClaimState::kClaimed) {
      Remember(write.key, found.entry);
    }
  }
}

void ClaimTracker::OnWritten(Instant now, const ClaimWrite& write,
                             std::int64_t revision) {
  auto it = local_claims_.find(write.key);
  if (it == local_claims_.end()) return;
  LocalClaim& local = it->second;
  local.revision = revision;
  if (write.kind == ClaimWriteKind::kCreate) {
    return Apply(now, write.key, ClaimStep::kCreated);
  }
  Apply(now, write.key, ClaimStep::kWritten);
  if (local.machine.state() == ClaimPhase::kStored) {
    events_.push_back({ClaimEventKind::kStored, local.entry.request, {}});
    Remember(write.key, local.entry);
  }
  local_claims_.erase(it);
}

void ClaimTracker::Remember(const ClaimKey& key, const ClaimEntry& entry) {
  resolved_[key] = entry;
  resolved_order_.push_back(key);
  if (resolved_order_.size() <= options_.max_resolved) return;
  resolved_.erase(resolved_order_.front());
  resolved_order_.pop_front();
}

std::vector<ClaimEvent> ClaimTracker::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace quaytrack
