// Controllers and entries of the users' platform as real processes, each with a
// loopback address of its own, and a fleet of stand-in workers.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_PLATFORM_CELL_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_PLATFORM_CELL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/http/http_client.h"
#include "support/platform/fleet.h"
#include "support/process.h"

namespace cranberryshunt::test {

struct PlatformCellOptions {
  int controllers = 3;
  int entries = 2;
  FleetOptions fleet;
};

// A queue of the published configuration. Its jobs are under "/NAME/".
struct PlatformQueue {
  std::string name;
  int priority = 1;
  int target_ms = 5'000;
  double stretch = 3;
  bool advice = false;
  double advice_base_ms = 5;
  double advice_per_worker_ms = 0.1;
  bool allow_anonymous = false;
};

// A client account of the published configuration, without a cap.
struct PlatformAccount {
  std::string name;
  std::vector<std::string> keys;
};

class PlatformCell {
 public:
  explicit PlatformCell(const PlatformCellOptions& options);

  // Starts all processes and waits until the entries are ready.
  bool Start();
  void StartController(int n, bool bootstrap);
  void StartEntry(int n);
  // Deletes the data folder of a controller that is not running.
  void WipeController(int n) const;
  // Replaces the settings file of a controller, which may be running.
  void WriteControllerSettings(int n,
                               bool bootstrap,
                               const std::vector<int>& seeds) const;

  Process& controller(int n) {
    return *controllers_[static_cast<std::size_t>(n)];
  }
  Process& entry(int n) { return *entries_[static_cast<std::size_t>(n)]; }
  Fleet& fleet() { return *fleet_; }
  // Number of the running controller that serves requests itself instead of
  // redirecting them; -1 if there is none.
  int FindLeader();
  // Log lines that contain `text`, those of the controllers first.
  std::vector<std::string> LogLines(const std::string& text) const;

  // Publishes a configuration through any controller. Retries for up to 20 s
  // until the HTTP status is 200 or 400; returns the last status.
  int Publish(int version,
              const std::vector<PlatformQueue>& queues,
              const std::optional<std::vector<PlatformAccount>>& accounts = {});
  http::HttpAnswer CallController(int controller,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body);
  // Sends `key`, or else that of SetCallerKey(), if it is not empty.
  http::HttpAnswer CallEntry(int entry,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body = {},
                             const std::optional<std::string>& key = {});
  void SetCallerKey(const std::string& key) { caller_key_ = key; }
  // "ip:port" where callers reach an entry, and the HTTP host of all queues.
  static std::string EntryAddress(int n);
  // "ip:port" where workers and operators reach a controller.
  static std::string ControlAddress(int n);
  static const char* Host();
  // Submits a job of one step to the entries in turn, for up to 20 s, until one
  // responds with a status other than 504; returns the last HTTP status, 0
  // without a response.
  int Submit(const std::string& queue,
             const std::string& id,
             int tasks,
             std::int64_t run_ms,
             std::int64_t milli_cpus);
  // The "state" field of the job; empty when no entry responds with status 200.
  std::string StateOf(const std::string& queue, const std::string& id);
  bool WaitForState(const std::string& queue,
                    const std::string& id,
                    const std::string& state,
                    Milliseconds bound);

 private:
  std::string SettingsPath(const std::string& name) const;
  std::string DataPath(int controller) const;
  std::string FormatSettings(const std::string& name,
                             const std::string& ip,
                             const std::vector<int>& seeds,
                             bool bootstrap) const;
  std::vector<int> DefaultSeeds() const;

  const PlatformCellOptions options_;
  std::string caller_key_;
  TemporaryFolder folder_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<http::HttpClient> client_;
  std::vector<std::unique_ptr<Process>> controllers_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PLATFORM_PLATFORM_CELL_H_
