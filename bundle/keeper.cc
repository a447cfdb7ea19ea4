#include "bundle/keeper.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace quaytrack {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

std::string EncodeHead(const BundleHead& head) {
  Json signatures = Json::array();
  for (const BundleSignature& it : head.signatures) {
    signatures.push_back(
        {{"operator", it.operator_name}, {"signature", it.signature}});
  }
  return Json{{"version", head.version},
              {"digest", head.digest},
              {"chunks", head.chunks},
              {"signatures", signatures},
              {"applied_by", head.applied_by}}
      .dump();
}

std::optional<BundleHead> DecodeHead(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    BundleHead out;
    out.version = json.at("version").get<std::uint64_t>();
    out.digest = json.at("digest").get<std::string>();
    out.chunks = json.at("chunks").get<std::vector<std::string>>();
    for (const Json& it : json.at("signatures")) {
      out.signatures.push_back({it.at("operator").get<std::string>(),
                                it.at("signature").get<std::string>()});
    }
    out.applied_by = json.at("applied_by").get<std::string>();
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::vector<std::string> CutIntoChunks(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::string_view chunk = text.substr(0, kBundleChunkBytes);
    out.emplace_back(chunk);
    text.remove_prefix(chunk.size());
  }
  return out;
}

BundleVerdict BundleKeeper::Offer(const BundleHead& head,
                                  std::string_view text) {
  if (!IsNewer(head)) return BundleVerdict::kNotNewer;
  if (Sha256Hex(text) != head.digest) return BundleVerdict::kWrongDigest;
  const std::size_t valid =
      CountValidSignatures(keys_, head.version, text, head.signatures);
  if (valid < kSignaturesNeeded) return BundleVerdict::kTooFewSignatures;
  return leaf::try_handle_all(
      [&]() -> leaf::result<BundleVerdict> {
        BOOST_LEAF_AUTO(bundle, ReadBundle(text));
        if (bundle.version != head.version) {
          return BundleVerdict::kVersionMismatch;
        }
        bundle_ = std::make_shared<const Bundle>(std::move(bundle));
        return BundleVerdict::kAccepted;
      },
      [] { return BundleVerdict::kUnreadable; });
}

}  // namespace quaytrack
