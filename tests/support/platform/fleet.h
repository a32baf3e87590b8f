// Stand-ins for the workers and the advice service of the users' platform,
// which run in the test process. Like real workers, they check leases and
// fencing tokens. They record violations, such as a task that runs twice.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_FLEET_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_FLEET_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/http/http_client.h"
#include "cranberryshunt/http/http_server.h"

namespace cranberryshunt::test {

struct FleetOptions {
  int workers = 8;
  std::string service = "fleet";
  std::int64_t milli_cpus = 32'000;
  std::int64_t memory_mb = 65'536;
  int heartbeat_ms = 500;
  // Values of the workers' clocks at the start of the fleet.
  std::int64_t clock_ms = 0;
  // Added to the ports that workers report in heartbeats, so that controllers
  // connect to a proxy instead.
  int reported_port_offset = 0;
  // Share of the workers, from 0 to 1, that the advice service allows for a
  // step.
  double allowed_share = 1;
  // JSON text that is listed as the first row of each list in responses, for as
  // long as the fleet runs.
  std::string odd_row;
};

// Starts, ends and acknowledgements of each task at all workers. Thread-safe.
class TaskLedger {
 public:
  void RecordStart(const std::string& task, const std::string& worker);
  // `how` is the outcome that the worker lists.
  void RecordEnd(const std::string& task, const std::string& how);
  void RecordAcknowledgement(const std::string& task, const std::string& how);
  // The end of a run was lost with its worker before it was acknowledged.
  void RecordLostEnd(const std::string& task);
  void AddViolation(const std::string& text);

  std::int64_t starts() const;
  std::vector<std::string> violations() const;
  // Numbers of tasks of a job that have ever started, have ended as done, or
  // are running now.
  struct JobCounts {
    std::int64_t started = 0;
    std::int64_t done = 0;
    std::int64_t running = 0;
  };
  JobCounts CountsOf(const std::string& job) const;

 private:
  struct State {
    int running = 0;
    bool done = false;
    bool acknowledged = false;
    std::string history;  // For violations.
  };

  mutable std::mutex mutex_;
  std::int64_t starts_ = 0;
  std::map<std::string, State> tasks_;
  std::vector<std::string> violations_;
};

class FleetWorker;

struct WorkerRestart {
  std::int64_t clock_ms = 0;  // Value of the clock at the start.
  // Time from the start to the first heartbeat.
  std::int64_t first_heartbeat_ms = 500;
};

class Fleet {
 public:
  // Each worker sends its heartbeats to one of `controllers`, and tries the
  // next one after a response other than 200. Returns nullptr when an address
  // cannot be bound or the HTTP client cannot be created.
  static std::unique_ptr<Fleet> Start(const FleetOptions& options,
                                      std::vector<std::string> controllers);
  ~Fleet();

  // "ip:port" of the advice service.
  const std::string& advice_address() const { return advice_address_; }
  const TaskLedger& ledger() const { return ledger_; }
  // While set, the worker carries out no request and sends no heartbeat. It
  // responds only after the callers have timed out.
  void SetSilent(int worker, bool silent);
  // While set, the worker carries out starts and stops, but responds to them
  // only after the callers have timed out.
  void SetLosesResponses(int worker, bool loses_responses);
  // While set, nothing reaches the worker, and it sends no heartbeat.
  // Independent of SetSilent().
  void SetCutOff(int worker, bool cut_off);
  // Ends the worker with all its runs and connections, and starts it again
  // under its id and address. Returns false if its address cannot be bound.
  bool RestartWorker(int worker, const WorkerRestart& restart = {});
  std::int64_t ClockOf(int worker);
  int RunsOn(int worker);
  // "ip:port" where the worker listens, and the address that its heartbeats
  // report.
  std::string ListenAddress(int worker) const;
  std::string ReportedAddress(int worker) const;

 private:
  Fleet(const FleetOptions& options, std::vector<std::string> controllers);
  bool StartServers();
  std::unique_ptr<http::HttpServer> StartServer(
      int port,
      std::vector<http::HttpRoute> routes);
  std::unique_ptr<http::HttpServer> StartWorkerServer(int worker);
  void Run();
  void Advance();
  void SendHeartbeat(FleetWorker& worker);
  http::HttpResponse OnAdvise(const http::HttpRequest& request) const;

  const FleetOptions options_;
  const std::vector<std::string> controllers_;
  std::string advice_address_;
  TaskLedger ledger_;
  MetricsRegistry metrics_;
  std::mutex mutex_;  // Guards the workers and their servers.
  std::vector<std::unique_ptr<FleetWorker>> workers_;
  // Incarnations that have ended. Their last heartbeats may be on their way.
  std::vector<std::unique_ptr<FleetWorker>> former_workers_;
  std::vector<std::unique_ptr<http::HttpServer>> worker_servers_;
  std::unique_ptr<http::HttpServer> advice_server_;
  std::unique_ptr<http::HttpClient> client_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Returns the specification of a task for the stand-in workers: its duration
// and the resources that it uses.
std::string TaskSpec(std::int64_t run_ms,
                     std::int64_t milli_cpus,
                     std::int64_t memory_mb);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_FLEET_H_
