// Exit codes of the quaytrack command. Operators' scripts read them, so none
// may change its meaning. docs/OPERATING-router.md lists them. If a signal ends
// a command, the shell sets the exit code.

#ifndef QUAYTRACK_CLI_EXIT_CODES_H_
#define QUAYTRACK_CLI_EXIT_CODES_H_

namespace quaytrack {

enum ExitCode : int {
  kExitOk = 0,
  // The input (a setting, a bundle, an argument) was refused, or the command
  // line couldn't be parsed.
  kExitRefused = 2,
  // The key-value service or a router couldn't be reached; nothing was changed.
  kExitUnreachable = 3,
  // Another operator's change was applied first.
  kExitConflict = 4,
  // Unknown whether the write took effect; run the command again.
  kExitUnknown = 5,
  // An audit found a difference, or `explain` found no line.
  kExitDifference = 6,
};

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_EXIT_CODES_H_
