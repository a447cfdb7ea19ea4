// A simulation of VMs with slow links, their balancer and their callers, in
// steps of a millisecond: plain code without network.
//
//   LinkFleet fleet({.links = {1.25e6, 3e6, 3e6}});
//   const int big = fleet.AddCustomer({.name = "big", .rate = ..., ...});
//   fleet.Run(10s);
//   BOOST_TEST(fleet.customer(big).InTimeShare() > 0.95);
//
// Links carry bytes in order, each direction of a VM by itself. A caller sends
// the first window of a request, with its head. A VM decides as soon as that
// has arrived; of an admitted request, it then makes room for the rest, which
// leaves a round trip later. The body then goes to a target, whose response
// comes back after a fixed time.
//
// The balancer assigns a new connection by the hash of the customer, so that
// all callers of one customer prefer the same VM; it polls each VM every
// second, skips one after two misses, and uses all while fewer than half are
// ready. A refused caller retries once, on a new connection to another VM.
// Callers keep their connection unless its answer closes it.

#ifndef QUAYTRACK_DISPATCH_TESTING_LINK_FLEET_H_
#define QUAYTRACK_DISPATCH_TESTING_LINK_FLEET_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/link_admission.h"

namespace quaytrack {

struct LinkFleetOptions {
  // Capacity of each VM's link in each direction, in bytes a second.
  std::vector<double> links;
  // Whether the VMs decide by LinkAdmission; if not, they only turn unready at
  // a load of 0.6, as the relay did before.
  bool admits = true;
  double window = 1200;
  std::uint32_t seed = 1;
};

struct SimulatedCustomer {
  std::string name;
  // Requests a second, and callers with a connection each.
  double rate = 0;
  int callers = 1;
  double body = 4000;
  int urgency = 1;
  // The VM to which its hash leads first.
  std::size_t first_vm = 0;
  // Oscillation of the rate.
  double swing = 0;
  double swing_period_s = 11;
  // Multiplies the rate from a time on, until another.
  double surge = 1;
  double surge_from_s = 0;
  double surge_to_s = 0;
};

struct CustomerResult {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int refused_twice = 0;
  // Of those that have ended.
  double InTimeShare() const {
    const int ended = in_time + late + refused_twice;
    return ended == 0 ? 1 : static_cast<double>(in_time) / ended;
  }
};

class LinkFleet {
 public:
  static constexpr double kObjectiveMs = 400;

  explicit LinkFleet(LinkFleetOptions options) : options_(std::move(options)) {
    random_.seed(options_.seed);
    for (const double it : options_.links) {
      LinkAdmissionOptions link;
      link.bytes_per_s = it;
      vms_.emplace_back(link);
    }
  }

  int AddCustomer(SimulatedCustomer it) {
    const int customer = static_cast<int>(customers_.size());
    for (int n = 0; n < it.callers; ++n) {
      callers_.push_back({customer, -1, false, 0});
      customers_callers_[customer].push_back(callers_.size() - 1);
    }
    customers_.push_back(std::move(it));
    results_.emplace_back();
    return customer;
  }

  void Run(Duration d) {
    const std::int64_t end = now_ms_ + d / std::chrono::milliseconds(1);
    for (; now_ms_ < end; ++now_ms_) Step();
  }

  // Starts to count results anew, for requests sent from now on.
  void ResetResults() {
    counted_from_ms_ = now_ms_;
    for (CustomerResult& it : results_) it = {};
    refusal_ms_.clear();
    with_opening_ms_.clear();
    retry_afters_.clear();
    opened_ = 0;
    for (Vm& it : vms_) {
      it.most_carried = 0;
      it.unready_ms = 0;
      it.turned_unready = 0;
      it.saturated_ms = 0;
    }
  }

