#include "review/common/site.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace quaytrack::review {
namespace {

using Json = nlohmann::json;

constexpr char kHost[] = "ficu95.example";
constexpr double kPollS = 1.0;

std::string Binary(const char* name) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / name).string();
}

// A free port. It may be taken again before it is used, which is unlikely.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

// Descriptors that a child inherited would stay open in it, and the loop would
// be woken for them without end.
void KeepDescriptorsFromChildren() {
  for (const auto& it : std::filesystem::directory_iterator("/proc/self/fd")) {
    const int fd = std::atoi(it.path().filename().c_str());
    if (fd > STDERR_FILENO) fcntl(fd, F_SETFD, FD_CLOEXEC);
  }
}

Json Route(const char* name, const char* prefix, const char* kind,
           const char* service, int timeout_ms, int latency_ms, int priority,
           int attempts, bool resumable) {
  return {{"name", name},
          {"host", kHost},
          {"path-prefix", prefix},
          {"kind", kind},
          {"timeout-ms", timeout_ms},
          {"target-latency-ms", latency_ms},
          {"priority", priority},
          {"service", service},
          {"max-attempts", attempts},
          {"public", false},
          {"sticky", true},
          {"resumable", resumable},
          {"target-gap-ms", 400}};
}

}  // namespace

int Try::Events(int first) const {
  int next = first;
  std::istringstream in(body);
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("id: ")) continue;
    if (std::atoi(line.c_str() + 4) != next) return -1;
    ++next;
  }
  return next - first;
}

Site::Site(const std::string& record) : Fleet("review"), record_(record) {
  StartClock();
}

bool Site::TroubleIsOn() {
  const char* it = std::getenv("TROUBLE");
  return it == nullptr || std::string(it) != "0";
}

void Site::Note(const std::string& line) {
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", Now());
  record_ << at << line << "\n" << std::flush;
}

bool Site::StartStore() {
  KeepDescriptorsFromChildren();
  return SpawnStandin("store", "store", {});
}

bool Site::StartTarget(const std::string& id, const std::string& service,
                       const std::string& zone, bool engine, int step_ms) {
  std::vector<std::string> more = {"--name", id, "--step-ms",
                                   std::to_string(step_ms)};
  if (engine) more.push_back("--engine");
  KeepDescriptorsFromChildren();
  if (!SpawnStandin(id, "target", more)) return false;
  const Json entry = {{"service", service},
                      {"address", Process(id).address},
                      {"zone", zone},
                      {"version", "v1"},
                      {"slots", engine ? 64 : 6},
                      {"state", "ready"},
                      {"cold-remaining-ms", 0},
                      {"sequence", 1}};
  PutItem("servers/" + id, entry.dump());
  return true;
}

void Site::PutItem(const std::string& key, const std::string& value) {
  TestRequest request;
  request.method = "POST";
  request.path = "/control/put?key=" + key;
  request.body = value;
  Fleet::Call(Process("store").admin, request);
}

