// The command line of the program.
#ifndef CRANBERRYSHUNT_SERVICES_COMMANDS_H_
#define CRANBERRYSHUNT_SERVICES_COMMANDS_H_

#include <functional>
#include <memory>
#include <vector>

#include "settings.h"

namespace CLI {
class App;
}

namespace cranberryshunt {

// A subcommand with its settings.
struct Command {
  CLI::App* app = nullptr;
  std::shared_ptr<Settings> settings;
  // Runs the subcommand with valid settings; returns the exit code.
  std::function<int()> run;
};

// Each function declares its subcommands below `root` and appends them to
// `commands`.
void DeclareControllerCommand(CLI::App& root, std::vector<Command>& commands);
void DeclareEntryCommand(CLI::App& root, std::vector<Command>& commands);
void DeclareJobCommands(CLI::App& root, std::vector<Command>& commands);
void DeclarePlatformCommands(CLI::App& root, std::vector<Command>& commands);
void DeclareOperatorCommands(CLI::App& root, std::vector<Command>& commands);

// Parses the command line and runs the chosen subcommand; returns the exit
// code.
int RunCommandLine(int argc, char** argv);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_SERVICES_COMMANDS_H_