  const CustomerResult& customer(int n) const {
    return results_[static_cast<std::size_t>(n)];
  }
  // The most bytes carried in any second, in the busier direction, over the
  // capacity.
  double MostCarried(std::size_t vm) const { return vms_[vm].most_carried; }
  double UnreadyShare(std::size_t vm) const {
    return vms_[vm].unready_ms /
           std::max(1.0, static_cast<double>(now_ms_ - counted_from_ms_));
  }
  int TurnedUnready(std::size_t vm) const { return vms_[vm].turned_unready; }
  // Time in which more than 50 ms of incoming bytes waited.
  double SaturatedMs(std::size_t vm) const { return vms_[vm].saturated_ms; }
  // Connections that callers have opened.
  int opened() const { return opened_; }
  int ConnectionsOf(int customer, std::size_t vm) const {
    int out = 0;
    for (const Caller& it : callers_) {
      out += it.customer == customer && it.vm == static_cast<int>(vm) ? 1 : 0;
    }
    return out;
  }
  double RefusalMsAt(double share) const {
    return Quantile(refusal_ms_, share);
  }
  // The same, from the begin of opening a connection if the caller had none.
  double RefusalWithOpeningMsAt(double share) const {
    return Quantile(with_opening_ms_, share);
  }
  double LongestRetryAfterS() const { return Quantile(retry_afters_, 1); }
  std::size_t refusals() const { return refusal_ms_.size(); }
  const std::vector<double>& refusal_times() const { return refusal_ms_; }
  static double Quantile(std::vector<double> all, double share) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    const auto n =
        static_cast<std::size_t>(share * static_cast<double>(all.size() - 1));
    return all[n];
  }
  // The process on the VM is killed and starts again: its connections are cut,
  // and the requests on them are lost.
  void Restart(std::size_t vm) {
    LinkAdmissionOptions link;
    link.bytes_per_s = options_.links[vm];
    vms_[vm].link = LinkAdmission(link);
    vms_[vm].in = {};
    vms_[vm].out = {};
    for (Caller& it : callers_) {
      if (it.vm != static_cast<int>(vm)) continue;
      it.vm = -1;
      it.busy = false;
      ++it.cuts;
    }
  }
  LinkAdmission& link(std::size_t vm) { return vms_[vm].link; }
  void SetReported(std::size_t vm, bool reports) { vms_[vm].reports = reports; }

 private:
  using Action = std::function<void()>;

