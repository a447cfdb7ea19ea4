// LinkAdmission: how much work this VM takes over its own network link, which
// callers it sends to other VMs, and whether it reports itself ready.
//
//   LinkAdmission link({.bytes_per_s = 1.25e6});
//   link.Observe(now, bytes_in, bytes_out);          // every kObserveInterval
//   if (!link.Admit(now, {customer, urgency, bytes})) Refuse();
//   if (!link.IsReady()) ...                         // for the balancer
//   if (link.WantsMove(now)) link.StartMove(now, connections_by_customer);
//   if (link.EndsConnection(now, customer)) ...      // with its next answer
//
// Problem. The balancer assigns new connections by a hash of the caller, so one
// large customer can saturate the link of one VM while others are idle.
// Refusing alone doesn't help, as refused callers return on open connections;
// and a VM that gets rid of all its callers at once saturates the next VM.
//
// Load. Each direction is smoothed over `kFast`, which shows a saturating link
// within 200 ms, and the busier one over `kSlow`. The offered load adds the
// bytes of refused requests, which were never carried.
//
// Admission. What remains of the link beside other traffic (responses in
// flight, holds, peers) is a token bucket. While customers together request
// more than that, each gets at most the max-min fair level: a customer that
// requests less than the level is always admitted, and the excess of the
// heaviest is refused. Within a customer the more urgent requests may use more
// of its bucket. A request is admitted when the bucket isn't below its limit,
// whatever the size of the request, so large ones aren't refused more often.
//
// Readiness. At an offered load of `move_at` the VM reports itself unready. It
// is ready again when the offered load has been below `ready_below` for a
// period, or below `move_at` for `kSlowReturn` times the period. The latter
// bounds the unready time of a VM whose callers stay on their connections. The
// period doubles with each return to unready soon after it was ready, and is
// halved after a calm period.
//
// Moving callers away. An unready VM ends connections, but only once the
// balancer must have noticed that it is unready (two polls), as a caller would
// otherwise come back to this VM, at the cost of a new connection. From then on
// it ends as large a share of the connections of each customer as exceeds the
// customer's fair level at `move_to`, evenly over `kMoveTime`. So the heaviest
// customers move, and a customer that uses little keeps its connections. The
// callers that stay keep the VM loaded at about `move_to`, so it doesn't turn
// ready, attract the callers again and lose them again. If no VM of the hall
// has free capacity, nobody is moved.
//
// Units: bytes, including headers. Without a known link (`bytes_per_s` 0), all
// requests are admitted and the VM is always ready. Owns its counters; does not
// read the clock; cannot fail.

#ifndef QUAYTRACK_DISPATCH_LINK_ADMISSION_H_
#define QUAYTRACK_DISPATCH_LINK_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/rate.h"
#include "dispatch/link_watch.h"

namespace quaytrack {

// The largest level such that the sum of min(demand, level) is at most
// `capacity`; infinity if all demands fit.
double FairLevel(std::vector<double> demands, double capacity);

struct LinkAdmissionOptions {
  // Capacity of the link in each direction, in bytes a second; 0 if unknown.
  double bytes_per_s = 0;
  // Share of the link that may be used.
  double usable = 0.93;
  // Offered load at which the VM turns unready and callers are moved away, and
  // the load that remains.
  double move_at = 0.5;
  double move_to = 0.45;
  // Offered load below which the VM returns to ready.
  double ready_below = 0.35;
  // How long the load must stay below that; doubles up to the second value.
  Duration period = std::chrono::seconds(1);
  Duration longest_period = std::chrono::seconds(8);
};

class LinkAdmission {
 public:
  // How often `Observe` is called. Several calls fall within the 200 ms in
  // which a saturating link has to be noticed.
  static constexpr Duration kObserveInterval = std::chrono::milliseconds(25);
  // Bytes of a request besides its body: the heads on both sides, a short
  // response and the headers of their packets.
  static constexpr double kRequestOverhead = 1500;
  // Bytes of a refused request that the link has carried: a new connection, the
  // first window with the head, and the refusal.
  static constexpr double kRefusalBytes = 1500;

