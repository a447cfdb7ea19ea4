#include "ledger/bill_batches.h"

#include <algorithm>
#include <utility>

namespace quaytrack {

std::uint64_t BillBatches::Add(const Bill& bill) {
  const bool has_marker = !bill.marker.empty();
  if (has_marker && !markers_.insert(bill.marker).second) return 0;
  if (LastIsFull(has_marker)) open_.push_back({next_seq_++, {}});
  open_.back().bills.push_back(bill);
  return open_.back().seq;
}

bool BillBatches::LastIsFull(bool needs_marker) const {
  if (open_.empty()) return true;
  const std::vector<Bill>& bills = open_.back().bills;
  if (bills.size() >= limits_.max_bills) return true;
  if (!needs_marker) return false;
  const auto n = std::count_if(bills.begin(), bills.end(), [](const Bill& it) {
    return !it.marker.empty();
  });
  return static_cast<std::size_t>(n) >= limits_.max_markers;
}

void BillBatches::SealNext() {
  if (sealed_ || open_.empty()) return;
  sealed_ = std::move(open_.front());
  open_.pop_front();
  for (const Bill& it : sealed_->bills) sealed_costs_[it.budget] += it.tokens;
}

const BillBatch& BillBatches::Seal() {
  if (!sealed_ && open_.empty()) open_.push_back({next_seq_++, {}});
  SealNext();
  return *sealed_;
}

Tokens BillBatches::SealedCost(const BudgetName& budget) const {
  auto it = sealed_costs_.find(budget);
  return it == sealed_costs_.end() ? 0 : it->second;
}

std::vector<Bill> BillBatches::DropExisting(
    const std::set<std::string>& markers) {
  std::vector<Bill> out;
  if (!sealed_ || markers.empty()) return out;
  std::erase_if(sealed_->bills, [&](const Bill& it) {
    if (it.marker.empty() || !markers.contains(it.marker)) return false;
    sealed_costs_[it.budget] -= it.tokens;
    markers_.erase(it.marker);
    out.push_back(it);
    return true;
  });
  return out;
}

std::uint64_t BillBatches::Resolve() {
  for (const Bill& it : sealed_->bills) markers_.erase(it.marker);
  const std::uint64_t seq = sealed_->seq;
  sealed_.reset();
  sealed_costs_.clear();
  return seq;
}

std::size_t BillBatches::size() const {
  std::size_t n = sealed_ ? sealed_->bills.size() : 0;
  for (const BillBatch& it : open_) n += it.bills.size();
  return n;
}

}  // namespace quaytrack
