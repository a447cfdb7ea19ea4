// One line of a bundle text, split into its kind, name and fields.
//
//   BundleLine line(1, "budget clinics limit=1000", problems);
//   const auto limit = line.Number("limit", 0, 5000);
//   line.Finish();
//
// `BundleLine` returns typed fields and records a problem for each that is
// missing, malformed or out of range; `Finish` records a problem for each field
// that wasn't read. Numbers outside [low, high] are out of range.

#ifndef QUAYTRACK_BUNDLE_LINE_H_
#define QUAYTRACK_BUNDLE_LINE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"
#include "bundle/bundle.h"

namespace quaytrack {

class BundleLine {
 public:
  // `problems` must outlive the line.
  BundleLine(int number, std::string_view text,
             std::vector<BundleProblem>& problems);

  bool blank() const { return words_.empty(); }
  int number() const { return number_; }
  const std::string& kind() const { return kind_; }
  const std::string& name() const { return name_; }

  std::string Text(const std::string& field);
  std::string OptionalText(const std::string& field);
  std::int64_t Number(const std::string& field, std::int64_t low,
                      std::int64_t high);
  std::int64_t Number(const std::string& field, std::int64_t low,
                      std::int64_t high, std::int64_t fallback);
  // Reads a duration such as "600s", "5m", "2h" or "250ms".
  std::chrono::milliseconds Span(const std::string& field,
                                 std::chrono::milliseconds fallback);
  // Reads a comma-separated list.
  std::vector<std::string> List(const std::string& field);

  template <NamedEnum E>
  E Choice(const std::string& field, E fallback) {
    const std::string text = OptionalText(field);
    if (text.empty()) return fallback;
    if (auto it = FromName<E>(text)) return *it;
    std::string allowed;
    for (const auto& it : EnumTable<E>::kEntries) {
      if (!allowed.empty()) allowed += ", ";
      allowed += it.name;
    }
    Problem(field, "is '" + text + "'; allowed: " + allowed);
    return fallback;
  }

  void Problem(const std::string& field, std::string message);
  // Records a problem for every field that was given but not read.
  void Finish();

 private:
  void ReadField(const std::string& word);
  std::int64_t ReadNumber(const std::string& field, const std::string& text,
                          std::int64_t low, std::int64_t high);

  int number_;
  std::vector<std::string> words_;
  std::string kind_;
  std::string name_;
  std::map<std::string, std::string> fields_;
  std::set<std::string> read_fields_;
  std::vector<BundleProblem>* problems_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_BUNDLE_LINE_H_
