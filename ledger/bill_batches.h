// Bills that are not known to be stored yet, in the batches that carry them.
//
//   BillBatches bills({1000, 50});
//   const auto seq = bills.Add(bill);  // 0 if its marker is unwritten
//   bills.SealNext();                  // the oldest batch is being written
//   Write(bills.sealed()->bills);      // as part of a commit
//   bills.Resolve();                   // the commit is known to be stored
//
// A batch accepts bills until it is full or sealed. One batch at a time is
// sealed: its number stays until some attempt to write it is known to have been
// applied, and its bills change only by DropExisting. Batches are numbered from
// 1 without gaps, in the order in which they are written.
//
// Owns the bills and their markers. The caller decides when to seal.

#ifndef QUAYTRACK_LEDGER_BILL_BATCHES_H_
#define QUAYTRACK_LEDGER_BILL_BATCHES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ledger/bill.h"

namespace quaytrack {

class BillBatches {
 public:
  struct Limits {
    std::size_t max_bills = 0;
    std::size_t max_markers = 0;
  };

  explicit BillBatches(Limits limits) : limits_(limits) {}

  // Adds a bill and returns the number of its batch. Returns 0 and adds nothing
  // if a bill with the same marker is unwritten.
  std::uint64_t Add(const Bill& bill);

  // Seals the oldest batch, if there is one and none is sealed.
  void SealNext();
  // Returns the sealed batch. If none is sealed, seals the oldest batch first,
  // or an empty one if there is none: every commit needs a batch number.
  const BillBatch& Seal();

  const std::optional<BillBatch>& sealed() const { return sealed_; }
  // The sealed batch's total cost for a budget.
  Tokens SealedCost(const BudgetName& budget) const;

  // Removes from the sealed batch, and returns, the bills whose markers exist:
  // other routers have billed the same requests.
  std::vector<Bill> DropExisting(const std::set<std::string>& markers);

  // Discards the sealed batch, which is stored, and returns its number.
  std::uint64_t Resolve();

  // Number of bills, sealed or not.
  std::size_t size() const;

 private:
  bool LastIsFull(bool needs_marker) const;

  Limits limits_;
  std::uint64_t next_seq_ = 1;
  // Unsealed batches; only the last accepts bills.
  std::deque<BillBatch> open_;
  std::optional<BillBatch> sealed_;
  std::map<BudgetName, Tokens> sealed_costs_;
  std::set<std::string> markers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_BILL_BATCHES_H_
