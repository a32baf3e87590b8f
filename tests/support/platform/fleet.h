// Workers and the advice service of the users' platform, as stand-ins in this
// process. They keep leases and fences like real ones and note what must never
// happen.
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
  // Added to the ports that workers report, so that a proxy can stand between.
  int reported_port_offset = 0;
  // Share of the workers that the advice service allows for a step.
  double allowed_share = 1;
};

// What all workers together have seen of each task.
class TaskLedger {
 public:
  void Started(const std::string& task);
  void Ended(const std::string& task, bool done);
  void Acknowledged(const std::string& task);
  void Violation(const std::string& text);

  std::int64_t starts() const;
  std::vector<std::string> violations() const;
  // Tasks of the job that have started, have ended as done, or run now.
  struct JobCounts {
    std::int64_t started = 0;
    std::int64_t done = 0;
    std::int64_t live = 0;
  };
  JobCounts CountsOf(const std::string& job) const;

 private:
  struct State {
    int live = 0;
    bool done = false;
    bool acknowledged = false;
  };

  mutable std::mutex mutex_;
  std::int64_t starts_ = 0;
  std::map<std::string, State> tasks_;
  std::vector<std::string> violations_;
};

class FleetWorker;

class Fleet {
 public:
  // Workers report to the first of `controllers` that takes the report. Returns
  // nullptr when an address cannot be bound.
  static std::unique_ptr<Fleet> Start(const FleetOptions& options,
                                      std::vector<std::string> controllers);
  ~Fleet();

  // "ip:port" of the advice service.
  const std::string& advice_address() const { return advice_address_; }
  const TaskLedger& ledger() const { return ledger_; }
  // The worker answers nothing and reports nothing any more.
  void Silence(int worker, bool silent);
  // The worker carries orders out and holds its answers to starts and stops
  // back until their callers have given up.
  void LoseAnswers(int worker, bool lost);
  // "ip:port" where the worker listens, and where it says that it does.
  std::string ListenAddress(int worker) const;
  std::string ReportedAddress(int worker) const;

 private:
  Fleet(const FleetOptions& options, std::vector<std::string> controllers);
  bool Listen();
  void Run();
  void Report(FleetWorker& worker);
  http::HttpResponse OnAdvise(const http::HttpRequest& request) const;

  const FleetOptions options_;
  const std::vector<std::string> controllers_;
  std::string advice_address_;
  TaskLedger ledger_;
  MetricsRegistry metrics_;
  std::vector<std::unique_ptr<FleetWorker>> workers_;
  std::vector<std::unique_ptr<http::HttpServer>> servers_;
  std::unique_ptr<http::HttpClient> client_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Text that tells a stand-in worker how long a task runs and what it takes.
std::string TaskSpec(std::int64_t run_ms,
                     std::int64_t milli_cpus,
                     std::int64_t memory_mb);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_FLEET_H_
