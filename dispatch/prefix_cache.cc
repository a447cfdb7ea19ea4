#include "dispatch/prefix_cache.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <unordered_set>

namespace quaytrack {

std::vector<PartId> SharedParts(const std::vector<PromptPart>& parts) {
  std::vector<PartId> out;
  std::unordered_set<PartId> seen;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    if (seen.insert(parts[i].id).second) out.push_back(parts[i].id);
  }
  return out;
}

std::string HexText(PartId id) {
  char out[17];
  std::snprintf(out, sizeof out, "%" PRIx64, id);
  return out;
}

Tokens SharedTokens(const std::vector<PromptPart>& parts) {
  Tokens out = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) out += parts[i].tokens;
  return out;
}

Tokens PrefixCache::CachedTokens(const std::vector<PromptPart>& parts) const {
  Tokens out = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    if (!sent_at_.contains(parts[i].id)) break;
    out += parts[i].tokens;
  }
  return out;
}

void PrefixCache::OnSent(Instant now, const std::vector<PromptPart>& parts) {
  const std::size_t n = std::min(parts.size(), kMaxParts + 1);
  for (std::size_t i = 0; i + 1 < n; ++i) sent_at_[parts[i].id] = now;
  while (sent_at_.size() > kMaxParts) ForgetOldest();
}

void PrefixCache::ForgetOldest() {
  sent_at_.erase(std::min_element(
      sent_at_.begin(), sent_at_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

}  // namespace quaytrack
