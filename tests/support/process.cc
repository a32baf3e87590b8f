#include "support/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kPollInterval{5};
constexpr int kFirstPort = 20'000;
// Ends below 32768, where the range of outgoing connections starts.
constexpr int kPortCount = 12'000;
constexpr int kSignalBase = 128;

bool CanListen(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
  ::close(fd);
  return free;
}

std::vector<char*> NullTerminatedPointers(std::vector<std::string>& texts) {
  std::vector<char*> out;
  out.reserve(texts.size() + 1);
  for (auto& text : texts) {
    out.push_back(text.data());
  }
  out.push_back(nullptr);
  return out;
}

std::vector<std::string> MergedEnvironment(
    const Process::Environment& additions) {
  std::vector<std::string> out;
  for (char** it = environ; *it != nullptr; ++it) {
    out.emplace_back(*it);
  }
  for (const auto& [name, value] : additions) {
    std::string& item = out.emplace_back(name);
    item.append("=").append(value);
  }
  return out;
}

// Starts the guard process, which kills the remaining child processes when this
// process ends. Returns the write end of the pipe to the guard's input.
int StartGuard() {
  int ends[2] = {-1, -1};
  if (::pipe2(ends, O_CLOEXEC) != 0) {
    std::abort();
  }
  std::string path = std::string(BINARY_DIRECTORY) + "/process_guard";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[0], STDIN_FILENO);
  char* arguments[] = {path.data(), nullptr};
  pid_t pid = -1;
  if (::posix_spawn(&pid, path.c_str(), &actions, nullptr, arguments,
                    environ) != 0) {
    std::abort();
  }
  posix_spawn_file_actions_destroy(&actions);
  ::close(ends[0]);
  return ends[1];
}

// Adds ('+') or removes ('-') a process that the guard has to kill.
void NotifyGuard(char sign, pid_t pid) {
  static const int guard = StartGuard();
  const std::string line = sign + std::to_string(pid) + "\n";
  if (::write(guard, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    std::abort();
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

bool WaitUntil(Milliseconds bound, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::uint16_t FindFreePorts(int count) {
  // Concurrent test programs start at different ports.
  static std::atomic<int> next = (::getpid() * 97) % kPortCount;
  while (true) {
    const int begin = next.fetch_add(count) % kPortCount;
    bool free = begin + count <= kPortCount;
    for (int n = 0; free && n < count; ++n) {
      free = CanListen(kFirstPort + begin + n);
    }
    if (free) {
      return static_cast<std::uint16_t>(kFirstPort + begin);
    }
  }
}

std::uint16_t FindFreePort() {
  return FindFreePorts(1);
}

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

TemporaryFolder::TemporaryFolder() {
  path_ = (std::filesystem::temp_directory_path() / "cranberryshunt.XXXXXX")
              .string();
  if (::mkdtemp(path_.data()) == nullptr) {
    std::abort();
  }
}

TemporaryFolder::~TemporaryFolder() {
  if (std::getenv("KEEP_TEST_FOLDERS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
  } else {
    std::fprintf(stderr, "kept folder %s\n", path_.c_str());
  }
}

std::unique_ptr<Process> Process::Start(const std::string& program,
                                        std::vector<std::string> arguments,
                                        const Environment& environment,
                                        const std::string& log_path) {
  const std::string path = std::string(BINARY_DIRECTORY) + "/" + program;
  arguments.insert(arguments.begin(), path);
  auto variables = MergedEnvironment(environment);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = -1;
  const int ec = ::posix_spawn(&pid, path.c_str(), &actions, nullptr,
                               NullTerminatedPointers(arguments).data(),
                               NullTerminatedPointers(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    std::fprintf(stderr, "cannot start program %s\n", path.c_str());
    return nullptr;
  }
  NotifyGuard('+', pid);
  return std::unique_ptr<Process>(new Process(pid, log_path));
}

Process::~Process() {
  Kill();
}

void Process::Signal(int signal) const {
  if (!exit_code_) {
    ::kill(pid_, signal);
  }
}

std::optional<int> Process::Wait(Milliseconds bound) {
  WaitUntil(bound, [&] {
    int status = 0;
    if (!exit_code_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalBase + WTERMSIG(status);
      NotifyGuard('-', pid_);
    }
    return exit_code_.has_value();
  });
  return exit_code_;
}

void Process::Kill() {
  constexpr Milliseconds kKillBound{10'000};
  Signal(SIGKILL);
  Wait(kKillBound);
}

std::string Process::ReadLog() const {
  return ReadFile(log_path_);
}

ProcessUsage ReadUsage(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(in, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  // Indexes that start at the state field, the third field of the line. The
  // split begins there because the second field, the name, may contain spaces.
  constexpr int kUserTime = 11;
  constexpr int kSystemTime = 12;
  constexpr int kResidentPages = 21;
  ProcessUsage usage;
  std::string word;
  for (int n = 0; fields >> word && n <= kResidentPages; ++n) {
    if (n == kUserTime || n == kSystemTime) {
      const auto spent =
          std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
      usage.cpu_seconds += spent;
      usage.user_seconds += n == kUserTime ? spent : 0;
    } else if (n == kResidentPages) {
      usage.resident_mb =
          std::stod(word) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
  }
  return usage;
}

RunResult RunProgram(const std::string& program,
                     const std::vector<std::string>& arguments,
                     const Process::Environment& environment,
                     Milliseconds bound) {
  const TemporaryFolder folder;
  auto process = Process::Start(program, arguments, environment,
                                folder.path() + "/output");
  if (!process) {
    return {};
  }
  const auto exit_code = process->Wait(bound);
  process->Kill();
  return {exit_code.value_or(-1), process->ReadLog()};
}

std::uint64_t TestSeed() {
  static const std::uint64_t seed = [] {
    const char* given = std::getenv("TEST_SEED");
    const std::uint64_t chosen = given != nullptr
                                     ? std::strtoull(given, nullptr, 10)
                                     : std::random_device()();
    std::fprintf(stderr, "TEST_SEED=%llu\n",
                 static_cast<unsigned long long>(chosen));
    return chosen;
  }();
  return seed;
}

}  // namespace cranberryshunt::test
