// Case 4: one spoiled answer of one runner ends a relay's process.
//
// Three relays, six runners. Six callers have a call that must run once in
// flight at sound runners, through relay 1, on connections that have carried a
// request before. Streams come all the time, and one of three model runners
// spoils one of its answers, less than 0.05 of them: a span of its bytes is lost,
// from behind "id: 2" to before the end of event 4.

#include "rig.hpp"

using namespace rig;

namespace {

constexpr int kEvents = 20;

// The chunks of the events 2 to 6, of which a span of bytes is lost.
std::string SpoiledBytes(const std::string& of) {
  std::string out;
  for (int id = 2; id <= 6; ++id) out += Chunk(EventText(id, of));
  const std::size_t from = out.find("id: 2") + 5;
  const std::size_t to = out.find("-4\n\n") + 1;
  return out.erase(from, to - from);
}

constexpr int kCallers = 6;
// Streams before the spoiled answer, and with it.
constexpr int kStreams = 120;
constexpr int kLastStreams = 12;

}  // namespace

int main() {
  Folder logs;
  Store store;
  std::atomic<bool> may_spoil{false};
  std::atomic<int> spoiled{0};

  const auto stream = [&](Runner& self, int fd, const Message&, Run& run) {
    SendAll(fd, self.Head(200, run.id, true, kStreamFraming));
    for (int id = std::atoi(run.last_event.c_str()) + 1; id <= kEvents; ++id) {
      SleepS(0.02);
      int none = 0;
      const bool spoils = id == 2 && self.name() == "i-1" && may_spoil &&
                          spoiled.compare_exchange_strong(none, 1);
      if (spoils) {
        Note("i-1 spoils its answer to %s", run.id.c_str());
        SendAll(fd, SpoiledBytes(run.id));
        SleepS(1);
        close(fd);
        return false;
      }
      if (!SendAll(fd, Chunk(EventText(id, run.id)))) {
        close(fd);
        return false;
      }
    }
    return SendAll(fd, "0\r\n\r\n");
  };
  const auto call = [](Runner& self, int fd, const Message&, Run& run) {
    SleepS(0.45);
    return self.SendWhole(fd, run.id, "done " + run.id);
  };

  if (!store.Start()) return kNotRun;
  std::vector<std::unique_ptr<Runner>> runners;
  for (int n = 1; n <= 3; ++n) {
    runners.push_back(
        std::make_unique<Runner>("i-" + std::to_string(n), "llm"));
    runners.back()->Start(stream);
    runners.back()->Register(store);
    runners.push_back(
        std::make_unique<Runner>("i-d" + std::to_string(n), "desk"));
    runners.back()->Start(call);
    runners.back()->Register(store);
  }
  store.Put("op/config", Config(7).dump());
  std::vector<std::unique_ptr<Relay>> relays;
  for (const char* zone : {"bkk-a", "bkk-b", "bkk-c"}) {
    relays.push_back(std::make_unique<Relay>(
        Binary(), std::string("front-") + zone + "-1", zone));
    if (!relays.back()->Start(store.address(), logs.path())) return kNotRun;
  }
  for (const auto& it : relays)
    if (!it->AwaitReady(15)) return kNotRun;
  SleepS(4);  // longer than contact-ms
  const std::string front = relays[0]->front();

  const auto ask_stream = [&](int n) {
    Ask ask = Stream("chat-" + std::to_string(n), "/chat/x", kEvents * 3);
    ask.more[2] = "X-Prefix-Hash: a" + std::to_string(n) + ":60,b" +
                  std::to_string(n) + ":40";
    return Exchange(front, ask, 8);
  };
  std::vector<std::thread> early;
  for (int thread = 0; thread < kLastStreams; ++thread) {
    early.emplace_back([&, thread] {
      for (int n = thread; n < kStreams; n += kLastStreams) ask_stream(n);
    });
  }
  for (std::thread& it : early) it.join();

  std::vector<std::thread> threads;
  std::atomic<int> unanswered{0};
  std::atomic<int> warm{0};
  for (int n = 0; n < kCallers; ++n) {
    threads.emplace_back([&, n] {
      Connection connection(front);
      Ask first;
      first.id = "first-" + std::to_string(n);
      first.method = "GET";
      first.path = "/fetch/x";
      connection.Send(first);
      if (connection.Read(first.id, 5).status() == 200) ++warm;
      Ask sign;
      sign.id = "sign-" + std::to_string(n);
      sign.path = "/sign/x";
      connection.Send(sign);
      const Message answer = connection.Read(sign.id, 6);
      if (!answer.complete && answer.closed) ++unanswered;
    });
  }
  SleepS(0.6);
  may_spoil = Trouble();
  for (int n = 0; n < kLastStreams; ++n)
    threads.emplace_back([&, n] { ask_stream(kStreams + n); });
  for (std::thread& it : threads) it.join();

  int sound_runs = 0;
  for (const auto& it : runners)
    for (const Run& run : it->Runs())
      if (run.id.rfind("sign-", 0) == 0) ++sound_runs;
  Note("answers of i-1: %zu", runners[0]->Runs().size());
  std::string how;
  bool ended = false;
  for (int i = 0; i < 20 && !(ended = relays[0]->HasEnded(how)); ++i)
    SleepS(0.05);
  Note("relay 1 %s %s", ended ? "has ended by itself:" : "runs", how.c_str());
  Note("spoiled answers: %d; calls that run once, at sound runners: %d; of "
       "their callers, on kept connections, closed on without an answer: %d",
       spoiled.load(), sound_runs, unanswered.load());
  for (const auto& it : relays) it->Kill();
  if (warm < kCallers || (Trouble() && spoiled == 0)) Finish(logs, kNotRun);
  // LOST: more than three times.
  Finish(logs, unanswered > 3 ? kBroken : kHeld);
}