bool Site::StartRelay(const std::string& vm, const std::string& zone,
                      const std::string& links_file) {
  auto& at = addresses_[vm];
  while (at.size() < 4) at.push_back(FreeAddress());
  // deploy/system.toml, [roles.router.env]. A missing value yields nothing.
  const std::map<std::string, std::string> env = {
      {"QUAYTRACK_VM", vm},
      {"QUAYTRACK_HALL", zone},
      {"QUAYTRACK_REGIONS", "bkk-a=bkk,bkk-b=bkk,bkk-c=bkk"},
      {"QUAYTRACK_LISTEN", at[0]},
      {"QUAYTRACK_ADMIN_LISTEN", at[1]},
      {"QUAYTRACK_PEER_LISTEN", at[2]},
      {"QUAYTRACK_METRICS_LISTEN", at[3]},
      {"QUAYTRACK_READY_PATH", "/api/ready"},
      {"QUAYTRACK_STORE",
       store_of_.contains(vm) ? store_of_[vm] : Process("store").address},
      {"QUAYTRACK_RETRY_RATIO", "0.2"},
      {"QUAYTRACK_RETRY_SLACK", "54"},
      {"QUAYTRACK_RETRY_WINDOW_S", "10"},
      {"QUAYTRACK_COLD_OVERAGE", ""},
      {"QUAYTRACK_COLD_SLACK", ""},
      {"QUAYTRACK_UNPROVEN_SHARE", ""},
      {"QUAYTRACK_LINK_MBPS", "1000.0"},
      {"QUAYTRACK_CORES", "0.25"},
      {"QUAYTRACK_SCARCE_HORIZON_S", "4"},
      {"QUAYTRACK_DRAIN_S", "8"}};
  for (const auto& [name, value] : env) setenv(name.c_str(), value.c_str(), 1);
  std::vector<std::string> arguments = {Binary("quaytrack"), "relay"};
  if (!links_file.empty()) {
    arguments = {Binary("quaytrack_faulty_relay"), "relay",
                 "--links-file=" + links_file};
  }
  KeepDescriptorsFromChildren();
  const bool ok = Spawn(vm, "router", arguments);
  for (const auto& [name, value] : env) unsetenv(name.c_str());
  return ok;
}

std::string Site::AddStoreProxy(const std::string& vm) {
  KeepDescriptorsFromChildren();
  const std::string name = "store-proxy-" + vm;
  SpawnStandin(name, "fault_proxy", {"--upstream", Process("store").address});
  store_of_[vm] = Process(name).address;
  return name;
}

// --- The balancer ------------------------------------------------------------

void Site::Watch(const std::string& vm, const std::string& zone) {
  machines_[vm] = {};
  machines_[vm].zone = zone;
}

void Site::Unwatch(const std::string& vm) { machines_.erase(vm); }

bool Site::IsIn(const std::string& vm) const {
  const auto it = machines_.find(vm);
  return it != machines_.end() && it->second.misses < 2;
}

void Site::Poll() {
  for (auto& [vm, it] : machines_) {
    if (it.asked_s >= 0 && Now() - it.asked_s < kPollS) continue;
    // A call that is still open has missed.
    if (it.call) ++it.misses;
    it.asked_s = Now();
    TestRequest request;
    request.path = "/api/ready";
    request.timeout = std::chrono::seconds(1);
    it.call = Fleet::Begin(
        addresses_[vm][1], request, [this, name = vm](const TestReply& reply) {
          const auto found = machines_.find(name);
          if (found == machines_.end()) return;
          found->second.misses =
              reply.status == 200 ? 0 : found->second.misses + 1;
          // Freed later: this is one of its callbacks.
          loop().Post([keep = std::exchange(found->second.call, nullptr)] {});
        });
  }
}

std::string Site::Pick(const std::string& zone, unsigned draw) const {
  std::map<std::string, std::vector<std::string>> all, in;
  for (const auto& [vm, it] : machines_) {
    all[it.zone].push_back(vm);
    if (it.misses < 2) in[it.zone].push_back(vm);
  }
  std::vector<std::string> from = all[zone];
  if (in[zone].size() * 2 >= from.size()) from = in[zone];
  if (in[zone].empty()) {
    // The nearest zones with machines that are in; all if there are none.
    from.clear();
    for (const auto& [name, list] : in)
      from.insert(from.end(), list.begin(), list.end());
    if (from.empty()) {
      for (const auto& [name, list] : all)
        from.insert(from.end(), list.begin(), list.end());
    }
  }
  return from.empty() ? "" : from[draw % from.size()];
}

// --- Clients -----------------------------------------------------------------

