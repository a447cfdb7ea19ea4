#include "relay/peer_messages.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/cbor.h"
#include "base/packed_text.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// A SpeedLine is sent as three whole numbers: nanoseconds per token,
// microseconds, and the number of answers.
constexpr double kTokenTimeUnit = 1e6;
constexpr double kBaseUnit = 1000;
constexpr std::size_t kLineFields = 3;
// Bound on an unpacked value: more than the store accepts, and than a message
// may carry (net/peer_link.h).
constexpr std::size_t kMaxValueBytes = 4 * 1024 * 1024;
// Longer ages are clamped to this, which bounds how far a time is set back.
constexpr std::int64_t kMaxAgeMs = 3'600'000;
// Upper bound on how long a peer may have a stream's version kept.
constexpr std::int64_t kMaxKeepMs = 120'000;
// Upper bound of a Retry-After from a holder, in milliseconds.
constexpr std::int64_t kMaxRetryAfterMs = 10'000;

Json LineToJson(const SpeedLine& it) {
  return {std::llround(it.ms_per_token * kTokenTimeUnit),
          std::llround(it.base_ms * kBaseUnit), std::llround(it.answers)};
}

// Returns std::nullopt if `json` isn't a list of three non-negative whole
// numbers.
std::optional<SpeedLine> LineFromJson(const Json& json) {
  if (!json.is_array() || json.size() != kLineFields) return std::nullopt;
  for (const Json& it : json) {
    if (!it.is_number_integer() || it.get<double>() < 0) return std::nullopt;
  }
  return SpeedLine{.ms_per_token = json[0].get<double>() / kTokenTimeUnit,
                   .base_ms = json[1].get<double>() / kBaseUnit,
                   .answers = json[2].get<double>()};
}

std::map<ServiceName, SpeedLine> LinesFromJson(const Json& json) {
  std::map<ServiceName, SpeedLine> out;
  if (!json.is_object()) return out;
  for (const auto& [service, fields] : json.items()) {
    if (const auto it = LineFromJson(fields)) out[ServiceName(service)] = *it;
  }
  return out;
}

// An age as whole milliseconds, rounded up so that state never looks newer than
// it is.
std::int64_t AgeToJson(Duration age) {
  return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

Duration AgeFromJson(const Json& json) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kMaxAgeMs));
}

// Appends the era of a revision after its number, or leaves the era out if it
// is 0, so that routers of builds without eras can still read the number.
void AddEra(const StoreRevision& revision, Json& fields) {
  if (revision.era != 0) fields.push_back(revision.era);
}

StoreRevision RevisionFrom(const Json& fields, std::size_t era_index) {
  StoreRevision out = fields.at(0).get<std::int64_t>();
  if (fields.size() > era_index) {
    out.era = fields.at(era_index).get<std::int64_t>();
  }
  return out;
}

Json MarksToJson(const std::map<FeedName, FeedMark>& marks) {
  Json out = Json::object();
  for (const auto& [feed, it] : marks) {
    Json fields = {it.revision.number, AgeToJson(it.age)};
    AddEra(it.revision, fields);
    out[NameOf(feed)] = std::move(fields);
  }
  return out;
}

std::map<FeedName, FeedMark> MarksFromJson(const Json& json) {
  std::map<FeedName, FeedMark> out;
  for (const auto& [name, fields] : json.items()) {
    const auto feed = FromName<FeedName>(name);
    if (!feed) continue;
    out[*feed] = {RevisionFrom(fields, 2), AgeFromJson(fields.at(1))};
  }
  return out;
}

// A hall's state is sent as its revision and whether the hall is closed.
Json HallsToJson(const HallStates& halls) {
  Json out = Json::object();
  for (const auto& [hall, it] : halls) {
    Json fields = {it.revision.number, it.closed};
    AddEra(it.revision, fields);
    out[hall.value] = std::move(fields);
  }
  return out;
}

