// A fixture that runs an entry with a fake leader, and a small HTTP client.
#ifndef CRANBERRYSHUNT_TESTS_ENTRY_ENTRY_FIXTURE_H_
#define CRANBERRYSHUNT_TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <curl/curl.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "cranberryshunt/entry/entry.h"
#include "fake_controller.h"
#include "support/loopback.h"

namespace cranberryshunt::entry {

struct HttpReply {
  long status = 0;  // 0: no complete response was received.
  bool connected = false;
  std::string headers;
  std::string body;

  bool Contains(const std::string& text) const {
    return body.find(text) != std::string::npos;
  }
};

// Sends one request and waits up to 30 s for the response. Without `method`, it
// is a POST when there is a body, and else a GET.
inline HttpReply Fetch(const std::string& url,
                       const std::string& token,
                       const std::string& body = {},
                       const char* method = nullptr) {
  HttpReply out;
  CURL* easy = curl_easy_init();
  const auto append =
      +[](char* data, std::size_t size, std::size_t n, std::string* to) {
        to->append(data, size * n);
        return size * n;
      };
  curl_slist* list =
      curl_slist_append(nullptr, ("Authorization: Bearer " + token).c_str());
  list = curl_slist_append(list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT, 30L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out.body);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &out.headers);
  if (!body.empty() || (method != nullptr && std::string(method) == "POST")) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body.c_str());
  }
  if (method != nullptr) {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
  }
  if (curl_easy_perform(easy) == CURLE_OK) {
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &out.status);
  }
  curl_off_t connect_time = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_time);
  out.connected = connect_time > 0;
  curl_slist_free_all(list);
  curl_easy_cleanup(easy);
  return out;
}

// Starts a fake controller and an entry that uses it. The fake controller
// orders starts at `target_address`, if it is set.
struct EntryFixture {
  explicit EntryFixture(const std::string& target_address = {}) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    controller.target_address = target_address;
    EntryOptions options;
    options.id = "e1";
    options.region = "r1";
    options.cluster_secret = "secret";
    options.caller_token = "caller";
    options.target_token = "target";
    options.operator_token = "operator";
    options.entry_count = 1;
    options.drain_grace = std::chrono::milliseconds(100);
    // Each test runs in its own process and has its own loopback address.
    const std::string controller_address = test::OwnLoopbackIp() + ":22000";
    auto controller_started = wire::ControllerServer::Start(
        controller_address, "secret", controller, [](const std::string&) {});
    if (!controller_started) {
      throw std::runtime_error(controller_started.error().message());
    }
    server = std::move(*controller_started);
    options.controllers = {controller_address};
    options.listen_address = test::OwnLoopbackIp() + ":23000";
    auto entry_started = Entry::Start(options);
    if (!entry_started) {
      throw std::runtime_error(entry_started.error().message());
    }
    entry = std::move(*entry_started);
    url = "http://" + options.listen_address;
  }

  // Waits until /readyz responds with `status`. Returns false when that does
  // not happen.
  bool WaitForReady(long status = 200) const {
    for (int i = 0; i < 2'000; ++i) {
      if (Fetch(url + "/readyz", "").status == status) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  // Submits a job as a caller. `more` holds further JSON fields, each after a
  // comma.
  HttpReply Submit(const std::string& kind,
                   const std::string& payload,
                   int wait_ms,
                   const std::string& more = {}) const {
    return Fetch(url + "/v1/jobs?wait_ms=" + std::to_string(wait_ms), "caller",
                 R"({"team":"t","milli_cpus":1,"memory_bytes":1,"kind":")" +
                     kind + R"(","payload":")" + payload + "\"" + more + "}");
  }

  FakeController controller;
  std::unique_ptr<wire::ControllerServer> server;
  std::unique_ptr<Entry> entry;
  std::string url;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_TESTS_ENTRY_ENTRY_FIXTURE_H_
