// SettingChecker collects the faults in a program's settings, so that an
// operator sees all of them at once instead of one at each start.
//
//   SettingChecker check;
//   check.Name("--vm", flags.vm);
//   check.Listen("--listen", flags.listen);
//   const auto level = check.Choice<LogLevel>("--log-level", flags.log_level);
//   for (const SettingFault& it : check.Take()) ...
//
// Each fault has the flag, its value and what is allowed. The relay and the
// router check their settings with it before they start anything
// (relay/relay_settings.cc, router/settings.cc). A SettingChecker changes no
// settings and prints nothing.

#ifndef QUAYTRACK_NET_SETTING_CHECK_H_
#define QUAYTRACK_NET_SETTING_CHECK_H_

#include <string>
#include <utility>
#include <vector>

#include "base/enum_table.h"
#include "net/address.h"

namespace quaytrack {

// One invalid setting.
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
  // Checks the name of a VM or a hall. The name becomes a part of incarnations
  // and keys, so the separators used there are refused. The length is limited
  // to catch mistakes.
  void Name(const std::string& flag, const std::string& value) {
    const bool ok = !value.empty() && value.size() <= 64 &&
                    value.find_first_of("@/ \t=") == std::string::npos;
    if (!ok) {
      Add(flag, value, "1 to 64 characters without '@', '/', '=' or spaces");
    }
  }

  // Checks "host:port" (net/address.h); the host isn't checked.
  void Listen(const std::string& flag, const std::string& value) {
    if (!ParseAddress(value)) Add(flag, value, "IP:PORT");
  }

  // Checks that `value` is from `low` to `high`, both inclusive.
  template <class Number>
  void Range(const std::string& flag, Number value, Number low, Number high) {
    if (value >= low && value <= high) return;
    Add(flag, std::to_string(value),
        std::to_string(low) + " to " + std::to_string(high));
  }

  // Returns the value named `text`. If there is none, adds a fault and returns
  // the first value of the enum.
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

  // Adds a fault that the caller has found.
  void Add(const std::string& flag, const std::string& value,
           const std::string& allowed) {
    faults_.push_back({flag, value, allowed});
  }

  // Removes and returns all faults, in the order of the checks.
  std::vector<SettingFault> Take() { return std::move(faults_); }

 private:
  std::vector<SettingFault> faults_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_NET_SETTING_CHECK_H_