HallStates HallsFromJson(const Json& json) {
  HallStates out;
  for (const auto& [hall, fields] : json.items()) {
    if (hall.empty()) continue;
    out[HallName(hall)] = {RevisionFrom(fields, 2), fields.at(1).get<bool>()};
  }
  return out;
}

// The start of each target is sent in milliseconds since 1970.
Json LeavingToJson(const LeavingStarts& leaving) {
  Json out = Json::object();
  for (const auto& [target, started_at] : leaving) {
    out[target.value] = started_at.time_since_epoch().count();
  }
  return out;
}

LeavingStarts LeavingFromJson(const Json& json) {
  LeavingStarts out;
  for (const auto& [target, started_ms] : json.items()) {
    const WallTime started_at(
        std::chrono::milliseconds(started_ms.get<std::int64_t>()));
    out[TargetName(target)] =
        std::clamp(started_at, WallTime{}, kLatestWallTime);
  }
  return out;
}

// A limit is sent as its rate (null if it has ended), its version and its age.
Json RatesToJson(const RateReports& reports) {
  Json out = Json::object();
  for (const auto& [target, it] : reports) {
    const Json per_s = it.per_s ? Json(*it.per_s) : Json();
    out[target.value] = {per_s, it.version, AgeToJson(it.age)};
  }
  return out;
}

RateReports RatesFromJson(const Json& json) {
  RateReports out;
  for (const auto& [target, fields] : json.items()) {
    RateReport it;
    if (!fields.at(0).is_null()) it.per_s = fields.at(0).get<double>();
    const bool is_rate =
        !it.per_s || (std::isfinite(*it.per_s) && *it.per_s >= 0);
    if (!is_rate) continue;
    it.version = fields.at(1).get<std::uint64_t>();
    it.age = AgeFromJson(fields.at(2));
    out[TargetStart(target)] = it;
  }
  return out;
}

// A histogram is sent as its buckets that aren't empty, each as its index and
// its count.
Json HistogramToJson(const TimeHistogram& histogram) {
  Json out = Json::array();
  for (std::size_t n = 0; n < TimeHistogram::kBuckets; ++n) {
    const std::uint64_t count = histogram.counts()[n];
    if (count > 0) out.push_back({n, count});
  }
  return out;
}

TimeHistogram HistogramFromJson(const Json& json) {
  TimeHistogram out;
  for (const Json& it : json) {
    out.SetCount(it.at(0).get<std::size_t>(), it.at(1).get<std::uint64_t>());
  }
  return out;
}

// A route is sent as its answers, the failed answers, and two histograms.
Json RoutesToJson(const RoutesEvidence& routes) {
  Json out = Json::object();
  for (const auto& [route, it] : routes) {
    out[route] = {it.answers, it.failed, HistogramToJson(it.first_event),
                  HistogramToJson(it.pause)};
  }
  return out;
}

RoutesEvidence RoutesFromJson(const Json& json) {
  RoutesEvidence out;
  for (const auto& [route, fields] : json.items()) {
    RouteEvidence& it = out[route];
    it.answers = fields.at(0).get<std::uint64_t>();
    it.failed = fields.at(1).get<std::uint64_t>();
    it.first_event = HistogramFromJson(fields.at(2));
    it.pause = HistogramFromJson(fields.at(3));
  }
  return out;
}

Json RolloutsToJson(const std::map<ServiceName, RolloutReport>& rollouts) {
  Json out = Json::object();
  for (const auto& [service, it] : rollouts) {
    Json order = {it.order.number};
    AddEra(it.order, order);
    out[service.value] = {{"version", it.version.value},
                          {"order", std::move(order)},
                          {"state", NameOf(it.state)},
                          {"left", AgeToJson(it.left)},
                          {"counted_by", it.counted_by.value},
                          {"drained", it.drained},
                          {"routers", it.routers},
                          {"next", RoutesToJson(it.evidence.next)},
                          {"current", RoutesToJson(it.evidence.current)}};
  }
  return out;
}

