// A cell of real processes on loopback.
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
  // Connects all processes through a FaultProxy; the names of its links are
  // controller-N, entry-N, target-N and, for the test itself, caller.
  bool proxied = false;
  std::string regions[2] = {"region-a", "region-a"};  // In turn.
  std::vector<std::string> controller_arguments = {};
  std::vector<std::string> entry_arguments = {};
  std::vector<std::string> target_arguments = {};
};

class Cell {
 public:
  explicit Cell(CellOptions options);
  ~Cell();

  // Starts everything and waits until all entries are ready and all workers
  // live. Returns false, after printing the logs, when that takes too long.
  bool Start();

  void StartController(int n, bool bootstrap);
  void StartEntry(int n);
  void StartTarget(int n);
  Process& controller(int n) { return *controllers_[n]; }
  Process& entry(int n) { return *entries_[n]; }
  Process& target(int n) { return *targets_[n]; }
  // Kills a stand-in process and records that its tasks died with it.
  void KillTarget(int n);

  bool EntryReady(int n) const;
  // Number of the controller that the entries take for the leader, or -1.
  int Leader() const;
  int LiveWorkers() const;

  std::string entry_address(int n) const;
  std::vector<std::string> entry_addresses() const;
  std::string operator_token() const;
  std::string caller_token() const;
  HttpReply Operator(const std::string& method,
                     const std::string& path,
                     const std::string& body) const;
  // Environment that the client subcommands need.
  Process::Environment client_environment() const;

  Caller& caller() { return *caller_; }
  FaultProxy& proxy() { return *proxy_; }
  const std::string& folder() const { return folder_.path(); }
  std::vector<TargetRecord> records() const;

  // The checker's violations so far, printed on standard error.
  std::vector<std::string> Violations() const;
  // Prints the end of each log; for a test that fails.
  void PrintLogs() const;

 private:
  void Launch(std::unique_ptr<Process>& process,
              const std::string& program,
              const std::string& name,
              const std::vector<std::string>& arguments);
  void Connect(const std::string& name, std::uint16_t port, int count);
  std::string SourceOf(std::uint16_t port, std::uint16_t listen_port) const;
  std::uint16_t Reach(std::uint16_t port) const;
  std::string RecordPath() const;
  std::string LogPath(const std::string& name) const;
  Process::Environment Secrets() const;

  const CellOptions options_;
  TemporaryFolder folder_;
  std::uint16_t controller_port_ = 0;
  std::uint16_t entry_port_ = 0;
  std::uint16_t target_port_ = 0;
  std::uint16_t proxy_offset_ = 0;
  std::unique_ptr<FaultProxy> proxy_;
  mutable std::mutex mutex_;
  std::map<std::string, pid_t> pids_;  // Read by the proxy's thread.
  std::vector<std::unique_ptr<Process>> controllers_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> targets_;
  std::unique_ptr<Caller> caller_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_CELL_H_
