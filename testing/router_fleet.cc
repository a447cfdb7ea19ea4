#include "testing/router_fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kStartLimitMs = 20000;
constexpr Duration kCheckEvery = std::chrono::milliseconds(10);
constexpr char kModel[] = "thai-8b";

std::string OwnDirectory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

// Reads lines until one starts with "listening", or the limit passes.
bool ReadAddresses(int fd, FleetProcess& it) {
  std::string text;
  while (text.find("listening") == std::string::npos || text.back() != '\n') {
    pollfd wait{fd, POLLIN, 0};
    if (poll(&wait, 1, kStartLimitMs) <= 0) return false;
    char buf[512];
    const ssize_t n = read(fd, buf, sizeof buf);
    if (n <= 0) return false;
    text.append(buf, static_cast<std::size_t>(n));
  }
  std::istringstream in(text);
  for (std::string word; in >> word;) {
    if (word == "proxying") in >> it.address;
    if (word != "listening") continue;
    std::string address;
    in >> address >> it.admin;
    if (it.address.empty()) it.address = address;
  }
  return !it.admin.empty();
}

std::vector<char*> Pointers(std::vector<std::string>& arguments) {
  std::vector<char*> out;
  for (std::string& it : arguments) out.push_back(it.data());
  out.push_back(nullptr);
  return out;
}

}  // namespace

Fleet::Fleet(FleetSpec spec)
    : spec_(std::move(spec)),
      directory_(spec_.directory),
      http_(loop_),
      ann_(MakeOperatorKeyPair()),
      ben_(MakeOperatorKeyPair()) {
  if (directory_.empty()) {
    char name[] = "/tmp/quaytrack-fleet-XXXXXX";
    directory_ = mkdtemp(name);
  }
  std::filesystem::create_directories(directory_);
}

Fleet::~Fleet() {
  for (auto& [name, it] : processes_) {
    if (!it.alive) continue;
    kill(it.pid, SIGCONT);
    kill(it.pid, SIGKILL);
  }
  for (auto& [name, it] : processes_) {
    if (it.alive) waitpid(it.pid, nullptr, 0);
  }
  if (spec_.directory.empty()) std::filesystem::remove_all(directory_);
}

std::string Fleet::BinaryPath(const std::string& binary) const {
  return OwnDirectory() + "/" + binary;
}

bool Fleet::Spawn(const std::string& name, const std::string& kind,
                  std::vector<std::string> arguments) {
  FleetProcess& it = processes_[name];
  it.name = name;
  it.kind = kind;
  it.arguments = arguments;
  it.address.clear();
  it.admin.clear();
  int out[2];
  if (pipe2(out, O_CLOEXEC) != 0) return false;
  const std::string log = directory_ + "/" + name + ".log";
  std::vector<char*> argv = Pointers(arguments);
  it.pid = fork();
  if (it.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out[1], STDOUT_FILENO);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(out[1]);
  it.alive = it.pid > 0;
  const bool ok = it.alive && ReadAddresses(out[0], it);
  close(out[0]);
  if (!ok)
    std::fprintf(stderr, "%s didn't start: see %s\n", name.c_str(),
                 log.c_str());
  return ok;
}

bool Fleet::SpawnStandin(const std::string& name, const std::string& kind,
                         std::vector<std::string> more) {
  std::vector<std::string> arguments = {BinaryPath("quaytrack_standins"), kind};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return Spawn(name, kind, std::move(arguments));
}

bool Fleet::StartStandins() {
  if (!SpawnStandin("kv", "kv", {})) return false;
  const std::string lag = std::to_string(spec_.vm_list_lag_ms);
  if (!SpawnStandin("vm-list", "vm_list", {"--lag-ms", lag})) return false;
  const auto with_proxy = [&](const std::string& name) {
    if (!spec_.proxy_targets) return true;
    return SpawnStandin(name + "-proxy", "fault_proxy",
                        {"--upstream", Process(name).address});
  };
  for (int n = 1; n <= spec_.engines; ++n) {
    const std::string name = "engine-" + std::to_string(n);
    const bool ok = SpawnStandin(
        name, "engine",
        {"--name", name, "--slots", std::to_string(spec_.engine_slots),
         "--step-ms", std::to_string(spec_.engine_step_ms), "--token-bytes",
         std::to_string(spec_.engine_token_bytes)});
    if (!ok || !with_proxy(name)) return false;
  }
  for (int n = 1; n <= spec_.services; ++n) {
    const std::string name = "forms-" + std::to_string(n);
    const bool ok = SpawnStandin(name, "service", {"--name", name});
    if (!ok || !with_proxy(name)) return false;
  }
  for (const auto& [name, it] : std::map(processes_)) {
    if (it.kind != "engine" && it.kind != "service") continue;
    Control("vm-list",
            "watch?name=vm-" + name + "&pid=" + std::to_string(it.pid));
  }
  return true;
}

