// All machines of a small deployment lose power once, in the middle of a day.
// Then tenants are refused with 402 although their prepaid tokens are not used.

#include <csignal>
#include <map>

#include "review/common/site.hpp"

namespace quaytrack::review {
namespace {

constexpr int kEvents = 20, kPrompt = 17000;
constexpr long long kMost = kPrompt + 3 * kEvents;
constexpr double kPowerOffAt = 12, kDarkS = 3;
constexpr double kBackAt = kPowerOffAt + kDarkS;
// bounds.contact-ms: a machine is in touch again this long after its start.
constexpr double kContactS = 3;
constexpr double kSettleS = 1.5;  // bounds.settle_ms
constexpr double kTrafficTo = 72, kEnd = 76, kEveryS = 0.05;
constexpr int kTenants = 10;
// All that the tenant's clients may ask for is 0.95 of this.
constexpr long long kPrepaid =
    static_cast<long long>(kTrafficTo / kEveryS / kTenants * kMost / 0.95);
const char* const kZones[] = {"bkk-a", "bkk-b", "bkk-c"};
const char* const kNames[kTenants] = {"hule", "tamo", "kidi", "powa", "seru",
                                      "vono", "lite", "gaba", "mufi", "zeco"};

struct Sent {
  TryPtr it;
  std::string tenant;
  bool judged = false, wrong = false;
};

int Run(const std::string& folder) {
  Site site(folder + "/record.txt");
  const bool trouble = Site::TroubleIsOn();
  if (!site.StartStore()) return 2;
  for (int n = 0; n < 3; ++n) {
    const std::string e = "i-e" + std::to_string(n + 1);
    if (!site.StartTarget(e, "llm", kZones[n], true, 20)) return 2;
  }
  std::vector<std::pair<std::string, long long>> tenants;
  for (const char* name : kNames) tenants.push_back({name, kPrepaid});
  site.PutItem("op/config", Config(1, tenants).dump());
  std::vector<std::pair<std::string, std::string>> machines;
  for (const char* zone :
       {"bkk-a", "bkk-a", "bkk-a", "bkk-b", "bkk-b", "bkk-c", "bkk-c"}) {
    int same = 1;
    for (const auto& it : machines) same += it.second == zone ? 1 : 0;
    machines.push_back(
        {std::string("front-") + zone + "-" + std::to_string(same), zone});
  }
  for (const auto& [vm, zone] : machines) {
    if (!site.StartRelay(vm, zone)) return 2;
  }
  for (const auto& [vm, zone] : machines) {
    if (!site.WaitReady(vm)) return 2;
    site.Watch(vm, zone);
  }
  site.WaitFor([&] { return site.LogCount("peer_linked") >= 42; },
               std::chrono::seconds(10));
  site.StartClock();
  site.Note(trouble ? "the day begins" : "the day begins, without trouble");
  site.Note("prepaid of each tenant: " + std::to_string(kPrepaid) +
            ", each request at its most: " + std::to_string(kMost));

  std::vector<Sent> all;
  double next = 0.3;
  bool off = false, back = false;
  unsigned draw = 4711;
  int wrong = 0, right = 0, out_of_touch = 0;

  // What a tenant can have got by now, counted against the claim: the prompt of
  // each request that was sent and not refused, and its events; those that run
  // or ended less than settle_ms ago count at their most, and so do those whose
  // connection ended without an answer.
  const auto used = [&](const std::string& tenant, const Try* but) {
    long long out = 0;
    for (const Sent& s : all) {
      const Try& it = *s.it;
      if (s.tenant != tenant || &it == but) continue;
      // These say that the request has not run; anything else may have run.
      const bool refused =
          it.complete && (it.status == 402 || it.status == 503);
      if (refused) continue;
      const bool settled = it.complete && it.status == 200 &&
                           site.Now() - it.ended_s >= kSettleS;
      out += settled ? kPrompt + 3 * std::max(0, it.Events()) : kMost;
    }
    return out;
  };

  site.RunUntil(kEnd, [&] {
    const double now = site.Now();
    if (now >= next && now < kTrafficTo) {
      next += kEveryS;
      const int n = static_cast<int>(all.size());
      draw = draw * 1664525 + 1013904223;
      const std::string vm = site.Pick(kZones[n % 3], draw >> 8);
      const std::string id = "rq" + std::to_string(n + 1);
      const std::string tenant = kNames[n % kTenants];
      Sent s;
      s.tenant = tenant;
      s.it = site.Send(vm, id,
                       StreamBytes("/question/x", id, "key-" + tenant, kPrompt,
                                   3 * kEvents, 15000));
      all.push_back(s);
    }
    for (Sent& s : all) {
      if (s.judged || !s.it->ended()) continue;
      s.judged = true;
      const Try& it = *s.it;
      std::string note = it.id + " of " + s.tenant + " at " + it.node +
                         " sent " + std::to_string(it.sent_s) + " status " +
                         std::to_string(it.status) + " events " +
                         std::to_string(it.Events());
      if (it.complete && it.status == 402) {
        const long long got = used(s.tenant, &it);
        const bool fits = got + kMost <= kPrepaid * 97 / 100;
        const bool in_touch =
            !off || (back && it.sent_s >= kBackAt + kContactS);
        s.wrong = fits && in_touch;
        if (s.wrong) ++wrong;
        if (fits && !in_touch) ++out_of_touch;
        if (!fits) ++right;
        note += "; the tenant has used at most " + std::to_string(got) +
                " of " + std::to_string(kPrepaid) +
                (s.wrong ? "  <-- DENIED" : "");
      }
      if (it.complete && it.status != 200 && it.status != 402)
        note += " " + it.body.substr(0, 60);
      site.Note(note);
      s.it->socket.reset();
    }
    if (trouble && !off && now >= kPowerOffAt) {
      off = true;
      for (const auto& [vm, zone] : machines) site.Kill(vm, SIGKILL);
      site.Note("all machines lose power");
    }
    if (off && !back && now >= kBackAt) {
      back = true;
      for (const auto& [vm, zone] : machines) site.StartRelay(vm, zone);
      site.Note("all machines are back");
    }
  });

  int served = 0;
  for (const Sent& s : all) served += s.it->served() ? 1 : 0;
  const int total = static_cast<int>(all.size());
  // DENIED: more than 5 + one in 500 of all requests.
  const double bound = 5 + total / 500.0;
  std::map<std::string, long long> delivered;
  std::map<std::string, bool> prompts;
  for (const auto& run : site.Executions("target")) {
    long long& it = delivered[run["customer"].get<std::string>()];
    it += 3 * run["events"].get<int>();
    if (!std::exchange(prompts[run["id"].get<std::string>()], true))
      it += kPrompt;
  }
  for (const auto& [tenant, tokens] : delivered) {
    site.Note("by the runners' records " + tenant + " got " +
              std::to_string(tokens) + " of " + std::to_string(kPrepaid) +
              " prepaid tokens");
  }
  char line[256];
  std::snprintf(line, sizeof line,
                "requests %d, served %d; 402 though it fits: %d in touch "
                "(bound %.1f), %d out of touch; other 402: %d",
                total, served, wrong, bound, out_of_touch, right);
  site.Note(line);
  std::printf("%s\n", line);
  if (served < total / 4) return 2;
  return wrong > bound ? 1 : 0;
}

}  // namespace
}  // namespace quaytrack::review

int main(int argc, char** argv) {
  return quaytrack::review::Run(argc > 1 ? argv[1] : ".");
}
