// Measures the processor time of the HTTP client's thread for each short call
// while many long polls are open. The leader has one long poll to each worker.
#include <fmt/format.h>
#include <time.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <exception>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/http/http_client.h"
#include "http/socket_peer.h"

namespace cranberryshunt::benchmark {

namespace {

constexpr std::chrono::seconds kConnectLimit{5};

double ThreadCpuMs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

http::HttpCall MakeCall(const std::string& url) {
  http::HttpCall call;
  call.method = "GET";
  call.url = url;
  call.timeout = std::chrono::seconds(60);
  return call;
}

void Measure(int long_polls, int calls) {
  http::ScriptedServer silent([](int, int) { return std::string(); });
  http::ScriptedServer quick([](int, int) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  http::HttpClientOptions options;
  options.max_connections_per_address = long_polls + 1;
  auto client = http::HttpClient::Create(options);
  if (!client) {
    throw std::runtime_error(client.error().message());
  }
  for (int n = 0; n < long_polls; ++n) {
    (*client)->Send(MakeCall(silent.url()), [](const http::HttpAnswer&) {});
  }
  // Under other load some connections may not be established.
  const auto connect_deadline =
      std::chrono::steady_clock::now() + kConnectLimit;
  while (silent.accepted_connections() < long_polls &&
         std::chrono::steady_clock::now() < connect_deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  double begin_ms = 0;
  double end_ms = 0;
  std::promise<void> done;
  int remaining = calls;
  // Each answer triggers the next call, so there is one call at a time.
  std::function<void(const http::HttpAnswer&)> send_next =
      [&](const http::HttpAnswer&) {
        begin_ms = begin_ms == 0 ? ThreadCpuMs() : begin_ms;
        if (--remaining == 0) {
          end_ms = ThreadCpuMs();
          done.set_value();
          return;
        }
        (*client)->Send(MakeCall(quick.url()), send_next);
      };
  (*client)->Send(MakeCall(quick.url()), send_next);
  done.get_future().wait();
  fmt::print("{:4} long polls: {:6.1f} us for each call\n",
             silent.accepted_connections(),
             (end_ms - begin_ms) * 1e3 / (calls - 1));
  client->reset();
}

}  // namespace

}  // namespace cranberryshunt::benchmark

int main(int argc, char** argv) {
  try {
    CLI::App app("Processor time of the HTTP client");
    int calls = 5'000;
    app.add_option("--calls", calls, "Short calls");
    CLI11_PARSE(app, argc, argv);
    for (const int polls : {0, 48, 350}) {
      cranberryshunt::benchmark::Measure(polls, calls);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "http_client_benchmark: %s\n", error.what());
    return 1;
  }
  return 0;
}
