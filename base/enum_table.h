// Names for the values of an `enum class`, kept in one table each.
//
// The names go into logs, metrics, messages and settings, and are read back
// from the latter two. A table stands beside its enum, so that whoever adds a
// value sees that it needs a name.
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
// Look-ups go through the whole table; tables have a dozen entries. Nothing is
// allocated and nothing throws.

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

// Specialised beside each enum that has names.
template <class E>
struct EnumTable;

template <class E>
concept NamedEnum = requires {
  EnumTable<E>::kEntries;
};

// The name of `value`; "?" if the table lacks it, which is a mistake.
template <NamedEnum E>
constexpr std::string_view NameOf(E value) {
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.value == value) return it.name;
  }
  return "?";
}

// The value called `name`, if there is one.
template <NamedEnum E>
constexpr std::optional<E> FromName(std::string_view name) {
  for (const auto& it : EnumTable<E>::kEntries) {
    if (it.name == name) return it.value;
  }
  return std::nullopt;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_ENUM_TABLE_H_
