// Tests what an entry answers while no controller serves as the leader.
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "common.h"
#include "cranberryshunt/platform/processes.h"
#include "cranberryshunt/wire/codec.h"
#include "cranberryshunt/wire/controller_server.h"
#include "http/socket_peer.h"

using namespace cranberryshunt;            // NOLINT
using namespace cranberryshunt::platform;  // NOLINT

namespace {

using http::RawClient;
using std::chrono::milliseconds;

constexpr std::uint16_t kCallerPort = 24'100;
constexpr std::uint16_t kReadinessPort = 24'101;
constexpr std::int64_t kFirstInternalPort = 24'110;

std::string ControllerIp(int n) {
  return test::LoopbackIp(n);
}

std::string ControllerAddress(int n) {
  return ControllerIp(n) + ":" + std::to_string(kFirstInternalPort);
}

// What a leader does with the next submission. It loses its role with it.
enum class NextSubmission { kNormal, kStoredWithoutReply, kUncommitted };

// A controller that is not the leader until `leads` is set.
class FakeController final : public wire::ControllerServiceNull {
 public:
  explicit FakeController(int number) : number_(number) {
    auto server = wire::ControllerServer::Start(ControllerAddress(number),
                                                kTrustedNetworkSecret, *this,
                                                [](const std::string&) {});
    cr_assert(server.has_value());
    server_ = std::move(*server);
  }

  ~FakeController() override { answers = true; }

