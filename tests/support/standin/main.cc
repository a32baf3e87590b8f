// A stand-in for the workers of a cell: implements the target protocol,
// simulates tasks by waiting, and records starts, ends, refusals and orders.
#include <curl/curl.h>
#include <signal.h>
#include <ulfius.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <thread>
#include <vector>

#include "cranberryshunt/base/bytes.h"
#include "server.h"
#include "worker.h"

namespace cranberryshunt::test {

namespace {

struct Options {
  std::string identity = "worker";
  int count = 1;
  int port = 0;
  int advertise_port = 0;
  std::vector<std::string> entries;
  std::string records;
  std::string region = "region-a";
  std::vector<std::string> zones = {"zone-a"};
  int rack_size = 8;
  Resources capacity{32'000, 64LL << 30, 0, 8};
  std::int64_t connections = 64;
  Faults faults;
  int leave_limit_ms = 20'000;
};

void DeclareOptions(CLI::App& app, Options& options) {
  app.add_option("--identity", options.identity, "Prefix of the identities");
  app.add_option("--count", options.count, "Number of simulated workers");
  app.add_option("--port", options.port, "First port to listen on")->required();
  app.add_option("--advertise-port", options.advertise_port,
                 "First port to announce (default --port)");
  app.add_option("--entries", options.entries, "ip:port,... of entries")
      ->delimiter(',')
      ->required();
  app.add_option("--records", options.records, "Record file")->required();
  app.add_option("--region", options.region, "Region");
  app.add_option("--zones", options.zones,
                 "Availability zones, assigned to the racks in turn")
      ->delimiter(',');
  app.add_option("--rack-size", options.rack_size, "Workers in a rack");
  app.add_option("--milli-cpus", options.capacity.milli_cpus, "Capacity");
  app.add_option("--memory-bytes", options.capacity.memory_bytes, "Capacity");
  app.add_option("--accelerators", options.capacity.accelerators, "Capacity");
  app.add_option("--slots", options.capacity.slots, "Capacity");
  app.add_option("--connections", options.connections,
                 "Connection limit to announce");
  app.add_flag("--fail-all", options.faults.fail_all, "Fail every task");
  app.add_flag("--truncate-answers", options.faults.truncate_answers,
               "Cut answers to half their length");
  app.add_flag("--duplicate-answers", options.faults.duplicate_answers,
               "Announce ended tasks twice");
  app.add_option("--answer-delay-ms", options.faults.answer_delay_ms,
                 "Time between the end of a task and its answer");
  app.add_option(
      "--leave-limit-ms", options.leave_limit_ms,
      "Longest wait for tasks and acknowledgements after SIGTERM or SIGINT");
}

struct SimulatedWorker {
  std::unique_ptr<Worker> worker;
  std::unique_ptr<WorkerServer> server;
};

SimulatedWorker StartWorker(const Options& options,
                            int n,
                            const std::string& token,
                            RecordFile& records) {
  const int rack = n / options.rack_size;
  WorkerOptions worker;
  worker.identity = options.identity + "-" + std::to_string(n);
  worker.incarnation = RandomId("i");
  const int advertised =
      options.advertise_port != 0 ? options.advertise_port : options.port;
  worker.address = "127.0.0.1:" + std::to_string(advertised + n);
  worker.location.region = options.region;
  worker.location.availability_zone =
      options.zones[static_cast<std::size_t>(rack) % options.zones.size()];
  worker.location.rack = options.identity + "-rack-" + std::to_string(rack);
  worker.capacity = options.capacity;
  worker.connections = options.connections;
  worker.faults = options.faults;
  SimulatedWorker out;
  out.worker = std::make_unique<Worker>(worker, records);
  ServerOptions server;
  server.port = static_cast<std::uint16_t>(options.port + n);
  server.token = token;
  server.entries = options.entries;
  out.server = std::make_unique<WorkerServer>(server, *out.worker);
  return out;
}

// Makes all workers leave, then waits until their tasks have ended and all
// answers were acknowledged. Returns false when that takes longer than
// `limit_ms`.
bool ShutDown(const std::vector<SimulatedWorker>& workers, int limit_ms) {
  for (const auto& it : workers) {
    it.worker->Leave();
  }
  const auto deadline = Worker::ClockMs() + limit_ms;
  for (const auto& it : workers) {
    while (!it.worker->ready_to_exit()) {
      if (Worker::ClockMs() >= deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  return true;
}

int Run(const Options& options) {
  const char* token = std::getenv("CRANBERRYSHUNT_TARGET_TOKEN");
  if (token == nullptr) {
    std::fprintf(stderr, "CRANBERRYSHUNT_TARGET_TOKEN is not set\n");
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_ALL);
  RecordFile records(options.records);
  std::vector<SimulatedWorker> workers;
  workers.reserve(static_cast<std::size_t>(options.count));
  for (int n = 0; n < options.count; ++n) {
    workers.push_back(StartWorker(options, n, token, records));
  }
  int received = 0;
  sigwait(&signals, &received);
  const bool clean = ShutDown(workers, options.leave_limit_ms);
  std::fprintf(stderr, "left %s\n",
               clean ? "cleanly" : "with tasks or unacknowledged answers");
  // Exits without destructors, because handlers may still wait in connection
  // threads.
  std::_Exit(clean ? 0 : 1);
}

}  // namespace

}  // namespace cranberryshunt::test

int main(int argc, char** argv) {
  try {
    CLI::App app("Stand-in for workers, for tests");
    cranberryshunt::test::Options options;
    cranberryshunt::test::DeclareOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    return cranberryshunt::test::Run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin_target: %s\n", error.what());
    return 1;
  }
}
