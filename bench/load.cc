// An open-loop load tool.
//
// Requests start at times drawn in advance (Poisson arrivals, fixed seed), not
// when earlier ones have ended, so that a slow system can't slow its own
// measurement down (Schroeder et al., "Open Versus Closed", NSDI 2006). Times
// are taken from when a request was due.
//
//   load --address 127.0.0.1:8080 --rate 200 --seconds 10 --tokens 50 --stream
//
// Prints one JSON object; --csv adds a line to a file. `--pid` also reports the
// processor time and peak memory of a process on this machine meanwhile.

#include <event2/buffer.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

struct LoadFlags {
  std::vector<std::string> addresses;
  std::vector<std::string> keys = {"key-lakhon"};
  std::string service_path;
  double rate = 100;
  double seconds = 5;
  int tokens = 20;
  int prompt_bytes = 200;
  int prefixes = 16;
  bool stream = false;
  std::uint64_t seed = 1;
  int deadline_ms = 0;
  std::vector<int> pids;
  std::string name = "run";
  std::string csv;
};

// Values of one kind; small runs, so all are kept and sorted at the end.
class Sample {
 public:
  void Add(double v) { values_.push_back(v); }
  std::size_t size() const { return values_.size(); }
  double Quantile(double q) {
    if (values_.empty()) return 0;
    std::sort(values_.begin(), values_.end());
    const auto n =
        static_cast<std::size_t>(q * static_cast<double>(values_.size() - 1));
    return values_[n];
  }

 private:
  std::vector<double> values_;
};

// Processor seconds (user and system) that a process has used.
double ProcessorSeconds(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const std::size_t after_name = text.rfind(')');
  if (after_name == std::string::npos) return 0;
  std::istringstream fields(text.substr(after_name + 2));
  constexpr int kUserField = 11;  // counted from the state
  std::string word;
  for (int n = 0; n < kUserField; ++n) fields >> word;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long PeakKilobytes(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:")) return std::atol(line.c_str() + 6);
  }
  return 0;
}

class LoadRun {
 public:
  explicit LoadRun(LoadFlags flags)
      : flags_(std::move(flags)), http_(loop_), random_(flags_.seed) {}

  Json Run() {
    DrawArrivals();
    const double cpu_before = Cpu();
    begun_ = clock_.Now();
    ScheduleNext();
    loop_.Run();
    const double wall = ToSeconds(clock_.Now() - begun_);
    return Report(wall, Cpu() - cpu_before);
  }

 private:
  struct Arrival {
    Duration at{};
    int prefix = 0;
    int key = 0;
  };
  struct Running {
    Instant due{};
    Instant last_event{};
    int events = 0;
    std::string ending;
  };

  double Cpu() const {
    double sum = 0;
    for (int it : flags_.pids) sum += ProcessorSeconds(it);
    return sum;
  }

  void DrawArrivals() {
    std::exponential_distribution<double> gap(flags_.rate);
    std::uniform_int_distribution<int> prefix(0, flags_.prefixes - 1);
    std::uniform_int_distribution<int> key(
        0, static_cast<int>(flags_.keys.size()) - 1);
    for (double at = gap(random_); at < flags_.seconds; at += gap(random_)) {
      arrivals_.push_back({std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(at)),
                           prefix(random_), key(random_)});
    }
  }

  void ScheduleNext() {
    const Instant now = clock_.Now();
    while (next_ < arrivals_.size() && begun_ + arrivals_[next_].at <= now) {
      Send(arrivals_[next_], next_);
      ++next_;
    }
    if (next_ < arrivals_.size()) {
      timer_ = loop_.After(begun_ + arrivals_[next_].at - now,
                           [this] { ScheduleNext(); });
    }
  }

  std::string Body(const Arrival& it, std::size_t n) const {
    std::string prompt = "album " + std::to_string(it.prefix) + " ";
    prompt.resize(static_cast<std::size_t>(flags_.prompt_bytes), 'x');
    prompt += " question " + std::to_string(n);
    const Json message = {{"role", "user"}, {"content", prompt}};
    return Json{{"model", "thai-8b"},
                {"messages", {message}},
                {"max_tokens", flags_.tokens},
                {"stream", flags_.stream}}
        .dump();
  }

  void Send(const Arrival& arrival, std::size_t n) {
    HttpRequest request;
    request.address = flags_.addresses[n % flags_.addresses.size()];
    request.method = "POST";
    request.path = flags_.service_path.empty() ? "/v1/chat/completions"
                                               : flags_.service_path;
    const std::string& key = flags_.keys[static_cast<std::size_t>(arrival.key)];
    request.headers = {{"Authorization", "Bearer " + key},
                       {"Content-Type", "application/json"}};
    if (flags_.deadline_ms > 0) {
      request.headers.push_back(
          {"X-Deadline-Ms", std::to_string(flags_.deadline_ms)});
    }
    request.body = flags_.service_path.empty() ? Body(arrival, n) : "{}";
    auto running = std::make_shared<Running>();
    running->due = begun_ + arrival.at;
    running->last_event = running->due;
    HttpCall::Handlers on;
    if (flags_.stream) {
      on.data = [this, running](evbuffer* data) { OnData(*running, data); };
    }
    on.end = [this, running](const HttpResult& it) { OnEnd(*running, it); };
    http_.Start(std::move(request), std::move(on));
  }

  void OnData(Running& it, evbuffer* data) {
    const Instant now = clock_.Now();
    const std::size_t size = evbuffer_get_length(data);
    std::string text(size, '\0');
    evbuffer_remove(data, text.data(), size);
    for (std::size_t at = text.find("\n\n"); at != std::string::npos;
         at = text.find("\n\n", at + 2)) {
      const double gap = ToSeconds(now - it.last_event);
      (it.events++ == 0 ? first_ : between_).Add(gap);
      it.last_event = now;
    }
    it.ending = text;
  }

  void OnEnd(const Running& it, const HttpResult& result) {
    const bool streamed =
        !flags_.stream || it.ending.find("[DONE]") != std::string::npos;
    if (result.ok() && streamed) {
      ++whole_;
      tokens_ += flags_.stream ? it.events : flags_.tokens;
      total_.Add(ToSeconds(clock_.Now() - it.due));
    } else {
      ++statuses_[result.end == HttpEnd::kComplete ? result.status : 0];
    }
    if (++ended_ == arrivals_.size()) loop_.Stop();
  }

  Json Times(Sample& it) const {
    constexpr double kMs = 1000;
    return {{"n", it.size()},
            {"p50_ms", it.Quantile(0.5) * kMs},
            {"p95_ms", it.Quantile(0.95) * kMs},
            {"p99_ms", it.Quantile(0.99) * kMs},
            {"max_ms", it.Quantile(1) * kMs}};
  }

  Json Report(double wall, double cpu) {
    Json refused = Json::object();
    for (const auto& [status, n] : statuses_) {
      refused[std::to_string(status)] = n;
    }
    Json out = {{"name", flags_.name},   {"sent", arrivals_.size()},
                {"whole", whole_},       {"other", refused},
                {"wall_s", wall},        {"tokens", tokens_},
                {"total", Times(total_)}};
    if (flags_.stream) {
      out["first_token"] = Times(first_);
      out["between_tokens"] = Times(between_);
    }
    if (!flags_.pids.empty()) {
      long peak = 0;
      for (int it : flags_.pids) peak = std::max(peak, PeakKilobytes(it));
      constexpr double kUs = 1e6;
      out["cpu_s"] = cpu;
      out["cpu_us_per_request"] =
          whole_ == 0 ? 0 : cpu * kUs / static_cast<double>(whole_);
      out["cpu_us_per_token"] =
          tokens_ == 0 ? 0 : cpu * kUs / static_cast<double>(tokens_);
      out["peak_kb"] = peak;
    }
    return out;
  }

  LoadFlags flags_;
  SystemClock clock_;
  Loop loop_;
  HttpClient http_;
  std::mt19937_64 random_;
  std::vector<Arrival> arrivals_;
  std::size_t next_ = 0;
  std::size_t ended_ = 0;
  std::size_t whole_ = 0;
  long long tokens_ = 0;
  std::map<int, int> statuses_;
  Sample first_;
  Sample between_;
  Sample total_;
  Instant begun_{};
  std::unique_ptr<Timer> timer_;
};

