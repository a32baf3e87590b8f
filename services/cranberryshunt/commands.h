// The command line of the one binary.
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

// A subcommand: its settings, and what runs once they were checked.
struct Command {
  CLI::App* app = nullptr;
  std::shared_ptr<Settings> settings;
  std::function<int()> run;
};

// Each declares its subcommands below `root`.
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
