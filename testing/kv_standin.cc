// A stand-in for the platform's key-value service, etcd's JSON gateway.

#include <event2/buffer.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "base/digest.h"
#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::size_t kMaxTxnOps = 128;
constexpr std::size_t kMaxHistoryEvents = 20000;
constexpr Duration kLeaseCheck = std::chrono::milliseconds(100);

// How the service fails.
enum class Mode { kNormal, kRefuse, kHang, kLose, kSlow };

constexpr auto kModes =
    std::to_array<EnumEntry<Mode>>({{Mode::kNormal, "normal"},
                                    {Mode::kRefuse, "refuse"},
                                    {Mode::kHang, "hang"},
                                    {Mode::kLose, "lose"},
                                    {Mode::kSlow, "slow"}});

struct Value {
  std::string bytes;
  std::int64_t created = 0;
  std::int64_t modified = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct Event {
  std::int64_t revision = 0;
  std::string key;
  Value value;
  bool deleted = false;
};

struct Lease {
  std::int64_t ttl = 0;
  Instant deadline{};
  std::set<std::string> keys;
};

struct Watcher {
  std::string first;
  std::string end;
  ExchangePtr exchange;
};

struct Calls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t rejected_writes = 0;
  std::uint64_t leases = 0;
  std::uint64_t watches = 0;
  std::uint64_t limited = 0;
};

std::string Field(const Json& json, const char* name) {
  return Base64Decode(json.value(name, "")).value_or("");
}

std::int64_t Number(const Json& json, const char* name) {
  if (!json.contains(name)) return 0;
  const Json& it = json.at(name);
  return it.is_number() ? it.get<std::int64_t>()
                        : std::stoll(it.get<std::string>());
}

Json EtcdJson(const std::string& key, const Value& value) {
  return {{"key", Base64Encode(key)},
          {"value", Base64Encode(value.bytes)},
          {"create_revision", std::to_string(value.created)},
          {"mod_revision", std::to_string(value.modified)},
          {"version", std::to_string(value.version)}};
}

// Limits the calls within a second.
class RateLimit {
 public:
  explicit RateLimit(int max_calls) : max_calls_(max_calls) {}
  bool Allows(Instant now) {
    if (now - since_ >= std::chrono::seconds(1)) {
      since_ = now;
      used_ = 0;
    }
    return ++used_ <= max_calls_;
  }

 private:
  int max_calls_;
  int used_ = 0;
  Instant since_{};
};

class KvStandin {
 public:
  explicit KvStandin(const KvLimits& limits)
      : write_limit_(limits.writes_per_second),
        read_limit_(limits.reads_per_second) {
    const auto post = [this](const char* path, auto member) {
      standin_.OnPath(path, [this, member](const ExchangePtr& it) {
        Serve(it, [this, member](const Json& body) {
          return (this->*member)(body);
        });
      });
    };
    post("/v3/kv/txn", &KvStandin::Txn);
    post("/v3/kv/range", &KvStandin::RangeCall);
    post("/v3/lease/grant", &KvStandin::Grant);
    post("/v3/lease/keepalive", &KvStandin::KeepAlive);
    post("/v3/lease/revoke", &KvStandin::Revoke);
    standin_.OnPath("/v3/watch", [this](const ExchangePtr& it) { Watch(it); });
    standin_.OnPath("/control/mode",
                    [this](const ExchangePtr& it) { SetMode(it); });
    standin_.OnPath("/control/stats",
                    [this](const ExchangePtr& it) { Stats(it); });
    lease_timer_ =
        standin_.loop().Every(kLeaseCheck, [this] { ExpireLeases(); });
  }

  int Run(const StandinFlags& flags) {
    return standin_.Run(flags.listen, flags.admin);
  }

 private:
  // Serves one call according to the current mode.
  template <class Call>
  void Serve(const ExchangePtr& exchange, Call call) {
    switch (mode_) {
      case Mode::kRefuse:
        exchange->Reply({503, "application/json", {}, "{}"});
        return;
      case Mode::kHang:
        unanswered_.push_back(exchange);
        return;
      case Mode::kLose:
        Answer(exchange, call, false);
        unanswered_.push_back(exchange);
        return;
      case Mode::kSlow:
        standin_.Later(
            slow_ms_, [this, exchange, call] { Answer(exchange, call, true); });
        return;
      case Mode::kNormal:
        Answer(exchange, call, true);
    }
  }

