#include "etcd/etcd_json.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// Reads a 64-bit number. The gateway writes these as strings, and omits zeros.
std::int64_t Int64(const Json& json, const char* field) {
  if (!json.contains(field)) return 0;
  const Json& it = json.at(field);
  if (it.is_number()) return it.get<std::int64_t>();
  return std::stoll(it.get<std::string>());
}

std::string Bytes(const Json& json, const char* field) {
  if (!json.contains(field)) return "";
  return Base64Decode(json.at(field).get<std::string>()).value_or("");
}

EtcdItem ItemFromJson(const Json& json) {
  EtcdItem out;
  out.key = Bytes(json, "key");
  out.value = Bytes(json, "value");
  out.create_revision = Int64(json, "create_revision");
  out.mod_revision = Int64(json, "mod_revision");
  return out;
}

Json GetToJson(const EtcdGet& it) {
  Json range = {{"key", Base64Encode(it.key)}};
  if (it.prefix) range["range_end"] = Base64Encode(PrefixEnd(it.key));
  if (!it.end.empty()) range["range_end"] = Base64Encode(it.end);
  return Json{{"request_range", range}};
}

Json PutToJson(const EtcdPut& it) {
  Json put = {{"key", Base64Encode(it.key)}, {"value", Base64Encode(it.value)}};
  if (it.lease != 0) put["lease"] = std::to_string(it.lease);
  return Json{{"request_put", put}};
}

// Returns what `read` returns for the parsed text, or std::nullopt if the text
// is malformed.
template <class Read>
auto Parsed(std::string_view text, Read read)
    -> std::optional<decltype(read(Json()))> {
  try {
    return read(Json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string TxnToJson(const EtcdTxn& txn) {
  Json compare = Json::array();
  for (const EtcdCompare& it : txn.compares) {
    compare.push_back({{"key", Base64Encode(it.key)},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(it.mod_revision)}});
  }
  Json success = Json::array();
  for (const EtcdPut& it : txn.puts) success.push_back(PutToJson(it));
  for (const std::string& it : txn.deletes) {
    success.push_back({{"request_delete_range", {{"key", Base64Encode(it)}}}});
  }
  for (const EtcdGet& it : txn.gets) success.push_back(GetToJson(it));
  Json failure = Json::array();
  for (const EtcdGet& it : txn.else_gets) failure.push_back(GetToJson(it));
  return Json{{"compare", compare}, {"success", success}, {"failure", failure}}
      .dump();
}

std::optional<EtcdTxnReply> TxnReplyFromJson(std::string_view text) {
  return Parsed(text, [](const Json& json) {
    EtcdTxnReply out;
    out.succeeded = json.value("succeeded", false);
    out.revision = Int64(json.at("header"), "revision");
    for (const Json& it : json.value("responses", Json::array())) {
      if (!it.contains("response_range")) continue;
      auto& found = out.found.emplace_back();
      for (const Json& kv :
           it.at("response_range").value("kvs", Json::array())) {
        found.push_back(ItemFromJson(kv));
      }
    }
    return out;
  });
}

std::optional<EtcdLeaseReply> LeaseReplyFromJson(std::string_view text) {
  return Parsed(text, [](const Json& json) {
    const Json& it = json.contains("result") ? json.at("result") : json;
    EtcdLeaseReply out;
    out.lease = Int64(it, "ID");
    out.ttl = Int64(it, "TTL");
    return out;
  });
}

std::string WatchToJson(const std::string& prefix,
                        std::int64_t after_revision) {
  const Json create = {{"key", Base64Encode(prefix)},
                       {"range_end", Base64Encode(PrefixEnd(prefix))},
                       {"start_revision", std::to_string(after_revision + 1)}};
  return Json{{"create_request", create}}.dump();
}

std::optional<EtcdWatchReply> WatchReplyFromJson(std::string_view line) {
  return Parsed(line, [](const Json& json) {
    const Json& result = json.at("result");
    EtcdWatchReply out;
    out.revision = Int64(result.at("header"), "revision");
    out.cancelled = result.value("canceled", false);
    for (const Json& it : result.value("events", Json::array())) {
      EtcdWatchEvent event;
      event.deleted = it.value("type", "PUT") == "DELETE";
      event.item = ItemFromJson(it.at("kv"));
      out.events.push_back(event);
    }
    return out;
  });
}

}  // namespace quaytrack