  struct Request {
    CustomerName customer;
    // 0 is the most urgent.
    int urgency = 0;
    // Bytes that the request adds to each direction.
    double bytes = 0;
  };
  // What decided on a request, for the log.
  struct Facts {
    // Bytes a second that the customer requests, and its fair level; the level
    // is infinite if all requests fit.
    double customer_rate = 0;
    double level = 0;
  };

  explicit LinkAdmission(LinkAdmissionOptions options);

  bool IsOn() const { return options_.bytes_per_s > 0; }

  // Takes the running totals of bytes carried. Returns whether `IsReady` has
  // changed.
  bool Observe(Instant now, double bytes_in, double bytes_out);
  // Admits a request and counts its bytes, or refuses it.
  bool Admit(Instant now, const Request& request);
  Facts FactsOf(Instant now, const CustomerName& customer) const;
  // Whether requests may have to be refused; `Admit` then decides as soon as
  // the head of a request is read, which saves carrying the body.
  bool IsUnderPressure() const;
  // Whether reads from callers have to be paced: incoming bytes fill the link.
  bool IsIncomingFull() const;

  bool IsReady() const { return ready_; }
  // A poll of the balancer has been answered.
  void OnPolled() { polls_ += ready_ ? 0 : 1; }
  // Sets the largest free share of a link among the other VMs of the hall;
  // std::nullopt if unknown.
  void SetHallRoom(std::optional<double> room) { hall_room_ = room; }
  std::optional<double> hall_room() const { return hall_room_; }
  bool HallIsFull() const;

  // Whether a round of moving callers may start.
  bool WantsMove(Instant now) const;
  // Starts a round, given the number of connections by customer. Returns the
  // number of connections that will be ended.
  int StartMove(Instant now, const std::map<CustomerName, int>& connections);
  // Whether the connection of `customer` that is about to get an answer ends
  // with it; counts it as ended if so.
  bool EndsConnection(Instant now, const CustomerName& customer);

  // When a refused caller should retry; `draw` is uniform in [0, 1).
  Duration RetryAfter(int urgency, double draw) const;

  // The free share of the link, 0 to 1.
  double Room() const;
  // Bytes a second that remain for requests beside other traffic.
  double usable_rate() const { return usable_rate_; }
  double load_in() const { return fast_in_.load(); }
  double load_out() const { return fast_out_.load(); }
  double offered_load() const { return offered_.load(); }

  // The most connections that callers may keep open.
  std::size_t MaxConnections() const;

 private:
  struct Customer {
    DecayingRate offered{kCustomerTime};
    // Bytes that it may still send; only used while there is a level.
    double tokens = 0;
    Instant refilled_at{};
  };
  struct Moving {
    int quota = 0;
    int ended = 0;
  };

