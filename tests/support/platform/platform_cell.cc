#include "support/platform/platform_cell.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/json.h"
#include "support/loopback.h"

namespace cranberryshunt::test {

namespace {

constexpr int kControlPort = 8'166;
constexpr int kFrontPort = 8'161;
constexpr int kReadyPort = 8'167;
constexpr int kPortRangeStart = 7'720;
constexpr int kFirstEntryIp = 20;
constexpr Milliseconds kWaitBound{20'000};
constexpr Milliseconds kCallTimeout{4'000};
constexpr char kHost[] = "jobs.example";

std::string ControllerIp(int n) {
  return LoopbackIp(1 + n);
}

std::string EntryIp(int n) {
  return LoopbackIp(kFirstEntryIp + n);
}

std::string FormatAddress(const std::string& ip, int port) {
  return fmt::format("{}:{}", ip, port);
}

std::string EntryName(int n) {
  return fmt::format("front-{}", n);
}

std::string ControllerName(int n) {
  return fmt::format("core-{}", n);
}

std::vector<std::string> ControlAddresses(int controllers) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(controllers));
  for (int n = 0; n < controllers; ++n) {
    out.push_back(FormatAddress(ControllerIp(n), kControlPort));
  }
  return out;
}

}  // namespace

PlatformCell::PlatformCell(const PlatformCellOptions& options)
    : options_(options),
      fleet_(
          Fleet::Start(options.fleet, ControlAddresses(options.controllers))) {
  auto client = http::HttpClient::Create({});
  if (client) {
    client_ = std::move(*client);
  }
  controllers_.resize(static_cast<std::size_t>(options.controllers));
  entries_.resize(static_cast<std::size_t>(options.entries));
}

std::string PlatformCell::SettingsPath(const std::string& name) const {
  return folder_.path() + "/" + name + ".toml";
}

std::string PlatformCell::DataPath(int controller) const {
  return folder_.path() + "/data-" + ControllerName(controller);
}

std::vector<int> PlatformCell::DefaultSeeds() const {
  std::vector<int> seeds;
  for (int n = 0; n < std::min(options_.controllers, 3); ++n) {
    seeds.push_back(n);
  }
  return seeds;
}

std::string PlatformCell::FormatSettings(const std::string& name,
                                         const std::string& ip,
                                         const std::vector<int>& seeds,
                                         bool bootstrap) const {
  std::string seed_list;
  for (const int it : seeds) {
    seed_list += fmt::format("{}\"{}\"", seed_list.empty() ? "" : ",",
                             FormatAddress(ControllerIp(it), kControlPort));
  }
  return fmt::format(
      "nodeName = \"{}\"\nip = \"{}\"\nzone = \"zone-a\"\nregion = \"r\"\n"
      "portRange = [{},{}]\nseeds = [{}]\nbootstrap = {}\nadvice = \"{}\"\n"
      "aFieldOfTomorrow = [1, 2]\n",
      name, ip, kPortRangeStart, kPortRangeStart + 15, seed_list, bootstrap,
      fleet_->advice_address());
}

void PlatformCell::WriteControllerSettings(
    int n,
    bool bootstrap,
    const std::vector<int>& seeds) const {
  const auto name = ControllerName(n);
  std::ofstream(SettingsPath(name))
      << FormatSettings(name, ControllerIp(n), seeds, bootstrap)
      << "dataDir = \"" << DataPath(n) << "\"\n[listen]\ncontrol = \""
      << FormatAddress(ControllerIp(n), kControlPort)
      << "\"\n[tolerate]\nmachines = " << (options_.controllers - 1) / 2
      << "\n[bounds]\ngraceS = 6\n";
}

void PlatformCell::StartController(int n, bool bootstrap) {
  std::filesystem::create_directories(DataPath(n));
  WriteControllerSettings(n, bootstrap, DefaultSeeds());
  const auto name = ControllerName(n);
  controllers_[static_cast<std::size_t>(n)] =
      Process::Start("cranberryshunt",
                     {"platform-controller", "--settings", SettingsPath(name)},
                     {}, folder_.path() + "/" + name + ".log");
}

void PlatformCell::StartEntry(int n) {
  const auto name = EntryName(n);
  std::ofstream(SettingsPath(name))
      << FormatSettings(name, EntryIp(n), DefaultSeeds(), true)
      << "[listen]\nfront = \"" << FormatAddress(EntryIp(n), kFrontPort)
      << "\"\nreadyAddr = \"" << FormatAddress(EntryIp(n), kReadyPort)
      << "\"\n[bounds]\ngraceS = 6\n";
  entries_[static_cast<std::size_t>(n)] = Process::Start(
      "cranberryshunt", {"platform-entry", "--settings", SettingsPath(name)},
      {}, folder_.path() + "/" + name + ".log");
}

void PlatformCell::WipeController(int n) const {
  std::filesystem::remove_all(DataPath(n));
}

bool PlatformCell::Start() {
  if (!fleet_ || !client_) {
    return false;
  }
  for (int n = 0; n < options_.controllers; ++n) {
    StartController(n, true);
  }
  for (int n = 0; n < options_.entries; ++n) {
    StartEntry(n);
  }
  for (int n = 0; n < options_.entries; ++n) {
    const auto ready = [&] {
      http::HttpCall call;
      call.method = "GET";
      call.url =
          "http://" + FormatAddress(EntryIp(n), kReadyPort) + "/readiness";
      return client_->Call(std::move(call)).status == 200;
    };
    if (!WaitUntil(kWaitBound, ready)) {
      return false;
    }
  }
  return true;
}

int PlatformCell::FindLeader() {
  for (int n = 0; n < options_.controllers; ++n) {
    // The leader serves the request itself; followers redirect it.
    if (controllers_[static_cast<std::size_t>(n)]->running() &&
        CallController(n, "GET", "/Config.Get", {}).status == 200) {
      return n;
    }
  }
  return -1;
}

std::vector<std::string> PlatformCell::LogLines(const std::string& text) const {
  std::vector<std::string> out;
  for (const auto* processes : {&controllers_, &entries_}) {
    for (const auto& it : *processes) {
      std::istringstream log(it->ReadLog());
      for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos) {
          out.push_back(line);
        }
      }
    }
  }
  return out;
}

