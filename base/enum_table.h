// Names for the values of an `enum class`, kept in one table each.
//
// The names appear in logs, metrics, messages and settings, and are parsed from
// messages and settings. A table is defined next to its enum, so that the table
// is in view when a value is added that needs a name.
//
//   enum class Color { kRed, kBlue };
//   template <>
//   struct EnumTable<Color> {
//     static constexpr auto kEntries = std::to_array<EnumEntry<Color>>(
//         {{Color::kRed, "red"}, {Color::kBlue, "blue"}});
//   };
//   NameOf(Color::kRed);          // "red"
//   FromName<Color>("blue");      // Color::kBlue
//   FromName<Color>("green");     // empty
//
// Look-ups scan the table linearly; tables have a dozen entries. The functions
// neither allocate nor throw.

#ifndef QUAYTRACK_BASE_ENUM_TABLE_H_
#define QUAYTRACK_BASE_ENUM_TABLE_H_

#include <array>
#include <optional>
#include <string_view>

namespace quaytrack {

template <class E>
struct EnumEntry {
  E value;
  std::string_view name;
};

// Specialised for each enum that has names.
template <class E>
struct EnumTable;

template <class E>
concept NamedEnum = requires {
  EnumTable<E>::kEntries;
};

// Returns the name of `value`, or "?" if the table lacks `value`, which is a
// bug.
template <NamedEnum E>
constexpr std::string_view NameOf(E value) {
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.value == value) return it.name;
  }
  return "?";
}

// Returns the value with this name, or std::nullopt if there is none.
template <NamedEnum E>
constexpr std::optional<E> FromName(std::string_view name) {
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.name == name) return it.value;
  }
  return std::nullopt;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_ENUM_TABLE_H_