  static constexpr Duration kFast = std::chrono::milliseconds(80);
  static constexpr Duration kSlow = std::chrono::milliseconds(1000);
  // Smoothing of the load that decides on readiness, and the load over `kSlow`
  // from which that doesn't wait. With `kSlow` alone, the bursts of a normal
  // load of 0.25 to 0.4 made a VM unready for a quarter of the time.
  static constexpr Duration kSustained = std::chrono::milliseconds(2500);
  static constexpr double kSurge = 0.75;
  // Time over which a customer's rate is taken.
  static constexpr Duration kCustomerTime = std::chrono::milliseconds(400);
  // Time over which the traffic besides admitted requests is taken. Requests
  // are counted when admitted and carried up to some 100 ms later.
  static constexpr Duration kOtherTime = std::chrono::milliseconds(300);
  // Burst of the buckets, as time at the full rate: a short burst is carried,
  // as refusing costs the caller a new connection and the link another head.
  static constexpr Duration kBurst = std::chrono::milliseconds(30);
  // The least burst in bytes: three requests of about 9 KB, as they arrive in
  // bursts of about three, which on a very slow link take longer than `kBurst`.
  static constexpr double kLeastBurst = 28e3;
  // Overdraft of the bucket, as time: for the most urgent requests, and for
  // customers below the fair level.
  static constexpr Duration kUrgentOverdraft = std::chrono::milliseconds(15);
  static constexpr Duration kLightOverdraft = std::chrono::milliseconds(120);
  // The part of the link that requests get even if other traffic, such as the
  // heads of refused requests, fills it.
  static constexpr double kLeastUsable = 0.4;
  // From the first load on the link counts as saturated, below the second no
  // longer; meanwhile requests get a smaller part of it, and at least the last.
  static constexpr double kSaturated = 0.95;
  static constexpr double kDrained = 0.9;
  static constexpr double kUsableSaturated = 0.75;
  static constexpr double kLeastSaturated = 0.2;
  // While the load is below this, nothing is refused.
  static constexpr double kPressure = 0.6;
  // Share of the incoming direction from which reads are paced.
  static constexpr double kIncomingFull = 0.85;
  // Polls that the balancer must have missed, and the longest time that it
  // takes: it polls each second, and slow answers add 0.6 s.
  static constexpr int kBalancerPolls = 2;
  static constexpr Duration kBalancerDelay = std::chrono::milliseconds(2600);
  static constexpr Duration kMoveTime = std::chrono::milliseconds(1500);
  // From the end of a round to the next: callers open their new connections,
  // and the load's average settles.
  static constexpr Duration kMovePause = std::chrono::milliseconds(1500);
  // Free share that another VM needs for callers to be moved there, and below
  // which a hall counts as full.
  static constexpr double kRoomToMove = 0.5;
  static constexpr double kNoRoom = 0.1;
  static constexpr int kSlowReturn = 2;
  // A return to unready within this time of being ready counts as flapping;
  // after the second value without one, the period is halved.
  static constexpr Duration kSoon = std::chrono::seconds(5);
  static constexpr Duration kCalm = std::chrono::seconds(10);

  static double BurstAt(double bytes_per_s);
  void Refill(Instant now);
  void RefillCustomer(Instant now, Customer& customer);
  void UpdateLevel(Instant now);
  bool UpdateReadiness(Instant now);
  void TurnUnready(Instant now);
  void TurnReady(Instant now);
  double Limit(int urgency) const;

  LinkAdmissionOptions options_;
  LinkWatch fast_in_;
  LinkWatch fast_out_;
  LinkWatch offered_;
  LinkWatch sustained_;
  // Running totals: bytes of admitted requests and of the refusals themselves,
  // and the bytes of refused requests that were never carried.
  double admitted_ = 0;
  double refused_ = 0;
  // The last totals, for the traffic besides admitted requests.
  std::optional<Instant> observed_at_;
  double last_in_ = 0;
  double last_out_ = 0;
  double last_admitted_ = 0;
  double other_in_ = 0;
  double other_out_ = 0;
  double usable_rate_ = 0;
  bool saturated_ = false;

  double tokens_ = 0;
  std::optional<Instant> refilled_at_;
  std::map<CustomerName, Customer> customers_;
  double level_ = 0;
  double heaviest_ = 0;

  bool ready_ = true;
  Instant changed_at_{};
  int polls_ = 0;
  Duration period_{};
  Instant calm_since_{};
  std::optional<Instant> low_since_;
  std::optional<Instant> moderate_since_;

  std::optional<double> hall_room_;
  std::optional<Instant> moving_since_;
  std::map<CustomerName, Moving> moving_;
};

// The free shares of the links of other routers, as they report them.
class HallRooms {
 public:
  // Values older than this count as unknown: a frozen router sends none.
  static constexpr Duration kMaxAge = std::chrono::seconds(3);

  void SetHall(const VmName& vm, const HallName& hall) {
    if (!hall.empty()) halls_[vm] = hall;
  }
  // `room`: the router's own; `hall_room`: the largest that it knows in its
  // hall, if it is a holder. Negative values are unknown.
  void OnReport(Instant now, const VmName& vm, double room, double hall_room);
  // The largest value reported for the hall; std::nullopt if none is known.
  // With `own_only`, without what holders report of others.
  std::optional<double> Largest(Instant now, const HallName& hall,
                                bool own_only) const;

 private:
  struct Report {
    Instant at{};
    double room = -1;
    double hall_room = -1;
  };
  std::map<VmName, HallName> halls_;
  std::map<VmName, Report> reports_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_LINK_ADMISSION_H_
