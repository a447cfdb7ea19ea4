#include "relay/crash_reports.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "base/cbor.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Names are truncated to this many bytes; those of real targets are shorter.
constexpr std::size_t kMaxNameBytes = 200;
// Longer spans are clamped to this.
constexpr std::int64_t kMaxSpanMs = 3'600'000;

WallTime TimeFromJson(const Json& json) {
  const WallTime at{milliseconds(json.get<std::int64_t>())};
  return std::clamp(at, WallTime{}, kLatestWallTime);
}

std::int64_t TimeToJson(WallTime at) { return at.time_since_epoch().count(); }

std::string NameFromJson(const Json& json) {
  return json.get<std::string>().substr(0, kMaxNameBytes);
}

CrashReport CrashFromJson(const Json& json) {
  CrashReport out;
  out.cause = CauseId(NameFromJson(json.at(0)));
  out.target = TargetStart(NameFromJson(json.at(1)));
  out.at = TimeFromJson(json.at(2));
  const auto ms = json.at(3).get<std::int64_t>();
  out.run_time = milliseconds(std::clamp<std::int64_t>(ms, 0, kMaxSpanMs));
  const bool is_part = KindOf(out.cause) == CauseKind::kPart;
  out.request =
      Fingerprint(is_part ? NameFromJson(json.at(4)) : out.cause.value);
  return out;
}

CrashReports FromJson(const Json& json) {
  CrashReports out;
  for (const Json& it : json.at("crashes")) {
    if (out.crashes.size() == CrashReports::kMaxPerList) break;
    out.crashes.push_back(CrashFromJson(it));
  }
  for (const Json& it : json.at("ran")) {
    if (out.ran.size() == CrashReports::kMaxPerList) break;
    out.ran.push_back(
        {CauseId(NameFromJson(it.at(0))), TimeFromJson(it.at(1))});
  }
  return out;
}

}  // namespace

std::string EncodeCrashReports(const CrashReports& reports) {
  Json crashes = Json::array();
  for (const CrashReport& it : reports.crashes) {
    const auto ms = std::chrono::duration_cast<milliseconds>(it.run_time);
    Json entry = {it.cause.value, it.target.value, TimeToJson(it.at),
                  ms.count()};
    if (KindOf(it.cause) == CauseKind::kPart) entry.push_back(it.request.value);
    crashes.push_back(std::move(entry));
  }
  Json ran = Json::array();
  for (const RanReport& it : reports.ran) {
    ran.push_back({it.cause.value, TimeToJson(it.at)});
  }
  return ToCbor({{"crashes", crashes}, {"ran", ran}});
}

std::optional<CrashReports> DecodeCrashReports(std::string_view bytes) {
  return FromCbor(bytes, FromJson);
}

}  // namespace quaytrack
