// Settings of `quaytrack router`.
//
// What both programs have (identity, addresses, log) is in
// net/process_settings.h; this adds the router's own. RouterFlags is what was
// given, RouterSettings what the router works with; they share RouterValues,
// which is the same in both. Settings are checked as a whole before anything
// starts, and every fault is reported with the flag, the value given and what
// is allowed. Nothing changes while the process runs.
//
//   RouterFlags flags;
//   AddRouterFlags(app, flags);
//   ...
//   RouterSettings settings;
//   for (const SettingFault& it : CheckSettings(flags, settings)) ...

#ifndef QUAYTRACK_ROUTER_SETTINGS_H_
#define QUAYTRACK_ROUTER_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "bundle/signing.h"
#include "net/process_settings.h"

namespace quaytrack {

struct RouterValues : ProcessIdentity {
  // Addresses of the key-value service; the next is used when one is silent.
  std::vector<std::string> kv;
  // Address of the VM list; empty for none.
  std::string vm_list;
};

// As given, before they are checked. The defaults are not measured.
struct RouterFlags : RouterValues, LogFlags {
  // NAME=BASE64 of a public Ed25519 key, one for each operator.
  std::vector<std::string> operator_keys;
  int deadline_ms = 60000;
  int max_body_kb = 4096;
  int commit_spacing_ms = 100;
  int bill_patience_ms = 400;
  int balancer_ms = 1000;
  int drain_ms = 60000;
};

struct RouterSettings : RouterValues, LogSettings {
  OperatorKeys operator_keys;
  // Given to requests that bring no deadline of their own.
  std::chrono::milliseconds default_deadline{};
  std::size_t max_body_bytes = 0;
  // Shortest time between two ledger writes (ledger/sync.h).
  std::chrono::milliseconds commit_spacing{};
  // How long an answer's end waits for its bill (router/bill_gate.h).
  std::chrono::milliseconds bill_patience{};
  // From turning unready until the balancer is taken to have noticed.
  std::chrono::milliseconds balancer_time{};
  // Longest time for requests in flight to finish at a planned stop.
  std::chrono::milliseconds drain_time{};
};

void AddRouterFlags(CLI::App& app, RouterFlags& flags);

// Fills `out` and returns no faults, or returns them all.
std::vector<SettingFault> CheckSettings(const RouterFlags& flags,
                                        RouterSettings& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SETTINGS_H_
