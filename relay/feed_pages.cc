#include "relay/feed_pages.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace quaytrack {
namespace {

std::size_t BytesOf(const StoreItem& item) {
  return item.key.size() + item.value.size();
}

}  // namespace

// --- At the reader -----------------------------------------------------------

void FeedItemTable::Start(const std::vector<StoreItem>& items,
                          StoreRevision revision) {
  Clear();
  removals_since_ = revision;
  for (const StoreItem& it : items) Apply({it, false});
}

void FeedItemTable::Clear() {
  items_.clear();
  bytes_ = 0;
  removed_.clear();
  removals_since_ = {};
}

void FeedItemTable::Apply(const StoreChange& change) {
  const auto it = items_.find(change.item.key);
  if (it != items_.end()) {
    bytes_ -= BytesOf(it->second);
    items_.erase(it);
  }
  if (!change.removed) {
    bytes_ += BytesOf(change.item);
    items_[change.item.key] = change.item;
    return;
  }
  removed_.push_back({change.item.key, change.item.revision});
  if (removed_.size() <= kMaxRemovals) return;
  removals_since_ = std::max(removals_since_, removed_.front().revision);
  removed_.pop_front();
}

std::vector<StoreChange> FeedItemTable::Replace(
    const std::vector<StoreItem>& items, StoreRevision revision) {
  std::vector<StoreChange> out;
  std::set<std::string> missing;
  for (const auto& [key, it] : items_) missing.insert(key);
  for (const StoreItem& it : items) {
    const auto before = items_.find(it.key);
    const bool same =
        before != items_.end() && before->second.revision == it.revision;
    if (!same) out.push_back({it, false});
    missing.erase(it.key);
  }
  for (const std::string& key : missing) {
    out.push_back({{key, "", revision}, true});
  }
  for (const StoreChange& it : out) Apply(it);
  // An item that was written and removed between the two reads is not in
  // `removed_`, so `removed_` is complete only for later revisions.
  removals_since_ = revision;
  return out;
}

bool FeedItemTable::Covers(StoreRevision since, StoreRevision revision) const {
  return since != StoreRevision() && since.era == revision.era &&
         since >= removals_since_;
}

std::optional<FeedUpdate> FeedItemTable::PageFor(const FeedUpdate& wanted,
                                                 StoreRevision revision) const {
  if (wanted.since >= revision) return std::nullopt;
  FeedUpdate out;
  out.revision = revision;
  const bool covers = Covers(wanted.since, revision);
  if (covers) out.since = wanted.since;
  if (covers || wanted.since == StoreRevision()) out.after = wanted.after;
  if (covers && out.after.empty()) AddRemovals(out);
  AddItems(wanted.paged ? kPageBytes : std::numeric_limits<std::size_t>::max(),
           out);
  return out;
}

void FeedItemTable::AddRemovals(FeedUpdate& page) const {
  for (const Removal& it : removed_) {
    if (it.revision <= page.since || items_.contains(it.key)) continue;
    page.changes.push_back({{it.key, "", it.revision}, true});
  }
}

void FeedItemTable::AddItems(std::size_t max_bytes, FeedUpdate& page) const {
  std::size_t bytes = 0;
  bool has_item = false;
  for (auto it = items_.upper_bound(page.after); it != items_.end(); ++it) {
    const StoreItem& item = it->second;
    if (item.revision <= page.since) continue;
    bytes += BytesOf(item);
    if (has_item && bytes > max_bytes) {
      page.more = true;
      return;
    }
    has_item = true;
    page.changes.push_back({item, false});
  }
}

// --- At the router that is behind --------------------------------------------

FeedUpdate FeedPageAssembler::Next(StoreRevision known) const {
  FeedUpdate out;
  out.paged = true;
  out.since = partial_ ? partial_->since : known;
  if (partial_) out.after = partial_->changes.back().item.key;
  return out;
}

bool FeedPageAssembler::Follows(const FeedUpdate& page) const {
  return partial_ && page.since == partial_->since &&
         page.revision.era == partial_->revision.era &&
         page.after == partial_->changes.back().item.key;
}

PageStep FeedPageAssembler::AddPage(const FeedUpdate& page) {
  // The page has no key after which the next one could start.
  if (page.more && page.changes.empty()) return PageStep::kIgnored;
  if (page.after.empty()) {
    partial_ = page;
  } else if (Follows(page)) {
    partial_->revision = std::min(partial_->revision, page.revision);
    std::copy(page.changes.begin(), page.changes.end(),
              std::back_inserter(partial_->changes));
  } else {
    DropIfOfEarlierEra(page);
    return PageStep::kIgnored;
  }
  return page.more ? PageStep::kMorePages : PageStep::kComplete;
}

// Drops the received pages if they are of an earlier era than `page`, as
// readers have no further pages of that era.
void FeedPageAssembler::DropIfOfEarlierEra(const FeedUpdate& page) {
  if (partial_ && partial_->revision.era < page.revision.era) Drop();
}

FeedUpdate FeedPageAssembler::Finish() {
  FeedUpdate out = std::move(*partial_);
  Drop();
  return out;
}

}  // namespace quaytrack