  template <class Call>
  void Answer(const ExchangePtr& exchange, Call call, bool reply) {
    const Json body = Json::parse(exchange->Body(), nullptr, false);
    if (OverLimit(exchange->path(), body)) {
      ++calls_.limited;
      exchange->Reply(
          {429, "application/json", {}, R"({"error":"too many requests"})"});
      return;
    }
    Json answer;
    try {
      answer = call(body);
    } catch (const std::exception& ex) {
      exchange->Reply(
          {400, "application/json", {}, Json{{"error", ex.what()}}.dump()});
      return;
    }
    if (reply) ReplyJson(exchange, answer.dump());
  }

  // A transaction without compares counts as a read.
  bool OverLimit(const std::string& path, const Json& body) {
    const bool reads = path == "/v3/kv/range" ||
                       (path == "/v3/kv/txn" && body.is_object() &&
                        body.value("compare", Json::array()).empty());
    return !(reads ? read_limit_ : write_limit_).Allows(standin_.Now());
  }

  Json Header() const { return {{"revision", std::to_string(revision_)}}; }

  // --- keys ---

  std::vector<std::pair<std::string, Value>> Find(const Json& range) const {
    const std::string first = Field(range, "key");
    const std::string end = Field(range, "range_end");
    const auto limit = static_cast<std::size_t>(Number(range, "limit"));
    std::vector<std::pair<std::string, Value>> out;
    if (end.empty()) {
      auto it = data_.find(first);
      if (it != data_.end()) out.push_back(*it);
      return out;
    }
    for (auto it = data_.lower_bound(first);
         it != data_.end() && it->first < end; ++it) {
      if (limit > 0 && out.size() >= limit) break;
      out.push_back(*it);
    }
    return out;
  }

  Json RangeJson(const Json& range) const {
    Json kvs = Json::array();
    for (const auto& [key, value] : Find(range)) {
      kvs.push_back(EtcdJson(key, value));
    }
    const std::string count = std::to_string(kvs.size());
    return {{"header", Header()}, {"kvs", kvs}, {"count", count}};
  }

  Json RangeCall(const Json& body) {
    ++calls_.reads;
    return RangeJson(body);
  }

  bool IsMet(const Json& compare) const {
    auto it = data_.find(Field(compare, "key"));
    const bool exists = it != data_.end();
    const std::string target = compare.value("target", "MOD");
    std::int64_t actual = exists ? it->second.modified : 0;
    std::int64_t wanted = Number(compare, "mod_revision");
    if (target == "CREATE") {
      actual = exists ? it->second.created : 0;
      wanted = Number(compare, "create_revision");
    } else if (target == "VERSION") {
      actual = exists ? it->second.version : 0;
      wanted = Number(compare, "version");
    }
    const std::string result = compare.value("result", "EQUAL");
    if (result == "GREATER") return actual > wanted;
    if (result == "LESS") return actual < wanted;
    return actual == wanted;
  }

  static const Json* Op(const Json& op, const char* snake, const char* camel) {
    if (op.contains(snake)) return &op.at(snake);
    if (op.contains(camel)) return &op.at(camel);
    return nullptr;
  }

  static bool IsWrite(const Json& op) {
    return Op(op, "request_range", "requestRange") == nullptr;
  }

  void CheckOps(const Json& ops) const {
    if (ops.size() > kMaxTxnOps) {
      throw std::runtime_error("too many operations in txn request");
    }
    std::set<std::string> keys;
    for (const Json& it : ops) {
      const Json* put = Op(it, "request_put", "requestPut");
      if (put == nullptr) continue;
      if (Field(*put, "value").size() > kMaxValueBytes) {
        throw std::runtime_error("request is too large");
      }
      if (!keys.insert(Field(*put, "key")).second) {
        throw std::runtime_error("duplicate key given in txn request");
      }
    }
  }

