// PrefixCache: estimates which prompt parts one engine has cached.
//
//   PrefixCache cache;
//   const Tokens cached = cache.CachedTokens(request.parts);
//   cache.OnSent(now, request.parts);
//
// A prompt is a list of parts. All but the last may be shared between requests;
// the last belongs to one request. An engine that has the shared parts in its
// prefix cache prefills only the rest. A cached part is useful only if all
// parts before it are cached, because its attention depends on them.
//
// This is an estimate: engines do not report their cache, and other routers
// send to them too. Every part that was sent is assumed to be cached. Beyond
// `kMaxParts` parts, the least recently sent are forgotten, as an engine does.
//
// Owns the list of parts; relies on the time passed in; cannot fail.

#ifndef QUAYTRACK_DISPATCH_PREFIX_CACHE_H_
#define QUAYTRACK_DISPATCH_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

// Identifies the text of a part of a prompt.
using PartId = std::uint64_t;

// A part of a prompt, which other prompts may share unless it is the last.
struct PromptPart {
  PartId id = 0;
  Tokens tokens = 0;
};

// The distinct shared parts, in the order of the prompt.
std::vector<PartId> SharedParts(const std::vector<PromptPart>& parts);
// The id as callers write it, in hexadecimal digits.
std::string HexText(PartId id);

// Tokens of all shared parts, which are all but the last.
Tokens SharedTokens(const std::vector<PromptPart>& parts);

class PrefixCache {
 public:
  // Tokens of the leading shared parts that are assumed to be cached.
  Tokens CachedTokens(const std::vector<PromptPart>& parts) const;
  // Notes that a prompt with these parts was sent to the engine. Of a prompt
  // with very many, the first `kMaxParts` are noted.
  void OnSent(Instant now, const std::vector<PromptPart>& parts);

 private:
  // Bounds this router's memory, not the engine's cache.
  static constexpr std::size_t kMaxParts = 256;

  void ForgetOldest();

  // When each part was last sent.
  std::unordered_map<std::uint64_t, Instant> sent_at_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_PREFIX_CACHE_H_
