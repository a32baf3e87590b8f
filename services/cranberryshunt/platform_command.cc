#include <malloc.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>

#include "commands.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/platform/processes.h"
#include "cranberryshunt/wire/transport_log.h"
#include "signals.h"

namespace cranberryshunt {

namespace {

using StartFunction = Result<std::unique_ptr<platform::Process>> (*)(
    const platform::ProcessSettings&);

struct PlatformState {
  std::string settings_path = "/etc/cranberryshunt/settings.toml";
  std::string log_level = "info";
};

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Each connection has a thread, and one malloc arena for each thread would take
// most of the memory.
constexpr int kMaxMallocArenas = 2;

// Reads the settings file again and applies the settings to the process.
class SettingsReloader {
 public:
  SettingsReloader(std::string path, platform::ProcessSettings current)
      : path_(std::move(path)), current_(std::move(current)) {}

  // Applies the settings if they have changed or a reload was requested.
  void ReloadIfChanged(bool requested, platform::Process& process) {
    auto next = platform::ReadSettings(path_);
    if (!next) {
      // The last valid settings stay in use. An error that repeats is logged
      // again only if the reload was requested.
      if (next.error().message() != last_error_ || requested) {
        Log(LogLevel::kError, "service", "settings cannot be reloaded",
            {{"reason", next.error().message()}});
        last_error_ = next.error().message();
      }
      return;
    }
    last_error_.clear();
    const bool changed = *next != current_;
    if (!changed && !requested) {
      return;
    }
    Log(LogLevel::kInfo, "service", "settings were reloaded",
        {{"requested", requested ? "yes" : "no"},
         {"changed", changed ? "yes" : "no"},
         {"seeds_changed", next->seeds != current_.seeds ? "yes" : "no"}});
    current_ = std::move(*next);
    process.Reload(current_);
  }

 private:
  const std::string path_;
  platform::ProcessSettings current_;
  std::string last_error_;
};

int Serve(const PlatformState& state, StartFunction start) {
  mallopt(M_ARENA_MAX, kMaxMallocArenas);
  BlockTerminationSignals();
  auto settings = platform::ReadSettings(state.settings_path);
  const std::string name = settings ? settings->host : "unknown";
  if (!ConfigureLogging(state.log_level, name)) {
    return kExitUsage;
  }
  wire::RouteTransportMessagesToLog();
  if (!settings) {
    Log(LogLevel::kError, "service", "settings are not valid",
        {{"path", state.settings_path},
         {"reason", settings.error().message()}});
    return kExitUsage;
  }
  auto process = start(*settings);
  if (!process) {
    Log(LogLevel::kError, "service", "process did not start",
        {{"code", ResultCodeName(process.error().code())},
         {"reason", process.error().message()}});
    return kExitFailed;
  }
  Log(LogLevel::kInfo, "service", "process started",
      {{"bootstrap", settings->bootstrap ? "yes" : "no"},
       {"seeds", settings->seeds.size()}});
  SettingsReloader reloader(state.settings_path, *settings);
  std::int64_t interrupted = 0;
  WaitAndShutDown(
      settings->stop_grace, [&] { interrupted = (*process)->Shutdown(); },
      [] {},
      [&](bool requested) { reloader.ReloadIfChanged(requested, **process); });
  Log(LogLevel::kInfo, "service", "process stopped",
      {{"requests_interrupted", interrupted}});
  process->reset();
  return 0;
}

int Run(const PlatformState& state, StartFunction start) {
  const int status = Serve(state, start);
  ShutDownLogging();
  return status;
}

void DeclarePlatformCommand(CLI::App& root,
                            std::vector<Command>& commands,
                            const char* name,
                            const char* help,
                            StartFunction start) {
  CLI::App* app = root.add_subcommand(name, help);
  auto settings = std::make_shared<Settings>(*app);
  auto state = std::make_shared<PlatformState>();
  settings->Text("--settings", "Settings file of the users' platform",
                 state->settings_path, Presence::kOptional);
  settings->Choice("--log-level", "Least severe level that is logged",
                   {"debug", "info", "warning", "error"}, state->log_level,
                   Presence::kOptional);
  commands.push_back(
      {app, settings, [state, start] { return Run(*state, start); }});
}

}  // namespace

void DeclarePlatformCommands(CLI::App& root, std::vector<Command>& commands) {
  DeclarePlatformCommand(root, commands, "platform-controller",
                         "Run a controller on the users' platform",
                         &platform::StartController);
  DeclarePlatformCommand(root, commands, "platform-entry",
                         "Run an entry on the users' platform",
                         &platform::StartEntry);
}

}  // namespace cranberryshunt
