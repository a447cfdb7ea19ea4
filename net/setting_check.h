// SettingChecker collects the faults of one check of settings, so that an
// operator sees all of them at once and not one a start.
//
//   SettingChecker check;
//   check.Name("--vm", flags.vm);
//   check.Listen("--listen", flags.listen);
//   const auto level = check.Choice<LogLevel>("--log-level", flags.log_level);
//   for (const SettingFault& it : check.Take()) ...
//
// Each check names the flag, the value that was given and what is allowed. The
// settings of both programs are checked by it before anything starts
// (relay/relay_settings.cc, router/settings.cc). It changes nothing and prints
// nothing.

#ifndef QUAYTRACK_NET_SETTING_CHECK_H_
#define QUAYTRACK_NET_SETTING_CHECK_H_

#include <string>
#include <utility>
#include <vector>

#include "base/enum_table.h"
#include "net/address.h"

namespace quaytrack {

// One setting that can't be used.
struct SettingFault {
  std::string flag;
  std::string value;
  std::string allowed;

  std::string ToString() const {
    return flag + ": '" + value + "' is not allowed; allowed: " + allowed;
  }
};

class SettingChecker {
 public:
  // A name of a VM or a hall. It becomes part of incarnations and keys, hence
  // the characters that are refused. The length is a bound against mistakes
  // (not measured).
  void Name(const std::string& flag, const std::string& value) {
    const bool ok = !value.empty() && value.size() <= 64 &&
                    value.find_first_of("@/ \t=") == std::string::npos;
    if (!ok) {
      Add(flag, value, "1 to 64 characters without '@', '/', '=' or spaces");
    }
  }

  // "host:port", see net/address.h; the host isn't checked.
  void Listen(const std::string& flag, const std::string& value) {
    if (!ParseAddress(value)) Add(flag, value, "IP:PORT");
  }

  // Both ends are allowed.
  template <class Number>
  void Range(const std::string& flag, Number value, Number low, Number high) {
    if (value >= low && value <= high) return;
    Add(flag, std::to_string(value),
        std::to_string(low) + " to " + std::to_string(high));
  }

  // The value that `text` names; the first one, and a fault, if it names none.
  template <NamedEnum E>
  E Choice(const std::string& flag, const std::string& text) {
    if (const auto it = FromName<E>(text)) return *it;
    std::string allowed;
    for (const auto& it : EnumTable<E>::kEntries) {
      if (!allowed.empty()) allowed += ", ";
      allowed += it.name;
    }
    Add(flag, text, allowed);
    return EnumTable<E>::kEntries[0].value;
  }

  // A fault that a caller has found by itself.
  void Add(const std::string& flag, const std::string& value,
           const std::string& allowed) {
    faults_.push_back({flag, value, allowed});
  }

  // All faults, in the order of the checks; leaves none.
  std::vector<SettingFault> Take() { return std::move(faults_); }

 private:
  std::vector<SettingFault> faults_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_SETTING_CHECK_H_