std::string Fleet::KvFor(int router) {
  if (!spec_.proxy_kv) return Process("kv").address;
  const std::string name = "kv-proxy-" + std::to_string(router);
  if (!processes_.contains(name)) {
    SpawnStandin(name, "fault_proxy", {"--upstream", Process("kv").address});
  }
  return Process(name).address;
}

bool Fleet::StartRouter(int n) {
  const std::string name = RouterName(n);
  std::vector<std::string> arguments = {
      BinaryPath("quaytrack"),
      "router",
      "--vm=vm-" + name,
      "--hall=hall-" + std::to_string((n - 1) % spec_.halls + 1),
      "--listen=127.0.0.1:0",
      "--admin-listen=127.0.0.1:0",
      "--peer-listen=127.0.0.1:0",
      "--kv=" + KvFor(n),
      "--vm-list=" + Process("vm-list").address,
      "--operator-key=ann=" + ann_.public_key,
      "--operator-key=ben=" + ben_.public_key,
      "--balancer-ms=100"};
  arguments.insert(arguments.end(), spec_.router_flags.begin(),
                   spec_.router_flags.end());
  if (!Spawn(name, "router", std::move(arguments))) return false;
  Control("vm-list", "watch?name=vm-" + name +
                         "&pid=" + std::to_string(Process(name).pid));
  return true;
}

bool Fleet::RouterReady(int n) {
  TestRequest request;
  request.path = "/readyz";
  return Call(Process(RouterName(n)).admin, request).status == 200;
}

bool Fleet::Start() {
  if (!StartStandins()) return false;
  if (ApplyBundle(1) != 0) return false;
  for (int n = 1; n <= spec_.routers; ++n) {
    if (!StartRouter(n)) return false;
  }
  for (int n = 1; n <= spec_.routers; ++n) {
    if (!WaitFor([&] { return RouterReady(n); })) return false;
  }
  return true;
}

FleetProcess& Fleet::Process(const std::string& name) {
  return processes_.at(name);
}

void Fleet::Kill(const std::string& name, int signal) {
  FleetProcess& it = Process(name);
  if (!it.alive) return;
  kill(it.pid, signal);
  if (signal == SIGKILL) Await(name);
}

int Fleet::Await(const std::string& name) {
  FleetProcess& it = Process(name);
  WaitFor([&] {
    Reap();
    return !it.alive;
  });
  return it.status;
}

void Fleet::Reap() {
  for (auto& [name, it] : processes_) {
    if (!it.alive) continue;
    if (waitpid(it.pid, &it.status, WNOHANG) == it.pid) it.alive = false;
  }
}

std::shared_ptr<HttpCall> Fleet::Begin(
    const std::string& address, const TestRequest& request,
    std::function<void(const TestReply&)> done) {
  HttpRequest it;
  it.address = address;
  it.method = request.method;
  it.path = request.path;
  it.headers = request.headers;
  it.body = request.body;
  it.idle_timeout = request.timeout;
  it.fresh_connection = true;
  HttpCall::Handlers on;
  on.end = [done = std::move(done)](const HttpResult& result) {
    done({result.end, result.status, result.body});
  };
  return http_.Start(std::move(it), std::move(on));
}

TestReply Fleet::Call(const std::string& address, const TestRequest& request) {
  TestReply out;
  bool finished = false;
  Begin(address, request, [&](const TestReply& it) {
    out = it;
    finished = true;
    loop_.Stop();
  });
  while (!finished) loop_.Run();
  return out;
}

TestReply Fleet::Control(const std::string& name, const std::string& what) {
  TestRequest request;
  request.method = "POST";
  request.path = "/control/" + what;
  return Call(Process(name).admin, request);
}

bool Fleet::WaitFor(const std::function<bool()>& condition, Duration limit) {
  const SystemClock clock;
  const Instant end = clock.Now() + limit;
  while (!condition()) {
    if (clock.Now() >= end) return false;
    const auto timer = loop_.After(kCheckEvery, [this] { loop_.Stop(); });
    loop_.Run();
  }
  return true;
}

nlohmann::json Fleet::Executions(const std::string& kind) {
  nlohmann::json out = nlohmann::json::array();
  for (const auto& [name, it] : std::map(processes_)) {
    if (it.kind != kind || !it.alive) continue;
    TestRequest request;
    request.path = "/executions";
    for (auto& run : Call(it.admin, request).Json()) {
      run["target"] = name;
      out.push_back(run);
    }
  }
  return out;
}