  void CallGraph(wire::GraphReply& reply,
                 const wire::GraphRequest& request) override {
    ++calls;
    WaitUntilAnswering();
    reply.process_id = number_;
    const bool submits = request.operation == wire::GraphOperation::kSubmit;
    const auto next = submits
                          ? next_submission.exchange(NextSubmission::kNormal)
                          : NextSubmission::kNormal;
    if (next != NextSubmission::kNormal) {
      leads = false;
      reply.may_be_accepted = true;
    }
    if (next == NextSubmission::kStoredWithoutReply) {
      std::this_thread::sleep_for(milliseconds(1'500));
    }
    if (!leads) {
      reply.status =
          wire::ToStatus(Error(ResultCode::kNotLeader, "does not lead"));
      reply.status.leader = names;
      return;
    }
    submissions += submits ? 1 : 0;
  }

  void PollAdvice(wire::AdviceOrders& reply,
                  const wire::AdvicePoll& /*poll*/) override {
    WaitUntilAnswering();
    std::this_thread::sleep_for(milliseconds(20));
    if (!leads) {
      reply.status =
          wire::ToStatus(Error(ResultCode::kNotLeader, "does not lead"));
    }
  }

  std::atomic<bool> leads = false;
  std::atomic<bool> answers = true;
  std::atomic<NextSubmission> next_submission = NextSubmission::kNormal;
  std::atomic<int> calls = 0;
  std::atomic<int> submissions = 0;
  std::string names;

 private:
  void WaitUntilAnswering() const {
    while (!answers) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  const int number_;
  std::unique_ptr<wire::ControllerServer> server_;
};

std::unique_ptr<Process> StartEntryWith(int controllers) {
  ProcessSettings settings;
  settings.host = "front-0";
  settings.ip = test::OwnLoopbackIp();
  settings.caller_address = settings.ip + ":" + std::to_string(kCallerPort);
  settings.readiness_address =
      settings.ip + ":" + std::to_string(kReadinessPort);
  settings.first_internal_port = kFirstInternalPort;
  for (int n = 1; n <= controllers; ++n) {
    settings.seeds.push_back(ControllerIp(n) + ":" +
                             std::to_string(kCallerPort));
  }
  auto entry = StartEntry(settings);
  cr_assert(entry.has_value());
  return std::move(*entry);
}

struct Answer {
  std::string text;
  std::int64_t after_ms = 0;
  bool Is(int status) const {
    return text.starts_with("HTTP/1.1 " + std::to_string(status));
  }
};

Answer Call(const std::string& method, std::int64_t deadline_ms) {
  Answer out;
  const auto begin = std::chrono::steady_clock::now();
  RawClient client(kCallerPort);
  cr_assert(client.connected());
  const std::string body =
      method == "POST" ? R"({"spec":"s","steps":[{"count":1}]})" : "";
  client.Send(method +
              " /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
              "Content-Type: application/json\r\nConnection: close\r\n"
              "X-Deadline-Ms: " +
              std::to_string(deadline_ms) + "\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  (void)client.IsClosedWithin(milliseconds(4'000));
  out.text = client.received;
  out.after_ms = std::chrono::duration_cast<milliseconds>(
                     std::chrono::steady_clock::now() - begin)
                     .count();
  return out;
}

}  // namespace

// Guards against callers that wait for a leader until their time is over,
// although none is to be expected any more, and are not told when to come back.
Test(entry_outage, refuses_at_once_when_the_outage_is_long) {
  FakeController controller(1);
  const auto entry = StartEntryWith(1);
  std::this_thread::sleep_for(milliseconds(4'000));
  for (const auto* method : {"POST", "GET", "DELETE"}) {
    const auto answer = Call(method, 2'000);
    cr_expect(answer.Is(503), "%s: %s", method, answer.text.c_str());
    cr_expect_neq(answer.text.find("Retry-After: "), std::string::npos, "%s",
                  answer.text.c_str());
    cr_expect_lt(answer.after_ms, 500, "%s", method);
  }
}

// Guards against refusing a call that the next leader can serve in time, and
// against calls that each look for the leader themselves.
Test(entry_outage, serves_held_calls_when_a_leader_comes) {
  constexpr int kCallers = 10;
  constexpr int kMaxAttempts = 40;
  FakeController first(1);
  FakeController second(2);
  const auto entry = StartEntryWith(2);
  std::vector<Answer> answers(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (auto& it : answers) {
    callers.emplace_back([&it] { it = Call("POST", 3'000); });
  }
  std::this_thread::sleep_for(milliseconds(1'000));
  const auto attempts = first.calls + second.calls;
  second.leads = true;
  for (auto& it : callers) {
    it.join();
  }
  for (const auto& it : answers) {
    cr_expect(it.Is(200), "%s", it.text.c_str());
    cr_expect_lt(it.after_ms, 2'500);
  }
  cr_expect_eq(second.submissions, kCallers);
  cr_expect_lt(attempts, kMaxAttempts);
}

// Guards against a call that is answered after its deadline, or not at all,
// while two controllers name each other as the leader.
Test(entry_outage, answers_in_time_when_controllers_name_each_other) {
  FakeController first(1);
  FakeController second(2);
  first.names = ControllerAddress(2);
  second.names = ControllerAddress(1);
  const auto entry = StartEntryWith(2);
  const auto answer = Call("POST", 1'500);
  cr_expect(answer.Is(503), "%s", answer.text.c_str());
  cr_expect_lt(answer.after_ms, 1'500);
  cr_expect_lt(first.calls + second.calls, 60);
}

// Guards against telling a caller that its job does not run although a
// controller has stored it: the leader is lost before it replies, or after it
// has proposed the job.
Test(entry_outage, never_denies_a_job_that_may_be_stored) {
  for (const auto it :
       {NextSubmission::kStoredWithoutReply, NextSubmission::kUncommitted}) {
    FakeController controller(1);
    controller.leads = true;
    controller.next_submission = it;
    const auto entry = StartEntryWith(1);
    const auto answer = Call("POST", 3'000);
    cr_expect_not(controller.leads);
    cr_expect(answer.Is(504), "%s", answer.text.c_str());
  }
}

// Guards against an answer of "unknown" to calls that store nothing.
Test(entry_outage, never_answers_504_to_reads_and_cancellations) {
  FakeController first(1);
  const auto entry = StartEntryWith(1);
  for (const auto* method : {"GET", "DELETE"}) {
    const auto answer = Call(method, 1'000);
    cr_expect(answer.Is(503), "%s: %s", method, answer.text.c_str());
  }
}

// Guards against waiting for longer than two attempts of 900 ms for a
// controller that accepts connections and does not answer, while another leads.
Test(entry_outage, passes_over_a_controller_that_does_not_answer) {
  FakeController stuck(1);
  stuck.answers = false;
  FakeController second(2);
  second.leads = true;
  const auto entry = StartEntryWith(2);
  const auto answer = Call("POST", 3'000);
  cr_expect(answer.Is(200), "%s", answer.text.c_str());
  cr_expect_lt(answer.after_ms, 2'400);
}

// Guards against held calls that a shutdown interrupts, or that are not sent to
// a leader that comes during it.
Test(entry_outage, answers_held_calls_during_the_shutdown) {
  FakeController controller(1);
  auto entry = StartEntryWith(1);
  Answer refused;
  Answer served;
  std::thread first([&] { refused = Call("POST", 800); });
  std::thread second([&] { served = Call("POST", 3'000); });
  std::this_thread::sleep_for(milliseconds(300));
  std::int64_t interrupted = -1;
  std::thread shutdown([&] {
    interrupted = entry->Shutdown();
    entry.reset();
  });
  first.join();
  controller.leads = true;
  second.join();
  shutdown.join();
  cr_expect(refused.Is(503), "%s", refused.text.c_str());
  cr_expect_lt(refused.after_ms, 800);
  cr_expect(served.Is(200), "%s", served.text.c_str());
  cr_expect_eq(interrupted, 0);
}