  struct Packet {
    double bytes = 0;
    Action arrived;
  };
  struct Pipe {
    std::deque<Packet> queue;
    double waiting = 0;
    double carried = 0;
  };
  struct Vm {
    explicit Vm(LinkAdmissionOptions options)
        : link(options),
          before({options.bytes_per_s}),
          bytes_per_s(options.bytes_per_s) {}
    LinkAdmission link;
    LinkWatch before;
    double bytes_per_s;
    Pipe in;
    Pipe out;
    // The balancer's view.
    int misses = 0;
    bool in_use = true;
    bool reports = true;
    double reported_room = 1;
    // Measured.
    double in_a_second_ago = 0;
    double out_a_second_ago = 0;
    double most_carried = 0;
    double unready_ms = 0;
    int turned_unready = 0;
    double saturated_ms = 0;
    std::deque<std::pair<double, double>> history;
  };
  struct Caller {
    int customer = 0;
    // The VM of its open connection; -1 for none.
    int vm = -1;
    bool busy = false;
    // How often its connection was cut.
    int cuts = 0;
  };
  struct Attempt {
    std::size_t caller = 0;
    // The caller's `cuts` when it began.
    int cuts = 0;
    std::int64_t begun_ms = 0;
    std::int64_t attempt_ms = 0;
    // Begin of the request on the open connection.
    std::int64_t sent_ms = 0;
    int attempts = 1;
    double left = 0;
    bool screened = false;
  };
  struct Timed {
    std::int64_t at = 0;
    std::uint64_t order = 0;
    Action action;
    bool operator>(const Timed& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static constexpr std::int64_t kOneWayMs = 3;
  static constexpr std::int64_t kTargetMs = 40;
  static constexpr double kHead = 500;
  static constexpr double kResponse = 900;
  static constexpr double kRefusal = 250;
  static constexpr double kHandshake = 120;
  // Headers of packets and their acknowledgements.
  static constexpr double kHeaders = 1.06;
  // Waiting bytes of a saturated link, as time.
  static constexpr double kSaturatedS = 0.05;
  // Requests arrive in bursts of about 3.
  static constexpr int kBurst = 3;

  Instant Now() const {
    return Instant(std::chrono::hours(1)) + std::chrono::milliseconds(now_ms_);
  }
  bool Counts(std::int64_t begun_ms) const {
    return begun_ms >= counted_from_ms_;
  }
  void After(std::int64_t ms, Action action) {
    timed_.push({now_ms_ + ms, ++order_, std::move(action)});
  }
  void Put(Pipe& pipe, double bytes, Action arrived) {
    pipe.queue.push_back({bytes * kHeaders, std::move(arrived)});
    pipe.waiting += bytes * kHeaders;
  }

  void Step() {
    while (!timed_.empty() && timed_.top().at <= now_ms_) {
      const Action action = timed_.top().action;
      timed_.pop();
      action();
    }
    for (Vm& it : vms_) {
      Carry(it.in, it.bytes_per_s / 1000);
      Carry(it.out, it.bytes_per_s / 1000);
      Measure(it);
    }
    if (now_ms_ % 25 == 0) {
      for (Vm& it : vms_) Observe(it);
    }
    if (now_ms_ % 1000 == 0) Poll();
    if (now_ms_ % 1000 == 500) ReportRooms();
    for (std::size_t n = 0; n < customers_.size(); ++n) Arrive(n);
  }

  void Carry(Pipe& pipe, double budget) {
    while (budget > 0 && !pipe.queue.empty()) {
      Packet& it = pipe.queue.front();
      const double part = std::min(budget, it.bytes);
      it.bytes -= part;
      budget -= part;
      pipe.carried += part;
      pipe.waiting -= part;
      if (it.bytes > 0) return;
      const Action arrived = std::move(it.arrived);
      pipe.queue.pop_front();
      if (arrived) After(kOneWayMs, arrived);
    }
  }

  void Measure(Vm& it) {
    it.history.emplace_back(it.in.carried, it.out.carried);
    if (it.history.size() > 1000) {
      const auto [in, out] = it.history.front();
      it.history.pop_front();
      const double most = std::max(it.in.carried - in, it.out.carried - out);
      it.most_carried = std::max(it.most_carried, most / it.bytes_per_s);
    }
    if (!IsReady(it)) it.unready_ms += 1;
    if (it.in.waiting > kSaturatedS * it.bytes_per_s) it.saturated_ms += 1;
  }

  bool IsReady(const Vm& it) const {
    return options_.admits ? it.link.IsReady() : !it.before.IsBusy();
  }

  void Observe(Vm& it) {
    const bool was = IsReady(it);
    it.before.Observe(Now(), it.in.carried, it.out.carried);
    it.link.Observe(Now(), it.in.carried, it.out.carried);
    if (was && !IsReady(it)) ++it.turned_unready;
    if (!options_.admits || !it.link.WantsMove(Now())) return;
    const auto index = &it - vms_.data();
    std::map<CustomerName, int> open;
    for (const Caller& caller : callers_) {
      if (caller.vm != index) continue;
      ++open[NameOf(caller)];
    }
    it.link.StartMove(Now(), open);
  }

  CustomerName NameOf(const Caller& it) const {
    return CustomerName(customers_[static_cast<std::size_t>(it.customer)].name);
  }

  void Poll() {
    for (Vm& it : vms_) {
      const bool ready = IsReady(it);
      it.link.OnPolled();
      it.misses = ready ? 0 : it.misses + 1;
      if (ready) it.in_use = true;
      if (it.misses >= 2) it.in_use = false;
    }
  }

  // Each VM learns the others' free shares a second late at most.
  void ReportRooms() {
    for (Vm& it : vms_) it.reported_room = it.link.Room();
    for (Vm& it : vms_) {
      std::optional<double> most;
      for (Vm& other : vms_) {
        if (&other == &it || !other.reports) continue;
        most = std::max(most.value_or(0), other.reported_room);
      }
      it.link.SetHallRoom(most);
    }
  }

  // The VM for a new connection; not `except` if there is another.
  std::size_t Choose(std::size_t caller, int except) {
    std::vector<std::size_t> usable;
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      if (vms_[n].in_use) usable.push_back(n);
    }
    if (usable.size() * 2 < vms_.size()) {
      usable.clear();
      for (std::size_t n = 0; n < vms_.size(); ++n) usable.push_back(n);
    }
    const SimulatedCustomer& it =
        customers_[static_cast<std::size_t>(callers_[caller].customer)];
    if (except >= 0) {
      std::erase(usable, static_cast<std::size_t>(except));
      if (usable.empty()) return static_cast<std::size_t>(except);
      return usable[random_() % usable.size()];
    }
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      const std::size_t vm = (it.first_vm + n) % vms_.size();
      if (std::find(usable.begin(), usable.end(), vm) != usable.end())
        return vm;
    }
    return it.first_vm;
  }