std::map<ServiceName, RolloutReport> RolloutsFromJson(const Json& json) {
  std::map<ServiceName, RolloutReport> out;
  for (const auto& [service, fields] : json.items()) {
    const auto state =
        FromName<RolloutState>(fields.at("state").get<std::string>());
    if (!state) continue;
    RolloutReport it;
    it.version = VersionName(fields.at("version").get<std::string>());
    it.order = RevisionFrom(fields.at("order"), 1);
    it.state = *state;
    it.left = AgeFromJson(fields.at("left"));
    it.counted_by = VmName(fields.at("counted_by").get<std::string>());
    it.drained = fields.at("drained").get<bool>();
    it.routers = fields.at("routers").get<std::uint64_t>();
    it.evidence.next = RoutesFromJson(fields.at("next"));
    it.evidence.current = RoutesFromJson(fields.at("current"));
    out[ServiceName(service)] = std::move(it);
  }
  return out;
}

// A change is sent as its key, its revision and, unless it is a removal, its
// value.
Json UpdateToJson(const FeedUpdate& update) {
  Json changes = Json::array();
  for (const StoreChange& it : update.changes) {
    Json fields = {it.item.key, it.item.revision.number};
    if (!it.removed) fields.push_back(it.item.value);
    changes.push_back(std::move(fields));
  }
  Json out = {
      {"feed", NameOf(update.feed)},        {"since", update.since.number},
      {"revision", update.revision.number}, {"age", AgeToJson(update.age)},
      {"notice", update.only_notice},       {"changes", changes}};
  if (update.since.era != 0) out["since_era"] = update.since.era;
  if (update.revision.era != 0) out["era"] = update.revision.era;
  if (update.paged) out["paged"] = true;
  if (!update.after.empty()) out["after"] = update.after;
  if (update.more) out["more"] = true;
  return out;
}

// Returns std::nullopt for an unknown feed.
std::optional<FeedUpdate> UpdateFromJson(const Json& json) {
  const auto feed = FromName<FeedName>(json.at("feed").get<std::string>());
  if (!feed) return std::nullopt;
  FeedUpdate out;
  out.feed = *feed;
  out.since = {json.value("since_era", std::int64_t{0}),
               json.at("since").get<std::int64_t>()};
  out.revision = {json.value("era", std::int64_t{0}),
                  json.at("revision").get<std::int64_t>()};
  out.age = AgeFromJson(json.at("age"));
  out.only_notice = json.at("notice").get<bool>();
  out.paged = json.value("paged", false);
  out.after = json.value("after", "");
  out.more = json.value("more", false);
  for (const Json& it : json.at("changes")) {
    StoreChange change;
    change.item.key = it.at(0).get<std::string>();
    // All revisions of a message are of the era of its `revision`.
    change.item.revision = {out.revision.era, it.at(1).get<std::int64_t>()};
    change.removed = it.size() == 2;
    if (!change.removed) change.item.value = it.at(2).get<std::string>();
    out.changes.push_back(std::move(change));
  }
  return out;
}

// A run is sent as its target, the target's address and the request's id.
Json RunToJson(const StreamRun& run) {
  return {run.target.value, run.address, run.id.value};
}

std::optional<StreamRun> RunFromJson(const Json& json) {
  if (json.is_null()) return std::nullopt;
  StreamRun out{TargetName(json.at(0).get<std::string>()),
                json.at(1).get<std::string>(),
                RequestId(json.at(2).get<std::string>())};
  const bool is_whole =
      !out.target.empty() && !out.address.empty() && !out.id.empty();
  return is_whole ? std::optional(std::move(out)) : std::nullopt;
}

