// Two routers receive the same call with the same idempotency key. Only one of
// them sends it, and the other replays the stored answer.

#include <cstdio>
#include <map>

#include "claim/claim.h"

namespace {

using namespace quaytrack;  // NOLINT: an example reads better without prefixes

// The library works with any store that has compare-and-swap; this one is a
// map.
class Store {
 public:
  void Perform(ClaimTracker& claims, Instant now, const ClaimCommit& commit) {
    std::vector<FoundClaim> present;
    bool ok = true;
    for (const ClaimWrite& it : commit.writes) {
      auto found = data_.find(it.key);
      present.push_back(found == data_.end() ? FoundClaim() : found->second);
      const bool create = it.kind == ClaimWriteKind::kCreate;
      ok = ok && present.back().revision == (create ? 0 : it.revision);
    }
    if (!ok) {
      return claims.OnCommit(now, ClaimOutcome::kRejected, revision_, present);
    }
    ++revision_;
    for (const ClaimWrite& it : commit.writes) {
      data_[it.key] = {true, revision_, it.entry};
    }
    claims.OnCommit(now, ClaimOutcome::kApplied, revision_, present);
  }

 private:
  std::map<ClaimKey, FoundClaim> data_;
  std::int64_t revision_ = 0;
};

}  // namespace

int main() {
  const ClaimChart chart = BindClaimChart().value();
  const ClaimKey key{CustomerName("clinic"), IdempotencyKey("consent-12")};
  Store store;
  Instant now{};
  ClaimTracker a(Incarnation("a@1"), {}, chart);
  ClaimTracker b(Incarnation("b@1"), {}, chart);
  a.Begin(now, key, "digest of the call", RequestId("a-1"), 0);
  b.Begin(now, key, "digest of the call", RequestId("b-1"), 0);
  int sent = 0;
  int replayed = 0;
  for (int round = 0; round < 6; ++round) {
    now += std::chrono::milliseconds(200);
    for (ClaimTracker* it : {&a, &b}) {
      if (auto commit = it->Next(now)) store.Perform(*it, now, *commit);
      for (const ClaimEvent& event : it->TakeEvents()) {
        if (event.kind != ClaimEventKind::kClaimed) continue;
        ++sent;
        it->MarkDone(now, key, {200, "text/plain", "signed", false});
      }
    }
    const ClaimAnswer again =
        b.Begin(now, key, "digest of the call", RequestId("b-2"), 0);
    if (again.kind == ClaimAnswerKind::kReplay) {
      ++replayed;
      std::printf("b replays the stored answer: %s\n",
                  again.entry.answer.body.c_str());
      break;
    }
  }
  std::printf("sent %d time(s)\n", sent);
  return sent == 1 && replayed == 1 ? 0 : 1;
}
