// MemoryGuard bounds what this router buffers for all callers and targets. It
// passes what is buffered to dispatch/memory_pressure.h, which decides, and
// carries out the decisions.
//
//   MemoryGuard memory({loop, clock, callers, targets, requests, metrics},
//                      memory_mb);
//   memory.Start();
//   if (unsent > memory.UnsentLimit(false)) ...      // pause the target
//
// Buffers count themselves (net/held_bytes.h). An alarm of that count, and a
// timer while memory is watched, start a check: all connections that hold bytes
// are listed with their customers and their progress, and those that the
// decision names are cut. A running request is ended with the cause
// `memory_full`: a stream is cut, a request that hasn't run gets 503, another
// 502; it is charged like any request that ends so. A connection whose last
// answer is still unread is reset; its request has been charged.
//
// Without a known size of the memory, nothing is bounded and no timer runs.
//
// Owns the decision's state and the alarm. Its parts must
// outlive it. It fails only in that there may be nothing to cut; then
// `memory_state` and the gauges show what is held.

#ifndef QUAYTRACK_RELAY_MEMORY_GUARD_H_
#define QUAYTRACK_RELAY_MEMORY_GUARD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/memory_pressure.h"
#include "http/caller_server.h"
#include "http/target_connection.h"
#include "net/loop.h"
#include "relay/relay_metrics.h"
#include "relay/running_requests.h"

namespace quaytrack {

class MemoryGuard {
 public:
  struct Parts {
    Loop& loop;
    const Clock& clock;
    CallerServer& callers;
    TargetConnections& targets;
    const RunningRequests& requests;
    RelayMetrics& metrics;
  };

  // `megabytes`: memory of the VM; 0 if unknown.
  MemoryGuard(const Parts& parts, double megabytes);
  ~MemoryGuard();
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  // Sets the rules for callers' connections, and starts to watch.
  void Start();

  bool on() const { return pressure_.on(); }
  std::size_t held() const { return parts_.loop.held().total(); }
  std::size_t bound() const { return pressure_.bound(); }
  // Unsent bytes for one caller beyond which its target is paused.
  std::size_t UnsentLimit(bool in_full) const {
    return pressure_.UnsentLimit(held(), in_full);
  }
  // Whether a target may be read on although its caller doesn't read.
  bool MayReadInFull() const { return pressure_.MayReadInFull(held()); }

  // Logs the refusal of a request whose body has `bytes`, or more.
  void LogRefused(const RequestId& request, const CustomerName& customer,
                  std::size_t bytes);

 private:
  // What is buffered for one connection, and whose it is.
  struct Owner {
    std::shared_ptr<CallerConnection> caller;
    // Null if no request of the caller is running.
    std::shared_ptr<RelayedRequest> request;
  };
  // Limits the lines of one event.
  class LineLimit {
   public:
    // Whether a line may be written now; if so, `skipped` gets the number of
    // lines left out before it.
    bool Take(Instant now, int& skipped);

   private:
    Instant second_{};
    int lines_ = 0;
    int skipped_ = 0;
  };

  void OnAlarm();
  void SetAlarm();
  void CheckState();
  void Check();
  std::vector<Owner> ListOwners(std::vector<MemoryHolder>& holders) const;
  void Cut(const Owner& owner, const MemoryHolder& holder, const MemoryCut& it);

  const Parts parts_;
  MemoryPressure pressure_;
  std::unique_ptr<Timer> timer_;
  bool check_posted_ = false;
  LineLimit refused_lines_;
  LineLimit cut_lines_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_MEMORY_GUARD_H_
