#include "support/cell.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "support/checker.h"
#include "support/json.h"
#include "support/socket_owner.h"

namespace cranberryshunt::test {

namespace {

constexpr char kClusterSecret[] = "integration-test-secret";
constexpr char kCallerToken[] = "caller-token";
constexpr char kTargetToken[] = "target-token";
constexpr char kOperatorToken[] = "operator-token";
constexpr Milliseconds kStartBound{20'000};
constexpr Milliseconds kRequestTimeout{2'000};

std::string ProcessName(const char* role, int n) {
  return std::string(role) + "-" + std::to_string(n);
}

void Append(std::vector<std::string>& arguments,
            const std::vector<std::string>& more) {
  arguments.insert(arguments.end(), more.begin(), more.end());
}

}  // namespace

Cell::Cell(CellOptions options) : options_(std::move(options)) {
  const int targets = options_.target_processes * options_.workers_per_process;
  const int count = options_.controllers + options_.entries + targets;
  controller_port_ = FindFreePorts(options_.proxied ? 2 * count : count);
  entry_port_ = controller_port_ + options_.controllers;
  target_port_ = entry_port_ + options_.entries;
  proxy_offset_ = options_.proxied ? count : 0;
  controllers_.resize(options_.controllers);
  entries_.resize(options_.entries);
  targets_.resize(options_.target_processes);
  if (options_.proxied) {
    proxy_ = std::make_unique<FaultProxy>(
        [this](std::uint16_t port, std::uint16_t listen_port) {
          return ResolveSource(port, listen_port);
        });
    for (int n = 0; n < options_.controllers; ++n) {
      ListenOnProxy(ProcessName("controller", n), controller_port_ + n, 1);
    }
    for (int n = 0; n < options_.entries; ++n) {
      ListenOnProxy(ProcessName("entry", n), entry_port_ + n, 1);
    }
    for (int n = 0; n < options_.target_processes; ++n) {
      ListenOnProxy(ProcessName("target", n),
                    target_port_ + n * options_.workers_per_process,
                    options_.workers_per_process);
    }
  }
  caller_ = std::make_unique<Caller>(entry_addresses(), kCallerToken);
}

// Stops the targets last, so that no process is left that would try to connect
// to them.
Cell::~Cell() {
  controllers_.clear();
  entries_.clear();
  targets_.clear();
}

void Cell::ListenOnProxy(const std::string& name,
                         std::uint16_t port,
                         int count) {
  for (int n = 0; n < count; ++n) {
    proxy_->Listen(name, AdvertisedPort(port + n), port + n);
  }
}

std::uint16_t Cell::AdvertisedPort(std::uint16_t port) const {
  return port + proxy_offset_;
}

std::string Cell::ResolveSource(std::uint16_t port,
                                std::uint16_t listen_port) const {
  const std::string inode = FindSocketInode(port, listen_port);
  const std::lock_guard lock(mutex_);
  for (const auto& [name, pid] : pids_) {
    if (OwnsSocket(pid, inode)) {
      return name;
    }
  }
  return "caller";
}

void Cell::StartProcess(std::unique_ptr<Process>& process,
                        const std::string& program,
                        const std::string& name,
                        const std::vector<std::string>& arguments) {
  process =
      Process::Start(program, arguments, ProcessEnvironment(), LogPath(name));
  if (process) {
    const std::lock_guard lock(mutex_);
    pids_[name] = process->pid();
  }
}

std::string Cell::RecordPath() const {
  return folder_.path() + "/records.jsonl";
}

std::string Cell::LogPath(const std::string& name) const {
  return folder_.path() + "/" + name + ".log";
}

Process::Environment Cell::ProcessEnvironment() const {
  return {{"CRANBERRYSHUNT_CLUSTER_SECRET", kClusterSecret},
          {"CRANBERRYSHUNT_CALLER_TOKEN", kCallerToken},
          {"CRANBERRYSHUNT_TARGET_TOKEN", kTargetToken},
          {"CRANBERRYSHUNT_OPERATOR_TOKEN", kOperatorToken},
          // Drains quickly, since no load balancer must be given time here. A
          // command-line flag of a test overrides this value.
          {"CRANBERRYSHUNT_DRAIN_GRACE", "200"}};
}

bool Cell::Start() {
  for (int n = 0; n < options_.controllers; ++n) {
    StartController(n, true);
  }
  for (int n = 0; n < options_.entries; ++n) {
    StartEntry(n);
  }
  for (int n = 0; n < options_.target_processes; ++n) {
    StartTarget(n);
  }
  const int workers = options_.target_processes * options_.workers_per_process;
  const bool ready = WaitUntil(kStartBound, [&] {
    for (int n = 0; n < options_.entries; ++n) {
      if (!IsEntryReady(n)) {
        return false;
      }
    }
    return CountLiveWorkers() == workers;
  });
  if (!ready) {
    std::fprintf(stderr,
                 "the cell did not start in time: %d workers are live\n",
                 CountLiveWorkers());
    PrintLogs();
  }
  return ready;
}

void Cell::StartController(int n, bool bootstrap) {
  std::string members;
  for (int i = 0; i < options_.controllers; ++i) {
    members += (i == 0 ? "" : ",") + ProcessName("controller", i) + "=" +
               LoopbackAddress(AdvertisedPort(controller_port_ + i));
  }
  const std::uint16_t port = controller_port_ + n;
  std::vector<std::string> arguments = {
      "controller",
      "--id",
      ProcessName("controller", n),
      "--listen",
      LoopbackAddress(port),
      "--advertise",
      LoopbackAddress(AdvertisedPort(port)),
      "--data",
      folder_.path() + "/" + ProcessName("controller", n),
      "--region",
      options_.regions[n % 2],
      "--zone",
      "zone-" + std::to_string(n % 3),
      "--members",
      members};
  if (bootstrap) {
    arguments.emplace_back("--bootstrap");
  }
  Append(arguments, options_.controller_arguments);
  StartProcess(controllers_[n], "cranberryshunt", ProcessName("controller", n),
               arguments);
}

void Cell::StartEntry(int n) {
  std::string controllers;
  for (int i = 0; i < options_.controllers; ++i) {
    controllers += (i == 0 ? "" : ",") +
                   LoopbackAddress(AdvertisedPort(controller_port_ + i));
  }
  std::vector<std::string> arguments = {"entry",
                                        "--id",
                                        ProcessName("entry", n),
                                        "--listen",
                                        LoopbackAddress(entry_port_ + n),
                                        "--controllers",
                                        controllers,
                                        "--region",
                                        options_.regions[n % 2],
                                        "--zone",
                                        "zone-" + std::to_string(n % 3),
                                        "--entries",
                                        std::to_string(options_.entries)};
  Append(arguments, options_.entry_arguments);
  StartProcess(entries_[n], "cranberryshunt", ProcessName("entry", n),
               arguments);
}

void Cell::StartTarget(int n) {
  const std::uint16_t port = target_port_ + n * options_.workers_per_process;
  std::string entries;
  for (const auto& address : entry_addresses()) {
    entries += (entries.empty() ? "" : ",") + address;
  }
  std::vector<std::string> arguments = {
      "--identity",       ProcessName("target", n),
      "--count",          std::to_string(options_.workers_per_process),
      "--port",           std::to_string(port),
      "--advertise-port", std::to_string(AdvertisedPort(port)),
      "--entries",        entries,
      "--records",        RecordPath(),
      "--region",         options_.regions[n % 2],
      "--zones",          "zone-0,zone-1,zone-2"};
  Append(arguments, options_.target_arguments);
  StartProcess(targets_[n], "standin_target", ProcessName("target", n),
               arguments);
}

void Cell::KillTarget(int n) {
  targets_[n]->Kill();
  const RecordFile records(RecordPath());
  for (int i = 0; i < options_.workers_per_process; ++i) {
    TargetRecord dead;
    dead.event = "dead";
    dead.boot_us = BootMicroseconds();
    dead.worker = ProcessName("target", n) + "-" + std::to_string(i);
    records.Append(dead);
  }
}

std::string Cell::entry_address(int n) const {
  return LoopbackAddress(AdvertisedPort(entry_port_ + n));
}

std::vector<std::string> Cell::entry_addresses() const {
  std::vector<std::string> out;
  out.reserve(options_.entries);
  for (int n = 0; n < options_.entries; ++n) {
    out.push_back(entry_address(n));
  }
  return out;
}

std::string Cell::operator_token() const {
  return kOperatorToken;
}

std::string Cell::caller_token() const {
  return kCallerToken;
}

Process::Environment Cell::client_environment() const {
  std::string entries;
  for (const auto& address : entry_addresses()) {
    entries += (entries.empty() ? "" : ",") + address;
  }
  auto out = ProcessEnvironment();
  out.emplace_back("CRANBERRYSHUNT_ENTRY", entries);
  return out;
}

HttpReply Cell::CallAsOperator(const std::string& method,
                               const std::string& path,
                               const std::string& body) const {
  HttpReply reply;
  for (int n = 0; n < options_.entries; ++n) {
    reply = SendHttpRequest(method, entry_address(n), path, kOperatorToken,
                            body, kRequestTimeout);
    if (reply.status != 0 && reply.status != 503) {
      break;
    }
  }
  return reply;
}

bool Cell::IsEntryReady(int n) const {
  // Connects directly: through the proxy, a cut link from the caller would make
  // a ready entry look unready.
  return SendHttpRequest("GET", LoopbackAddress(entry_port_ + n), "/readyz", "",
                         "", kRequestTimeout)
             .status == 200;
}

int Cell::FindLeader() const {
  const auto reply = CallAsOperator("GET", "/v1/cluster", "");
  const std::string id = TextOf(ParseJson(reply.body).get(), "leader_id");
  for (int n = 0; n < options_.controllers; ++n) {
    if (id == ProcessName("controller", n)) {
      return n;
    }
  }
  return -1;
}

int Cell::CountLiveWorkers() const {
  const Json body = ParseJson(CallAsOperator("GET", "/v1/cluster", "").body);
  int live = 0;
  std::size_t index = 0;
  const json_t* worker = nullptr;
  json_array_foreach(json_object_get(body.get(), "workers"), index, worker) {
    live += BoolOf(worker, "live") ? 1 : 0;
  }
  return live;
}

std::vector<TargetRecord> Cell::records() const {
  return ReadRecords(RecordPath());
}

std::vector<std::string> Cell::CheckInvariants() const {
  auto violations = FindViolations(records(), caller_->records());
  for (const auto& line : violations) {
    std::fprintf(stderr, "violation: %s\n", line.c_str());
  }
  return violations;
}

void Cell::PrintLogs() const {
  constexpr std::size_t kTailBytes = 3'000;
  for (const auto& item : std::filesystem::directory_iterator(folder_.path())) {
    if (item.path().extension() != ".log") {
      continue;
    }
    std::ifstream in(item.path());
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    std::fprintf(
        stderr, "---- %s\n%s\n", item.path().filename().c_str(),
        text.substr(text.size() - std::min(text.size(), kTailBytes)).c_str());
  }
}

}  // namespace cranberryshunt::test