bool CarriesUpdate(PeerMessageKind kind) {
  return kind == PeerMessageKind::kUpdate || kind == PeerMessageKind::kState ||
         kind == PeerMessageKind::kStateRequest ||
         kind == PeerMessageKind::kMarkRequest ||
         kind == PeerMessageKind::kMark;
}

// Unpacks the values of a message; returns false if one is damaged.
bool UnpackValues(PeerMessage& message) {
  std::vector<std::string*> values;
  if (message.kind == PeerMessageKind::kConfig) {
    values.push_back(&message.item_value);
  }
  for (StoreChange& it : message.update.changes) {
    if (!it.removed) values.push_back(&it.item.value);
  }
  for (std::string* it : values) {
    auto value = UnpackText(*it, kMaxValueBytes);
    if (!value) return false;
    *it = std::move(*value);
  }
  message.packed = false;
  return true;
}

// Whether the values of a message that says so are packed.
bool CarriesValues(PeerMessageKind kind) {
  return kind == PeerMessageKind::kState || kind == PeerMessageKind::kConfig;
}

// Returns std::nullopt for an unknown kind or feed.
std::optional<PeerMessage> FromJson(const Json& json) {
  const auto kind = FromName<PeerMessageKind>(json.value("kind", ""));
  if (!kind) return std::nullopt;
  PeerMessage out;
  out.kind = *kind;
  out.from = Incarnation(json.value("from", ""));
  out.customer = CustomerName(json.value("customer", ""));
  out.amount = json.value("amount", Tokens{0});
  out.all = json.value("all", false);
  out.request = RequestId(json.value("request", ""));
  const auto answer = FromName<HoldAnswer>(json.value("answer", ""));
  out.answer = answer.value_or(HoldAnswer::kNotHolder);
  out.urgency = json.value("urgency", 0);
  out.retry_after = std::chrono::milliseconds(std::clamp<std::int64_t>(
      json.value("retry_ms", std::int64_t{0}), 0, kMaxRetryAfterMs));
  out.advance = json.value("advance", false);
  out.hall = HallName(json.value("hall", ""));
  out.address = json.value("address", "");
  out.config_version = json.value("config", std::uint64_t{0});
  out.keeps_budgets = json.value("keeps", false);
  out.targets_revision = {json.value("targets_era", std::int64_t{0}),
                          json.value("targets", std::int64_t{0})};
  out.store_era = json.value("store_era", std::int64_t{0});
  const Json rejections = json.value("rejections", Json::object());
  for (const auto& [service, count] : rejections.items()) {
    out.rejections[ServiceName(service)] = count.get<int>();
  }
  for (const Json& it : json.value("cut_off", Json::array())) {
    out.cut_off.insert(ServiceName(it.get<std::string>()));
  }
  out.engine_speeds = LinesFromJson(json.value("engines", Json()));
  out.size_class = json.value("size", 0);
  out.marks = MarksFromJson(json.value("marks", Json::object()));
  out.routers = json.value("routers", std::uint64_t{0});
  out.halls = HallsFromJson(json.value("halls", Json::object()));
  out.leaving = LeavingFromJson(json.value("leaving", Json::object()));
  out.rate_limits = RatesFromJson(json.value("rates", Json::object()));
  out.rollouts = RolloutsFromJson(json.value("rollouts", Json::object()));
  if (CarriesUpdate(*kind)) {
    auto update = UpdateFromJson(json.at("news"));
    if (!update) return std::nullopt;
    out.update = std::move(*update);
  }
  out.version = VersionName(json.value("version", ""));
  out.is_known = json.value("known", false);
  out.for_other = json.value("for_other", false);
  out.keep_for = std::chrono::milliseconds(std::clamp<std::int64_t>(
      json.value("keep_ms", std::int64_t{0}), 0, kMaxKeepMs));
  out.run = RunFromJson(json.value("run", Json()));
  out.fingerprint = Fingerprint(json.value("fingerprint", ""));
  out.asked_ms = json.value("asked", std::int64_t{0});
  out.target = TargetName(json.value("target", ""));
  out.item_key = json.value("key", "");
  out.item_value = json.value("value", "");
  out.packed = json.value("packed", false);
  const bool is_packed = out.packed && CarriesValues(*kind);
  if (is_packed && !UnpackValues(out)) return std::nullopt;
  return out;
}

}  // namespace