std::string PlatformCell::ControlAddress(int n) {
  return FormatAddress(ControllerIp(n), kControlPort);
}

http::HttpAnswer PlatformCell::CallController(int controller,
                                              const std::string& method,
                                              const std::string& path,
                                              const std::string& body) {
  http::HttpCall call;
  call.method = method;
  call.url = "http://" + ControlAddress(controller) + path;
  call.headers = {"Content-Type: application/json", "Expect:"};
  call.body = body;
  call.timeout = kCallTimeout;
  return client_->Call(std::move(call));
}

int PlatformCell::Publish(
    int version,
    const std::vector<PlatformQueue>& queues,
    const std::optional<std::vector<PlatformAccount>>& accounts) {
  Json table(json_object());
  Set(table.get(), "version", static_cast<std::int64_t>(version));
  json_t* routes = json_array();
  for (const auto& it : queues) {
    json_t* route = json_object();
    Set(route, "name", it.name);
    Set(route, "host", std::string(kHost));
    Set(route, "pathPrefix", "/" + it.name + "/");
    Set(route, "service", options_.fleet.service);
    Set(route, "timeoutMs", std::int64_t{3'000});
    Set(route, "targetLatencyMs", static_cast<std::int64_t>(it.target_ms));
    Set(route, "priority", static_cast<std::int64_t>(it.priority));
    Set(route, "maxAttempts", std::int64_t{3});
    json_object_set_new(route, "stretch", json_real(it.stretch));
    if (it.allow_anonymous) {
      json_object_set_new(route, "allowAnonymous", json_true());
    }
    if (it.advice) {
      json_object_set_new(
          route, "advice",
          json_pack("{s:f,s:f,s:i}", "decideMs", it.advice_base_ms, "periodMs",
                    it.advice_per_worker_ms, "validMs", 2'000));
    }
    json_array_append_new(routes, route);
  }
  json_object_set_new(table.get(), "routes", routes);
  json_object_set_new(
      table.get(), "services",
      json_pack("[{s:s,s:b}]", "name", options_.fleet.service.c_str(),
                "enforcesCapacity", 0));
  if (accounts) {
    constexpr double kWeight = 1'000;
    json_t* tenants = json_array();
    for (const auto& it : *accounts) {
      json_t* keys = json_array();
      for (const auto& key : it.keys) {
        json_array_append_new(keys, json_string(key.c_str()));
      }
      json_array_append_new(tenants,
                            json_pack("{s:s,s:o,s:f}", "name", it.name.c_str(),
                                      "apiKeys", keys, "weight", kWeight));
    }
    json_object_set_new(table.get(), "tenants", tenants);
  }
  const auto body = DumpJson(table.get());
  int status = 0;
  WaitUntil(kWaitBound, [&] {
    for (int n = 0; n < options_.controllers; ++n) {
      status = CallController(n, "POST", "/Config.Put", body).status;
      if (status == 200 || status == 400) {
        return true;
      }
    }
    return false;
  });
  return status;
}

std::string PlatformCell::EntryAddress(int n) {
  return FormatAddress(EntryIp(n), kFrontPort);
}

const char* PlatformCell::Host() {
  return kHost;
}

http::HttpAnswer PlatformCell::CallEntry(
    int entry,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::optional<std::string>& key) {
  http::HttpCall call;
  call.method = method;
  call.url = "http://" + EntryAddress(entry) + path;
  call.headers = {std::string("Host: ") + kHost, "X-Deadline-Ms: 3000",
                  "Content-Type: application/json", "Expect:"};
  if (const auto used = key.value_or(caller_key_); !used.empty()) {
    call.headers.push_back("X-Api-Key: " + used);
  }
  call.body = body;
  call.timeout = kCallTimeout;
  return client_->Call(std::move(call));
}

int PlatformCell::Submit(const std::string& queue,
                         const std::string& id,
                         int tasks,
                         std::int64_t run_ms,
                         std::int64_t milli_cpus) {
  constexpr std::int64_t kMemoryMb = 500;
  Json job(json_object());
  Set(job.get(), "spec", TaskSpec(run_ms, milli_cpus, kMemoryMb));
  json_object_set_new(job.get(), "steps",
                      json_pack("[{s:i,s:I,s:I,s:I}]", "count", tasks, "cpu",
                                static_cast<json_int_t>(milli_cpus), "memMb",
                                static_cast<json_int_t>(kMemoryMb),
                                "estimateMs", static_cast<json_int_t>(run_ms)));
  const auto path = fmt::format("/{}/{}", queue, id);
  const auto body = DumpJson(job.get());
  int status = 0;
  int entry = 0;
  WaitUntil(kWaitBound, [&] {
    status = CallEntry(entry++ % options_.entries, "POST", path, body).status;
    constexpr int kGatewayTimeout = 504;
    return status != 0 && status != kGatewayTimeout;
  });
  return status;
}

std::string PlatformCell::StateOf(const std::string& queue,
                                  const std::string& id) {
  const auto path = fmt::format("/{}/{}", queue, id);
  for (int n = 0; n < options_.entries; ++n) {
    const auto answer = CallEntry(n, "GET", path);
    if (answer.status == 200) {
      return TextOf(ParseJson(answer.body).get(), "state");
    }
  }
  return {};
}

bool PlatformCell::WaitForState(const std::string& queue,
                                const std::string& id,
                                const std::string& state,
                                Milliseconds bound) {
  return WaitUntil(bound, [&] { return StateOf(queue, id) == state; });
}

}  // namespace cranberryshunt::test
