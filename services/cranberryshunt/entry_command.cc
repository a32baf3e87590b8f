#include <CLI/CLI.hpp>

#include "commands.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/entry/entry.h"
#include "cranberryshunt/wire/transport_log.h"
#include "signals.h"

namespace cranberryshunt {

namespace {

constexpr std::size_t kMinClusterSecretBytes = 16;
constexpr std::size_t kMinTokenBytes = 8;
// Time that Entry::Shutdown() may take beyond its own limits.
constexpr std::chrono::milliseconds kShutdownMargin{2'000};

struct EntryState {
  entry::EntryOptions options;
  std::int64_t entry_count = 9;
  std::int64_t max_requests = 512;
  std::int64_t max_body_bytes = 1 << 20;
  std::string log_level = "info";
};

void DeclareSettings(Settings& settings, EntryState& state) {
  auto& options = state.options;
  settings.Text("--id", "Name of this entry, unique in the cell", options.id,
                Presence::kRequired);
  settings.Address("--listen", "ip:port of the HTTP server",
                   options.listen_address, Presence::kRequired);
  settings.Addresses("--controllers", "ip:port,... of all controllers",
                     options.controllers);
  settings.Text("--region", "Region of this host", options.region,
                Presence::kRequired);
  settings.Text("--zone", "Availability zone of this host",
                options.availability_zone, Presence::kRequired);
  settings.Secret("cluster-secret",
                  "the secret shared by all processes of the cell",
                  kMinClusterSecretBytes, options.cluster_secret);
  settings.Secret("caller-token", "the token of callers", kMinTokenBytes,
                  options.caller_token);
  settings.Secret("target-token", "the token of targets", kMinTokenBytes,
                  options.target_token);
  settings.Secret("operator-token", "the token of operators", kMinTokenBytes,
                  options.operator_token);
  settings.Integer("--entries",
                   "Number of entries of the cell, which share each target's "
                   "connections",
                   1, 1'000, state.entry_count);
  settings.Integer("--max-requests", "Caller requests in flight", 1, 100'000,
                   state.max_requests);
  settings.Integer("--max-body", "Largest request body, in bytes", 1'024,
                   1 << 26, state.max_body_bytes);
  settings.Milliseconds("--drain-grace",
                        "Time between turning unready and no longer listening",
                        0, 600'000, options.drain_grace);
  settings.Milliseconds("--shutdown-limit",
                        "Longest time for requests in flight after SIGTERM",
                        100, 600'000, options.shutdown_limit);
  settings.Choice("--log-level", "Least severe level that is logged",
                  {"debug", "info", "warning", "error"}, state.log_level,
                  Presence::kOptional);
}

// Copies the converted settings to the options and compares the tokens; returns
// a message if they are not valid.
std::optional<std::string> FinishOptions(EntryState& state) {
  auto& options = state.options;
  options.entry_count = static_cast<std::int32_t>(state.entry_count);
  options.max_requests_in_flight =
      static_cast<std::int32_t>(state.max_requests);
  options.max_body_bytes = static_cast<std::size_t>(state.max_body_bytes);
  // Equal tokens would let a caller publish rules.
  if (options.caller_token == options.target_token ||
      options.caller_token == options.operator_token ||
      options.target_token == options.operator_token) {
    return "the tokens of callers, targets and operators must differ";
  }
  return std::nullopt;
}

int ServeEntry(const EntryState& state) {
  BlockTerminationSignals();
  if (!ConfigureLogging(state.log_level, state.options.id)) {
    return 2;
  }
  wire::RouteTransportMessagesToLog();
  auto started = entry::Entry::Start(state.options);
  if (!started) {
    const auto& error = started.error();
    Log(LogLevel::kError, "service", "entry did not start",
        {{"code", ResultCodeName(error.code())}, {"reason", error.message()}});
    return 1;
  }
  Log(LogLevel::kInfo, "service", "entry started",
      {{"listen", state.options.listen_address}});
  std::int64_t interrupted = 0;
  WaitAndShutDown(
      state.options.drain_grace + state.options.shutdown_limit +
          kShutdownMargin,
      [&] { interrupted = (*started)->Shutdown(); },
      [&] { (*started)->Abort(); });
  started->reset();
  Log(interrupted == 0 ? LogLevel::kInfo : LogLevel::kError, "service",
      "entry stopped", {{"requests_interrupted", interrupted}});
  return interrupted == 0 ? 0 : 1;
}

int RunEntry(const EntryState& state) {
  const int status = ServeEntry(state);
  ShutDownLogging();
  return status;
}

}  // namespace

void DeclareEntryCommand(CLI::App& root, std::vector<Command>& commands) {
  CLI::App* app = root.add_subcommand(
      "entry", "Run an entry: HTTP for callers, targets and operators");
  auto settings = std::make_shared<Settings>(*app);
  auto state = std::make_shared<EntryState>();
  DeclareSettings(*settings, *state);
  settings->AddCheck([state] { return FinishOptions(*state); });
  commands.push_back({app, settings, [state] { return RunEntry(*state); }});
}

}  // namespace cranberryshunt
