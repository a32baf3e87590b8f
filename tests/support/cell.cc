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
constexpr Milliseconds kCallTimeout{2'000};

std::string Name(const char* role, int n) {
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
  controller_port_ = FreePorts(options_.proxied ? 2 * count : count);
  entry_port_ = controller_port_ + options_.controllers;
  target_port_ = entry_port_ + options_.entries;
  proxy_offset_ = options_.proxied ? count : 0;
  controllers_.resize(options_.controllers);
  entries_.resize(options_.entries);
  targets_.resize(options_.target_processes);
  if (options_.proxied) {
    proxy_ = std::make_unique<FaultProxy>(
        [this](std::uint16_t port, std::uint16_t listen_port) {
          return SourceOf(port, listen_port);
        });
    for (int n = 0; n < options_.controllers; ++n) {
      Connect(Name("controller", n), controller_port_ + n, 1);
    }
    for (int n = 0; n < options_.entries; ++n) {
      Connect(Name("entry", n), entry_port_ + n, 1);
    }
    for (int n = 0; n < options_.target_processes; ++n) {
      Connect(Name("target", n),
              target_port_ + n * options_.workers_per_process,
              options_.workers_per_process);
    }
  }
  caller_ = std::make_unique<Caller>(entry_addresses(), kCallerToken);
}

// Targets end last, so that nothing tries to reach them any more.
Cell::~Cell() {
  controllers_.clear();
  entries_.clear();
  targets_.clear();
}

void Cell::Connect(const std::string& name, std::uint16_t port, int count) {
  for (int n = 0; n < count; ++n) {
    proxy_->Listen(name, Reach(port + n), port + n);
  }
}

std::uint16_t Cell::Reach(std::uint16_t port) const {
  return port + proxy_offset_;
}

std::string Cell::SourceOf(std::uint16_t port,
                           std::uint16_t listen_port) const {
  const std::string inode = InodeOf(port, listen_port);
  const std::lock_guard lock(mutex_);
  for (const auto& [name, pid] : pids_) {
    if (OwnsSocket(pid, inode)) {
      return name;
    }
  }
  return "caller";
}

void Cell::Launch(std::unique_ptr<Process>& process,
                  const std::string& program,
                  const std::string& name,
                  const std::vector<std::string>& arguments) {
  process = Process::Start(program, arguments, Secrets(), LogPath(name));
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

Process::Environment Cell::Secrets() const {
  return {{"CRANBERRYSHUNT_CLUSTER_SECRET", kClusterSecret},
          {"CRANBERRYSHUNT_CALLER_TOKEN", kCallerToken},
          {"CRANBERRYSHUNT_TARGET_TOKEN", kTargetToken},
          {"CRANBERRYSHUNT_OPERATOR_TOKEN", kOperatorToken},
          // No balancer needs time here; a flag of a test wins.
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
      if (!EntryReady(n)) {
        return false;
      }
    }
    return LiveWorkers() == workers;
  });
  if (!ready) {
    std::fprintf(stderr, "the cell did not start: %d workers live\n",
                 LiveWorkers());
    PrintLogs();
  }
  return ready;
}

void Cell::StartController(int n, bool bootstrap) {
  std::string members;
  for (int i = 0; i < options_.controllers; ++i) {
    members += (i == 0 ? "" : ",") + Name("controller", i) + "=" +
               LoopbackAddress(Reach(controller_port_ + i));
  }
  const std::uint16_t port = controller_port_ + n;
  std::vector<std::string> arguments = {
      "controller",
      "--id",
      Name("controller", n),
      "--listen",
      LoopbackAddress(port),
      "--advertise",
      LoopbackAddress(Reach(port)),
      "--data",
      folder_.path() + "/" + Name("controller", n),
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
  Launch(controllers_[n], "cranberryshunt", Name("controller", n), arguments);
}

void Cell::StartEntry(int n) {
  std::string controllers;
  for (int i = 0; i < options_.controllers; ++i) {
    controllers +=
        (i == 0 ? "" : ",") + LoopbackAddress(Reach(controller_port_ + i));
  }
  std::vector<std::string> arguments = {"entry",
                                        "--id",
                                        Name("entry", n),
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
  Launch(entries_[n], "cranberryshunt", Name("entry", n), arguments);
}

void Cell::StartTarget(int n) {
  const std::uint16_t port = target_port_ + n * options_.workers_per_process;
  std::string entries;
  for (const auto& address : entry_addresses()) {
    entries += (entries.empty() ? "" : ",") + address;
  }
  std::vector<std::string> arguments = {
      "--identity",       Name("target", n),
      "--count",          std::to_string(options_.workers_per_process),
      "--port",           std::to_string(port),
      "--advertise-port", std::to_string(Reach(port)),
      "--entries",        entries,
      "--records",        RecordPath(),
      "--region",         options_.regions[n % 2],
      "--zones",          "zone-0,zone-1,zone-2"};
  Append(arguments, options_.target_arguments);
  Launch(targets_[n], "standin_target", Name("target", n), arguments);
}

void Cell::KillTarget(int n) {
  targets_[n]->Kill();
  const RecordFile records(RecordPath());
  for (int i = 0; i < options_.workers_per_process; ++i) {
    TargetRecord dead;
    dead.event = "dead";
    dead.boot_us = BootMicroseconds();
    dead.worker = Name("target", n) + "-" + std::to_string(i);
    records.Append(dead);
  }
}

std::string Cell::entry_address(int n) const {
  return LoopbackAddress(Reach(entry_port_ + n));
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
  auto out = Secrets();
  out.emplace_back("CRANBERRYSHUNT_ENTRY", entries);
  return out;
}

HttpReply Cell::Operator(const std::string& method,
                         const std::string& path,
                         const std::string& body) const {
  HttpReply reply;
  for (int n = 0; n < options_.entries; ++n) {
    reply = HttpCall(method, entry_address(n), path, kOperatorToken, body,
                     kCallTimeout);
    if (reply.status != 0 && reply.status != 503) {
      break;
    }
  }
  return reply;
}

bool Cell::EntryReady(int n) const {
  // Not through the proxy, so that a cut link to callers does not hide it.
  return HttpCall("GET", LoopbackAddress(entry_port_ + n), "/readyz", "", "",
                  kCallTimeout)
             .status == 200;
}

int Cell::Leader() const {
  const auto reply = Operator("GET", "/v1/cluster", "");
  const std::string id = TextOf(ParseJson(reply.body).get(), "leader_id");
  for (int n = 0; n < options_.controllers; ++n) {
    if (id == Name("controller", n)) {
      return n;
    }
  }
  return -1;
}

int Cell::LiveWorkers() const {
  const Json body = ParseJson(Operator("GET", "/v1/cluster", "").body);
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

std::vector<std::string> Cell::Violations() const {
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
