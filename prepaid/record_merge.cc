#include "prepaid/record_merge.h"

#include <algorithm>
#include <set>

namespace quaytrack {
namespace {

template <class Map, class Key>
auto ValueIn(const Map& map, const Key& key) {
  const auto it = map.find(key);
  return it == map.end() ? typename Map::mapped_type{} : it->second;
}

// What a router has received by transfers, less what it has given; may be
// negative.
Tokens NetReceived(const PrepaidEntry& entry, const Incarnation& router) {
  Tokens out = 0;
  for (const auto& [pair, total] : entry.transferred) {
    if (pair.receiver == router) out += total;
    if (pair.giver == router) out -= total;
  }
  return out;
}

// A router's share of one customer's budget, apart from transfers.
struct RouterBalance {
  // Its current grant without its net transfers. For a router that is gone,
  // only the negated net transfers, as its grant was charged.
  Tokens drawn = 0;
  Tokens contributed = 0;

  Tokens total() const { return drawn + contributed; }
};

RouterBalance BalanceOf(const PrepaidEntry& entry, const Incarnation& router) {
  return {ValueIn(entry.grants, router) - NetReceived(entry, router),
          ValueIn(entry.contributed, router)};
}

// What was settled by routers that are neither members nor in
// `PrepaidRecord::gone`.
Tokens SettledByPruned(const PrepaidEntry& entry) {
  Tokens out = entry.settled;
  for (const auto& [router, amount] : entry.contributed) out -= amount;
  return out;
}

// Merges the entries of two records, taking each router's later balance.
class Merge {
 public:
  Merge(const PrepaidRecord& a, const PrepaidRecord& b) : a_(a), b_(b) {
    for (const PrepaidRecord* it : {&a, &b}) {
      routers_.insert(it->members.begin(), it->members.end());
      routers_.insert(it->gone.begin(), it->gone.end());
    }
  }

  bool IsGone(const Incarnation& it) const {
    return a_.IsGone(it) || b_.IsGone(it);
  }
  const std::set<Incarnation>& routers() const { return routers_; }

  PrepaidEntry Entry(const CustomerName& customer) const {
    const PrepaidEntry a = ValueIn(a_.customers, customer);
    const PrepaidEntry b = ValueIn(b_.customers, customer);
    PrepaidEntry out;
    const PrepaidEntry& limit = a.limit_version >= b.limit_version ? a : b;
    out.limit = limit.limit;
    out.limit_version = limit.limit_version;
    out.transferred = a.transferred;
    for (const auto& [pair, total] : b.transferred) {
      Tokens& at = out.transferred[pair];
      at = std::max(at, total);
    }
    out.spent_per_s = std::max(a.spent_per_s, b.spent_per_s);
    out.presumed = a.presumed;
    for (const auto& [router, amount] : b.presumed) {
      Tokens& at = out.presumed[router];
      at = std::max(at, amount);
    }
    out.settled = std::max(SettledByPruned(a), SettledByPruned(b));
    for (const Incarnation& it : routers_) {
      const Tokens received = NetReceived(out, it);
      RouterBalance balance;
      if (IsGone(it)) {
        balance.contributed = GoneTotal(it, a, b) + received;
      } else {
        balance = BalanceOf(IsLater(b_, a_, it) ? b : a, it);
        balance.drawn += received;
      }
      out.settled += balance.contributed;
      if (balance.contributed != 0) out.contributed[it] = balance.contributed;
      if (balance.drawn != 0) out.grants[it] = balance.drawn;
    }
    return out;
  }

 private:
  // Whether `x` shows a later balance of the router than `y` does.
  static bool IsLater(const PrepaidRecord& x, const PrepaidRecord& y,
                      const Incarnation& it) {
    if (!x.IsKnown(it) || !y.IsKnown(it)) return x.IsKnown(it);
    return ValueIn(x.writes, it) > ValueIn(y.writes, it);
  }

  // The total of a router that is gone: what it was charged in the record that
  // shows it as gone, unless the other record shows a later balance.
  Tokens GoneTotal(const Incarnation& it, const PrepaidEntry& a,
                   const PrepaidEntry& b) const {
    const Tokens in_a = BalanceOf(a, it).total();
    const Tokens in_b = BalanceOf(b, it).total();
    if (!b_.IsGone(it) && !IsLater(b_, a_, it)) return in_a;
    if (!a_.IsGone(it) && !IsLater(a_, b_, it)) return in_b;
    return std::max(in_a, in_b);
  }

  const PrepaidRecord& a_;
  const PrepaidRecord& b_;
  std::set<Incarnation> routers_;
};

}  // namespace

void MergeRecord(const PrepaidRecord& known, PrepaidRecord& record) {
  const Merge merge(record, known);
  PrepaidRecord out;
  out.era = record.era;
  out.undeclared = record.undeclared;
  out.gone = record.gone;
  for (const Incarnation& it : known.gone) {
    if (!record.IsGone(it)) out.gone.push_back(it);
  }
  for (const Incarnation& it : merge.routers()) {
    out.writes[it] =
        std::max(ValueIn(record.writes, it), ValueIn(known.writes, it));
    if (merge.IsGone(it)) {
      out.undeclared.erase(it);
      continue;
    }
    out.members.insert(it);
    if (!record.HasMember(it)) out.undeclared.insert(it);
  }
  for (const auto& [customer, entry] : record.customers) {
    out.customers[customer] = merge.Entry(customer);
  }
  for (const auto& [customer, entry] : known.customers) {
    if (!out.customers.contains(customer)) {
      out.customers[customer] = merge.Entry(customer);
    }
  }
  out.PruneGone();
  record = std::move(out);
}

}  // namespace quaytrack
