// Processes, ports, folders and bounded waits for integration tests.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_PROCESS_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryshunt::test {

using Milliseconds = std::chrono::milliseconds;

// Polls `condition` until it holds; returns false when `bound` has passed.
bool WaitUntil(Milliseconds bound, const std::function<bool()>& condition);

// Returns a port of 127.0.0.1 that nothing listens on, from 20000 to 31999:
// below the range of outgoing connections. Does not return a port again before
// all others of the range were tried.
std::uint16_t FindFreePort();
// Returns the first of `count` such ports in a row.
std::uint16_t FindFreePorts(int count);

// Returns "127.0.0.1:PORT".
std::string LoopbackAddress(std::uint16_t port);

// A new folder, removed with its contents by the destructor unless the
// environment variable KEEP_TEST_FOLDERS is set.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A child process that runs a program of the build.
class Process {
 public:
  using Environment = std::vector<std::pair<std::string, std::string>>;

  // `program` is a file name in the build's bin folder. `environment` is added
  // to the variables of the test. Standard output and standard error are
  // appended to `log_path`. Returns nullptr when the program cannot be started.
  static std::unique_ptr<Process> Start(const std::string& program,
                                        std::vector<std::string> arguments,
                                        const Environment& environment,
                                        const std::string& log_path);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Returns the exit code, or 128 plus the signal that ended the process, or
  // std::nullopt when it still runs after `bound`.
  std::optional<int> Wait(Milliseconds bound);
  bool running() { return !Wait(Milliseconds(0)).has_value(); }
  // Sends SIGKILL and waits up to 10 s for the end.
  void Kill();
  // The output so far.
  std::string ReadLog() const;

 private:
  Process(pid_t pid, std::string log_path)
      : pid_(pid), log_path_(std::move(log_path)) {}

  pid_t pid_;
  std::string log_path_;
  std::optional<int> exit_code_;
};

// Resources that a process has used so far.
struct ProcessUsage {
  double cpu_seconds = 0;
  double user_seconds = 0;  // The part of cpu_seconds spent in user mode.
  double resident_mb = 0;   // In units of 1,000,000 bytes.
};
ProcessUsage ReadUsage(pid_t pid);

struct RunResult {
  int exit_code = -1;  // -1 when not started or killed after the bound.
  std::string output;
};
// Runs a program to its end; kills it after `bound`.
RunResult RunProgram(const std::string& program,
                     const std::vector<std::string>& arguments,
                     const Process::Environment& environment,
                     Milliseconds bound);

// Seed of this run: the environment variable TEST_SEED, or else a random one.
// Printed on first use.
std::uint64_t TestSeed();

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PROCESS_H_
