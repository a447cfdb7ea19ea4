#include "router/bill_gate.h"

#include <utility>

namespace quaytrack {

void BillGate::Wait(Instant now, const RequestId& request, std::uint64_t seq) {
  waiting_[request] = {seq, now};
}

void BillGate::OnWritten(std::uint64_t seq) {
  std::vector<RequestId> open;
  for (const auto& [request, it] : waiting_) {
    if (it.seq <= seq) open.push_back(request);
  }
  Open(open, BillSafety::kWritten);
}

void BillGate::OnWitnessed(const RequestId& request) {
  if (waiting_.contains(request)) Open({request}, BillSafety::kWitnessed);
}

void BillGate::Tick(Instant now) {
  std::vector<RequestId> open;
  for (const auto& [request, it] : waiting_) {
    if (it.since + timeout_ <= now) open.push_back(request);
  }
  Open(open, BillSafety::kUnprotected);
}

void BillGate::Open(const std::vector<RequestId>& requests, BillSafety safety) {
  for (const RequestId& it : requests) waiting_.erase(it);
  for (const RequestId& it : requests) on_open_(it, safety);
}

}  // namespace quaytrack
