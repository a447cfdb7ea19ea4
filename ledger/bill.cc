#include "ledger/bill.h"

#include <nlohmann/json.hpp>

namespace quaytrack {
namespace {

using Json = nlohmann::json;

Json ToJson(const Bill& it) {
  Json out = {{"bill_id", it.bill_id},     {"customer", it.customer.value},
              {"budget", it.budget.value}, {"request_id", it.request_id.value},
              {"tokens", it.tokens},       {"at_ms", it.at_ms}};
  if (!it.marker.empty()) out["marker"] = it.marker;
  return out;
}

Bill FromJson(const Json& json) {
  Bill out;
  out.bill_id = json.at("bill_id").get<std::string>();
  out.customer.value = json.at("customer").get<std::string>();
  out.budget.value = json.at("budget").get<std::string>();
  out.request_id.value = json.at("request_id").get<std::string>();
  out.tokens = json.at("tokens").get<Tokens>();
  out.at_ms = json.at("at_ms").get<std::int64_t>();
  out.marker = json.value("marker", "");
  return out;
}

}  // namespace

std::string EncodeBatch(const BillBatch& batch) {
  Json bills = Json::array();
  for (const Bill& it : batch.bills) bills.push_back(ToJson(it));
  return Json{{"seq", batch.seq}, {"bills", bills}}.dump();
}

std::optional<BillBatch> DecodeBatch(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    BillBatch out;
    out.seq = json.at("seq").get<std::uint64_t>();
    for (const Json& it : json.at("bills")) out.bills.push_back(FromJson(it));
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace quaytrack
