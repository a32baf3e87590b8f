// Processes, ports, folders and bounded waits of integration tests.
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

// A port of 127.0.0.1 below the range of outgoing connections that nothing
// listens on. Never returns the same port twice in one process.
std::uint16_t FreePort();
// The first of `count` such ports in a row.
std::uint16_t FreePorts(int count);

std::string LoopbackAddress(std::uint16_t port);

// Removed with its contents at the end, unless KEEP_TEST_FOLDERS is set.
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

// A program of the build that runs as a process of its own.
class Process {
 public:
  using Environment = std::vector<std::pair<std::string, std::string>>;

  // `program` is a name in the build's folder of programs. Output is appended
  // to `log_path`. Returns nullptr when the program cannot be started.
  static std::unique_ptr<Process> Start(const std::string& program,
                                        std::vector<std::string> arguments,
                                        const Environment& environment,
                                        const std::string& log_path);
  // Kills the process when it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Exit code, or 128 plus the signal; nothing when it still runs after
  // `bound`.
  std::optional<int> Wait(Milliseconds bound);
  bool running() { return !Wait(Milliseconds(0)).has_value(); }
  // Kills and waits.
  void Kill();
  std::string Log() const;

 private:
  Process(pid_t pid, std::string log_path)
      : pid_(pid), log_path_(std::move(log_path)) {}

  pid_t pid_;
  std::string log_path_;
  std::optional<int> exit_code_;
};

// What a process has used so far.
struct ProcessUsage {
  double cpu_seconds = 0;
  double user_seconds = 0;  // Of these, outside the kernel.
  double resident_mb = 0;
};
ProcessUsage ReadUsage(pid_t pid);

// Runs a program to its end; kills it after `bound`.
struct RunResult {
  int exit_code = -1;
  std::string output;
};
RunResult RunProgram(const std::string& program,
                     const std::vector<std::string>& arguments,
                     const Process::Environment& environment,
                     Milliseconds bound);

// Seed of this run: TEST_SEED or a random one; printed once.
std::uint64_t TestSeed();

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PROCESS_H_
