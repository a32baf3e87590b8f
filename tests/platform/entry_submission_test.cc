// Tests what an entry answers to a submission whose first attempt at the leader
// is lost.
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include "ControllerService.h"
#include "common.h"
#include "cranberryshunt/base/bytes.h"
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

// A leader that refuses submissions with `code`. It replies to the first
// `delayed` of them only after the entry has tried once more. If `remembers`,
// it also refuses attempts that arrive late.
class RefusingLeader final : public wire::ControllerServiceNull {
 public:
  RefusingLeader(ResultCode code, int delayed, bool remembers = false)
      : code_(code), delayed_(delayed), remembers_(remembers) {}

  void CallGraph(wire::GraphReply& reply,
                 const wire::GraphRequest& request) override {
    constexpr milliseconds kDelay{1'500};
    {
      const std::lock_guard lock(mutex_);
      key_digest_ = request.key_digest;
    }
    if (++submissions_ == delayed_) {
      std::this_thread::sleep_for(kDelay);
    }
    reply.status = wire::ToStatus(Error(code_, "refused"));
    reply.status.retry_after_ms = 700;
    reply.refuses_earlier_attempts =
        remembers_ && request.request_id != 0 && request.earlier_attempt_open;
    reply.process_id = 1;
  }

  int submissions() const { return submissions_; }
  // Of the last submission.
  std::string key_digest() const {
    const std::lock_guard lock(mutex_);
    return key_digest_;
  }

 private:
  const ResultCode code_;
  const int delayed_;
  const bool remembers_;
  std::atomic<int> submissions_ = 0;
  mutable std::mutex mutex_;
  std::string key_digest_;
};

// Submits `count` jobs to an entry, one after the other, and returns the last
// response, or an empty string. `headers` are further header lines.
std::string SubmitTo(RefusingLeader& leader,
                     int count = 1,
                     const std::string& headers = {}) {
  const auto leader_ip = test::LoopbackIp(1);
  auto server = wire::ControllerServer::Start(
      leader_ip + ":" + std::to_string(kFirstInternalPort),
      kTrustedNetworkSecret, leader, [](const std::string&) {});
  cr_assert(server.has_value());
  ProcessSettings settings;
  settings.host = "front-0";
  settings.ip = test::OwnLoopbackIp();
  settings.caller_address = settings.ip + ":" + std::to_string(kCallerPort);
  settings.readiness_address =
      settings.ip + ":" + std::to_string(kReadinessPort);
  settings.first_internal_port = kFirstInternalPort;
  settings.seeds = {leader_ip + ":" + std::to_string(kCallerPort)};
  auto entry = StartEntry(settings);
  cr_assert(entry.has_value());
  std::string response;
  for (int n = 0; n < count; ++n) {
    RawClient client(kCallerPort);
    cr_assert(client.connected());
    const std::string body = R"({"spec":"s","steps":[{"count":1}]})";
    std::string request =
        "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        "X-Deadline-Ms: 3000\r\n";
    request += headers;
    request += "Content-Length: ";
    request += std::to_string(body.size());
    request += "\r\n\r\n";
    request += body;
    client.Send(request);
    (void)client.IsClosedWithin(milliseconds(3'500));
    response = client.received;
  }
  return response;
}

constexpr ResultCode kRefusals[] = {
    ResultCode::kQueueFull, ResultCode::kNotReady, ResultCode::kNotFound,
    ResultCode::kImpossible, ResultCode::kInvalidField};

}  // namespace

// Guards against telling a caller that its job never runs because a second
// attempt was refused, while the first one is still under way and may be
// accepted.
Test(entry_submission, reports_a_refusal_after_a_lost_attempt_as_unknown) {
  for (const auto code : kRefusals) {
    RefusingLeader leader(code, 1);
    const auto response = SubmitTo(leader);
    cr_expect_eq(leader.submissions(), 2);
    cr_expect(response.starts_with("HTTP/1.1 504"), "%s: %s",
              std::string(ResultCodeName(code)).c_str(), response.c_str());
  }
}

// Guards against an unknown outcome, after which the caller would submit the
// job again at once, if the leader refuses the lost attempt as well.
Test(entry_submission, reports_a_refusal_that_holds_for_the_lost_attempt) {
  RefusingLeader leader(ResultCode::kQueueFull, 2, true);
  const auto response = SubmitTo(leader, 2);
  cr_expect_eq(leader.submissions(), 3);
  cr_expect(response.starts_with("HTTP/1.1 429"), "%s", response.c_str());
}

// Guards against reporting a definite refusal as an unknown outcome, after
// which the caller would submit the job again at once.
Test(entry_submission, reports_a_refusal_of_the_only_attempt) {
  constexpr int kStatuses[] = {429, 503, 404, 400, 400};
  for (std::size_t i = 0; i < std::size(kRefusals); ++i) {
    RefusingLeader leader(kRefusals[i], 0);
    const auto response = SubmitTo(leader);
    cr_expect_eq(leader.submissions(), 1);
    cr_expect(response.starts_with("HTTP/1.1 " + std::to_string(kStatuses[i])),
              "%s: %s", std::string(ResultCodeName(kRefusals[i])).c_str(),
              response.c_str());
  }
}

// Guards against sending a caller's key itself to the controllers, and against
// refusing a call without a key at the entry, which knows no keys.
Test(entry_submission, sends_the_digest_of_the_key) {
  RefusingLeader unauthorized(ResultCode::kUnauthorized, 0);
  const auto response = SubmitTo(unauthorized, 1, "x-api-key: the key \r\n");
  cr_expect(response.starts_with("HTTP/1.1 401"), "%s", response.c_str());
  cr_expect_eq(response.find("the key"), std::string::npos);
  cr_expect(unauthorized.key_digest() == Sha256Hex("the key"));
  RefusingLeader wrong_account(ResultCode::kWrongAccount, 0);
  const auto other = SubmitTo(wrong_account);
  cr_expect(other.starts_with("HTTP/1.1 403"), "%s", other.c_str());
  cr_expect(wrong_account.key_digest().empty());
}
