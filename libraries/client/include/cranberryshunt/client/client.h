// The subcommands that call entries, the HTTP front ends of a cell. Each prints
// its result on standard output and errors on standard error, and returns an
// exit code. With ClientOptions::json, results and errors are printed as JSON
// on standard output.
#ifndef CRANBERRYSHUNT_CLIENT_CLIENT_H_
#define CRANBERRYSHUNT_CLIENT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshunt::client {

// Exit codes of the subcommands, as docs/codes.md lists them.
enum ExitCode : int {
  kExitDone = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitPending = 3,
  kExitUnreachable = 4,
  kExitUnauthorized = 5,
  kExitConflict = 6,
};

struct ClientOptions {
  std::vector<std::string> entries;  // "ip:port", tried in this order.
  std::string token;
  std::chrono::milliseconds timeout{30'000};  // For the whole subcommand.
  bool json = false;
};

struct SubmitOptions {
  std::string team;
  std::string kind;
  std::string service;
  std::int64_t tasks = 1;
  std::int64_t milli_cpus = 0;
  std::int64_t memory_bytes = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 1;
  std::optional<std::int64_t> expected_run_ms;
  std::optional<std::int64_t> deadline_ms;
  std::string region;
  std::string availability_zone;
  bool exclusive = false;
  bool idempotent = true;
  std::string idempotency_key;
  std::string family;
  std::string payload;
  bool wait = true;  // Wait until the job has ended or the timeout has passed.
};

// Submits a job and prints it. A job without an idempotency key gets a random
// one, so that it can be sent again to another entry when the reply is lost. A
// job that may run twice without harm, that is, an idempotent interactive job
// that is not exclusive, is sent without a key.
int SubmitJob(const ClientOptions& options, const SubmitOptions& job);

struct JobReference {
  std::string job_id;  // If empty, the team and its idempotency key are used.
  std::string team;
  std::string idempotency_key;
};

// Prints a job. With `wait`, waits first until it has ended or the timeout has
// passed.
int ShowJob(const ClientOptions& options, const JobReference& job, bool wait);
// Cancels a job and waits until it has ended or the timeout has passed.
int CancelJob(const ClientOptions& options, const std::string& job_id);

struct PublishOptions {
  std::vector<std::string> directories;
  std::optional<std::int64_t> base_revision;  // Default: the current revision.
  std::string version;
  std::string operator_name;
};

// Checks the rules files of `directories` without calling an entry.
int CheckRules(const std::vector<std::string>& directories, bool json);
// Publishes the rules files and waits until the new revision is in force at
// every entry or the timeout has passed.
int PublishRules(const ClientOptions& options, const PublishOptions& publish);
int ShowRules(const ClientOptions& options);

// Prints the audit records whose sequence number is greater than `after`.
int ShowAudit(const ClientOptions& options, std::int64_t after);
int ShowCluster(const ClientOptions& options);
// Stops the placement of tasks on a worker, or allows it again with `undo`.
int DrainWorker(const ClientOptions& options,
                const std::string& worker,
                bool undo,
                const std::string& operator_name);

struct ControllerChange {
  std::string id;
  std::string address;  // "ip:port"; not needed for a removal.
  std::string disk_identity;
  std::string operator_name;
  bool remove = false;
};

// Adds a controller to the cell or removes one.
int ChangeControllers(const ClientOptions& options,
                      const ControllerChange& change);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_CLIENT_H_
