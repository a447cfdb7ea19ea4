// MemoryPressure: what may be buffered for callers and targets, and which
// connection is cut when too much is.
//
//   MemoryPressure pressure(bound_bytes);                  // 0: no bound
//   if (!pressure.Admits(held, body_bytes)) ...            // refuse, not run
//   if (unsent > pressure.UnsentLimit(held, false)) ...    // pause the target
//   if (pressure.Update(held)) LogChange(pressure.IsTight());
//   for (const MemoryCut& it : pressure.Check(now, held, holders)) ...
//
// Levels, as shares of the bound:
//   kWatched   from here on progress is observed, and an answer that its caller
//              leaves unread is no longer read in full
//   kTight     less is buffered for each caller, and a request is refused if
//              its body is large compared with what is left
//   1          connections that make no progress are cut, down to kCutTo
//   kHard      connections are cut even if none is without progress
//
// The order of cuts. A holder is what is buffered for one connection. The
// holders are ranked (MemoryRank): an answer whose caller has left it unread
// for kUnreadTime comes first, as its target would soon cut it anyway; then
// other holders without progress for kStallTime; then requests that have waited
// for their target as long, which is not their callers' fault; then those that
// make progress. Within a rank, the customer that holds the most gives first,
// and of its holders the one with the most bytes times the time without
// progress. So a caller that reads slowly but steadily keeps its answer while
// another rests, and a customer that holds little keeps its connections while
// another fills the memory.
//
// Admission. A body may take 1 / kLargeBody of what is left below the bound, so
// the size that is refused shrinks as memory fills, and small requests are
// served on. Bodies of up to kSmallBody are always admitted: they matter less
// than the connection that they arrive on.
//
// Inputs are bytes of buffers (net/held_bytes.h), the time, and a count for
// each holder that rises while it makes progress. Owns only when each holder
// was last seen to make progress. Nothing here fails.

#ifndef QUAYTRACK_DISPATCH_MEMORY_PRESSURE_H_
#define QUAYTRACK_DISPATCH_MEMORY_PRESSURE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/ids.h"

namespace quaytrack {

// Fraction of a VM's memory that buffers may take. The rest is the process
// itself, some 25 MB with 1,000 requests, the unused space of its heap, and the
// kernel's socket buffers.
inline constexpr double kBufferShare = 0.3;

// The order in which holders are cut.
enum class MemoryRank {
  kUnread,        // an answer that its caller has left unread for kUnreadTime
  kStalled,       // no progress for kStallTime
  kAwaitsTarget,  // no progress of its target for kStallTime
  kProgressing,
};

template <>
struct EnumTable<MemoryRank> {
  static constexpr auto kEntries = std::to_array<EnumEntry<MemoryRank>>(
      {{MemoryRank::kUnread, "unread"},
       {MemoryRank::kStalled, "stalled"},
       {MemoryRank::kAwaitsTarget, "awaits_target"},
       {MemoryRank::kProgressing, "progressing"}});
};

// What is buffered for one connection.
struct MemoryHolder {
  // Identifies the holder in later checks.
  std::uint64_t id = 0;
  // Empty if unknown; such a holder counts as a customer of its own.
  CustomerName customer;
  std::size_t held = 0;
  // Rises while bytes move to or from the caller or the target.
  std::uint64_t moved = 0;
  // The target of its answer isn't read, as the caller doesn't read.
  bool is_paused = false;
  // Its request waits for a target, and nothing is unsent to its caller.
  bool awaits_target = false;
};

struct MemoryCut {
  // Position in the vector that was checked.
  std::size_t holder = 0;
  MemoryRank rank = MemoryRank::kProgressing;
  // Bytes that the customer of the holder held in this rank.
  std::size_t customer_held = 0;
  Duration without_progress{};
};

class MemoryPressure {
 public:
  static constexpr double kWatched = 0.5;
  static constexpr double kTight = 0.75;
  // Below this share, memory is no longer tight.
  static constexpr double kEased = 0.6;
  static constexpr double kCutTo = 0.9;
  static constexpr double kHard = 1.15;
  static constexpr std::size_t kLargeBody = 64;
  static constexpr std::size_t kSmallBody = 1024;
  // A caller on a slow link takes a packet every few hundred milliseconds.
  static constexpr Duration kStallTime = std::chrono::milliseconds(500);
  // Targets cut an answer that is left unread for some seconds.
  static constexpr Duration kUnreadTime = std::chrono::seconds(1);
  // Bytes that are buffered for a slow caller before its target is paused.
  static constexpr std::size_t kMaxUnsent = 64 * 1024;
  static constexpr std::size_t kMaxUnsentTight = 8 * 1024;

  // `bound` is in bytes; 0 for no bound.
  explicit MemoryPressure(std::size_t bound) : bound_(bound) {}

  bool on() const { return bound_ > 0; }
  std::size_t bound() const { return bound_; }
  std::size_t Level(double share) const {
    return static_cast<std::size_t>(static_cast<double>(bound_) * share);
  }

  // Whether a request with a body of `body` bytes may be read and run.
  bool Admits(std::size_t held, std::size_t body) const;
  // Largest body that is admitted while `held` is tight.
  std::size_t LargestBody(std::size_t held) const;
  // Unsent bytes for one caller beyond which its target is paused. `in_full`
  // says that the answer is to be read in full.
  std::size_t UnsentLimit(std::size_t held, bool in_full) const;
  // Whether a target may be read on although its caller doesn't read.
  bool MayReadInFull(std::size_t held) const {
    return on() && held < Level(kWatched);
  }
  // Whether progress is to be observed, by calls of `Check`.
  bool IsWatched(std::size_t held) const {
    return on() && held >= Level(kWatched);
  }

  // Returns whether `IsTight` has changed.
  bool Update(std::size_t held);
  bool IsTight() const { return tight_; }

  // Observes the progress of the holders, and returns those to cut, in order.
  // To be called with all holders, several times a second while memory is
  // watched.
  std::vector<MemoryCut> Check(Instant now, std::size_t held,
                               const std::vector<MemoryHolder>& holders);

 private:
  struct Progress {
    std::uint64_t moved = 0;
    Instant since{};
  };

  void Observe(Instant now, const std::vector<MemoryHolder>& holders);
  static MemoryRank RankOf(const MemoryHolder& holder, Duration stalled);

  std::size_t bound_;
  bool tight_ = false;
  // By id of the holder, for the holders of the last check.
  std::unordered_map<std::uint64_t, Progress> progress_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_MEMORY_PRESSURE_H_
