// Settings of `quaytrack router`.
//
// Settings that other processes share (identity, addresses, log) are in
// net/process_settings.h; this file adds those of the router. RouterFlags has
// the flags as given, RouterSettings the checked values; RouterValues has the
// settings that RouterFlags and RouterSettings share. All settings are checked
// before anything starts, and every fault is reported with the flag, the value
// given and the values allowed. Settings don't change while the process runs.
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
  // Endpoints of the key-value service; when one doesn't respond, the next is
  // used.
  std::vector<std::string> kv;
  // Address of the VM list; empty if there is none.
  std::string vm_list;
};

// Flags as given, before they are checked.
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
  // Deadline of requests that are sent without one.
  std::chrono::milliseconds default_deadline{};
  std::size_t max_body_bytes = 0;
  // Minimum interval between two ledger writes (ledger/sync.h).
  std::chrono::milliseconds commit_spacing{};
  // Maximum time that the end of an answer waits for its bill
  // (router/bill_gate.h).
  std::chrono::milliseconds bill_timeout{};
  // Time after turning unready in which the balancer is assumed to notice.
  std::chrono::milliseconds balancer_delay{};
  // Maximum time for requests in flight to finish at a planned stop.
  std::chrono::milliseconds drain_time{};
};

void AddRouterFlags(CLI::App& app, RouterFlags& flags);

// Fills `out` and returns an empty list, or returns all faults.
std::vector<SettingFault> CheckSettings(const RouterFlags& flags,
                                        RouterSettings& out);

}  // namespace quaytrack

#endif  // QUAYTRACK_ROUTER_SETTINGS_H_
