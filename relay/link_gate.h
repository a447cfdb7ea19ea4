// LinkGate applies dispatch/link_admission.h to the sockets of the router: it
// measures the VM's link, refuses what doesn't fit, lets bodies in and out in
// turns, ends connections, and bounds their number.
//
//   LinkGate link({loop, clock, dialect, hall, link_mbps}, handlers);
//   callers.SetGate(&link, link.ReceiveBuffer());
//   targets.SetGate(&link);
//   link.Start();
//   if (const auto wait = link.Refuses(request, admission)) ...
//
// A request is decided on once. While the link is under pressure, that is when
// its head has arrived, so that the body of a refused one isn't carried; else
// when it is complete, which costs nothing extra.
//
// Callers' connections have a small receive buffer on a slow link, so that the
// bytes in flight from all callers stay short relative to it; the buffer is
// enlarged for the body of a request that is let in. While incoming bytes fill
// the link, bodies that don't fit the buffer are let in in turns, by customer.
//
// If the link's speed is unknown, nothing is refused, delayed or closed. On a
// fast link the kernel's buffers stay as they are.
//
// Owns the timers and the two queues. Loop, clock and dialect must outlive it.

#ifndef QUAYTRACK_RELAY_LINK_GATE_H_
#define QUAYTRACK_RELAY_LINK_GATE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "config/service_map.h"
#include "dispatch/link_admission.h"
#include "dispatch/send_queue.h"
#include "http/caller_connection.h"
#include "http/caller_gate.h"
#include "http/target_connection.h"
#include "net/loop.h"
#include "relay/admission.h"
#include "relay/dialect.h"
#include "relay/link_monitor.h"
#include "relay/peer_messages.h"

namespace quaytrack {

class LinkGate final : public CallerGate, public SendGate {
 public:
  struct Context {
    Loop& loop;
    const Clock& clock;
    const CallerDialect& dialect;
    HallName hall;
    // Megabits a second of each direction; 0 if unknown.
    double link_mbps = 0;
  };
  struct Handlers {
    std::function<ServiceMapPtr()> map;
    // Whether a planned stop has started; it closes connections by its own
    // rules.
    std::function<bool()> is_stopping;
    std::function<std::map<CustomerName, int>()> connections;
    // Closes idle connections until `most` are left; returns how many.
    std::function<std::size_t(std::size_t most)> close_idle;
  };

  LinkGate(Context context, Handlers handlers);
  ~LinkGate() override;

  void Start();

  // Returns when the caller should retry if the request doesn't fit the link;
  // std::nullopt if it is let in.
  std::optional<Duration> Refuses(const CallerRequest& request,
                                  const Admission& admission);
  bool IsReady() const { return admission_.IsReady(); }
  // The balancer has polled.
  void OnPolled() { admission_.OnPolled(); }
  // Receive buffer of callers' connections in bytes; 0 for the kernel's.
  int ReceiveBuffer() const;

  // A hello or heartbeat of another router.
  void OnPeer(const PeerMessage& message);
  // Fills in the free shares of a heartbeat; `is_holder`: this router is linked
  // to all routers of its hall.
  void Fill(PeerMessage& message, bool is_holder) const;

  const LinkMonitor& monitor() const { return monitor_; }
  const LinkAdmission& admission() const { return admission_; }
  std::size_t waiting_sends() const { return sends_.size(); }
  std::size_t waiting_reads() const { return reads_.size(); }

  Verdict OnHead(const std::shared_ptr<CallerConnection>& caller,
                 CallerRequest& request, std::size_t body_bytes) override;
  bool EndsConnection(const CustomerName& customer) override;
  bool SendsNow(std::size_t bytes) override;
  void Queue(int urgency, const std::string& flow, std::size_t bytes,
             std::function<void()> send) override;

 private:
  using Actions = std::map<SendQueue::Ticket, std::function<void()>>;

  // Time that a body waits at most before it is sent, and before it is read.
  static constexpr Duration kLongestSendWait = std::chrono::milliseconds(50);
  static constexpr Duration kLongestReadWait = std::chrono::milliseconds(250);

  void Observe();
  void Check();
  void UpdateRoom(Instant now);
  void LogReadiness() const;
  std::optional<Duration> Decide(const Admission& admission,
                                 std::size_t body_bytes);
  void LogRefused(Instant now, const Admission& admission, double bytes,
                  Duration retry_after);
  void RunSends();
  void RunReads();
  void Run(SendQueue& queue, Actions& actions, std::unique_ptr<Timer>& timer,
           void (LinkGate::*again)());

  Context context_;
  Handlers on_;
  LinkMonitor monitor_;
  LinkAdmission admission_;
  HallRooms rooms_;
  SendQueue sends_;
  SendQueue reads_;
  Actions send_actions_;
  Actions read_actions_;
  std::unique_ptr<Timer> send_timer_;
  std::unique_ptr<Timer> read_timer_;
  std::unique_ptr<Timer> observe_timer_;
  std::unique_ptr<Timer> check_timer_;
  std::minstd_rand random_{std::random_device{}()};
  // Limits the log lines about refused requests.
  Instant lines_since_{};
  int lines_ = 0;
  int lines_left_out_ = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_LINK_GATE_H_
