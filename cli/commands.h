// The commands of the quaytrack binary. Each function adds a command to the
// command line; if the user calls it, the command stores its result in
// `exit_code` (cli/exit_codes.h), which must outlive parsing.
//
//   AddRelayCommand(app, exit_code);
//   CLI11_PARSE(app, argc, argv);
//   return exit_code;

#ifndef QUAYTRACK_CLI_COMMANDS_H_
#define QUAYTRACK_CLI_COMMANDS_H_

#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace quaytrack {

// Options that several commands share.
struct CommonFlags {
  std::vector<std::string> kv;
  bool json = false;
};

void AddRouterCommand(CLI::App& app, int& exit_code);
void AddRelayCommand(CLI::App& app, int& exit_code);
void AddExplainCommand(CLI::App& app, int& exit_code);
void AddBundleCommands(CLI::App& app, CommonFlags& common, int& exit_code);
void AddBudgetCommands(CLI::App& app, CommonFlags& common, int& exit_code);
void AddBillsCommand(CLI::App& app, CommonFlags& common, int& exit_code);
void AddFleetCommands(CLI::App& app, int& exit_code);

// Adds the flag that every command that uses the key-value service needs.
void AddKvFlag(CLI::App& command, CommonFlags& common);

}  // namespace quaytrack

#endif  // QUAYTRACK_CLI_COMMANDS_H_