TryPtr Site::Send(const std::string& vm, const std::string& id,
                  const std::string& bytes) {
  auto out = std::make_shared<Try>();
  out->id = id;
  out->node = vm;
  out->sent_s = Now();
  Try* raw = out.get();
  HttpParser::Handlers parse;
  parse.head = [raw](HttpHead& head) {
    raw->status = head.status;
    for (const HttpHeader& it : head.headers) {
      if (SameHeaderName(it.name, "X-Response-Seal")) raw->sealed = true;
      if (SameHeaderName(it.name, "Retry-After"))
        raw->retry_after_s = std::atof(it.value.c_str());
    }
  };
  parse.body = [raw](std::string_view it) { raw->body.append(it); };
  parse.complete = [raw, this] {
    raw->complete = true;
    raw->ended_s = Now();
  };
  out->parser = std::make_unique<HttpParser>(HttpParser::Kind::kResponse,
                                             std::move(parse), HttpLimits{});
  TcpSocket::Handlers on;
  on.connected = [raw] { raw->connected = true; };
  on.data = [raw](std::string_view it) {
    if (!raw->complete) raw->parser->Feed(it);
  };
  on.ended = [raw, this](SocketEnd) {
    raw->closed = true;
    if (!raw->complete) raw->ended_s = Now();
  };
  out->socket =
      TcpSocket::Connect(loop(), addresses_[vm][0], {}, std::move(on));
  if (out->socket) {
    out->socket->Write(bytes);
  } else {
    out->closed = true;
    out->ended_s = Now();
  }
  return out;
}

void Site::RunUntil(double s, const std::function<void()>& each) {
  while (Now() < s) {
    Reap();
    Poll();
    each();
    const auto timer =
        loop().After(std::chrono::milliseconds(10), [this] { loop().Stop(); });
    loop().Run();
  }
}

bool Site::WaitReady(const std::string& vm) {
  return WaitFor(
      [&] {
        TestRequest request;
        request.path = "/api/ready";
        return Fleet::Call(addresses_[vm][1], request).status == 200;
      },
      std::chrono::seconds(15));
}

std::string StreamBytes(const std::string& path, const std::string& id,
                        const std::string& key, int prompt, int out,
                        int deadline_ms) {
  const std::string body = "{\"prompt\": \"clause of " + id + "\"}";
  return "POST " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Request-Id: " + id +
         "\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(prompt) + "," +
         std::to_string(out) +
         "\r\nX-Prefix-Hash: 5c1e07a2:" + std::to_string(prompt) +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Token " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string CallBytes(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& key,
                      int deadline_ms) {
  const std::string body =
      method == "POST" ? "{\"sign\": \"" + id + "\"}" : std::string();
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                    "\r\nAuthorization: Token " + key + "\r\n";
  if (!body.empty())
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

Json Config(int version,
            const std::vector<std::pair<std::string, long long>>& tenants) {
  Json list = Json::array();
  for (const auto& [name, prepaid] : tenants) {
    list.push_back({{"name", name},
                    {"api-keys", {"key-" + name}},
                    {"priority", 1},
                    {"prepaid", prepaid}});
  }
  const Json engine = {{"slots", 64},
                       {"kv-capacity", 418121},
                       {"stride", 3},
                       {"models", {{{"name", "m"}}}}};
  return {{"version", version},
          {"routes",
           {Route("r-review", "/review/", "streaming", "llm", 12000, 800, 1, 2,
                  true),
            Route("r-question", "/question/", "streaming", "llm", 15000, 600, 1,
                  2, true),
            Route("r-sign", "/sign/", "non_idempotent", "desk", 1000, 150, 1, 1,
                  false),
            Route("r-audit", "/audit/", "idempotent", "desk", 1000, 150, 1, 2,
                  false)}},
          {"services",
           {{{"name", "llm"},
             {"health-path", "/health"},
             {"max-connections", 360},
             {"protocol", "h1"},
             {"tls", false},
             {"engine", engine}},
            {{"name", "desk"},
             {"health-path", "/health"},
             {"max-connections", 100},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants", list}};
}

}  // namespace quaytrack::review
