#include "testing/fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace quaytrack {
namespace {

constexpr int kStartLimitMs = 20000;
constexpr Duration kCheckEvery = std::chrono::milliseconds(10);

// All programs of a build are in the folder of this one.
std::string BinaryPath(const std::string& binary) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / binary).string();
}

std::string NewDirectory(const std::string& name) {
  std::string path = "/tmp/quaytrack-" + name + "-XXXXXX";
  return mkdtemp(path.data());
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

Fleet::Fleet(const std::string& name, std::string directory)
    : directory_(std::move(directory)),
      temporary_(directory_.empty()),
      http_(loop_) {
  if (temporary_) directory_ = NewDirectory(name);
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
  // The logs may be kept for use with docs/ON-CALL-relay.md.
  if (!temporary_ || std::getenv("QUAYTRACK_KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

bool Fleet::Spawn(const std::string& name, const std::string& kind,
                  std::vector<std::string> arguments) {
  FleetProcess& it = processes_[name];
  it.name = name;
  it.kind = kind;
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
  if (!ok) {
    std::fprintf(stderr, "%s didn't start: see %s\n", name.c_str(),
                 log.c_str());
  }
  return ok;
}

bool Fleet::SpawnStandin(const std::string& name, const std::string& kind,
                         const std::vector<std::string>& more) {
  std::vector<std::string> arguments = {BinaryPath("quaytrack_standins"), kind};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return Spawn(name, kind, std::move(arguments));
}

bool Fleet::SpawnRouter(int n, std::vector<std::string> arguments,
                        const std::vector<std::string>& more,
                        const std::string& binary) {
  arguments.insert(arguments.begin(), BinaryPath(binary));
  arguments.insert(arguments.end(), more.begin(), more.end());
  return Spawn(RouterName(n), "router", std::move(arguments));
}

bool Fleet::RouterReady(int n, const std::string& ready_path) {
  TestRequest request;
  request.path = ready_path;
  return Call(Process(RouterName(n)).admin, request).status == 200;
}

std::string Fleet::ProxyFor(int n, const std::string& upstream) {
  const std::string name = upstream + "-proxy-" + std::to_string(n);
  if (!processes_.contains(name)) {
    SpawnStandin(name, "fault_proxy",
                 {"--upstream", Process(upstream).address});
  }
  return Process(name).address;
}

int Fleet::port(const std::string& name) {
  const std::string& address = Process(name).address;
  return std::atoi(address.c_str() + address.rfind(':') + 1);
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

nlohmann::json Fleet::Get(const std::string& name, const std::string& path) {
  TestRequest request;
  request.path = path;
  return Call(Process(name).admin, request).Json();
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

int Fleet::LogCount(const std::string& text) const {
  int out = 0;
  for (const auto& it : std::filesystem::directory_iterator(directory_)) {
    std::ifstream in(it.path());
    for (std::string line; std::getline(in, line);) {
      if (line.find(text) != std::string::npos) ++out;
    }
  }
  return out;
}

}  // namespace quaytrack
