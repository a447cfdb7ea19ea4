// Runs the relay until its planned stop is over.
//
//   exit_code = ServeRelay(settings, charts, TcpSocket::Connect);
//
// `dial_target` opens the connections to targets and to the store. Returns an
// exit code (cli/exit_codes.h); failures are logged.

#ifndef QUAYTRACK_CLI_SERVE_RELAY_H_
#define QUAYTRACK_CLI_SERVE_RELAY_H_

#include "net/tcp_socket.h"
#include "relay/relay_chart.h"
#include "relay/relay_settings.h"

namespace quaytrack {

int ServeRelay(const RelaySettings& settings, const RelayCharts& charts,
               const Dialer& dial_target);

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_SERVE_RELAY_H_
