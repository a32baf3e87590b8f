// The subcommands that talk to entries over HTTP. Each prints its result on
// standard output, errors on standard error, and returns an exit code.
#ifndef CRANBERRYSHUNT_CLIENT_CLIENT_H_
#define CRANBERRYSHUNT_CLIENT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshunt::client {

// Exit codes of the subcommands; the table is in docs/codes.md.
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
  std::vector<std::string> entries;  // "ip:port", in order of preference.
  std::string token;
  std::chrono::milliseconds timeout{30'000};  // Of a whole subcommand.
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
  bool wait = true;  // Until the job is final or the timeout has passed.
};

// A submission without an idempotency key gets a random one, unless running it
// twice is harmless, so that it can be resent to another entry after a lost
// answer.
int Submit(const ClientOptions& options, const SubmitOptions& job);

struct JobReference {
  std::string job_id;  // Either the job, or the team and its key.
  std::string team;
  std::string idempotency_key;
};

int JobStatus(const ClientOptions& options, const JobReference& job, bool wait);
int CancelJob(const ClientOptions& options, const std::string& job_id);

struct PublishOptions {
  std::vector<std::string> directories;
  std::optional<std::int64_t> base_revision;  // Default: the current one.
  std::string version;
  std::string operator_name;
};

// Checks folders without any server.
int CheckRules(const std::vector<std::string>& directories, bool json);
// Publishes and waits until the revision is in force at every entry.
int PublishRules(const ClientOptions& options, const PublishOptions& publish);
int ShowRules(const ClientOptions& options);

int ShowAudit(const ClientOptions& options, std::int64_t after);
int ShowCluster(const ClientOptions& options);
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

int ChangeControllers(const ClientOptions& options,
                      const ControllerChange& change);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_CLIENT_H_
