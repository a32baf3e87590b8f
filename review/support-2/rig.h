// A small deployment on loopback addresses for the cases of the second review:
// the project's own controllers and entries as processes, and stand-ins for
// workers, callers, the operator and the links between workers and controllers.
#ifndef REVIEW_SUPPORT_2_RIG_H_
#define REVIEW_SUPPORT_2_RIG_H_

#include <jansson.h>
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Milliseconds of the steady clock since the start of this process.
std::int64_t NowMs();
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);
bool WaitUntil(std::int64_t timeout_ms, const std::function<bool()>& done);
// Whether the disruption is to be played.
bool Trouble();

// record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  static void Open(const std::string& path);
  static void Add(const std::string& line);
};

struct HttpAnswer {
  int status = 0;  // 0 without an answer.
  std::string body;
  std::string location;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// A client connection that is kept between calls.
class Connection {
 public:
  explicit Connection(std::string address) : address_(std::move(address)) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  HttpAnswer Call(const std::string& method,
                  const std::string& path,
                  const Headers& headers,
                  const std::string& body,
                  std::int64_t timeout_ms);
  void Close();
  bool open() const { return fd_ >= 0; }
  const std::string& address() const { return address_; }

 private:
  const std::string address_;
  int fd_ = -1;
};

HttpAnswer CallOnce(const std::string& address,
                    const std::string& method,
                    const std::string& path,
                    const Headers& headers,
                    const std::string& body,
                    std::int64_t timeout_ms);

// A TCP proxy: the link between two machines. While a direction is cut, its
// bytes are held back, and new connections are not passed on.
class Link {
 public:
  Link(const std::string& listen_address, std::string target);
  ~Link();
  // `forward` is the direction from the side that connects.
  void Cut(bool forward, bool backward);
  bool ok() const { return listen_fd_ >= 0; }

 private:
  void Run();
  void Pump(int client);

  const std::string target_;
  int listen_fd_ = -1;
  std::atomic<bool> cut_forward_ = false;
  std::atomic<bool> cut_backward_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
  std::mutex mutex_;
  std::list<std::thread> pumps_;
};

// One run of a task on a worker, as the worker saw it.
struct RunSpan {
  std::string task;
  int run = 0;
  std::string worker;
  std::string service;
  std::string spec;
  std::int64_t begin_ms = 0;
  std::int64_t end_ms = -1;  // -1 while it runs.
  std::string how;
};

// All runs on all workers.
class RunLog {
 public:
  static std::size_t Begin(const RunSpan& span);
  static void End(std::size_t n, const std::string& how);
  static std::vector<RunSpan> All();
};

struct WorkerOptions {
  std::string id;
  std::string service;
  // Address that it announces, and at which it listens. They differ if a link
  // lies between.
  std::string announced;
  std::string listens;
  // Control addresses as the worker reaches them, by the controllers' own.
  std::vector<std::pair<std::string, std::string>> controllers;
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 32'768;
  std::string rack = "r1";
  std::int64_t max_hold_ms = 6'000;
  std::int64_t gang_timeout_ms = 3'000;
  // Controller to which it reports first.
  std::size_t first_controller = 0;
};

// A worker of the platform. A task's spec says what it does: "done N" ends as
// done after N ms of work, "fail N" ends as failed, anything else goes on.
class Worker {
 public:
  explicit Worker(WorkerOptions options);
  ~Worker();
  bool Start();
  // Ends without a word, with all that runs on it.
  void Crash();
  // Starts again under the same id, and knows nothing of before.
  bool Restart();
  // From the next heartbeat on, it says that it drains. Returns whether that
  // was acknowledged.
  bool Drain(std::int64_t timeout_ms);
  // Sends the deregistration to the controller that it reports to. Returns
  // whether it was acknowledged within `timeout_ms`. Its tasks run on.
  bool Deregister(std::int64_t timeout_ms);
  // Ends, with all that runs on it.
  void End();

