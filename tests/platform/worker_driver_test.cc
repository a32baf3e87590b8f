// Tests that ends are acknowledged to the incarnation of a worker that listed
// them, and to no other one at the same address.
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>

#include "cranberryshunt/http/http_server.h"
#include "cranberryshunt/targets/json_reader.h"
#include "support/loopback.h"
#include "worker_caller.h"

using namespace cranberryshunt;            // NOLINT
using namespace cranberryshunt::platform;  // NOLINT

namespace {

constexpr std::int64_t kFirstBorn = 1'000;
constexpr std::int64_t kSecondBorn = 2'000;
constexpr std::int64_t kEnd = 57;
constexpr std::size_t kMaxBodyBytes = 10'000;
constexpr unsigned int kMaxConnections = 10;

// A worker that answers holds with empty lists and records the last
// acknowledged end. Restart() begins a new incarnation at the same address.
class HoldingWorker {
 public:
  HoldingWorker() : address_(test::OwnLoopbackIp() + ":24120") {
    Restart(kFirstBorn);
  }

  // Ends all connections.
  void Restart(std::int64_t born_ms) {
    server_.reset();
    born_ms_ = born_ms;
    acknowledged_ = 0;
    http::HttpServerOptions options;
    options.listen_address = address_;
    options.max_body_bytes = kMaxBodyBytes;
    options.max_connections = kMaxConnections;
    auto started = http::HttpServer::Start(
        options,
        {{"POST", "/hold",
          [this](const http::HttpRequest& request) { return Hold(request); }}},
        metrics_);
    cr_assert(started.has_value());
    server_ = std::move(*started);
  }

  const std::string& address() const { return address_; }
  std::int64_t acknowledged() const { return acknowledged_; }
  std::int64_t opened_connections() { return server_->TakeCounts().opened; }

 private:
  http::HttpResponse Hold(const http::HttpRequest& request) {
    auto body = targets::ParseReadableParts(std::string(request.body()));
    cr_assert(body.has_value());
    targets::JsonReader reader(body->get(), {},
                               targets::UnknownFields::kIgnore);
    acknowledged_ = std::max<std::int64_t>(
        acknowledged_, reader.OptionalInteger("ackSeq", 0, 0, kEnd));
    http::HttpResponse response;
    response.body = R"({"clockMs":1,"running":[],"ended":[],"born":)" +
                    std::to_string(born_ms_) + "}";
    return response;
  }

  const std::string address_;
  std::atomic<std::int64_t> born_ms_ = 0;
  std::atomic<std::int64_t> acknowledged_ = 0;
  MetricsRegistry metrics_;
  std::unique_ptr<http::HttpServer> server_;
};

// A driver and the reply to the last order.
class Caller {
 public:
  Caller() {
    auto client = http::HttpClient::Create({});
    cr_assert(client.has_value());
    driver_ = std::make_unique<HttpWorkerDriver>(
        std::move(*client), [this](cell::OrderId, cell::WorkerReply reply) {
          reply_.set_value(std::move(reply));
        });
  }

  // Sends a hold that acknowledges kEnd and waits for the reply.
  cell::WorkerReply Hold(const HoldingWorker& worker, std::int64_t born_ms) {
    cell::SentOrder sent;
    sent.worker = {"w", worker.address(), born_ms};
    cell::HoldOrder hold;
    hold.acknowledged_end = kEnd;
    sent.order = hold;
    sent.timeout = std::chrono::milliseconds(2'000);
    reply_ = {};
    auto future = reply_.get_future();
    driver_->Send({sent});
    return future.get();
  }

 private:
  std::promise<cell::WorkerReply> reply_;
  std::unique_ptr<HttpWorkerDriver> driver_;
};

}  // namespace

// Guards against ends that are never acknowledged, and against a connection for
// each hold.
Test(worker_driver, acknowledges_ends_once_the_worker_has_named_itself) {
  HoldingWorker worker;
  Caller caller;
  (void)caller.Hold(worker, kFirstBorn);
  cr_expect_eq(worker.acknowledged(), 0);
  for (int n = 0; n < 5; ++n) {
    cr_expect(caller.Hold(worker, kFirstBorn).answer ==
              cell::WorkerAnswer::kDone);
  }
  cr_expect_eq(worker.acknowledged(), kEnd);
  cr_expect_eq(worker.opened_connections(), 1);
}

// Guards against an end that a new incarnation forgets unread: a hold for the
// former one reaches it with the number of an end.
Test(worker_driver, acknowledges_no_ends_to_another_incarnation) {
  HoldingWorker worker;
  Caller caller;
  for (int n = 0; n < 2; ++n) {
    (void)caller.Hold(worker, kFirstBorn);
  }
  cr_assert_eq(worker.acknowledged(), kEnd);
  worker.Restart(kSecondBorn);
  for (int n = 0; n < 3; ++n) {
    const auto reply = caller.Hold(worker, kFirstBorn);
    cr_expect(reply.answer == cell::WorkerAnswer::kDone, "%s",
              reply.detail.c_str());
    cr_expect_eq(reply.born_ms, kSecondBorn);
    cr_expect_eq(worker.acknowledged(), 0);
  }
  (void)caller.Hold(worker, kSecondBorn);
  cr_expect_eq(worker.acknowledged(), kEnd);
}