// Columns of the CSV: a name, and where its value is in the report.
struct Column {
  const char* name;
  const char* pointer;
};

constexpr Column kColumns[] = {
    {"name", "/name"},
    {"sent", "/sent"},
    {"whole", "/whole"},
    {"tokens", "/tokens"},
    {"first_p50_ms", "/first_token/p50_ms"},
    {"first_p99_ms", "/first_token/p99_ms"},
    {"between_p95_ms", "/between_tokens/p95_ms"},
    {"total_p50_ms", "/total/p50_ms"},
    {"total_p99_ms", "/total/p99_ms"},
    {"cpu_us_per_request", "/cpu_us_per_request"},
    {"cpu_us_per_token", "/cpu_us_per_token"},
    {"peak_kb", "/peak_kb"},
};

void AppendCsv(const std::string& path, const Json& report) {
  const bool fresh = !std::ifstream(path).good();
  std::ofstream out(path, std::ios::app);
  const char* comma = "";
  for (const Column& it : kColumns) {
    if (fresh) out << comma << it.name;
    comma = ",";
  }
  if (fresh) out << "\n";
  comma = "";
  for (const Column& it : kColumns) {
    const Json::json_pointer at(it.pointer);
    out << comma;
    if (report.contains(at)) out << report[at];
    comma = ",";
  }
  out << "\n";
}

}  // namespace
}  // namespace quaytrack

int main(int argc, char** argv) {
  using quaytrack::LoadFlags;
  CLI::App app("Open-loop load with Poisson arrivals.", "load");
  LoadFlags flags;
  app.add_option("--address", flags.addresses, "Where to send, in turn")
      ->required()
      ->delimiter(',');
  app.add_option("--key", flags.keys, "Bearer keys, drawn at random")
      ->delimiter(',');
  app.add_option("--service-path", flags.service_path,
                 "A service call instead of model calls");
  app.add_option("--rate", flags.rate, "Requests a second")
      ->check(CLI::Range(0.1, 20000.0));
  app.add_option("--seconds", flags.seconds, "How long to send")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--tokens", flags.tokens, "Tokens of each answer");
  app.add_option("--prompt-bytes", flags.prompt_bytes, "Shared prefix");
  app.add_option("--prefixes", flags.prefixes, "Different prefixes");
  app.add_flag("--stream", flags.stream, "Stream the answers");
  app.add_option("--seed", flags.seed, "Seed of the arrivals");
  app.add_option("--deadline-ms", flags.deadline_ms, "Deadline header");
  app.add_option("--pid", flags.pids, "Processes to account for")
      ->delimiter(',');
  app.add_option("--name", flags.name, "Name of the run");
  app.add_option("--csv", flags.csv, "File to add a line to");
  CLI11_PARSE(app, argc, argv);
  const auto report = quaytrack::LoadRun(flags).Run();
  std::printf("%s\n", report.dump(2).c_str());
  if (!flags.csv.empty()) quaytrack::AppendCsv(flags.csv, report);
  return 0;
}
