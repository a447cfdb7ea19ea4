// A small deployment on loopback for the cases of this review: stand-ins of the
// platform's store and of runners, clients, and `quaytrack relay` processes that
// are started with the command and the environment of deploy/system.toml.
//
// The stand-ins are threads of the case's program, with blocking sockets. They
// speak what the users' PROTOCOL page says and share no code with the project.
// The relays are separate processes. Nothing outside the working folder of the
// case and a temporary folder is written.

#ifndef REVIEW_COMMON_2_RIG_HPP_
#define REVIEW_COMMON_2_RIG_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point Began() {
  static const Clock::time_point at = Clock::now();
  return at;
}
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - Began()).count();
}
inline void SleepS(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void SleepUntil(double at) { SleepS(at - Now()); }

// --- The record --------------------------------------------------------------

inline FILE* RecordFile() {
  static FILE* file = std::fopen("record.txt", "w");
  return file;
}
inline void Note(const char* format, ...) {
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  va_list args;
  va_start(args, format);
  std::fprintf(RecordFile(), "%9.3f s  ", Now());
  std::vfprintf(RecordFile(), format, args);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
  va_end(args);
}

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Whether the case runs with its disruption.
inline bool Trouble() {
  const char* it = std::getenv("TROUBLE");
  return it == nullptr || std::string(it) != "0";
}

// --- Sockets -----------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<uint16_t>(port));
  return out;
}

inline int ListenAt(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

inline int PortOf(const std::string& address) {
  return std::atoi(address.c_str() + address.rfind(':') + 1);
}

inline int ConnectTo(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(PortOf(address));
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// Waits for bytes or the end. Returns false at `until`.
inline bool AwaitBytes(int fd, double until) {
  pollfd it{fd, POLLIN, 0};
  while (true) {
    const double left = until - Now();
    if (left <= 0) return false;
    const int n = poll(&it, 1, static_cast<int>(left * 1000) + 1);
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

inline void ResetAndClose(int fd) {
  const linger abort{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close(fd);
}

// --- HTTP --------------------------------------------------------------------

struct Message {
  std::string first;  // the start line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;
  // The connection has ended: by a reset, or without one.
  bool closed = false;
  bool reset = false;
  // Bytes behind the message.
  std::string rest;

  std::string Header(const std::string& name) const {
    for (const auto& [n, v] : headers)
      if (strcasecmp(n.c_str(), name.c_str()) == 0) return v;
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [n, v] : headers)
      if (strcasecmp(n.c_str(), name.c_str()) == 0) return true;
    return false;
  }
  int status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto a = first.find(' ');
    const auto b = first.find(' ', a + 1);
    return first.substr(a + 1, b - a - 1);
  }
};

// Reads one message. `buffer` has bytes that were read before and gets those
// behind the message. An answer without a length ends with its connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  std::string buffer;

  bool More(Message& out, double until) {
    if (!AwaitBytes(fd_, until)) return false;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n > 0) {
      buffer.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    out.closed = true;
    out.reset = n < 0;
    return false;
  }

  Message Read(bool is_request, double until,
               const std::function<void(const Message&)>& on_piece = {}) {
    Message out;
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More(out, until)) return out;
    }
    std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    out.first = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const std::size_t stop = head.find("\r\n", at);
      const std::string line = head.substr(at, stop - at);
      at = stop + 2;
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      out.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    if (out.Header("Transfer-Encoding") == "chunked") {
      while (true) {
        std::size_t line;
        while ((line = buffer.find("\r\n")) == std::string::npos)
          if (!More(out, until)) return out;
        const std::size_t size =
            std::strtoul(buffer.substr(0, line).c_str(), nullptr, 16);
        while (buffer.size() < line + 2 + size + 2)
          if (!More(out, until)) return out;
        out.body += buffer.substr(line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        if (size == 0) break;
        if (on_piece) on_piece(out);
      }
    } else if (out.Has("Content-Length")) {
      const std::size_t size =
          std::strtoul(out.Header("Content-Length").c_str(), nullptr, 10);
      while (buffer.size() < size)
        if (!More(out, until)) return out;
      out.body = buffer.substr(0, size);
      buffer.erase(0, size);
    } else if (!is_request) {
      while (More(out, until)) {
      }
      out.body = std::exchange(buffer, {});
      out.complete = out.closed && !out.reset;
      return out;
    }
    out.complete = true;
    return out;
  }

 private:
  int fd_;
};

// A listener whose connections are served by a thread each.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  Server() = default;
  bool Start(Serve serve, int port = 0) {
    serve_ = std::move(serve);
    port_ = port;
    fd_ = ListenAt(port_);
    if (fd_ < 0) return false;
    std::thread([this, fd = fd_] {
      while (true) {
        const int it = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (it < 0) return;
        const int on = 1;
        setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, it] { serve_(it); }).detach();
      }
    }).detach();
    return true;
  }
  void StopListening() {
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
};

