#include "ledger/account.h"

#include <algorithm>

namespace quaytrack {

bool Account::TryHold(const RequestId& request, Tokens amount) {
  if (amount > Available()) return false;
  held_[request] = amount;
  held_total_ += amount;
  return true;
}

Tokens Account::Settle(Instant now, const RequestId& request, Tokens cost) {
  auto it = held_.find(request);
  if (it == held_.end()) return 0;
  const Tokens billed = std::clamp<Tokens>(cost, 0, it->second);
  held_total_ -= it->second;
  held_.erase(it);
  unwritten_ += billed;
  rate_.Add(now, static_cast<double>(billed));
  return billed;
}

void Account::Release(const RequestId& request) {
  auto it = held_.find(request);
  if (it == held_.end()) return;
  held_total_ -= it->second;
  held_.erase(it);
}

void Account::OnRecorded(Tokens granted, Tokens written) {
  granted_ = granted;
  unwritten_ -= written;
  returning_ = 0;
}

}  // namespace quaytrack
