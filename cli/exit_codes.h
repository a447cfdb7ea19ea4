// Exit codes of the quaytrack command, which operators' scripts read: none may
// change its meaning. docs/OPERATING-router.md lists them. A command that ends
// by a signal, or is called wrongly, has the code of the shell or of CLI11.

#ifndef QUAYTRACK_CLI_EXIT_CODES_H_
#define QUAYTRACK_CLI_EXIT_CODES_H_

namespace quaytrack {

enum ExitCode : int {
  kExitOk = 0,
  // The input (a setting, a bundle, an argument) was refused.
  kExitRefused = 2,
  // The key-value service or a router could not be reached: nothing happened.
  kExitUnreachable = 3,
  // Another operator was first.
  kExitLostRace = 4,
  // It isn't known whether the write took effect; run the command again.
  kExitUnknown = 5,
  // An audit found a difference.
  kExitDifference = 6,
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_EXIT_CODES_H_
