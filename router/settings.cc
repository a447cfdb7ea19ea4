#include "router/settings.h"

#include "base/digest.h"

namespace quaytrack {
namespace {

constexpr std::size_t kPublicKeyBytes = 32;
constexpr std::size_t kKilobyte = 1024;

void CheckOperators(const RouterFlags& flags, SettingChecker& check,
                    RouterSettings& out) {
  for (const std::string& it : flags.operator_keys) {
    const std::size_t eq = it.find('=');
    const auto key = eq == std::string::npos
                         ? std::nullopt
                         : Base64Decode(std::string_view(it).substr(eq + 1));
    if (!key || key->size() != kPublicKeyBytes || eq == 0) {
      check.Add("--operator-key", it, "NAME=BASE64 of a public Ed25519 key");
      continue;
    }
    out.operator_keys[it.substr(0, eq)] = it.substr(eq + 1);
  }
  if (out.operator_keys.size() < kSignaturesNeeded) {
    check.Add("--operator-key",
              std::to_string(out.operator_keys.size()) + " operators",
              "at least " + std::to_string(kSignaturesNeeded) +
                  ", as a bundle needs that many signatures");
  }
}

}  // namespace

void AddRouterFlags(CLI::App& app, RouterFlags& flags) {
  const auto add = [&app](const char* flag, auto& value, const char* help) {
    AddSetting(app, flag, value, help);
  };
  AddIdentityFlags(app, flags, "Name of this VM in the VM list",
                   "Address for health, metrics and status");
  add("--kv", flags.kv, "Address of the key-value service");
  add("--vm-list", flags.vm_list, "Address of the VM list");
  add("--operator-key", flags.operator_keys,
      "NAME=PUBLIC_KEY of an operator who may sign bundles");
  AddLogFlags(app, flags);
  add("--deadline-ms", flags.deadline_ms, "Deadline of requests without one");
  add("--max-body-kb", flags.max_body_kb, "Largest request body");
  add("--commit-spacing-ms", flags.commit_spacing_ms,
      "Minimum time between ledger writes");
  add("--bill-patience-ms", flags.bill_patience_ms,
      "Maximum time that the end of an answer waits for its bill to be safe");
  add("--balancer-ms", flags.balancer_ms,
      "Time for the balancer to notice that this router is unready");
  add("--drain-ms", flags.drain_ms,
      "Maximum time for requests to finish at a planned stop");
  AddCheckFlag(app, flags);
}

std::vector<SettingFault> CheckSettings(const RouterFlags& flags,
                                        RouterSettings& out) {
  using std::chrono::milliseconds;
  SettingChecker check;
  CheckIdentity(flags, check);
  if (flags.kv.empty()) check.Add("--kv", "", "at least one IP:PORT");
  for (const std::string& it : flags.kv) check.Listen("--kv", it);
  if (!flags.vm_list.empty()) check.Listen("--vm-list", flags.vm_list);
  CheckOperators(flags, check, out);
  check.Range("--deadline-ms", flags.deadline_ms, 1, 24 * 3600 * 1000);
  check.Range("--max-body-kb", flags.max_body_kb, 1, 65536);
  check.Range("--commit-spacing-ms", flags.commit_spacing_ms, 1, 60000);
  check.Range("--bill-patience-ms", flags.bill_patience_ms, 1, 60000);
  check.Range("--balancer-ms", flags.balancer_ms, 0, 600000);
  check.Range("--drain-ms", flags.drain_ms, 0, 24 * 3600 * 1000);
  static_cast<RouterValues&>(out) = flags;
  static_cast<LogSettings&>(out) = CheckLog(flags, check);
  out.default_deadline = milliseconds(flags.deadline_ms);
  out.max_body_bytes = static_cast<std::size_t>(flags.max_body_kb) * kKilobyte;
  out.commit_spacing = milliseconds(flags.commit_spacing_ms);
  out.bill_timeout = milliseconds(flags.bill_patience_ms);
  out.balancer_delay = milliseconds(flags.balancer_ms);
  out.drain_time = milliseconds(flags.drain_ms);
  return check.Take();
}

}  // namespace quaytrack