// --- The platform's store ----------------------------------------------------

inline std::string Base64(const std::string& in) {
  static const char* k =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned v = 0;
    const std::size_t n = std::min<std::size_t>(3, in.size() - i);
    for (std::size_t j = 0; j < 3; ++j)
      v = (v << 8) | (j < n ? static_cast<unsigned char>(in[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out += j <= n ? k[(v >> (18 - 6 * j)) & 63] : '=';
  }
  return out;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) return "";
  std::size_t at = question + 1;
  while (at <= target.size()) {
    std::size_t end = target.find('&', at);
    if (end == std::string::npos) end = target.size();
    const std::string part = target.substr(at, end - at);
    at = end + 1;
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) != name) continue;
    std::string out;
    const std::string raw = part.substr(equals + 1);
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        out += static_cast<char>(
            std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += raw[i];
      }
    }
    return out;
  }
  return "";
}

class Store {
 public:
  enum class Mode { kNormal, kBusy, kSilent, kReset, kDoneUnanswered };

  bool Start() {
    return server_.Start([this](int fd) { Serve(fd); });
  }
  std::string address() const { return server_.address(); }

  // Answers as long as `mode` is normal.
  void SetMode(Mode mode) {
    std::lock_guard<std::mutex> lock(mutex_);
    mode_ = mode;
    changed_.notify_all();
  }
  // A write that is not the system's: the operator's or a runner's. Returns the
  // revision.
  std::int64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    PutLocked(key, Base64(value));
    changed_.notify_all();
    return revision_;
  }
  std::int64_t Remove(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    RemoveLocked(key);
    changed_.notify_all();
    return revision_;
  }
  // Ends the connections of the watches that wait on `prefix` now.
  void CutWatches(const std::string& prefix) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++cuts_[prefix];
    changed_.notify_all();
  }
  std::map<std::string, std::string> Keys(const std::string& prefix) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::string> out;
    for (const auto& [k, v] : items_)
      if (k.rfind(prefix, 0) == 0) out[k] = v.value;
    return out;
  }
  // Called with each write of the system, before it is done. Returns false if
  // the call is to be left unanswered; the write is then done by `Apply` later.
  std::function<bool(const Json& txn)> on_txn;
  bool Apply(const Json& txn) {
    std::lock_guard<std::mutex> lock(mutex_);
    return ApplyLocked(txn);
  }

 private:
  struct Item {
    std::string value;  // as it is sent
    std::int64_t revision = 0;
    std::int64_t made = 0;
  };
  struct Change {
    std::int64_t revision;
    std::string key;
    bool gone;
    std::string value;
  };

  void PutLocked(const std::string& key, const std::string& value) {
    Item& it = items_[key];
    it.value = value;
    it.revision = ++revision_;
    if (it.made == 0) it.made = revision_;
    history_.push_back({revision_, key, false, value});
  }
  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) > 0)
      history_.push_back({++revision_, key, true, ""});
  }
  Json ItemJson(const std::string& key, const Item& it) const {
    return {{"private-key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"made", it.made},
            {"lease", 0}};
  }
  bool ApplyLocked(const Json& txn) {
    for (const Json& it : txn["expected-revision"]) {
      const auto found = items_.find(it["private-key"]);
      const std::int64_t has =
          found == items_.end() ? 0 : found->second.revision;
      if (has != it["revision"].get<std::int64_t>()) return false;
    }
    for (const Json& it : txn["put"]) PutLocked(it["private-key"], it["value"]);
    for (const Json& it : txn["remove"]) RemoveLocked(it);
    changed_.notify_all();
    return true;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      const Message request = reader.Read(true, Now() + 3600);
      if (!request.complete) break;
      if (!Answer(fd, request)) break;
    }
    close(fd);
  }
  static bool Reply(int fd, int status, const Json& body) {
    const std::string text = body.dump();
    return SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text);
  }
  bool Answer(int fd, const Message& request) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string path =
        request.target().substr(0, request.target().find('?'));
    if (mode_ == Mode::kBusy) {
      lock.unlock();
      return Reply(fd, 503, Json::object());
    }
    if (mode_ == Mode::kReset) {
      lock.unlock();
      return false;
    }
    if (mode_ == Mode::kSilent) {
      // Once an answer is lost on a connection, it says nothing more.
      lock.unlock();
      SleepS(3600);
      return false;
    }
    if (path == "/api/kv-range") {
      const std::string prefix = QueryValue(request.target(), "path-prefix");
      const std::string after = QueryValue(request.target(), "after-revision");
      Json items = Json::array();
      bool more = false;
      for (const auto& [key, it] : items_) {
        if (key.rfind(prefix, 0) != 0) continue;
        if (!after.empty() && key <= after) continue;
        if (items.size() >= 500) {
          more = true;
          break;
        }
        items.push_back(ItemJson(key, it));
      }
      const Json out = {{"items", items}, {"more", more}, {"at", revision_}};
      lock.unlock();
      return Reply(fd, 200, out);
    }
    if (path == "/api/kv-key") {
      const auto it = items_.find(QueryValue(request.target(), "private-key"));
      if (it == items_.end()) {
        lock.unlock();
        return Reply(fd, 404, Json{{"at", revision_}});
      }
      Json out = ItemJson(it->first, it->second);
      out["at"] = revision_;
      lock.unlock();
      return Reply(fd, 200, out);
    }
    if (path == "/api/kv-watch") {
      const std::string prefix = QueryValue(request.target(), "path-prefix");
      const std::int64_t after =
          std::atoll(QueryValue(request.target(), "after-revision").c_str());
      const int wait = std::atoi(QueryValue(request.target(), "wait-ms").c_str());
      const auto until =
          Clock::now() + std::chrono::milliseconds(std::min(wait, 30000));
      const int cuts = cuts_[prefix];
      while (true) {
        Json events = Json::array();
        for (const Change& it : history_) {
          if (it.revision <= after || it.key.rfind(prefix, 0) != 0) continue;
          if (it.gone) {
            events.push_back({{"private-key", it.key},
                              {"revision", it.revision},
                              {"gone", true}});
          } else {
            events.push_back({{"private-key", it.key},
                              {"value", it.value},
                              {"revision", it.revision},
                              {"made", it.revision},
                              {"lease", 0}});
          }
        }
        if (mode_ != Mode::kNormal && mode_ != Mode::kDoneUnanswered) {
          // A watch that is waiting may be cut; a silent store says nothing.
          const bool silent = mode_ == Mode::kSilent;
          lock.unlock();
          if (silent) SleepS(3600);
          return false;
        }
        if (events.empty() && cuts_[prefix] != cuts) {
          lock.unlock();
          return false;
        }
        if (!events.empty() || Clock::now() >= until) {
          const Json out = {{"events", events}, {"at", revision_}};
          lock.unlock();
          return Reply(fd, 200, out);
        }
        changed_.wait_until(lock, until);
      }
    }
    if (path == "/api/kv-txn") {
      const Json txn = Json::parse(request.body, nullptr, false);
      if (!txn.is_object()) {
        lock.unlock();
        return Reply(fd, 400, Json::object());
      }
      if (on_txn) {
        lock.unlock();
        const bool answers = on_txn(txn);
        if (!answers) {
          SleepS(3600);
          return false;
        }
        lock.lock();
      }
      if (ApplyLocked(txn)) {
        const Json out = {{"revision", revision_}};
        const bool lost = mode_ == Mode::kDoneUnanswered;
        lock.unlock();
        if (!lost) return Reply(fd, 200, out);
        SleepS(3600);
        return false;
      }
      Json items = Json::array();
      for (const Json& it : txn["expected-revision"]) {
        const auto found = items_.find(it["private-key"]);
        if (found != items_.end())
          items.push_back(ItemJson(found->first, found->second));
      }
      const Json out = {{"items", items}};
      lock.unlock();
      return Reply(fd, 412, out);
    }
    lock.unlock();
    return Reply(fd, 404, Json::object());
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Mode mode_ = Mode::kNormal;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::int64_t revision_ = 0;
  // Number of times that the watches of a prefix were cut.
  std::map<std::string, int> cuts_;
};

