#include "prepaid/prepaid_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

#include "base/cbor.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// Numbers the incarnations of a stored record. If each transfer held the names,
// they would make up most of a record with many transfers.
class NameTable {
 public:
  std::size_t NumberOf(const Incarnation& name) {
    const auto [it, added] = numbers_.try_emplace(name, names_.size());
    if (added) names_.push_back(name.value);
    return it->second;
  }
  const Json& names() const { return names_; }

 private:
  std::map<Incarnation, std::size_t> numbers_;
  Json names_ = Json::array();
};

// Positions in the array of a stored entry.
enum EntryField {
  kLimit,
  kVersion,
  kSettled,
  kGrants,
  kTransferred,
  kContributed,  // absent in older records
  kPresumed,     // absent in older records
  kSpentPerS,    // absent in older records
};

Json EntryToJson(const PrepaidEntry& entry, NameTable& names) {
  Json grants = Json::array();
  for (const auto& [router, amount] : entry.grants) {
    grants.push_back({names.NumberOf(router), amount});
  }
  Json transferred = Json::array();
  for (const auto& [pair, total] : entry.transferred) {
    transferred.push_back(
        {names.NumberOf(pair.giver), names.NumberOf(pair.receiver), total});
  }
  Json contributed = Json::array();
  for (const auto& [router, amount] : entry.contributed) {
    if (amount != 0) contributed.push_back({names.NumberOf(router), amount});
  }
  Json out = {entry.limit, entry.limit_version, entry.settled, grants,
              transferred};
  Json presumed = Json::array();
  for (const auto& [router, amount] : entry.presumed) {
    if (amount != 0) presumed.push_back({names.NumberOf(router), amount});
  }
  const bool has_more = !presumed.empty() || entry.spent_per_s != 0;
  if (!contributed.empty() || has_more) out.push_back(std::move(contributed));
  if (!has_more) return out;
  out.push_back(std::move(presumed));
  out.push_back(entry.spent_per_s);
  return out;
}

// Throws Json::exception if `number` isn't the number of a name.
Incarnation NameAt(const Json& names, const Json& number) {
  return Incarnation(names.at(number.get<std::size_t>()).get<std::string>());
}

PrepaidEntry EntryFromJson(const Json& json, const Json& names) {
  PrepaidEntry out;
  out.limit = json.at(kLimit).get<Tokens>();
  out.limit_version = json.at(kVersion).get<std::uint64_t>();
  out.settled = json.at(kSettled).get<Tokens>();
  for (const Json& it : json.at(kGrants)) {
    out.grants[NameAt(names, it.at(0))] = it.at(1).get<Tokens>();
  }
  for (const Json& it : json.at(kTransferred)) {
    const TransferPair pair{NameAt(names, it.at(0)), NameAt(names, it.at(1))};
    out.transferred[pair] = it.at(2).get<Tokens>();
  }
  if (json.size() <= kContributed) return out;
  for (const Json& it : json.at(kContributed)) {
    out.contributed[NameAt(names, it.at(0))] = it.at(1).get<Tokens>();
  }
  if (json.size() <= kSpentPerS) return out;
  for (const Json& it : json.at(kPresumed)) {
    out.presumed[NameAt(names, it.at(0))] = it.at(1).get<Tokens>();
  }
  out.spent_per_s = json.at(kSpentPerS).get<Tokens>();
  return out;
}

PrepaidRecord RecordFromJson(const Json& json) {
  PrepaidRecord out;
  const Json& names = json.at("names");
  for (const auto& [name, entry] : json.at("customers").items()) {
    out.customers[CustomerName(name)] = EntryFromJson(entry, names);
  }
  for (const Json& it : json.at("members")) {
    out.members.insert(NameAt(names, it));
  }
  out.era = json.value("era", std::int64_t{0});
  for (const Json& it : json.value("undeclared", Json::array())) {
    out.undeclared.insert(NameAt(names, it));
  }
  for (const Json& it : json.value("gone", Json::array())) {
    out.gone.push_back(NameAt(names, it));
  }
  for (const Json& it : json.value("writes", Json::array())) {
    out.writes[NameAt(names, it.at(0))] = it.at(1).get<std::uint64_t>();
  }
  return out;
}

CustomerSpend ProvenIn(const SpendAccount* spend,
                       const CustomerName& customer) {
  if (spend == nullptr) return {};
  const auto it = spend->customers.find(customer);
  return it == spend->customers.end() ? CustomerSpend() : it->second;
}

// Adds to what is presumed of `router`, which stays 0 or more.
void AddPresumed(PrepaidEntry& entry, const Incarnation& router,
                 Tokens amount) {
  Tokens& at = entry.presumed[router];
  at = std::max<Tokens>(0, at + amount);
  if (at == 0) entry.presumed.erase(router);
}

SpendAccount SpendFromJson(const Json& json) {
  SpendAccount out;
  out.sequence = json.at("sequence").get<std::uint64_t>();
  out.stamp_ms = json.at("stamp").get<std::int64_t>();
  out.boot = json.at("boot").get<std::string>();
  out.era = json.value("era", std::int64_t{0});
  for (const auto& [name, it] : json.at("customers").items()) {
    out.customers[CustomerName(name)] = {it.at(0).get<Tokens>(),
                                         it.at(1).get<Tokens>()};
  }
  return out;
}

}  // namespace