  Json Txn(const Json& body) {
    const Json compares = body.value("compare", Json::array());
    const bool ok = std::all_of(compares.begin(), compares.end(),
                                [this](const Json& it) { return IsMet(it); });
    const Json ops = body.value(ok ? "success" : "failure", Json::array());
    CheckOps(ops);
    const bool writes = std::any_of(ops.begin(), ops.end(), IsWrite);
    const bool wanted_write = writes || (!ok && !compares.empty());
    ++(wanted_write ? calls_.writes : calls_.reads);
    if (!ok) ++calls_.rejected_writes;
    if (writes) ++revision_;
    Json responses = Json::array();
    for (const Json& it : ops) responses.push_back(ApplyOp(it));
    if (writes) Notify();
    return {{"header", Header()}, {"succeeded", ok}, {"responses", responses}};
  }

  Json ApplyOp(const Json& op) {
    if (const Json* put = Op(op, "request_put", "requestPut")) {
      Put(Field(*put, "key"), Field(*put, "value"), Number(*put, "lease"));
      return {{"response_put", {{"header", Header()}}}};
    }
    if (const Json* del =
            Op(op, "request_delete_range", "requestDeleteRange")) {
      Delete(Field(*del, "key"));
      return {{"response_delete_range", {{"header", Header()}}}};
    }
    const Json* range = Op(op, "request_range", "requestRange");
    return {{"response_range", RangeJson(*range)}};
  }

  void Put(const std::string& key, std::string bytes, std::int64_t lease) {
    if (lease != 0 && !leases_.contains(lease)) {
      throw std::runtime_error("requested lease not found");
    }
    Value& it = data_[key];
    if (it.lease != 0) leases_[it.lease].keys.erase(key);
    if (it.version == 0) it.created = revision_;
    it.bytes = std::move(bytes);
    it.modified = revision_;
    ++it.version;
    it.lease = lease;
    if (lease != 0) leases_[lease].keys.insert(key);
    pending_.push_back({revision_, key, it, false});
  }

  void Delete(const std::string& key) {
    auto it = data_.find(key);
    if (it == data_.end()) return;
    if (it->second.lease != 0) leases_[it->second.lease].keys.erase(key);
    Value gone = it->second;
    gone.modified = revision_;
    data_.erase(it);
    pending_.push_back({revision_, key, gone, true});
  }

  // --- leases ---

  Json Grant(const Json& body) {
    ++calls_.leases;
    const std::int64_t id = ++last_lease_;
    Lease& it = leases_[id];
    it.ttl = Number(body, "TTL");
    it.deadline = standin_.Now() + std::chrono::seconds(it.ttl);
    return {{"header", Header()},
            {"ID", std::to_string(id)},
            {"TTL", std::to_string(it.ttl)}};
  }

  Json KeepAlive(const Json& body) {
    ++calls_.leases;
    const std::int64_t id = Number(body, "ID");
    auto it = leases_.find(id);
    std::int64_t ttl = 0;
    if (it != leases_.end()) {
      ttl = it->second.ttl;
      it->second.deadline = standin_.Now() + std::chrono::seconds(ttl);
    }
    return {{"result",
             {{"header", Header()},
              {"ID", std::to_string(id)},
              {"TTL", std::to_string(ttl)}}}};
  }

  Json Revoke(const Json& body) {
    ++calls_.leases;
    End(Number(body, "ID"));
    return {{"header", Header()}};
  }

  void End(std::int64_t lease) {
    auto it = leases_.find(lease);
    if (it == leases_.end()) return;
    const std::set<std::string> keys = it->second.keys;
    if (!keys.empty()) ++revision_;
    for (const std::string& key : keys) Delete(key);
    leases_.erase(lease);
    Notify();
  }

  void ExpireLeases() {
    const Instant now = standin_.Now();
    std::vector<std::int64_t> lapsed;
    for (const auto& [id, it] : leases_) {
      if (it.deadline <= now) lapsed.push_back(id);
    }
    for (std::int64_t it : lapsed) End(it);
  }

  // --- watches ---

