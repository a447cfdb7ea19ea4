// Holds back the end of an answer until its bill is safe.
//
// A bill is safe once it is stored in the key-value service, or once the
// recorded witness has acknowledged a copy. If neither happens within the
// timeout, the answer is sent anyway and counted as unprotected. Until the
// service is reachable again, an unprotected bill exists in this router's
// memory only.

#ifndef QUAYTRACK_ROUTER_BILL_GATE_H_
#define QUAYTRACK_ROUTER_BILL_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace quaytrack {

enum class BillSafety { kWritten, kWitnessed, kUnprotected };

class BillGate {
 public:
  using OpenHandler = std::function<void(const RequestId&, BillSafety)>;

  BillGate(Duration timeout, OpenHandler on_open)
      : timeout_(timeout), on_open_(std::move(on_open)) {}

  // Waits for the bill of `request`, which is in batch `seq`.
  void Wait(Instant now, const RequestId& request, std::uint64_t seq);
  void OnWritten(std::uint64_t seq);
  void OnWitnessed(const RequestId& request);
  void Tick(Instant now);

 private:
  struct Waiting {
    std::uint64_t seq = 0;
    Instant since{};
  };
  void Open(const std::vector<RequestId>& requests, BillSafety safety);

  Duration timeout_;
  OpenHandler on_open_;
  std::map<RequestId, Waiting> waiting_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_BILL_GATE_H_
