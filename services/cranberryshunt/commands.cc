#include "commands.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "cranberryshunt/client/client.h"

namespace cranberryshunt {

namespace {

// Runs a subcommand if all of its settings are valid. Otherwise prints every
// error.
int RunCommand(const Command& command) {
  auto errors = command.settings->Finish();
  for (const auto& extra : command.app->remaining()) {
    errors.push_back("unknown argument '" + extra + "'");
  }
  if (errors.empty()) {
    return command.run();
  }
  for (const auto& message : errors) {
    fmt::print(stderr, "cranberryshunt {}: {}\n", command.app->get_name(),
               message);
  }
  fmt::print(stderr, "Run with --help for all settings.\n");
  return client::kExitUsage;
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  CLI::App root(
      "Cluster scheduler. Every --setting can also be given as the environment "
      "variable CRANBERRYSHUNT_SETTING; the flag wins.",
      "cranberryshunt");
  root.require_subcommand(1);
  std::vector<Command> commands;
  DeclareControllerCommand(root, commands);
  DeclareEntryCommand(root, commands);
  DeclareJobCommands(root, commands);
  DeclareOperatorCommands(root, commands);
  DeclarePlatformCommands(root, commands);
  for (const auto& command : commands) {
    // Unknown arguments are reported together with the other errors.
    command.app->allow_extras();
  }
  try {
    root.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return root.exit(error) == 0 ? client::kExitDone : client::kExitUsage;
  }
  for (const auto& command : commands) {
    if (command.app->parsed()) {
      return RunCommand(command);
    }
  }
  return client::kExitUsage;
}

}  // namespace cranberryshunt
