// Counts the bytes that the buffers of a loop's connections hold, so that the
// memory they take can be bounded (dispatch/memory_pressure.h).
//
//   HeldCount held(loop.held());          // one for each buffer, or group
//   buffer.append(bytes);
//   held.Set(HeapBytes(buffer));          // after each change of its size
//   ...
//   if (loop.held().total() > bound) ...
//
// Counted is the memory that a buffer has allocated, not the bytes in use, as
// the process pays for the former. A count is two additions, and none if the
// allocation is unchanged.
//
// An alarm reports that the total has passed a level. It runs inside the change
// of a buffer, so its action must not touch connections; it can post. Each
// alarm runs once, until it is set again.
//
// A loop owns its HeldBytes, which must outlive the counts. All sizes are in
// bytes. Nothing here fails.

#ifndef QUAYTRACK_NET_HELD_BYTES_H_
#define QUAYTRACK_NET_HELD_BYTES_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace quaytrack {

class HeldBytes {
 public:
  static constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

  std::size_t total() const { return total_; }

  // Runs `action` once when the total exceeds `level`, at once if it does now.
  void SetAlarm(std::size_t level, std::function<void()> action) {
    alarm_level_ = level;
    alarm_ = std::move(action);
    Add(0);
  }

  // Limit on what one read of a socket may return. Smaller reads keep the total
  // from growing far in one turn of the loop.
  std::size_t max_read() const { return max_read_; }
  void SetMaxRead(std::size_t bytes) { max_read_ = bytes; }

 private:
  friend class HeldCount;

  void Add(std::size_t bytes) {
    total_ += bytes;
    if (total_ <= alarm_level_) return;
    alarm_level_ = kNever;
    const auto action = std::exchange(alarm_, nullptr);
    if (action) action();
  }

  std::size_t total_ = 0;
  std::size_t alarm_level_ = kNever;
  std::size_t max_read_ = kNever;
  std::function<void()> alarm_;
};

// The part of a total that one owner of buffers holds.
class HeldCount {
 public:
  explicit HeldCount(HeldBytes& total) : total_(total) {}
  ~HeldCount() { total_.total_ -= bytes_; }
  HeldCount(const HeldCount&) = delete;
  HeldCount& operator=(const HeldCount&) = delete;

  void Set(std::size_t bytes) {
    if (bytes == bytes_) return;
    total_.total_ -= std::exchange(bytes_, bytes);
    total_.Add(bytes);
  }
  std::size_t bytes() const { return bytes_; }

 private:
  HeldBytes& total_;
  std::size_t bytes_ = 0;
};

// Memory that a string has allocated; 0 for one that fits in the object itself.
inline std::size_t HeapBytes(const std::string& it) {
  static const std::size_t kInside = std::string().capacity();
  return it.capacity() > kInside ? it.capacity() : 0;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_HELD_BYTES_H_
