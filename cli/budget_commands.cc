// `quaytrack budget ...` and `quaytrack bills`: show and change the ledger.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "base/digest.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "cli/kv_session.h"
#include "etcd/keys.h"
#include "ledger/bill.h"
#include "ledger/record.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

struct BudgetFlags {
  std::string budget;
  std::int64_t tokens = 0;
};

// Returns all budgets, or std::nullopt if the service can't be reached.
std::optional<std::map<BudgetName, BudgetEntry>> ReadBudgets(KvSession& kv) {
  const EtcdTxnReply reply = kv.Get(keys::kLedgerPrefix, true);
  if (reply.end != EtcdEnd::kOk) return std::nullopt;
  std::map<BudgetName, BudgetEntry> out;
  for (const EtcdItem& it : reply.found[0]) {
    const auto record = DecodeRecord(it.value);
    if (!record) continue;
    out.insert(record->budgets.begin(), record->budgets.end());
  }
  return out;
}

std::optional<std::vector<Bill>> ReadBills(KvSession& kv) {
  const EtcdTxnReply reply = kv.Get(keys::kJournalPrefix, true);
  if (reply.end != EtcdEnd::kOk) return std::nullopt;
  std::vector<Bill> out;
  for (const EtcdItem& it : reply.found[0]) {
    const auto batch = DecodeBatch(it.value);
    if (!batch) continue;
    out.insert(out.end(), batch->bills.begin(), batch->bills.end());
  }
  return out;
}

int ShowBudgets(const CommonFlags& common) {
  KvSession kv(common.kv);
  const auto budgets = ReadBudgets(kv);
  if (!budgets) return Unreachable();
  Json list = Json::array();
  for (const auto& [name, it] : *budgets) {
    Json grants = Json::object();
    for (const auto& [holder, n] : it.grants) grants[holder.value] = n;
    // "customer" repeats the budget's name, for tools that read this field.
    list.push_back({{"budget", name.value},
                    {"customer", name.value},
                    {"limit", it.Limit()},
                    {"settled", it.settled},
                    {"outstanding", it.Outstanding()},
                    {"free", it.Free()},
                    {"grants", grants}});
  }
  if (common.json) {
    std::printf("%s\n", list.dump(2).c_str());
    return kExitOk;
  }
  std::printf("%-24s %14s %14s %14s %14s\n", "BUDGET", "LIMIT", "SETTLED",
              "OUTSTANDING", "FREE");
  for (const auto& [name, it] : *budgets) {
    std::printf("%-24s %14lld %14lld %14lld %14lld\n", name.value.c_str(),
                static_cast<long long>(it.Limit()),
                static_cast<long long>(it.settled),
                static_cast<long long>(it.Outstanding()),
                static_cast<long long>(it.Free()));
  }
  return kExitOk;
}

// Adds to a budget exactly once, even if answers are lost: by the operation id
// in the record, this command recognises a write of its own that succeeded.
int AddToBudget(const BudgetFlags& flags, const CommonFlags& common) {
  constexpr int kTries = 8;
  constexpr std::size_t kOperationIdBytes = 16;
  KvSession kv(common.kv);
  const BudgetName name(flags.budget);
  const std::string key = keys::Ledger(ShardOf(name));
  const std::string operation = RandomHex(kOperationIdBytes);
  for (int n = 0; n < kTries; ++n) {
    const EtcdTxnReply read = kv.Get(key);
    if (read.end != EtcdEnd::kOk) continue;
    auto record = read.found[0].empty() ? std::nullopt
                                        : DecodeRecord(read.found[0][0].value);
    if (!record || !record->budgets.contains(name)) {
      std::fprintf(stderr, "budget '%s' does not exist\n",
                   flags.budget.c_str());
      return kExitRefused;
    }
    BudgetEntry& entry = record->budgets[name];
    if (entry.last_topup != operation) {
      entry.added += flags.tokens;
      entry.last_topup = operation;
      EtcdTxn txn;
      txn.compares.push_back(
          EtcdCompare::Revision(key, read.found[0][0].mod_revision));
      txn.puts.push_back({key, EncodeRecord(*record), 0});
      txn.puts.push_back({keys::Need(ShardOf(name)), "budget add", 0});
      const EtcdTxnReply reply = kv.Txn(txn);
      if (reply.end != EtcdEnd::kOk || !reply.succeeded) continue;
    }
    std::printf("budget %s now has a limit of %lld\n", flags.budget.c_str(),
                static_cast<long long>(entry.Limit()));
    return kExitOk;
  }
  std::fprintf(stderr,
               "no answer; check the budget's limit before trying again\n");
  return kExitUnknown;
}

