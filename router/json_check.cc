#include "router/json_check.h"

#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace quaytrack {
namespace {

using Json = nlohmann::json;

// Receives the parser's events; returning false stops it.
class Checker : public nlohmann::json_sax<Json> {
 public:
  const std::optional<JsonFault>& fault() const { return fault_; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }

  bool start_object(std::size_t) override { return Open(); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    if (keys_.back().insert(name).second) return true;
    fault_ = JsonFault{name, "'" + name + "' is given twice in one object"};
    return false;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const Json::exception&) override {
    fault_ = JsonFault{"body",
                       "is not valid JSON at byte " + std::to_string(position)};
    return false;
  }

 private:
  bool Open() {
    keys_.emplace_back();
    if (keys_.size() <= kMaxJsonDepth) return true;
    fault_ = JsonFault{"body", "is nested more than " +
                                   std::to_string(kMaxJsonDepth) + " deep"};
    return false;
  }
  bool Close() {
    keys_.pop_back();
    return true;
  }

  std::vector<std::set<std::string>> keys_;
  std::optional<JsonFault> fault_;
};

}  // namespace

std::optional<JsonFault> CheckJson(std::string_view text) {
  Checker checker;
  Json::sax_parse(text.begin(), text.end(), &checker);
  return checker.fault();
}

}  // namespace quaytrack
