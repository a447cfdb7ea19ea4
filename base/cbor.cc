#include "base/cbor.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace quaytrack {
namespace {

// Major types and additional information of RFC 8949, 3.
enum class Major {
  kUnsigned,
  kNegative,
  kBytes,
  kText,
  kArray,
  kMap,
  kTag,
  kSimple,
};
constexpr int kMajorShift = 5;
constexpr std::uint8_t kInfoMask = 0x1F;
constexpr int kFirstSizedInfo = 24;
constexpr int kLastSizedInfo = 27;
constexpr int kIndefiniteInfo = 31;
constexpr std::uint8_t kBreak = 0xFF;

// A container whose items are being read.
struct Container {
  Major major = Major::kArray;
  bool is_indefinite = false;
  // Items that are still to come; unused if it is indefinite.
  std::uint64_t items = 0;
};

bool IsString(Major major) {
  return major == Major::kBytes || major == Major::kText;
}

// Reads one value without building it, and without recursion.
class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : bytes_(bytes) {}

  bool IsBoundedValue() {
    do {
      if (!ReadItem()) return false;
      LeaveFullContainers();
    } while (!open_.empty());
    return bytes_.empty();
  }

 private:
  bool ReadItem() {
    if (bytes_.empty()) return false;
    const auto head = static_cast<std::uint8_t>(bytes_.front());
    bytes_.remove_prefix(1);
    if (head == kBreak) return EndIndefinite();
    const auto major = static_cast<Major>(head >> kMajorShift);
    const int info = head & kInfoMask;
    if (!MayFollow(major, info)) return false;
    if (!open_.empty() && !open_.back().is_indefinite) --open_.back().items;
    if (info == kIndefiniteInfo) return BeginIndefinite(major);
    const auto argument = ReadArgument(info);
    return argument && ReadContent(major, *argument);
  }

  // The chunks of an indefinite string are strings of its type with a length.
  bool MayFollow(Major major, int info) const {
    if (open_.empty() || !IsString(open_.back().major)) return true;
    return major == open_.back().major && info != kIndefiniteInfo;
  }

  std::optional<std::uint64_t> ReadArgument(int info) {
    if (info < kFirstSizedInfo) return static_cast<std::uint64_t>(info);
    if (info > kLastSizedInfo) return std::nullopt;
    const std::size_t size = std::size_t{1} << (info - kFirstSizedInfo);
    if (bytes_.size() < size) return std::nullopt;
    std::uint64_t out = 0;
    for (std::size_t n = 0; n < size; ++n)
      out = out << 8 | static_cast<std::uint8_t>(bytes_[n]);
    bytes_.remove_prefix(size);
    return out;
  }

  bool ReadContent(Major major, std::uint64_t argument) {
    switch (major) {
      case Major::kUnsigned:
      case Major::kNegative:
      case Major::kSimple:
        return true;
      case Major::kBytes:
      case Major::kText:
        if (argument > bytes_.size()) return false;
        bytes_.remove_prefix(argument);
        return true;
      case Major::kArray:
        return Open({major, false, argument});
      case Major::kMap:
        // The double of a larger count might not fit.
        if (argument > bytes_.size()) return false;
        return Open({major, false, 2 * argument});
      case Major::kTag:
        return false;
    }
    return false;
  }

  bool BeginIndefinite(Major major) {
    const bool has_items =
        IsString(major) || major == Major::kArray || major == Major::kMap;
    return has_items && Open({major, true, 0});
  }

  bool EndIndefinite() {
    if (open_.empty() || !open_.back().is_indefinite) return false;
    open_.pop_back();
    return true;
  }

  // Each item takes a byte at least.
  bool Open(const Container& container) {
    if (open_.size() >= kMaxCborDepth) return false;
    if (container.items > bytes_.size()) return false;
    open_.push_back(container);
    return true;
  }

  void LeaveFullContainers() {
    while (!open_.empty() && !open_.back().is_indefinite &&
           open_.back().items == 0) {
      open_.pop_back();
    }
  }

  std::string_view bytes_;
  std::vector<Container> open_;
};

}  // namespace

bool IsBoundedCbor(std::string_view bytes) {
  return Scanner(bytes).IsBoundedValue();
}

}  // namespace quaytrack
