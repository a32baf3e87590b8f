#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdlib>

#include "commands.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/controller/controller.h"
#include "cranberryshunt/wire/transport_log.h"
#include "signals.h"

namespace cranberryshunt {

namespace {

constexpr std::size_t kMinClusterSecretBytes = 16;
// Time that Controller::Shutdown() may take beyond its own limit.
constexpr std::chrono::milliseconds kShutdownMargin{2'000};

struct ControllerState {
  controller::ControllerOptions options;
  std::string members;
  std::string log_level = "info";
};

// Parses "id=ip:port,..." into the initial members; returns the message of the
// first error.
std::optional<std::string> ParseMembers(ControllerState& state) {
  auto& replica = state.options.replica;
  replica.initial_members.members.clear();
  bool has_self = false;
  for (const auto& item : SplitList(state.members)) {
    const auto equals = item.find('=');
    const std::string id = item.substr(0, equals);
    const std::string address =
        equals == std::string::npos ? "" : item.substr(equals + 1);
    if (id.empty() || !IsAddress(address)) {
      return fmt::format("--members: expected id=ip:port, not '{}'", item);
    }
    wire::Member member;
    member.id = id;
    member.address = address;
    member.voter = true;
    replica.initial_members.members.push_back(member);
    has_self = has_self || (id == replica.id && address == replica.address);
  }
  if (replica.bootstrap && !has_self) {
    return fmt::format("--members must contain {}={} with --bootstrap",
                       replica.id, replica.address);
  }
  return std::nullopt;
}

std::optional<std::string> CheckShares(const ControllerState& state) {
  double sum = 0;
  for (const double share : state.options.scheduler.guaranteed_share) {
    sum += share;
  }
  constexpr double kRounding = 1e-9;
  return sum <= 1 + kRounding
             ? std::nullopt
             : std::optional<std::string>(
                   "the sum of the --share settings must be at most 1");
}

void DeclareIdentitySettings(Settings& settings, ControllerState& state) {
  auto& options = state.options;
  settings.Text("--id", "Name of this controller, unique in the cell",
                options.replica.id, Presence::kRequired);
  settings.Address("--listen", "ip:port to listen on for entries and peers",
                   options.listen_address, Presence::kRequired);
  settings.Address("--advertise",
                   "ip:port where entries and peers reach this controller "
                   "(default --listen)",
                   options.replica.address, Presence::kOptional);
  settings.Address("--metrics",
                   "ip:port of /metrics and /healthz (off if not set)",
                   options.metrics_address, Presence::kOptional);
  settings.Text("--data", "Data folder, on a disk that keeps synced data",
                options.replica.data_directory, Presence::kRequired);
  settings.Text("--region", "Region of this host", options.region,
                Presence::kRequired);
  settings.Text("--zone", "Availability zone of this host",
                options.availability_zone, Presence::kRequired);
  settings.Text("--members",
                "id=ip:port,... of all controllers of a new cell, with "
                "--bootstrap",
                state.members, Presence::kOptional);
  settings.Switch("--bootstrap",
                  "Format an empty data folder as part of a new cell; without "
                  "it, a controller with an empty folder waits to be added",
                  options.replica.bootstrap);
  settings.Secret("cluster-secret",
                  "the secret shared by all processes of the cell",
                  kMinClusterSecretBytes, options.cluster_secret);
}

void DeclareTimeSettings(Settings& settings,
                         controller::ControllerOptions& options) {
  settings.Milliseconds("--heartbeat", "Interval between heartbeats", 5, 10'000,
                        options.replica.heartbeat_interval);
  settings.Milliseconds("--election-timeout",
                        "Shortest silence of the leader before an election", 50,
                        60'000, options.replica.election_timeout);
  settings.Milliseconds("--worker-lease", "Lease of a worker's tasks", 3'000,
                        600'000, options.worker_lease);
  settings.Milliseconds("--start-window", "How long a start may be delivered",
                        100, 60'000, options.start_window);
  settings.Milliseconds("--rules-lease", "Lease of an entry's rules", 1'000,
                        4'500, options.rules_lease);
  settings.Milliseconds(
      "--entry-lease",
      "Silence after which an entry's orders go to another entry", 1'000,
      60'000, options.entry_lease);
  settings.Milliseconds("--shutdown-limit",
                        "Longest graceful shutdown after SIGTERM", 100, 600'000,
                        options.shutdown_limit);
}

void DeclareSizeSettings(Settings& settings,
                         controller::ControllerOptions& options) {
  settings.Integer("--snapshot-every", "Log entries between snapshots", 100,
                   10'000'000, options.snapshot_every_entries);
  auto& scheduler = options.scheduler;
  settings.Integer("--max-queued-per-team", "Queued tasks of a team and kind",
                   1, 10'000'000, scheduler.max_queued_tasks_per_team_and_kind);
  settings.Integer("--max-queued-per-kind", "Queued tasks of a kind", 1,
                   10'000'000, scheduler.max_queued_tasks_per_kind);
  constexpr const char* kKindNames[] = {"service", "batch", "gang",
                                        "interactive"};
  for (std::size_t n = 0; n < policy::kKindCount; ++n) {
    settings.Fraction(fmt::format("--share-{}", kKindNames[n]),
                      fmt::format("Guaranteed share of the fleet of {} work, "
                                  "0 to 1",
                                  kKindNames[n]),
                      scheduler.guaranteed_share[n]);
  }
}

// Ends the process if the graceful shutdown hangs. No committed data is lost,
// because it is already synced to disk.
void ExitImmediately() {
  Log(LogLevel::kError, "service", "controller shutdown was aborted");
  ShutDownLogging();
  std::_Exit(1);
}

int ServeController(const ControllerState& state) {
  BlockTerminationSignals();
  if (!ConfigureLogging(state.log_level, state.options.replica.id)) {
    return 2;
  }
  wire::RouteTransportMessagesToLog();
  auto started = controller::Controller::Start(state.options);
  if (!started) {
    const auto& error = started.error();
    Log(LogLevel::kError, "service", "controller did not start",
        {{"code", ResultCodeName(error.code())}, {"reason", error.message()}});
    return 1;
  }
  Log(LogLevel::kInfo, "service", "controller started",
      {{"listen", state.options.listen_address}});
  WaitAndShutDown(
      state.options.shutdown_limit + kShutdownMargin,
      [&] { (*started)->Shutdown(); }, ExitImmediately);
  started->reset();
  Log(LogLevel::kInfo, "service", "controller stopped");
  return 0;
}

int RunController(const ControllerState& state) {
  const int status = ServeController(state);
  ShutDownLogging();
  return status;
}

}  // namespace

void DeclareControllerCommand(CLI::App& root, std::vector<Command>& commands) {
  CLI::App* app = root.add_subcommand(
      "controller", "Run a controller: replicated state and decisions");
  auto settings = std::make_shared<Settings>(*app);
  auto state = std::make_shared<ControllerState>();
  DeclareIdentitySettings(*settings, *state);
  DeclareTimeSettings(*settings, state->options);
  DeclareSizeSettings(*settings, state->options);
  settings->Choice("--log-level", "Least severe level that is logged",
                   {"debug", "info", "warning", "error"}, state->log_level,
                   Presence::kOptional);
  settings->AddCheck([state]() -> std::optional<std::string> {
    auto& replica = state->options.replica;
    if (replica.address.empty()) {
      replica.address = state->options.listen_address;
    }
    return ParseMembers(*state);
  });
  settings->AddCheck([state] { return CheckShares(*state); });
  settings->AddCheck([state]() -> std::optional<std::string> {
    const auto& replica = state->options.replica;
    return replica.election_timeout >= 3 * replica.heartbeat_interval
               ? std::nullopt
               : std::optional<std::string>(
                     "--election-timeout must be at least 3 heartbeats");
  });
  commands.push_back(
      {app, settings, [state] { return RunController(*state); }});
}

}  // namespace cranberryshunt
