#include <CLI/CLI.hpp>
#include <cstdlib>
#include <limits>
#include <variant>

#include "commands.h"
#include "cranberryshunt/client/client.h"

namespace cranberryshunt {

namespace {

constexpr std::int64_t kMaxAmount = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxDurationMs = 30LL * 24 * 3'600'000;
constexpr std::int64_t kMaxTasks = 200'000;

// Options of a client subcommand: those that all client subcommands have, and
// its own.
template <typename Options>
struct ClientState {
  client::ClientOptions client;
  Options own;
};

template <typename Options>
using ClientFunction = int (*)(const ClientState<Options>&);

// Declares a subcommand that calls entries with the token of `role`.
template <typename Options>
std::shared_ptr<ClientState<Options>> DeclareClientCommand(
    CLI::App& parent,
    const char* name,
    const char* help,
    const char* role,
    ClientFunction<Options> run,
    std::vector<Command>& commands) {
  auto state = std::make_shared<ClientState<Options>>();
  CLI::App* app = parent.add_subcommand(name, help);
  auto settings = std::make_shared<Settings>(*app);
  auto& options = state->client;
  settings->Addresses("--entry", "ip:port,... of entries, tried in turn",
                      options.entries);
  settings->Secret(std::string(role) + "-token",
                   std::string("the token of ") + role + "s", 1, options.token);
  settings->Milliseconds("--timeout", "Time limit of the whole subcommand", 100,
                         kMaxDurationMs, options.timeout);
  settings->Switch("--json", "Print JSON", options.json);
  commands.push_back({app, settings, [state, run] { return run(*state); }});
  return state;
}

std::string DefaultOperatorName() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

void DeclareSubmit(CLI::App& root, std::vector<Command>& commands) {
  auto state = DeclareClientCommand<client::SubmitOptions>(
      root, "submit", "Submit a job and wait for its outcome", "caller",
      [](const auto& it) { return client::SubmitJob(it.client, it.own); },
      commands);
  Settings& settings = *commands.back().settings;
  auto& job = state->own;
  constexpr auto kRequired = Presence::kRequired;
  constexpr auto kOptional = Presence::kOptional;
  settings.Text("--team", "Team that the job counts for", job.team, kRequired);
  settings.Choice("--kind", "Kind of work",
                  {"service", "batch", "gang", "interactive"}, job.kind,
                  kRequired);
  settings.Text("--service", "Name that rules match", job.service, kOptional);
  settings.Integer("--tasks", "Number of tasks", 1, kMaxTasks, job.tasks);
  settings.Integer("--milli-cpus", "Thousandths of a CPU for each task", 1,
                   kMaxAmount, job.milli_cpus, kRequired);
  settings.Integer("--memory-bytes", "Memory for each task, in bytes", 1,
                   kMaxAmount, job.memory_bytes, kRequired);
  settings.Integer("--accelerators", "Accelerators for each task", 0,
                   kMaxAmount, job.accelerators);
  settings.Integer("--slots", "Slots for each task", 0, kMaxAmount, job.slots);
  settings.OptionalInteger("--expected-run",
                           "Expected run time, in milliseconds", 1,
                           kMaxDurationMs, job.expected_run_ms);
  settings.OptionalInteger("--deadline",
                           "Latest start after submission, in milliseconds", 1,
                           kMaxDurationMs, job.deadline_ms);
  settings.Text("--region", "Region where the job should run", job.region,
                kOptional);
  settings.Text("--zone", "Availability zone where the job should run",
                job.availability_zone, kOptional);
  settings.Switch("--exclusive", "Never run in two places at once",
                  job.exclusive);
  settings.Switch(
      "--idempotent,!--non-idempotent",
      "Whether a task may be started again after a failure (default "
      "yes)",
      job.idempotent);
  settings.Text("--key", "Idempotency key", job.idempotency_key, kOptional);
  settings.Text("--family", "Job family for learned estimates", job.family,
                kOptional);
  settings.Text("--payload", "Passed to the task", job.payload, kOptional);
  settings.Switch("--wait,!--no-wait",
                  "Wait until the job is final (default yes)", job.wait);
}

struct StatusOptions {
  client::JobReference job;
  bool wait = false;
};

void DeclareStatus(CLI::App& root, std::vector<Command>& commands) {
  auto state = DeclareClientCommand<StatusOptions>(
      root, "status", "Show a job", "caller",
      [](const auto& it) {
        return client::ShowJob(it.client, it.own.job, it.own.wait);
      },
      commands);
  Settings& settings = *commands.back().settings;
  auto& job = state->own.job;
  commands.back().app->add_option("job", job.job_id, "Id of the job");
  settings.Text("--team", "Team of the key", job.team, Presence::kOptional);
  settings.Text("--key", "Idempotency key, with --team", job.idempotency_key,
                Presence::kOptional);
  settings.Switch("--wait", "Wait until the job is final", state->own.wait);
  settings.AddCheck([state]() -> std::optional<std::string> {
    const auto& job = state->own.job;
    const bool by_key = !job.team.empty() && !job.idempotency_key.empty();
    return by_key == job.job_id.empty()
               ? std::nullopt
               : std::optional<std::string>(
                     "give either a job id, or --team and --key");
  });
}

void DeclareCancel(CLI::App& root, std::vector<Command>& commands) {
  auto state = DeclareClientCommand<client::JobReference>(
      root, "cancel", "Cancel a job", "caller",
      [](const auto& it) {
        return client::CancelJob(it.client, it.own.job_id);
      },
      commands);
  commands.back()
      .app->add_option("job", state->own.job_id, "Id of the job")
      ->required();
}

struct CheckOptions {
  std::vector<std::string> directories;
  bool json = false;
};

void DeclareRules(CLI::App& root, std::vector<Command>& commands) {
  CLI::App* rules = root.add_subcommand("rules", "Check and publish rules");
  rules->require_subcommand(1);

  auto check = std::make_shared<CheckOptions>();
  CLI::App* app = rules->add_subcommand(
      "check", "Check rules in folders without calling an entry");
  auto settings = std::make_shared<Settings>(*app);
  app->add_option("folders", check->directories, "Folders of *.rules.yaml")
      ->required();
  settings->Switch("--json", "Print JSON", check->json);
  commands.push_back({app, settings, [check] {
                        return client::CheckRules(check->directories,
                                                  check->json);
                      }});

  auto publish = DeclareClientCommand<client::PublishOptions>(
      *rules, "publish", "Publish folders and wait until they are in force",
      "operator",
      [](const auto& it) { return client::PublishRules(it.client, it.own); },
      commands);
  auto& own = publish->own;
  own.operator_name = DefaultOperatorName();
  commands.back()
      .app->add_option("folders", own.directories, "Folders of *.rules.yaml")
      ->required();
  Settings& publish_settings = *commands.back().settings;
  publish_settings.OptionalInteger(
      "--base-revision", "Revision that this one replaces (default: current)",
      0, kMaxAmount, own.base_revision);
  publish_settings.Text("--version",
                        "Version label (default: the next revision)",
                        own.version, Presence::kOptional);
  publish_settings.Text("--operator", "Name for the audit trail",
                        own.operator_name, Presence::kOptional);

  DeclareClientCommand<std::monostate>(
      *rules, "show", "Show the rules in force", "operator",
      [](const auto& it) { return client::ShowRules(it.client); }, commands);
}

struct DrainOptions {
  std::string worker;
  bool undo = false;
  std::string operator_name = DefaultOperatorName();
};

void DeclareWorker(CLI::App& root, std::vector<Command>& commands) {
  CLI::App* worker = root.add_subcommand("worker", "Manage workers");
  worker->require_subcommand(1);
  auto state = DeclareClientCommand<DrainOptions>(
      *worker, "drain", "Stop new starts on a worker", "operator",
      [](const auto& it) {
        return client::DrainWorker(it.client, it.own.worker, it.own.undo,
                                   it.own.operator_name);
      },
      commands);
  auto& own = state->own;
  commands.back()
      .app->add_option("worker", own.worker, "Id of the worker")
      ->required();
  commands.back().settings->Switch(
      "--undo", "Allow new starts on the worker again", own.undo);
  commands.back().settings->Text("--operator", "Name for the audit trail",
                                 own.operator_name, Presence::kOptional);
}

void DeclareControllerChange(CLI::App& parent,
                             bool remove,
                             std::vector<Command>& commands) {
  auto state = DeclareClientCommand<client::ControllerChange>(
      parent, remove ? "remove" : "add",
      remove ? "Remove a controller" : "Add a controller as a learner",
      "operator",
      [](const auto& it) {
        return client::ChangeControllers(it.client, it.own);
      },
      commands);
  auto& own = state->own;
  own.remove = remove;
  own.operator_name = DefaultOperatorName();
  commands.back()
      .app->add_option("id", own.id, "Id of the controller")
      ->required();
  Settings& settings = *commands.back().settings;
  settings.Text("--operator", "Name for the audit trail", own.operator_name,
                Presence::kOptional);
  if (!remove) {
    settings.Address("--address", "ip:port at which it is reached", own.address,
                     Presence::kRequired);
    settings.Text("--disk-identity",
                  "Identity of its data folder, from its log",
                  own.disk_identity, Presence::kRequired);
  }
}

struct AuditOptions {
  std::int64_t after = 0;
};

}  // namespace

void DeclareJobCommands(CLI::App& root, std::vector<Command>& commands) {
  DeclareSubmit(root, commands);
  DeclareStatus(root, commands);
  DeclareCancel(root, commands);
}

void DeclareOperatorCommands(CLI::App& root, std::vector<Command>& commands) {
  DeclareRules(root, commands);
  auto audit = DeclareClientCommand<AuditOptions>(
      root, "audit", "Show the audit trail", "operator",
      [](const auto& it) { return client::ShowAudit(it.client, it.own.after); },
      commands);
  commands.back().settings->Integer("--after", "Only records after this number",
                                    0, kMaxAmount, audit->own.after);
  DeclareClientCommand<std::monostate>(
      root, "cluster", "Show workers, queues, controllers and alerts",
      "operator", [](const auto& it) { return client::ShowCluster(it.client); },
      commands);
  DeclareWorker(root, commands);
  CLI::App* controllers =
      root.add_subcommand("controllers", "Change the set of controllers");
  controllers->require_subcommand(1);
  DeclareControllerChange(*controllers, false, commands);
  DeclareControllerChange(*controllers, true, commands);
}

}  // namespace cranberryshunt