  void Arrive(std::size_t n) {
    const SimulatedCustomer& it = customers_[n];
    const double t = static_cast<double>(now_ms_) / 1000;
    double rate =
        it.rate *
        (1 + it.swing * std::sin(2 * std::numbers::pi * t / it.swing_period_s));
    if (t >= it.surge_from_s && t < it.surge_to_s) rate *= it.surge;
    std::poisson_distribution<int> bursts(rate / 1000 / kBurst);
    for (int left = bursts(random_) * kBurst; left > 0; --left) {
      Begin(static_cast<int>(n));
    }
  }

  // A caller without a running request sends; a customer whose callers are all
  // busy gets another one.
  void Begin(int customer) {
    auto& list = customers_callers_[customer];
    std::size_t caller = list.front();
    std::size_t& next = next_caller_[customer];
    bool found = false;
    for (std::size_t n = 0; n < list.size() && !found; ++n) {
      caller = list[next++ % list.size()];
      found = !callers_[caller].busy;
    }
    if (!found) {
      callers_.push_back({customer, -1, false, 0});
      caller = callers_.size() - 1;
      list.push_back(caller);
    }
    callers_[caller].busy = true;
    if (Counts(now_ms_)) ++results_[static_cast<std::size_t>(customer)].sent;
    Attempt attempt;
    attempt.caller = caller;
    attempt.begun_ms = now_ms_;
    attempt.cuts = callers_[caller].cuts;
    Send(attempt, -1);
  }

  void Send(Attempt attempt, int except) {
    Caller& caller = callers_[attempt.caller];
    attempt.attempt_ms = now_ms_;
    attempt.left =
        customers_[static_cast<std::size_t>(caller.customer)].body + kHead;
    attempt.sent_ms = now_ms_;
    if (caller.vm >= 0) return SendWindow(attempt);
    caller.vm = static_cast<int>(Choose(attempt.caller, except));
    ++opened_;
    // The handshake crosses the link too, and takes a round trip.
    Put(vms_[static_cast<std::size_t>(caller.vm)].in, kHandshake,
        [this, attempt] {
          After(2 * kOneWayMs, [this, attempt]() mutable {
            attempt.sent_ms = now_ms_;
            SendWindow(attempt);
          });
        });
  }

  Vm& VmOfAttempt(const Attempt& it) {
    return vms_[static_cast<std::size_t>(callers_[it.caller].vm)];
  }

  // Whether the attempt's connection was cut.
  bool IsLost(const Attempt& it) const {
    return callers_[it.caller].cuts != it.cuts;
  }

  void SendWindow(Attempt attempt) {
    if (IsLost(attempt)) return;
    // As before, callers' connections had the kernel's default window.
    const double window = options_.admits ? options_.window : attempt.left;
    const double part =
        attempt.screened ? attempt.left : std::min(window, attempt.left);
    attempt.left -= part;
    Put(VmOfAttempt(attempt).in, part, [this, attempt] { OnWindow(attempt); });
  }

  LinkAdmission::Request RequestOf(const Attempt& it) const {
    const Caller& caller = callers_[it.caller];
    const SimulatedCustomer& customer =
        customers_[static_cast<std::size_t>(caller.customer)];
    return {NameOf(caller), customer.urgency,
            customer.body + LinkAdmission::kRequestOverhead};
  }

