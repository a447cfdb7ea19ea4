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

// What a router has received by transfers, less what it has given.
Tokens Received(const PrepaidEntry& entry, const Incarnation& who) {
  Tokens out = 0;
  for (const auto& [pair, total] : entry.transferred) {
    if (pair.receiver == who) out += total;
    if (pair.giver == who) out -= total;
  }
  return out;
}

// A router's part of one customer's budget, apart from transfers.
struct Part {
  // Granted to it at present; of one that is gone, what is left of its
  // transfers when its charge is taken off.
  Tokens drawn = 0;
  Tokens contributed = 0;

  Tokens total() const { return drawn + contributed; }
};

Part PartOf(const PrepaidEntry& entry, const Incarnation& who) {
  return {ValueIn(entry.grants, who) - Received(entry, who),
          ValueIn(entry.contributed, who)};
}

// What was settled by routers that are forgotten.
Tokens SettledByForgotten(const PrepaidEntry& entry) {
  Tokens out = entry.settled;
  for (const auto& [who, amount] : entry.contributed) out -= amount;
  return out;
}

// Of two records, and of each router, which shows the later part.
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
    out.settled = std::max(SettledByForgotten(a), SettledByForgotten(b));
    for (const Incarnation& it : routers_) {
      const Tokens received = Received(out, it);
      Part part;
      if (IsGone(it)) {
        part.contributed = TotalOfGone(it, a, b) + received;
      } else {
        part = PartOf(IsLater(b_, a_, it) ? b : a, it);
        part.drawn += received;
      }
      out.settled += part.contributed;
      if (part.contributed != 0) out.contributed[it] = part.contributed;
      if (part.drawn != 0) out.grants[it] = part.drawn;
    }
    return out;
  }

 private:
  // Whether `x` shows a later part of a router than `y` does.
  static bool IsLater(const PrepaidRecord& x, const PrepaidRecord& y,
                      const Incarnation& it) {
    if (!x.IsKnown(it) || !y.IsKnown(it)) return x.IsKnown(it);
    return ValueIn(x.writes, it) > ValueIn(y.writes, it);
  }

  // It was charged what the record shows that has it as gone, unless the other
  // has a later part.
  Tokens TotalOfGone(const Incarnation& it, const PrepaidEntry& a,
                     const PrepaidEntry& b) const {
    const Tokens in_a = PartOf(a, it).total();
    const Tokens in_b = PartOf(b, it).total();
    if (!b_.IsGone(it) && !IsLater(b_, a_, it)) return in_a;
    if (!a_.IsGone(it) && !IsLater(a_, b_, it)) return in_b;
    return std::max(in_a, in_b);
  }

  const PrepaidRecord& a_;
  const PrepaidRecord& b_;
  std::set<Incarnation> routers_;
};

}  // namespace

void MergeKnown(const PrepaidRecord& known, PrepaidRecord& record) {
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
  out.Forget();
  record = std::move(out);
}

}  // namespace quaytrack
