// A stream whose answer has neither a length nor chunks is carried through a
// peer, and the peer's process is killed.

#include <csignal>
#include <filesystem>
#include <fstream>

#include "review/common/site.hpp"

namespace quaytrack::review {
namespace {

constexpr int kEvents = 60;  // 3 s at 50 ms
constexpr int kStepMs = 50;
constexpr double kCutFrom = 4, kKillAt = 7, kBackAt = 8, kCutTo = 9;
constexpr double kTrafficTo = 12, kEnd = 17;

struct Sent {
  TryPtr it;
  bool judged = false;
};

int Run(const std::string& folder) {
  Site site(folder + "/record.txt");
  const bool trouble = Site::TroubleIsOn();
  if (!site.StartStore()) return 2;
  for (int n = 1; n <= 3; ++n) {
    const std::string zone = std::string("bkk-") + "abc"[n - 1];
    if (!site.StartTarget("i-e" + std::to_string(n), "llm", zone, true,
                          kStepMs))
      return 2;
    // Its answers end with their connection, as PROTOCOL.md and RULES.md allow.
    site.Control("i-e" + std::to_string(n),
                 "mode?mode=unframed&after=0&count=1000000");
  }
  site.PutItem("op/config", Config(1, {{"hule", 10000000}}).dump());
  const std::string cut = "front-bkk-a-1";
  const std::string killed_vm = "front-bkk-a-2";
  const std::vector<std::pair<std::string, std::string>> machines = {
      {cut, "bkk-a"},
      {killed_vm, "bkk-a"},
      {"front-bkk-a-3", "bkk-a"},
      {"front-bkk-b-1", "bkk-b"},
      {"front-bkk-b-2", "bkk-b"},
      {"front-bkk-c-1", "bkk-c"},
      {"front-bkk-c-2", "bkk-c"}};
  for (const auto& [vm, zone] : machines) {
    const std::string links = vm == cut ? site.LinksFile(vm) : "";
    if (!site.StartRelay(vm, zone, links)) return 2;
  }
  for (const auto& [vm, zone] : machines) {
    if (!site.WaitReady(vm)) return 2;
    site.Watch(vm, zone);
  }
  site.WaitFor([&] { return site.LogCount("peer_linked") >= 42; },
               std::chrono::seconds(10));
  site.StartClock();
  site.Note(trouble ? "the day begins" : "the day begins, without trouble");

  std::vector<Sent> sent;
  int n = 0;
  double next = 0.5;
  bool is_cut = false, killed = false, back = false, healed = false;
  site.RunUntil(kEnd, [&] {
    const double now = site.Now();
    if (now >= next && now < kTrafficTo) {
      next += 0.125;
      const std::string id = "rq-" + std::to_string(++n);
      // The clients of this day meet the machine that will be cut off.
      const auto it = site.Send(
          cut, id,
          StreamBytes("/review/x", id, "key-hule", 1460, 3 * kEvents, 12000));
      sent.push_back({it});
    }
    if (!trouble) return;
    if (!is_cut && now >= kCutFrom) {
      is_cut = true;
      std::ofstream(site.LinksFile(cut)) << "reset\n";
      site.Note("the links of " + cut + " to the runners are cut");
    }
    if (!killed && now >= kKillAt) {
      killed = true;
      site.Kill(killed_vm, SIGKILL);
      site.Note("the process of " + killed_vm + " is killed");
    }
    if (!back && now >= kBackAt) {
      back = true;
      site.StartRelay(killed_vm, "bkk-a");
      site.Note(killed_vm + " is started again");
    }
    if (!healed && now >= kCutTo) {
      healed = true;
      std::ofstream(site.LinksFile(cut)) << "pass\n";
      site.Note("the cut heals");
    }
  });

  int whole = 0, early = 0, cut_off = 0, refused = 0;
  for (const Sent& s : sent) {
    const Try& it = *s.it;
    const int events = it.Events();
    const bool looks_whole = it.served();
    const bool is_early = looks_whole && events != kEvents;
    if (is_early) ++early;
    if (looks_whole && !is_early) ++whole;
    if (!looks_whole && it.status == 200) ++cut_off;
    if (it.status != 200) ++refused;
    char line[200];
    std::snprintf(line, sizeof line,
                  "%s sent %.3f ended %.3f status %d events %d of %d %s%s",
                  it.id.c_str(), it.sent_s, it.ended_s, it.status, events,
                  kEvents, it.complete ? "ended as complete" : "cut visibly",
                  is_early ? "  <-- BROKEN" : "");
    site.Note(line);
  }
  for (const auto& run : site.Executions("target")) {
    site.Note("run " + run["id"].get<std::string>() + " at " +
              run["target"].get<std::string>() + " from '" +
              run["from"].get<std::string>() + "' events " +
              std::to_string(run["events"].get<int>()) + " " +
              run["ended"].get<std::string>());
  }
  site.Note("streams " + std::to_string(sent.size()) + ": whole " +
            std::to_string(whole) + ", visibly cut " + std::to_string(cut_off) +
            ", refused " + std::to_string(refused) +
            ", ended as complete before their last event " +
            std::to_string(early));
  std::printf("ended as complete before the last event: %d of %zu\n", early,
              sent.size());
  if (sent.empty() || whole == 0) return 2;
  return early > 0 ? 1 : 0;
}

}  // namespace
}  // namespace quaytrack::review

int main(int argc, char** argv) {
  return quaytrack::review::Run(argc > 1 ? argv[1] : ".");
}
