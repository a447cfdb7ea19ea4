// PrefixCache: which prompt parts one engine is taken to have cached.
//
//   PrefixCache cache;
//   const Tokens cached = cache.CachedTokens(request.parts);
//   cache.OnSent(now, request.parts);
//
// A prompt is a list of parts. All but the last are shared between requests;
// the last belongs to its request alone. An engine that has the shared parts in
// its prefix cache prefills only the rest. A part is of use only together with
// all parts before it, as its attention depends on them.
//
// This is a guess: an engine doesn't say what it has cached, and other routers
// send to it too. What was sent is taken to be cached; of `kMaxParts` parts the
// ones that were sent longest ago are forgotten, as the engine does.
//
// It owns the list of parts and relies on the time passed in. It can't fail.

#ifndef QUAYTRACK_DISPATCH_PREFIX_CACHE_H_
#define QUAYTRACK_DISPATCH_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// A part of a prompt.
struct PromptPart {
  std::uint64_t id = 0;
  Tokens tokens = 0;
};

// Tokens of all shared parts.
Tokens SharedTokens(const std::vector<PromptPart>& parts);

class PrefixCache {
 public:
  // Tokens of the shared parts that are taken to be cached.
  Tokens CachedTokens(const std::vector<PromptPart>& parts) const;
  // A prompt with these parts was sent to the engine.
  void OnSent(Instant now, const std::vector<PromptPart>& parts);

 private:
  // Not measured. It bounds this router's memory, not the engine's.
  static constexpr std::size_t kMaxParts = 256;

  void ForgetOldest();

  // When each part was last sent.
  std::unordered_map<std::uint64_t, Instant> sent_at_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PREFIX_CACHE_H_
