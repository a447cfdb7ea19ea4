#include "relay/relay_settings.h"

#include <CLI/CLI.hpp>

namespace quaytrack {

void AddRelayFlags(CLI::App& app, RelayFlags& flags) {
  const auto add = [&](const char* name, auto& value, const char* env,
                       const char* help) {
    app.add_option(name, value, help)->envname(env)->capture_default_str();
  };
  add("--vm", flags.vm, "QUAYTRACK_VM", "Name of this VM");
  add("--hall", flags.hall, "QUAYTRACK_HALL", "Data hall of this VM");
  add("--listen", flags.listen, "QUAYTRACK_LISTEN", "Address for callers");
  add("--admin-listen", flags.admin_listen, "QUAYTRACK_ADMIN_LISTEN",
      "Address for the balancer's question whether this router is ready");
  add("--peer-listen", flags.peer_listen, "QUAYTRACK_PEER_LISTEN",
      "Address for other routers");
  add("--metrics-listen", flags.metrics_listen, "QUAYTRACK_METRICS_LISTEN",
      "Address for metrics; empty for none");
  add("--store", flags.store, "QUAYTRACK_STORE", "Address of the store");
  add("--ready-path", flags.ready_path, "QUAYTRACK_READY_PATH",
      "Path at which readiness is asked");
  add("--log-format", flags.log_format, "QUAYTRACK_LOG_FORMAT", "text or json");
  add("--log-level", flags.log_level, "QUAYTRACK_LOG_LEVEL",
      "debug, info, warn or error");
  add("--retry-ratio", flags.retry_ratio, "QUAYTRACK_RETRY_RATIO",
      "Retries at a service, as a part of the requests for it");
  add("--retry-slack", flags.retry_slack, "QUAYTRACK_RETRY_SLACK",
      "Retries at a service beyond that, of all routers together");
  add("--retry-window-s", flags.retry_window_s, "QUAYTRACK_RETRY_WINDOW_S",
      "Span in seconds over which retries are counted");
  add("--drain-s", flags.drain_s, "QUAYTRACK_DRAIN_S",
      "Seconds from a request to stop until the process is killed");
  add("--standing-share", flags.standing_share, "QUAYTRACK_STANDING_SHARE",
      "Part of a budget's rest that all routers together keep granted");
  add("--small-fleet", flags.small_fleet, "QUAYTRACK_SMALL_FLEET",
      "Up to so many routers, each keeps a part of the budgets itself");
  add("--holders-per-hall", flags.holders_per_hall,
      "QUAYTRACK_HOLDERS_PER_HALL",
      "Routers of a hall that keep budgets in a larger fleet");
  add("--link-mbps", flags.link_mbps, "QUAYTRACK_LINK_MBPS",
      "Megabits a second of this VM's network link; 0 if it isn't known");
  add("--cover-s", flags.cover_s, "QUAYTRACK_COVER_S",
      "Seconds of its own spending that a router keeps granted at least");
  app.add_flag("--check-settings", flags.check_only,
               "Check the settings and exit");
}

std::vector<SettingFault> CheckRelaySettings(const RelayFlags& flags,
                                             RelaySettings& out) {
  SettingChecker check;
  check.Name("--vm", flags.vm);
  check.Name("--hall", flags.hall);
  check.Listen("--listen", flags.listen);
  check.Listen("--admin-listen", flags.admin_listen);
  check.Listen("--peer-listen", flags.peer_listen);
  if (!flags.metrics_listen.empty()) {
    check.Listen("--metrics-listen", flags.metrics_listen);
  }
  check.Listen("--store", flags.store);
  if (!flags.ready_path.starts_with('/')) {
    check.Add("--ready-path", flags.ready_path, "a path");
  }
  check.Range("--retry-ratio", flags.retry_ratio, 0.0, 10.0);
  check.Range("--retry-slack", flags.retry_slack, 0.0, 1e6);
  check.Range("--retry-window-s", flags.retry_window_s, 1, 3600);
  check.Range("--drain-s", flags.drain_s, 1, 24 * 3600);
  check.Range("--standing-share", flags.standing_share, 0.01, 0.9);
  check.Range("--small-fleet", flags.small_fleet, 0, 1000);
  check.Range("--holders-per-hall", flags.holders_per_hall, 1, 100);
  check.Range("--link-mbps", flags.link_mbps, 0.0, 1e6);
  check.Range("--cover-s", flags.cover_s, 0, 600);
  out.vm = flags.vm;
  out.hall = flags.hall;
  out.listen = flags.listen;
  out.admin_listen = flags.admin_listen;
  out.peer_listen = flags.peer_listen;
  out.metrics_listen = flags.metrics_listen;
  out.store = flags.store;
  out.ready_path = flags.ready_path;
  out.log_format = check.Choice<LogFormat>("--log-format", flags.log_format);
  out.log_level = check.Choice<LogLevel>("--log-level", flags.log_level);
  out.retry_ratio = flags.retry_ratio;
  out.retry_slack = flags.retry_slack;
  out.retry_window = std::chrono::seconds(flags.retry_window_s);
  out.drain_time = std::chrono::seconds(flags.drain_s);
  out.standing_share = flags.standing_share;
  out.small_fleet = flags.small_fleet;
  out.holders_per_hall = flags.holders_per_hall;
  out.link_mbps = flags.link_mbps;
  out.cover = std::chrono::seconds(flags.cover_s);
  return check.Take();
}

}  // namespace quaytrack
