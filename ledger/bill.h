// One bill, and the batches in which bills reach the key-value service.
//
// A request is billed once. Its bill id is generated with the request (unique
// by construction, as it contains the router's incarnation, one run of its
// process), or derived from the caller's Idempotency-Key so that a retry at
// another router has the same id. Bills are written in batches: one batch is
// one journal key, written create-only in the same transaction that updates the
// ledger records.

#ifndef QUAYTRACK_LEDGER_BILL_H_
#define QUAYTRACK_LEDGER_BILL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace quaytrack {

struct Bill {
  std::string bill_id;
  CustomerName customer;
  BudgetName budget;
  RequestId request_id;
  Tokens tokens = 0;
  // Milliseconds since the Unix epoch; informational, no decision uses it.
  std::int64_t at_ms = 0;
  // Name of the create-only marker that prevents a second bill for the same
  // request; empty if the request needs none (router/request_budget.cc).
  std::string marker;

  bool operator==(const Bill&) const = default;
};

// Bills that one incarnation writes under one journal key.
struct BillBatch {
  std::uint64_t seq = 0;
  std::vector<Bill> bills;

  bool operator==(const BillBatch&) const = default;
};

// Returns the JSON that is stored under a journal key.
std::string EncodeBatch(const BillBatch& batch);

// Returns std::nullopt if `text` is not a batch.
std::optional<BillBatch> DecodeBatch(std::string_view text);

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_BILL_H_
