// A cell of real processes that listen on 127.0.0.1.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_CELL_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_CELL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "support/caller.h"
#include "support/fault_proxy.h"
#include "support/process.h"
#include "support/records.h"

namespace cranberryshunt::test {

struct CellOptions {
  int controllers = 3;
  int entries = 2;
  int target_processes = 2;
  int workers_per_process = 4;
  // Routes all connections between processes through a FaultProxy. The ends of
  // its links are named controller-N, entry-N, target-N and, for the test
  // itself, caller.
  bool proxied = false;
  // Process n of each kind is in regions[n % 2].
  std::string regions[2] = {"region-a", "region-a"};
  std::vector<std::string> controller_arguments = {};
  std::vector<std::string> entry_arguments = {};
  std::vector<std::string> target_arguments = {};
};

class Cell {
 public:
  explicit Cell(CellOptions options);
  ~Cell();

  // Starts all processes and waits until all entries are ready and all workers
  // are live. Prints the logs and returns false when that takes longer than
  // 20 s.
  bool Start();

  void StartController(int n, bool bootstrap);
  void StartEntry(int n);
  void StartTarget(int n);
  Process& controller(int n) { return *controllers_[n]; }
  Process& entry(int n) { return *entries_[n]; }
  Process& target(int n) { return *targets_[n]; }
  // Kills a stand-in process and records that the tasks of its workers ended
  // with it.
  void KillTarget(int n);

  bool IsEntryReady(int n) const;
  // Number of the controller that the entries report as the leader, or -1.
  int FindLeader() const;
  // Number of workers that the entries report as live.
  int CountLiveWorkers() const;

  std::string entry_address(int n) const;
  std::vector<std::string> entry_addresses() const;
  std::string operator_token() const;
  std::string caller_token() const;
  // Sends a request with the operator token to the entries in turn until one
  // responds with a status other than 503. Returns the last response.
  HttpReply CallAsOperator(const std::string& method,
                           const std::string& path,
                           const std::string& body) const;
  // Environment variables that the client subcommands need.
  Process::Environment client_environment() const;

  Caller& caller() { return *caller_; }
  FaultProxy& proxy() { return *proxy_; }
  const std::string& folder() const { return folder_.path(); }
  std::vector<TargetRecord> records() const;

  // Checks the records so far, prints each violation on standard error and
  // returns all of them.
  std::vector<std::string> CheckInvariants() const;
  // Prints the last 3,000 bytes of each log on standard error, for the output
  // of a failed test.
  void PrintLogs() const;

 private:
  void StartProcess(std::unique_ptr<Process>& process,
                    const std::string& program,
                    const std::string& name,
                    const std::vector<std::string>& arguments);
  void ListenOnProxy(const std::string& name, std::uint16_t port, int count);
  std::string ResolveSource(std::uint16_t port,
                            std::uint16_t listen_port) const;
  // The port where others reach the process that listens on `port`: that of the
  // proxy if there is one.
  std::uint16_t AdvertisedPort(std::uint16_t port) const;
  std::string RecordPath() const;
  std::string LogPath(const std::string& name) const;
  Process::Environment ProcessEnvironment() const;

  const CellOptions options_;
  TemporaryFolder folder_;
  std::uint16_t controller_port_ = 0;
  std::uint16_t entry_port_ = 0;
  std::uint16_t target_port_ = 0;
  std::uint16_t proxy_offset_ = 0;
  std::unique_ptr<FaultProxy> proxy_;
  mutable std::mutex mutex_;
  std::map<std::string, pid_t> pids_;  // Also read by the proxy's thread.
  std::vector<std::unique_ptr<Process>> controllers_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> targets_;
  std::unique_ptr<Caller> caller_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_CELL_H_