  void Watch(const ExchangePtr& exchange) {
    if (mode_ == Mode::kRefuse) {
      exchange->Reply({503, "application/json", {}, "{}"});
      return;
    }
    if (mode_ == Mode::kHang) {
      unanswered_.push_back(exchange);
      return;
    }
    ++calls_.watches;
    const Json body = Json::parse(exchange->Body(), nullptr, false);
    const Json create = body.value("create_request", Json::object());
    Watcher watcher{Field(create, "key"), Field(create, "range_end"), exchange};
    exchange->StartStream(200, "application/json", {});
    exchange->Write(
        Json{{"result", {{"header", Header()}, {"created", true}}}}.dump() +
        "\n");
    const std::int64_t start = Number(create, "start_revision");
    std::vector<Event> missed;
    for (const Event& it : history_) {
      if (start > 0 && it.revision >= start) missed.push_back(it);
    }
    Send(watcher, missed);
    const std::uint64_t id = ++last_watch_;
    watchers_.emplace(id, std::move(watcher));
    exchange->OnGone([this, id] { watchers_.erase(id); });
  }

  static bool Covers(const Watcher& watcher, const std::string& key) {
    if (watcher.end.empty()) return key == watcher.first;
    return key >= watcher.first && key < watcher.end;
  }

  void Send(const Watcher& watcher, const std::vector<Event>& events) const {
    Json list = Json::array();
    for (const Event& it : events) {
      if (!Covers(watcher, it.key)) continue;
      Json event = {{"kv", EtcdJson(it.key, it.value)}};
      if (it.deleted) event["type"] = "DELETE";
      list.push_back(event);
    }
    if (list.empty()) return;
    watcher.exchange->Write(
        Json{{"result", {{"header", Header()}, {"events", list}}}}.dump() +
        "\n");
  }

  void Notify() {
    const auto events = std::exchange(pending_, {});
    for (const Event& it : events) history_.push_back(it);
    while (history_.size() > kMaxHistoryEvents) history_.pop_front();
    const bool silent = mode_ == Mode::kHang || mode_ == Mode::kRefuse;
    if (silent) return;
    for (const auto& [id, it] : watchers_) Send(it, events);
  }

  // --- controls ---

  void SetMode(const ExchangePtr& exchange) {
    const Params params(exchange->query());
    slow_ms_ = params.Number("ms", slow_ms_);
    const bool known = quaytrack::SetMode(params, kModes, mode_);
    // An outage also ends the watches, as a restart of the service would.
    if (mode_ == Mode::kRefuse || mode_ == Mode::kHang) EndWatches();
    if (mode_ == Mode::kNormal) unanswered_.clear();
    exchange->Reply({known ? 200 : 400,
                     "text/plain",
                     {},
                     known ? "set\n" : "no such mode\n"});
  }

  void EndWatches() {
    for (auto& [id, it] : watchers_) it.exchange->EndStream();
    watchers_.clear();
  }

  void Stats(const ExchangePtr& exchange) const {
    ReplyJson(exchange, Json{{"reads", calls_.reads},
                             {"writes", calls_.writes},
                             {"rejected_writes", calls_.rejected_writes},
                             {"leases", calls_.leases},
                             {"watches", calls_.watches},
                             {"limited", calls_.limited},
                             {"open_watches", watchers_.size()},
                             {"keys", data_.size()},
                             {"revision", revision_}}
                            .dump());
  }

  Standin standin_;
  std::map<std::string, Value> data_;
  std::map<std::int64_t, Lease> leases_;
  std::map<std::uint64_t, Watcher> watchers_;
  std::deque<Event> history_;
  std::vector<Event> pending_;
  std::vector<ExchangePtr> unanswered_;
  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 1000;
  std::uint64_t last_watch_ = 0;
  Mode mode_ = Mode::kNormal;
  int slow_ms_ = 500;
  Calls calls_;
  RateLimit write_limit_;
  RateLimit read_limit_;
  std::unique_ptr<Timer> lease_timer_;
};

}  // namespace

int RunKvStandin(const StandinFlags& flags, const KvLimits& limits) {
  return KvStandin(limits).Run(flags);
}

}  // namespace quaytrack