// Compares each budget's settled tokens with the sum of its bills, and prints
// every difference.
int Audit(const CommonFlags& common) {
  KvSession kv(common.kv);
  EtcdTxn txn;
  txn.gets.push_back({keys::kLedgerPrefix, true});
  txn.gets.push_back({keys::kJournalPrefix, true});
  const EtcdTxnReply reply = kv.Read(txn);
  if (reply.end != EtcdEnd::kOk) return Unreachable();
  std::map<BudgetName, Tokens> billed;
  std::set<std::string> ids;
  int differences = 0;
  for (const EtcdItem& it : reply.found[1]) {
    const auto batch = DecodeBatch(it.value);
    if (!batch) {
      std::printf("unreadable journal %s\n", it.key.c_str());
      ++differences;
      continue;
    }
    for (const Bill& bill : batch->bills) {
      billed[bill.budget] += bill.tokens;
      if (ids.insert(bill.bill_id).second) continue;
      std::printf("bill %s stands twice\n", bill.bill_id.c_str());
      ++differences;
    }
  }
  for (const EtcdItem& it : reply.found[0]) {
    const auto record = DecodeRecord(it.value);
    if (!record) continue;
    for (const auto& [name, entry] : record->budgets) {
      if (entry.settled == billed[name]) continue;
      std::printf("budget %s: settled %lld, bills add up to %lld\n",
                  name.value.c_str(), static_cast<long long>(entry.settled),
                  static_cast<long long>(billed[name]));
      ++differences;
    }
  }
  std::printf("%zu bills, %d differences\n", ids.size(), differences);
  return differences == 0 ? kExitOk : kExitDifference;
}

int ShowBills(const std::string& customer, const CommonFlags& common) {
  KvSession kv(common.kv);
  const auto bills = ReadBills(kv);
  if (!bills) return Unreachable();
  Json list = Json::array();
  for (const Bill& it : *bills) {
    if (!customer.empty() && it.customer.value != customer) continue;
    list.push_back({{"bill_id", it.bill_id},
                    {"customer", it.customer.value},
                    {"budget", it.budget.value},
                    {"request_id", it.request_id.value},
                    {"tokens", it.tokens},
                    {"at_ms", it.at_ms}});
  }
  if (common.json) {
    std::printf("%s\n", list.dump(2).c_str());
    return kExitOk;
  }
  for (const Json& it : list) {
    std::printf("%s %s %lld\n", it["bill_id"].get<std::string>().c_str(),
                it["customer"].get<std::string>().c_str(),
                static_cast<long long>(it["tokens"].get<Tokens>()));
  }
  return kExitOk;
}

}  // namespace

void AddBudgetCommands(CLI::App& app, CommonFlags& common, int& exit_code) {
  CLI::App* budget = app.add_subcommand("budget", "Show and change budgets");
  budget->require_subcommand(1);
  budget->footer(
      "Examples:\n"
      "  quaytrack budget show --kv 10.0.0.5:2379\n"
      "  quaytrack budget add clinics 500000 --kv 10.0.0.5:2379\n");
  auto flags = std::make_shared<BudgetFlags>();

  CLI::App* show = budget->add_subcommand("show", "Show all budgets");
  AddKvFlag(*show, common);
  show->add_flag("--json", common.json, "Print JSON");
  show->callback([&common, &exit_code] { exit_code = ShowBudgets(common); });

  CLI::App* add = budget->add_subcommand("add", "Add tokens to a budget");
  add->add_option("budget", flags->budget, "Budget")->required();
  add->add_option("tokens", flags->tokens, "Tokens to add")
      ->required()
      ->check(CLI::Range(std::int64_t{1}, std::int64_t{1000000000000}));
  AddKvFlag(*add, common);
  add->callback(
      [=, &common, &exit_code] { exit_code = AddToBudget(*flags, common); });

  CLI::App* audit =
      budget->add_subcommand("audit", "Compare the ledger with the bills");
  AddKvFlag(*audit, common);
  audit->callback([&common, &exit_code] { exit_code = Audit(common); });
}

void AddBillsCommand(CLI::App& app, CommonFlags& common, int& exit_code) {
  CLI::App* bills = app.add_subcommand("bills", "List bills");
  bills->footer("Example:\n  quaytrack bills --customer clinic-a --json\n");
  auto customer = std::make_shared<std::string>();
  bills->add_option("--customer", *customer,
                    "Show only bills of this customer");
  bills->add_flag("--json", common.json, "Print JSON");
  AddKvFlag(*bills, common);
  bills->callback(
      [=, &common, &exit_code] { exit_code = ShowBills(*customer, common); });
}

}  // namespace quaytrack