int Fleet::Command(std::vector<std::string> arguments, std::string* output) {
  arguments.insert(arguments.begin(), BinaryPath("quaytrack"));
  std::vector<char*> argv = Pointers(arguments);
  int out[2];
  if (pipe2(out, O_CLOEXEC) != 0) return -1;
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(out[1], STDOUT_FILENO);
    dup2(out[1], STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(out[1]);
  std::string text;
  char buf[4096];
  for (ssize_t n = 0; (n = read(out[0], buf, sizeof buf)) > 0;) {
    text.append(buf, static_cast<std::size_t>(n));
  }
  close(out[0]);
  int status = 0;
  waitpid(pid, &status, 0);
  if (output != nullptr) *output = text;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

nlohmann::json Fleet::Bills() {
  std::string out;
  Command({"bills", "--json", "--kv=" + Process("kv").address}, &out);
  return nlohmann::json::parse(out, nullptr, false);
}

nlohmann::json Fleet::Budgets() {
  std::string out;
  Command({"budget", "show", "--json", "--kv=" + Process("kv").address}, &out);
  return nlohmann::json::parse(out, nullptr, false);
}

std::string Fleet::TargetAddress(const std::string& name) {
  return spec_.proxy_targets ? Process(name + "-proxy").address
                             : Process(name).address;
}

std::string Fleet::BundleText(int version, const std::string& more) {
  std::ostringstream out;
  out << "quaytrack-bundle format=1 version=" << version << "\n";
  for (const FleetCustomer& it : spec_.customers) {
    out << "budget " << it.name << " limit=" << it.budget_tokens << " "
        << it.budget_fields << "\n";
    out << "customer " << it.name << " budget=" << it.name
        << " key=sha256:" << Sha256Hex(it.key) << "\n";
  }
  out << "model " << kModel
      << " price-prompt=1 price-output=1 default-max-tokens=64\n";
  out << "service forms price=5 timeout=5s\n";
  out << "call forms method=POST path=/sign repeat=never\n";
  for (const auto& [name, it] : processes_) {
    const bool engine = it.kind == "engine";
    if (!engine && it.kind != "service") continue;
    const int hall = std::atoi(name.substr(name.rfind('-') + 1).c_str());
    out << "target " << name << " kind=" << it.kind
        << (engine ? std::string(" models=") + kModel : " service=forms")
        << " address=" << TargetAddress(name) << " hall=hall-"
        << (hall - 1) % spec_.halls + 1 << " vm=vm-" << name
        << " slots=" << spec_.engine_slots << "\n";
  }
  out << more;
  return out.str();
}

int Fleet::ApplyBundle(int version, const std::string& more) {
  const std::string file = directory_ + "/site.bundle";
  std::ofstream(file) << BundleText(version, more);
  std::vector<std::string> apply = {"bundle", "apply", file, "--name=ann",
                                    "--kv=" + Process("kv").address};
  std::string output;
  for (const auto& [name, pair] : {std::pair("ann", ann_), {"ben", ben_}}) {
    const std::string key = directory_ + "/" + name + ".key";
    const std::string signature = directory_ + "/" + name + ".sig";
    std::ofstream(key) << pair.private_key << "\n";
    const int code =
        Command({"bundle", "sign", file, std::string("--name=") + name,
                 "--key=" + key, "--out=" + signature},
                &output);
    if (code != 0) {
      std::fprintf(stderr, "%s", output.c_str());
      return code;
    }
    apply.push_back("--signature=" + signature);
  }
  const int code = Command(apply, &output);
  if (code != 0) std::fprintf(stderr, "%s", output.c_str());
  return code;
}

std::string Fleet::ReadyJson() const {
  Json processes = Json::array();
  for (const auto& [name, it] : processes_) {
    processes.push_back({{"name", name},
                         {"kind", it.kind},
                         {"pid", it.pid},
                         {"address", it.address},
                         {"admin", it.admin}});
  }
  Json customers = Json::array();
  for (const FleetCustomer& it : spec_.customers) {
    customers.push_back({{"name", it.name},
                         {"key", it.key},
                         {"budget_tokens", it.budget_tokens}});
  }
  const Json service = {{"name", "forms"},
                        {"safe_path", "/svc/forms/read"},
                        {"unsafe_path", "/svc/forms/sign"}};
  return Json{{"processes", processes},
              {"customers", customers},
              {"models", {kModel}},
              {"services", {service}},
              {"operators",
               {{{"name", "ann"}, {"key", ann_.private_key}},
                {{"name", "ben"}, {"key", ben_.private_key}}}}}
      .dump(2);
}

TestRequest Fleet::Chat(const std::string& key, const std::string& text,
                        int max_tokens, bool stream) {
  TestRequest out;
  out.method = "POST";
  out.path = "/v1/chat/completions";
  out.headers = {{"Authorization", "Bearer " + key},
                 {"Content-Type", "application/json"}};
  const Json message = {{"role", "user"}, {"content", text}};
  out.body = Json{{"model", kModel},
                  {"messages", {message}},
                  {"max_tokens", max_tokens},
                  {"stream", stream},
                  {"stream_options", {{"include_usage", true}}}}
                 .dump();
  return out;
}

TestRequest Fleet::Service(const std::string& key, const std::string& path,
                           const std::string& body,
                           const std::string& idempotency_key) {
  TestRequest out;
  out.method = "POST";
  out.path = "/svc/forms" + path;
  out.headers = {{"Authorization", "Bearer " + key},
                 {"Content-Type", "application/json"}};
  if (!idempotency_key.empty()) {
    out.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  out.body = body;
  return out;
}

}  // namespace quaytrack
