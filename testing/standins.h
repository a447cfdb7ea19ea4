// The stand-ins, one function each; every one serves until SIGTERM and returns
// the process's exit code. testing/standins_main.cc makes them commands.

#ifndef QUAYTRACK_TESTING_STANDINS_H_
#define QUAYTRACK_TESTING_STANDINS_H_

#include <string>
#include <vector>

namespace quaytrack {

struct StandinFlags {
  std::string listen = "127.0.0.1:0";
  std::string admin = "127.0.0.1:0";
};

// The key-value service, by the etcd v3 JSON gateway.
// Controls: /control/mode?mode=normal|refuse|hang|lose|slow&ms=N
//           /control/stats
// It refuses writes and reads beyond these rates (429).
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
  // Each token is padded to this many bytes.
  int token_bytes = 0;
};

// A model engine. Records: /executions.
// Controls: /control/mode?mode=normal|refuse|hang|reset|garble|no_usage&after=N
//           /control/leaving
int RunEngineStandin(const StandinFlags& flags, const EngineFlags& engine);

// A plain service. Records: /executions.
// Controls: /control/mode?mode=normal|refuse|lose|hang, /control/delay?ms=N
int RunServiceStandin(const StandinFlags& flags, const std::string& name);

// The VM list. Controls: /control/set?name=N&state=live|leaving,
// /control/remove?name=N, /control/watch?name=N&pid=P (dropped once the process
// is gone), /control/mode?mode=normal|hang
int RunVmListStandin(const StandinFlags& flags, int lag_ms);

// A TCP proxy that breaks connections on command.
// Controls: /control/mode?mode=pass|cut|freeze|drop_answers&delay_ms=N
int RunFaultProxy(const StandinFlags& flags, const std::string& upstream);

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_STANDINS_H_