Tokens PrepaidEntry::Outstanding() const {
  return std::accumulate(
      grants.begin(), grants.end(), Tokens{0},
      [](Tokens sum, const auto& it) { return sum + it.second; });
}

Tokens PrepaidEntry::ProvenSpent() const {
  return std::accumulate(
      presumed.begin(), presumed.end(), settled,
      [](Tokens left, const auto& it) { return left - it.second; });
}

Tokens PrepaidRecord::ChargeAndRemove(const Incarnation& member,
                                      const SpendAccount* proven) {
  Tokens out = 0;
  members.erase(member);
  undeclared.erase(member);
  if (!IsGone(member)) gone.push_back(member);
  for (auto& [name, entry] : customers) {
    const auto grant = entry.grants.find(member);
    if (grant == entry.grants.end()) continue;
    const CustomerSpend known = ProvenIn(proven, name);
    // The charge is negative if the member gave away received tokens beyond its
    // grant. It is corrected when the giver records the transfer to the member.
    const Tokens charge = grant->second - known.withheld;
    entry.settled += charge;
    entry.contributed[member] += charge;
    AddPresumed(entry, member, charge - known.spent);
    out += charge;
    entry.grants.erase(grant);
  }
  PruneGone();
  return out;
}

void PrepaidRecord::PruneGone() {
  while (gone.size() > kMaxGone) {
    writes.erase(gone.front());
    for (auto& [name, entry] : customers) {
      entry.contributed.erase(gone.front());
      const auto presumed = entry.presumed.find(gone.front());
      if (presumed == entry.presumed.end()) continue;
      const Tokens amount = presumed->second;
      entry.presumed.erase(presumed);
      AddPresumed(entry, Incarnation(), amount);
    }
    gone.erase(gone.begin());
  }
  for (auto& [name, entry] : customers) {
    std::erase_if(entry.transferred, [&](const auto& it) {
      return !HasMember(it.first.giver) && !HasMember(it.first.receiver);
    });
  }
}

void PrepaidRecord::RecordTransfer(const CustomerName& customer,
                                   const TransferPair& pair, Tokens total) {
  PrepaidEntry& entry = customers[customer];
  Tokens& recorded = entry.transferred[pair];
  const Tokens amount = total - recorded;
  if (amount <= 0) return;
  recorded = total;
  // A router that is no longer a member has no grant: its grant was charged, so
  // the charge is corrected instead.
  if (HasMember(pair.giver)) {
    entry.grants[pair.giver] -= amount;
  } else {
    entry.settled -= amount;
    AddPresumed(entry, NameIfGone(pair.giver), -amount);
    if (IsGone(pair.giver)) entry.contributed[pair.giver] -= amount;
  }
  if (HasMember(pair.receiver)) {
    entry.grants[pair.receiver] += amount;
  } else {
    entry.settled += amount;
    AddPresumed(entry, NameIfGone(pair.receiver), amount);
    if (IsGone(pair.receiver)) entry.contributed[pair.receiver] += amount;
  }
}

std::string EncodePrepaid(const PrepaidRecord& record) {
  NameTable names;
  Json customers = Json::object();
  for (const auto& [name, entry] : record.customers) {
    customers[name.value] = EntryToJson(entry, names);
  }
  Json members = Json::array();
  for (const Incarnation& it : record.members) {
    members.push_back(names.NumberOf(it));
  }
  Json undeclared = Json::array();
  for (const Incarnation& it : record.undeclared) {
    undeclared.push_back(names.NumberOf(it));
  }
  Json gone = Json::array();
  for (const Incarnation& it : record.gone) gone.push_back(names.NumberOf(it));
  Json writes = Json::array();
  for (const auto& [router, number] : record.writes) {
    writes.push_back({names.NumberOf(router), number});
  }
  Json out = {{"customers", customers}, {"members", members}};
  // If the store has no eras, the record keeps the form without this key.
  if (record.era != 0) out["era"] = record.era;
  if (!undeclared.empty()) out["undeclared"] = std::move(undeclared);
  if (!gone.empty()) out["gone"] = std::move(gone);
  if (!writes.empty()) out["writes"] = std::move(writes);
  out["names"] = names.names();
  return ToCbor(out);
}

std::optional<PrepaidRecord> DecodePrepaid(std::string_view bytes) {
  return FromCbor(bytes, RecordFromJson);
}

std::string EncodeSpend(const SpendAccount& spend) {
  Json customers = Json::object();
  for (const auto& [name, it] : spend.customers) {
    customers[name.value] = {it.spent, it.withheld};
  }
  Json out = {{"sequence", spend.sequence},
              {"stamp", spend.stamp_ms},
              {"boot", spend.boot},
              {"customers", customers}};
  if (spend.era != 0) out["era"] = spend.era;
  return ToCbor(out);
}

std::optional<SpendAccount> DecodeSpend(std::string_view bytes) {
  return FromCbor(bytes, SpendFromJson);
}

}  // namespace quaytrack
