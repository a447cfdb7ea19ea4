#include "ledger/record.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

Json AmountsToJson(const std::map<Incarnation, Tokens>& amounts) {
  Json out = Json::object();
  for (const auto& [router, n] : amounts) out[router.value] = n;
  return out;
}

std::map<Incarnation, Tokens> AmountsFromJson(const Json& json) {
  std::map<Incarnation, Tokens> out;
  for (const auto& [router, n] : json.items()) {
    out[Incarnation(router)] = n.get<Tokens>();
  }
  return out;
}

Json ToJson(const BudgetEntry& it) {
  return Json{{"bundle_limit", it.bundle_limit},
              {"bundle_version", it.bundle_version},
              {"added", it.added},
              {"last_topup", it.last_topup},
              {"settled", it.settled},
              {"grants", AmountsToJson(it.grants)},
              {"wanted", AmountsToJson(it.wanted)}};
}

BudgetEntry BudgetFromJson(const Json& json) {
  BudgetEntry out;
  out.bundle_limit = json.at("bundle_limit").get<Tokens>();
  out.bundle_version = json.at("bundle_version").get<std::uint64_t>();
  out.added = json.at("added").get<Tokens>();
  out.last_topup = json.at("last_topup").get<std::string>();
  out.settled = json.at("settled").get<Tokens>();
  out.grants = AmountsFromJson(json.at("grants"));
  out.wanted = AmountsFromJson(json.at("wanted"));
  return out;
}

}  // namespace

int ShardOf(const BudgetName& budget) {
  return static_cast<int>(StableHash(budget.value) % kLedgerShards);
}

Tokens BudgetEntry::Outstanding() const {
  Tokens sum = 0;
  for (const auto& [router, n] : grants) sum += n;
  return sum;
}

Tokens BudgetEntry::GrantOf(const Incarnation& router) const {
  auto it = grants.find(router);
  return it == grants.end() ? 0 : it->second;
}

void BudgetEntry::AddGrant(const Incarnation& router, Tokens change) {
  const Tokens amount = GrantOf(router) + change;
  if (amount == 0) {
    grants.erase(router);
  } else {
    grants[router] = amount;
  }
}

Tokens BudgetEntry::WantedByOthers(const Incarnation& self) const {
  Tokens sum = 0;
  for (const auto& [router, n] : wanted) {
    if (router != self) sum += n;
  }
  return sum;
}

void BudgetEntry::UpdateLimit(Tokens limit, std::uint64_t version) {
  const bool newer = version > bundle_version;
  if (!newer || limit == bundle_limit) return;
  bundle_limit = limit;
  bundle_version = version;
}

std::string EncodeRecord(const LedgerRecord& record) {
  Json budgets = Json::object();
  for (const auto& [name, it] : record.budgets) {
    budgets[name.value] = ToJson(it);
  }
  Json writers = Json::object();
  for (const auto& [router, it] : record.writers) {
    writers[router.value] = {{"seq", it.seq},
                             {"witness", it.witness.value},
                             {"registered", it.registered}};
  }
  return Json{{"budgets", budgets}, {"writers", writers}}.dump();
}

std::optional<LedgerRecord> DecodeRecord(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    LedgerRecord out;
    for (const auto& [name, it] : json.at("budgets").items()) {
      out.budgets[BudgetName(name)] = BudgetFromJson(it);
    }
    for (const auto& [router, it] : json.at("writers").items()) {
      WriterEntry& writer = out.writers[Incarnation(router)];
      writer.seq = it.at("seq").get<std::uint64_t>();
      writer.witness.value = it.at("witness").get<std::string>();
      writer.registered = it.at("registered").get<std::int64_t>();
    }
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quaytrack