// --- Runners -----------------------------------------------------------------

struct Run {
  std::string id;
  std::string runner;
  std::string method;
  std::string target;
  std::string tenant;
  std::string body;
  std::string last_event;
  double at = 0;
  double ended = 0;
  std::string how;
};

class Runner {
 public:
  // Serves one request that has begun to run. Returns whether the connection
  // stays. Set it before `Start`.
  using Work =
      std::function<bool(Runner& self, int fd, const Message&, Run& run)>;

  Runner(std::string name, std::string service)
      : name_(std::move(name)), service_(std::move(service)) {}

  // Serves calls about runs, as Work does; without it they get 404.
  std::function<bool(Runner& self, int fd, const Message&)> api;

  bool Start(Work work, int port = 0) {
    work_ = std::move(work);
    return server_.Start([this](int fd) { Serve(fd); }, port);
  }
  const std::string& name() const { return name_; }
  std::string address() const { return server_.address(); }
  Json Entry(const std::string& state, int slots = 64) const {
    return {{"service", service_}, {"address", address()}, {"zone", "bkk-a"},
            {"version", "v1"},     {"slots", slots},       {"state", state},
            {"cold-remaining-ms", 0}, {"sequence", 1}};
  }
  void Register(Store& store, const std::string& state = "ready") const {
    store.Put("servers/" + name_, Entry(state).dump());
  }
  std::vector<Run> Runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Run> out;
    for (const auto& it : runs_) out.push_back(*it);
    return out;
  }
  std::string Head(int status, const std::string& id, bool sealed,
                   const std::string& framing) const {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    out += "X-Request-Id: " + id + "\r\n";
    if (sealed) out += "X-Response-Seal: seal-" + name_ + "\r\n";
    return out + framing + "\r\n";
  }
  bool SendWhole(int fd, const std::string& id, const std::string& body) const {
    return SendAll(fd, Head(200, id, true,
                            "Content-Length: " + std::to_string(body.size()) +
                                "\r\n") +
                           body);
  }
  void StopListening() { server_.StopListening(); }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      const Message request = reader.Read(true, Now() + 3600);
      if (!request.complete) break;
      const std::string id = request.Header("X-Request-Id");
      const std::string expected = request.Header("X-Expect-Instance");
      if (!expected.empty() && expected != name_) {
        Note("%s turns %s away: it is for %s", name_.c_str(), id.c_str(),
             expected.c_str());
        if (!SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                             name_ + "\r\nX-Request-Id: " + id +
                             "\r\nContent-Length: 0\r\n\r\n"))
          break;
        continue;
      }
      if (request.target().rfind("/api/", 0) == 0) {
        const bool stays =
            api ? api(*this, fd, request)
                : SendAll(fd, "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
        if (!stays) break;
        continue;
      }
      auto run = std::make_shared<Run>();
      run->id = id;
      run->runner = name_;
      run->method = request.method();
      run->target = request.target();
      run->tenant = request.Header("X-Tenant-Id");
      run->body = request.body;
      run->last_event = request.Header("Last-Event-Id");
      run->at = Now();
      {
        std::lock_guard<std::mutex> lock(mutex_);
        runs_.push_back(run);
      }
      Note("%s runs %s (%s)", name_.c_str(), id.c_str(),
           request.first.c_str());
      const bool keeps = work_(*this, fd, request, *run);
      run->ended = Now();
      if (!keeps) return;
    }
    close(fd);
  }

  std::string name_;
  std::string service_;
  Work work_;
  Server server_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Run>> runs_;
};

