// Bills that are not known to be stored yet, in the batches that carry them.
//
//   BillBatches bills({1000, 50});
//   const auto seq = bills.Add(bill);     // 0: the same request is billed
//   already bills.SealNext();                     // the oldest batch is being
//   written bills.sealed()->bills ...             // goes into a commit
//   bills.Resolve();                      // the commit is known to be stored
//
// A batch takes bills until it is full or sealed. One batch at a time is
// sealed: its number stays until some attempt to write it is known to have won,
// and its bills change only by DropExisting. Batches are numbered from 1
// without gaps, in the order in which they are written.
//
// Owns the bills and the markers of all of them; decides nothing about time.

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
    std::size_t most_bills = 0;
    std::size_t most_markers = 0;
  };

  explicit BillBatches(Limits limits) : limits_(limits) {}

  // Takes a bill; returns the number of its batch, or 0, and takes nothing, if
  // a bill with its marker is waiting here already.
  std::uint64_t Add(const Bill& bill);

  // Seals the oldest batch, if there is one and none is sealed.
  void SealNext();
  // The same, with a batch without bills if there is none: a commit needs a
  // number in any case.
  const BillBatch& Seal();

  const std::optional<BillBatch>& sealed() const { return sealed_; }
  // What the sealed batch bills to a budget.
  Tokens SealedCost(const BudgetName& budget) const;

  // Takes the bills whose markers exist out of the sealed batch, as the same
  // requests were billed elsewhere, and returns them.
  std::vector<Bill> DropExisting(const std::set<std::string>& markers);

  // The sealed batch is stored; returns its number.
  std::uint64_t Resolve();

  // Bills, sealed or not.
  std::size_t size() const;

 private:
  bool LastIsFull(bool needs_marker) const;

  Limits limits_;
  std::uint64_t next_seq_ = 1;
  // Batches that still take bills (the last) or wait to be written.
  std::deque<BillBatch> open_;
  std::optional<BillBatch> sealed_;
  std::map<BudgetName, Tokens> sealed_costs_;
  std::set<std::string> markers_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_BILL_BATCHES_H_
