// The stand-ins, one function each. Each serves until SIGTERM and returns the
// process's exit code. testing/standins_main.cc has a command for each.

#ifndef QUAYTRACK_TESTING_STANDINS_H_
#define QUAYTRACK_TESTING_STANDINS_H_

#include <string>
#include <vector>

namespace quaytrack {

struct StandinFlags {
  std::string listen = "127.0.0.1:0";
  std::string admin = "127.0.0.1:0";
};

// The key-value service, with the etcd v3 JSON gateway's interface.
// Controls: /control/mode?mode=normal|refuse|hang|lose|slow&ms=N
//           /control/stats
// It refuses writes and reads above these rates with status 429.
struct KvLimits {
  int writes_per_second = 400;
  int reads_per_second = 2000;
};
int RunKvStandin(const StandinFlags& flags, const KvLimits& limits);

struct EngineFlags {
  std::string name = "engine";
  int slots = 16;
  int step_ms = 10;
  double prefill_us_per_token = 50;
  int cache_prefixes = 64;
  // Each token is padded to this number of bytes.
  int token_bytes = 0;
};

// A model engine. Records: /executions.
// Controls: /control/mode?mode=normal|refuse|hang|reset|garble|no_usage&after=N
//           /control/leaving
int RunEngineStandin(const StandinFlags& flags, const EngineFlags& engine);

// A service that isn't a model engine. Records: /executions.
// Controls: /control/mode?mode=normal|refuse|lose|hang, /control/delay?ms=N
int RunServiceStandin(const StandinFlags& flags, const std::string& name);

// The VM list. Controls: /control/set?name=N&state=live|leaving,
// /control/remove?name=N, /control/watch?name=N&pid=P (the VM is removed once
// the process has ended), /control/mode?mode=normal|hang
int RunVmListStandin(const StandinFlags& flags, int lag_ms);

// A TCP proxy that breaks connections on command.
// Controls: /control/mode?mode=pass|cut|freeze|drop_answers&delay_ms=N
int RunFaultProxy(const StandinFlags& flags, const std::string& upstream);

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_STANDINS_H_