inline std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}
inline std::string EventText(int id, const std::string& of) {
  return "id: " + std::to_string(id) + "\ndata: " + of + "-" +
         std::to_string(id) + "\n\n";
}
inline constexpr char kStreamFraming[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

// --- Relays ------------------------------------------------------------------

class Relay {
 public:
  // `binary` is the program of the build line of the deploy file.
  Relay(std::string binary, std::string vm, std::string zone)
      : binary_(std::move(binary)), vm_(std::move(vm)), zone_(std::move(zone)) {}
  ~Relay() { Kill(); }

  bool Start(const std::string& store, const std::string& log_folder) {
    int out[2];
    if (pipe2(out, O_CLOEXEC) != 0) return false;
    const std::string log =
        log_folder + "/" + vm_ + "-" + std::to_string(++starts_) + ".log";
    std::vector<std::string> env = {
        "PATH=/usr/bin:/bin",
        "QUAYTRACK_VM=" + vm_,
        "QUAYTRACK_HALL=" + zone_,
        "QUAYTRACK_REGIONS=bkk-a=bkk,bkk-b=bkk,bkk-c=bkk",
        "QUAYTRACK_LISTEN=127.0.0.1:" + std::to_string(front_port_),
        "QUAYTRACK_ADMIN_LISTEN=127.0.0.1:0",
        "QUAYTRACK_PEER_LISTEN=127.0.0.1:0",
        "QUAYTRACK_METRICS_LISTEN=127.0.0.1:0",
        "QUAYTRACK_READY_PATH=/api/ready",
        "QUAYTRACK_STORE=" + store,
        "QUAYTRACK_RETRY_RATIO=0.2",
        "QUAYTRACK_RETRY_SLACK=54",
        "QUAYTRACK_RETRY_WINDOW_S=10",
        "QUAYTRACK_COLD_OVERAGE=",
        "QUAYTRACK_COLD_SLACK=",
        "QUAYTRACK_UNPROVEN_SHARE=",
        "QUAYTRACK_LINK_MBPS=1000.0",
        "QUAYTRACK_CORES=0.25",
        "QUAYTRACK_MEMORY_MB=110",
        "QUAYTRACK_MAX_DESCRIPTORS=4100",
        "QUAYTRACK_SCARCE_HORIZON_S=4",
        "QUAYTRACK_STANDING_SHARE=0.2",
        "QUAYTRACK_DRAIN_S=8"};
    std::vector<char*> envp;
    for (std::string& it : env) envp.push_back(it.data());
    envp.push_back(nullptr);
    const char* argv[] = {binary_.c_str(), "relay", nullptr};
    pid_ = fork();
    if (pid_ == 0) {
      // It must not outlive the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(out[1], 1);
      dup2(file, 2);
      execve(binary_.c_str(), const_cast<char**>(argv), envp.data());
      _exit(127);
    }
    close(out[1]);
    FILE* in = fdopen(out[0], "r");
    char line[512];
    char front[200];
    char admin[200];
    bool found = false;
    FILE* rest = std::fopen((log + ".out").c_str(), "w");
    while (std::fgets(line, sizeof line, in) != nullptr) {
      if (std::sscanf(line, "listening %199s %199s", front, admin) == 2) {
        found = true;
        break;
      }
      std::fputs(line, rest);
    }
    if (!found) return false;
    front_ = front;
    admin_ = admin;
    front_port_ = PortOf(front_);
    // The log must be read, or the relay drops lines.
    std::thread([in, rest] {
      char text[4096];
      while (std::fgets(text, sizeof text, in) != nullptr)
        std::fputs(text, rest);
      std::fclose(in);
      std::fclose(rest);
    }).detach();
    Note("%s started, process %d, at %s", vm_.c_str(), pid_, front);
    return true;
  }
  bool Ready() const {
    const int fd = ConnectTo(admin_);
    if (fd < 0) return false;
    SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader reader(fd);
    const Message it = reader.Read(false, Now() + 1);
    close(fd);
    return it.status() == 200;
  }
  bool AwaitReady(double seconds) const {
    for (const double until = Now() + seconds; Now() < until; SleepS(0.05))
      if (Ready()) return true;
    return false;
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // Whether the process has ended, and how.
  bool HasEnded(std::string& how) {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    how = WIFSIGNALED(status)
              ? "signal " + std::to_string(WTERMSIG(status))
              : "exit code " + std::to_string(WEXITSTATUS(status));
    return true;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
  }
  const std::string& front() const { return front_; }
  const std::string& vm() const { return vm_; }
  int pid() const { return pid_; }

 private:
  std::string binary_;
  std::string vm_;
  std::string zone_;
  int pid_ = -1;
  int starts_ = 0;
  int front_port_ = 0;
  std::string front_;
  std::string admin_;
};

// --- Clients -----------------------------------------------------------------

inline constexpr char kHost[] = "ficu95.example";

struct Ask {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string key = "key-a";
  int deadline_ms = 5000;
  std::string body = "form";
  std::vector<std::string> more;  // further header lines

  std::string Bytes() const {
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                      "\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                      "\r\n";
    if (!key.empty()) out += "Authorization: Token " + key + "\r\n";
    for (const std::string& it : more) out += it + "\r\n";
    if (method == "POST")
      out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n";
    if (method == "POST") out += body;
    return out;
  }
};

inline Ask Stream(const std::string& id, const std::string& path,
                  int tokens_out) {
  Ask out;
  out.id = id;
  out.path = path;
  out.deadline_ms = 10000;
  out.body = "prompt of " + id;
  out.more = {"X-Model: m", "X-Token-Usage: 100," + std::to_string(tokens_out),
              "X-Prefix-Hash: aa:60,bb:40"};
  return out;
}

// One connection of a client.
class Connection {
 public:
  explicit Connection(const std::string& address)
      : fd_(ConnectTo(address)), reader_(fd_) {}
  ~Connection() {
    if (fd_ >= 0) close(fd_);
  }
  bool open() const { return fd_ >= 0; }
  bool Send(const Ask& ask) {
    Note("client sends %s (%s %s)", ask.id.c_str(), ask.method.c_str(),
         ask.path.c_str());
    return SendAll(fd_, ask.Bytes());
  }
  Message Read(const std::string& id, double seconds,
               const std::function<void(const Message&)>& on_piece = {}) {
    Message out = reader_.Read(false, Now() + seconds, on_piece);
    Note("client of %s gets %s, body %s (%zu bytes)%s", id.c_str(),
         out.first.empty() ? "no answer" : out.first.c_str(),
         out.complete ? "whole" : "not whole", out.body.size(),
         out.reset ? ", connection reset"
                   : (out.closed ? ", connection closed" : ""));
    return out;
  }
  Reader& reader() { return reader_; }
  int fd() const { return fd_; }

 private:
  int fd_;
  Reader reader_;
};

inline Message Exchange(const std::string& address, const Ask& ask,
                        double seconds) {
  Connection it(address);
  if (!it.open()) {
    Note("client of %s has no connection", ask.id.c_str());
    return {};
  }
  it.Send(ask);
  return it.Read(ask.id, seconds);
}

// --- A configuration ---------------------------------------------------------

inline Json Route(const std::string& name, const std::string& prefix,
                  const std::string& kind, const std::string& service,
                  int timeout_ms, int latency_ms, int attempts) {
  Json out = {{"name", name},
              {"host", kHost},
              {"path-prefix", prefix},
              {"kind", kind},
              {"timeout-ms", timeout_ms},
              {"target-latency-ms", latency_ms},
              {"priority", 1},
              {"service", service},
              {"max-attempts", attempts},
              {"public", false}};
  if (kind == "streaming") {
    out["sticky"] = true;
    out["resumable"] = attempts > 1;
    out["target-gap-ms"] = 400;
  }
  return out;
}

inline Json Config(int version, long long prepaid = 4552040) {
  return {{"version", version},
          {"routes",
           {Route("r-chat", "/chat/", "streaming", "llm", 15000, 600, 2),
            Route("r-once", "/once/", "streaming", "llm", 6000, 800, 1),
            Route("r-sign", "/sign/", "non_idempotent", "desk", 5000, 300, 1),
            Route("r-fetch", "/fetch/", "idempotent", "desk", 5000, 300, 2)}},
          {"services",
           {{{"name", "llm"},
             {"health-path", "/health"},
             {"max-connections", 360},
             {"protocol", "h1"},
             {"tls", false},
             {"engine",
              {{"slots", 64}, {"kv-capacity", 418121}, {"stride", 3}}}},
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
          {"tenants",
           {{{"name", "hule930"},
             {"api-keys", {"key-a", "key-b"}},
             {"priority", 1},
             {"prepaid", prepaid}},
            {{"name", "zori11"},
             {"api-keys", {"key-z"}},
             {"priority", 1},
             {"prepaid", prepaid}}}}};
}

// A folder that is removed at the end, unless KEEP_LOGS is set.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/review-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() { Remove(); }
  void Remove() const {
    if (std::getenv("KEEP_LOGS") != nullptr) {
      std::printf("logs in %s\n", path_.c_str());
      return;
    }
    const std::string command = "rm -rf '" + path_ + "'";
    if (std::system(command.c_str()) != 0) std::printf("%s stays\n", path_.c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Ends the program; threads of stand-ins may still run.
[[noreturn]] inline void Finish(const Folder& logs, int code) {
  Note("%s", code == kBroken  ? "the rule was broken"
             : code == kHeld ? "the rule held"
                             : "the case could not run");
  logs.Remove();
  std::fflush(nullptr);
  _exit(code);
}

inline std::string Binary() {
  const char* it = std::getenv("QUAYTRACK_BINARY");
  return it == nullptr ? "../../target/quaytrack" : it;
}

}  // namespace rig

#endif  // REVIEW_COMMON_2_RIG_HPP_