std::int64_t AskedMs(Instant now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch())
      .count();
}

std::optional<Instant> AskedAt(const PeerMessage& answer, Instant now) {
  const Instant out{std::chrono::milliseconds(answer.asked_ms)};
  if (answer.asked_ms == 0 || out > now) return std::nullopt;
  return out;
}

std::string EncodePeerMessage(const PeerMessage& message) {
  Json json = {{"kind", NameOf(message.kind)}, {"from", message.from.value}};
  if (!message.customer.empty()) {
    json["customer"] = message.customer.value;
    json["all"] = message.all;
  }
  if (message.amount != 0) json["amount"] = message.amount;
  if (!message.request.empty()) json["request"] = message.request.value;
  if (message.kind == PeerMessageKind::kHoldAnswer) {
    json["answer"] = NameOf(message.answer);
  }
  if (message.urgency != 0) json["urgency"] = message.urgency;
  if (message.retry_after > Duration::zero()) {
    json["retry_ms"] = AgeToJson(message.retry_after);
  }
  if (message.advance) json["advance"] = true;
  if (!message.address.empty()) {
    json["hall"] = message.hall.value;
    json["address"] = message.address;
    if (message.size_class != 0) json["size"] = message.size_class;
  }
  if (message.config_version != 0) json["config"] = message.config_version;
  if (message.keeps_budgets) json["keeps"] = true;
  if (message.targets_revision.number != 0) {
    json["targets"] = message.targets_revision.number;
    if (message.targets_revision.era != 0) {
      json["targets_era"] = message.targets_revision.era;
    }
  }
  if (message.store_era != 0) json["store_era"] = message.store_era;
  for (const auto& [service, count] : message.rejections) {
    json["rejections"][service.value] = count;
  }
  for (const ServiceName& it : message.cut_off) {
    json["cut_off"].push_back(it.value);
  }
  for (const auto& [service, line] : message.engine_speeds) {
    json["engines"][service.value] = LineToJson(line);
  }
  if (!message.marks.empty()) json["marks"] = MarksToJson(message.marks);
  if (message.routers != 0) json["routers"] = message.routers;
  if (!message.halls.empty()) json["halls"] = HallsToJson(message.halls);
  if (!message.leaving.empty()) {
    json["leaving"] = LeavingToJson(message.leaving);
  }
  if (!message.rate_limits.empty()) {
    json["rates"] = RatesToJson(message.rate_limits);
  }
  if (!message.rollouts.empty()) {
    json["rollouts"] = RolloutsToJson(message.rollouts);
  }
  if (CarriesUpdate(message.kind)) json["news"] = UpdateToJson(message.update);
  if (message.asked_ms != 0) json["asked"] = message.asked_ms;
  if (!message.version.empty()) json["version"] = message.version.value;
  if (message.is_known) json["known"] = true;
  if (message.for_other) json["for_other"] = true;
  if (message.keep_for > Duration::zero()) {
    json["keep_ms"] = AgeToJson(message.keep_for);
  }
  if (message.run) json["run"] = RunToJson(*message.run);
  if (!message.fingerprint.empty())
    json["fingerprint"] = message.fingerprint.value;
  if (message.kind == PeerMessageKind::kPromptSent) {
    json["target"] = message.target.value;
  }
  if (!message.item_key.empty()) {
    json["key"] = message.item_key;
    json["value"] = message.item_value;
  }
  if (message.packed) json["packed"] = true;
  return ToCbor(json);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return FromCbor(bytes, FromJson).value_or(std::nullopt);
}

}  // namespace quaytrack