  bool alive() const { return alive_; }
  std::size_t running() const;
  // Own address of the controller that acknowledged its last heartbeat.
  std::string controller() const;
  bool HasOpenConnection() const;
  const std::string& id() const { return options_.id; }
  std::int64_t born() const { return born_ms_; }
  const WorkerOptions& options() const { return options_; }

 private:
  struct Run {
    int run = 0;
    std::string spec;
    std::int64_t begin_ms = 0;
    std::size_t span = 0;
    std::int64_t stop_at_ms = -1;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  void Accept();
  void Serve(int fd);
  void Tick();
  void Report();
  bool SendHeartbeat();
  std::string HeartbeatBody();
  std::pair<int, std::string> Handle(const std::string& path,
                                     const std::string& expected,
                                     json_t* body);
  std::string Lists(std::unique_lock<std::mutex>& lock);
  std::string ClockOnly() const;
  std::int64_t ClockMs() const { return NowMs() - started_ms_ + 1'000; }
  void EndRun(std::map<std::string, Run>::iterator it, const std::string& how);
  void StopAll(const std::string& how);

  const WorkerOptions options_;
  std::atomic<bool> alive_ = false;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> drain_acknowledged_ = false;
  std::int64_t born_ms_ = 0;
  std::int64_t started_ms_ = 0;
  int listen_fd_ = -1;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t fence_ = 0;
  std::int64_t lease_ms_ = 0;
  std::int64_t next_end_ = 1;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> barred_;
  std::vector<Ended> ended_;
  std::list<int> open_fds_;
  std::int64_t sequence_ = 0;
  mutable std::mutex report_mutex_;
  std::size_t controller_ = 0;
  std::unique_ptr<Connection> connection_;
  std::thread accept_thread_;
  std::thread tick_thread_;
  std::thread report_thread_;
  std::list<std::thread> serve_threads_;
};

struct DeploymentOptions {
  int controllers = 5;
  int entries = 2;
  int far_x = 2;
};

// The project's processes, the operator and the callers.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();
  bool Start();
  // Address of a machine; ids from 1 to 250.
  std::string Ip(int machine) const;
  std::string ControlAddress(int n) const;
  int worker_port() const { return base_port_ + 30; }
  std::string WorkerAddress(int machine) const;
  std::vector<std::string> ControlAddresses() const;
  // Returns the number of the controller that leads, or -1.
  int Leader() const;
  bool Publish(const std::string& body);
  HttpAnswer CallEntry(int entry,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body);
  // Hands a job in as a client does: again at the next entry without a clear
  // answer. Returns the status of the last answer.
  int Submit(const std::string& path, const std::string& body);
  std::string StateOf(const std::string& path);
  int Cancel(const std::string& path);
  void Signal(int controller, int signal) const;
  bool StartController(int n, bool bootstrap);

  static constexpr char kHost[] = "jobs.example";

 private:
  pid_t Spawn(const std::string& name, const char* subcommand) const;
  std::string Settings(const std::string& name,
                       const std::string& ip,
                       bool core,
                       bool bootstrap) const;

  const DeploymentOptions options_;
  std::string folder_;
  int network_a_ = 0;
  int network_b_ = 0;
  int base_port_ = 0;
  std::vector<pid_t> controllers_;
  std::vector<pid_t> entries_;
};

// A configuration with one queue at /q/ and one service.
std::string Configuration(int version,
                          const std::string& service,
                          int max_attempts);
std::string JobBody(const std::string& spec,
                    int count,
                    std::int64_t cpu,
                    std::int64_t estimate_ms,
                    const std::string& more = "");

// Two runs of one task that overlapped for more than this, on workers that were
// up, are a break of TWICE. The margin only allows for the order of two log
// entries.
constexpr std::int64_t kOverlapMarginMs = 20;
// Returns a description of each overlap.
std::vector<std::string> FindDoubleRuns();

}  // namespace rig

#endif  // REVIEW_SUPPORT_2_RIG_H_
