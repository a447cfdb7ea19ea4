#include "bundle/line.h"

#include <algorithm>
#include <sstream>

#include "base/parse_number.h"

namespace quaytrack {
namespace {

struct SpanUnit {
  std::string_view suffix;
  std::int64_t millis;
};

// Longer suffixes come first, as "ms" ends in "s".
constexpr SpanUnit kSpanUnits[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60 * 1000}, {"h", 3600 * 1000}};

constexpr std::int64_t kMaxSpanMillis = 30LL * 24 * 3600 * 1000;

}  // namespace

BundleLine::BundleLine(int number, std::string_view text,
                       std::vector<BundleProblem>& problems)
    : number_(number), problems_(&problems) {
  std::istringstream in{std::string(text.substr(0, text.find('#')))};
  for (std::string word; in >> word;) words_.push_back(word);
  if (words_.empty()) return;
  kind_ = words_[0];
  std::size_t first_field = 1;
  if (words_.size() > 1 && words_[1].find('=') == std::string::npos) {
    name_ = words_[1];
    first_field = 2;
  }
  for (std::size_t n = first_field; n < words_.size(); ++n) {
    ReadField(words_[n]);
  }
}

void BundleLine::ReadField(const std::string& word) {
  const std::size_t eq = word.find('=');
  if (eq == std::string::npos || eq == 0) {
    Problem(word, "is not of the form name=value");
    return;
  }
  const std::string field = word.substr(0, eq);
  if (!fields_.emplace(field, word.substr(eq + 1)).second) {
    Problem(field, "is given twice");
  }
}

std::string BundleLine::Text(const std::string& field) {
  std::string out = OptionalText(field);
  if (out.empty()) Problem(field, "is missing");
  return out;
}

std::string BundleLine::OptionalText(const std::string& field) {
  read_fields_.insert(field);
  auto it = fields_.find(field);
  return it == fields_.end() ? std::string() : it->second;
}

std::int64_t BundleLine::ReadNumber(const std::string& field,
                                    const std::string& text, std::int64_t low,
                                    std::int64_t high) {
  const auto out = ParseNumber<std::int64_t>(text);
  if (!out || *out < low || *out > high) {
    Problem(field, "is '" + text + "'; allowed: a whole number from " +
                       std::to_string(low) + " to " + std::to_string(high));
    return low;
  }
  return *out;
}

std::int64_t BundleLine::Number(const std::string& field, std::int64_t low,
                                std::int64_t high) {
  const std::string text = Text(field);
  return text.empty() ? low : ReadNumber(field, text, low, high);
}

std::int64_t BundleLine::Number(const std::string& field, std::int64_t low,
                                std::int64_t high, std::int64_t fallback) {
  const std::string text = OptionalText(field);
  return text.empty() ? fallback : ReadNumber(field, text, low, high);
}

std::chrono::milliseconds BundleLine::Span(const std::string& field,
                                           std::chrono::milliseconds fallback) {
  const std::string text = OptionalText(field);
  if (text.empty()) return fallback;
  for (const SpanUnit& it : kSpanUnits) {
    if (!text.ends_with(it.suffix)) continue;
    const std::string number = text.substr(0, text.size() - it.suffix.size());
    const std::int64_t max = kMaxSpanMillis / it.millis;
    return std::chrono::milliseconds(ReadNumber(field, number, 0, max) *
                                     it.millis);
  }
  Problem(field, "is '" + text + "'; allowed: a number with ms, s, m or h");
  return fallback;
}

std::vector<std::string> BundleLine::List(const std::string& field) {
  std::vector<std::string> out;
  std::istringstream in(OptionalText(field));
  for (std::string it; std::getline(in, it, ',');) {
    if (it.empty()) {
      Problem(field, "has an empty element");
    } else {
      out.push_back(it);
    }
  }
  return out;
}

void BundleLine::Problem(const std::string& field, std::string message) {
  problems_->push_back({number_, field, std::move(message)});
}

void BundleLine::Finish() {
  for (const auto& [field, value] : fields_) {
    if (!read_fields_.contains(field)) {
      Problem(field, "is not a field of '" + kind_ + "'");
    }
  }
}

}  // namespace quaytrack