  void OnWindow(Attempt attempt) {
    if (IsLost(attempt)) return;
    Vm& vm = VmOfAttempt(attempt);
    if (options_.admits && !attempt.screened) {
      attempt.screened = true;
      const auto request = RequestOf(attempt);
      if (!vm.link.Admit(Now(), request)) return Refuse(attempt);
    }
    if (attempt.left > 0) {
      return After(2 * kOneWayMs, [this, attempt] { SendWindow(attempt); });
    }
    const SimulatedCustomer& customer =
        customers_[static_cast<std::size_t>(callers_[attempt.caller].customer)];
    const std::size_t vm_index =
        static_cast<std::size_t>(callers_[attempt.caller].vm);
    Put(vm.out, customer.body + kHead, [this, attempt, vm_index] {
      After(kTargetMs, [this, attempt, vm_index] {
        Put(vms_[vm_index].in, kResponse,
            [this, attempt, vm_index] { Answer(attempt, vm_index); });
      });
    });
  }

  void Answer(const Attempt& attempt, std::size_t vm_index) {
    if (IsLost(attempt)) return;
    Vm& vm = vms_[vm_index];
    const Caller& caller = callers_[attempt.caller];
    const bool ends =
        options_.admits && vm.link.EndsConnection(Now(), NameOf(caller));
    Put(vm.out, kResponse, [this, attempt, ends] {
      if (IsLost(attempt)) return;
      Caller& it = callers_[attempt.caller];
      it.busy = false;
      if (ends) it.vm = -1;
      if (!Counts(attempt.begun_ms)) return;
      CustomerResult& result = results_[static_cast<std::size_t>(it.customer)];
      const auto took = static_cast<double>(now_ms_ - attempt.begun_ms);
      ++(took <= kObjectiveMs ? result.in_time : result.late);
    });
  }

  void Refuse(const Attempt& attempt) {
    Vm& vm = VmOfAttempt(attempt);
    std::uniform_real_distribution<double> draw(0, 1);
    const Duration wait =
        vm.link.RetryAfter(RequestOf(attempt).urgency, draw(random_));
    Put(vm.out, kRefusal, [this, attempt, wait] { OnRefused(attempt, wait); });
  }

  void OnRefused(Attempt attempt, Duration wait) {
    if (IsLost(attempt)) return;
    Caller& caller = callers_[attempt.caller];
    if (Counts(attempt.begun_ms)) {
      refusal_ms_.push_back(static_cast<double>(now_ms_ - attempt.sent_ms));
      with_opening_ms_.push_back(
          static_cast<double>(now_ms_ - attempt.attempt_ms));
      retry_afters_.push_back(ToSeconds(wait));
    }
    const int refused_by = std::exchange(caller.vm, -1);
    if (attempt.attempts == 2) {
      caller.busy = false;
      if (!Counts(attempt.begun_ms)) return;
      ++results_[static_cast<std::size_t>(caller.customer)].refused_twice;
      return;
    }
    attempt.attempts = 2;
    attempt.screened = false;
    After(wait / std::chrono::milliseconds(1), [this, attempt, refused_by] {
      if (!IsLost(attempt)) Send(attempt, refused_by);
    });
  }

  LinkFleetOptions options_;
  std::mt19937 random_;
  std::int64_t now_ms_ = 0;
  std::int64_t counted_from_ms_ = 0;
  std::uint64_t order_ = 0;
  std::vector<Vm> vms_;
  std::vector<SimulatedCustomer> customers_;
  std::vector<CustomerResult> results_;
  std::vector<Caller> callers_;
  std::map<int, std::vector<std::size_t>> customers_callers_;
  std::map<int, std::size_t> next_caller_;
  std::priority_queue<Timed, std::vector<Timed>, std::greater<>> timed_;
  std::vector<double> refusal_ms_;
  std::vector<double> with_opening_ms_;
  std::vector<double> retry_afters_;
  int opened_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_TESTING_LINK_FLEET_H_
