#include <criterion/criterion.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/controller/controller.h"
#include "cranberryshunt/wire/controller_client.h"
#include "support/loopback.h"

namespace cranberryshunt::controller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kSecret[] = "cluster secret";
constexpr milliseconds kCallTimeout{6'000};

// Polls `condition`. Returns whether it became true within `limit`.
bool Eventually(milliseconds limit, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Controllers on loopback addresses, each with its own data folder.
class LocalCell {
 public:
  LocalCell(int size, int first_port) : folder_(RandomId("controller-test-")) {
    const auto base = std::filesystem::temp_directory_path() / folder_;
    for (int i = 0; i < size; ++i) {
      wire::Member member;
      member.id = "c" + std::to_string(i);
      member.address =
          test::OwnLoopbackIp() + ":" + std::to_string(first_port + i);
      member.voter = true;
      members_.members.push_back(member);
      addresses.push_back(member.address);
    }
    for (int i = 0; i < size; ++i) {
      const auto& member = members_.members[static_cast<std::size_t>(i)];
      ControllerOptions options;
      options.replica.id = member.id;
      options.replica.address = member.address;
      options.replica.data_directory = base / member.id;
      options.replica.initial_members = members_;
      options.replica.bootstrap = true;
      options.listen_address = member.address;
      options.cluster_secret = kSecret;
      options_.push_back(options);
      controllers.push_back(nullptr);
      StartOne(static_cast<std::size_t>(i));
    }
    client = std::make_unique<wire::LeaderClient>(addresses, "test", kSecret);
  }

  ~LocalCell() {
    client.reset();
    controllers.clear();
    std::filesystem::remove_all(std::filesystem::temp_directory_path() /
                                folder_);
  }

  void StartOne(std::size_t i) {
    auto started = Controller::Start(options_[i]);
    cr_assert(started.has_value(), "%s",
              started ? "" : started.error().message().c_str());
    controllers[i] = std::move(*started);
  }

  template <typename ReplyType>
  ReplyType Call(const std::function<void(wire::ControllerServiceClient&,
                                          ReplyType&)>& call) {
    ReplyType reply;
    const auto ran = client->Run(seconds(10), kCallTimeout, [&](auto& peer) {
      reply = {};
      call(peer, reply);
      return wire::CallStatus{reply.status.code, reply.status.leader};
    });
    cr_assert(ran.has_value(), "%s", ran ? "" : ran.error().message().c_str());
    return reply;
  }

  wire::ClusterReply Cluster() {
    return Call<wire::ClusterReply>(
        [](auto& peer, auto& reply) { peer.GetCluster(reply); });
  }

  wire::ReportReply Report(const wire::EntryReport& report) {
    return Call<wire::ReportReply>(
        [&](auto& peer, auto& reply) { peer.Report(reply, report); });
  }

  void Announce() {
    wire::EntryReport report;
    report.entry_id = "e1";
    report.announcements.emplace_back();
    auto& announcement = report.announcements.back();
    announcement.worker.identity = "w1";
    announcement.worker.incarnation = "i1";
    announcement.worker.address = "127.0.0.1:1";
    announcement.worker.capacity.milli_cpus = 64'000;
    announcement.worker.capacity.memory_bytes = std::int64_t{1} << 36;
    announcement.worker.capacity.slots = 64;
    announcement.clock_ms = ToMilliseconds(BootClock::now().time_since_epoch());
    Report(report);
  }

  // Polls once and reports every task that the reply starts as done.
  void PollAndFinish() {
    wire::PollRequest request;
    request.entry_id = "e1";
    request.incarnation = "1";
    request.session = session_;
    request.order_ack = order_ack_;
    request.wait_ms = 50;
    const auto reply = Call<wire::PollReply>(
        [&](auto& peer, auto& out) { peer.Poll(out, request); });
    session_ = reply.session;
    wire::EntryReport report;
    report.entry_id = "e1";
    for (const auto& order : reply.orders) {
      order_ack_ = order.sequence;
      if (order.order.__isset.start) {
        wire::AttemptReport result;
        result.attempt = order.order.start.attempt;
        result.state = wire::AttemptState::kDone;
        report.results.push_back(result);
        starts.push_back(order.order.start);
      }
    }
    if (!report.results.empty()) {
      Report(report);
    }
  }

  wire::SubmitReply Submit(const std::string& job_id) {
    wire::SubmitRequest request;
    request.entry_id = "e1";
    request.job_id = job_id;
    request.spec.team = "team";
    request.spec.kind = wire::JobKind::kBatch;
    request.spec.task_count = 1;
    request.spec.task_resources.milli_cpus = 100;
    request.spec.task_resources.memory_bytes = 1'024;
    request.spec.idempotent = true;
    return Call<wire::SubmitReply>(
        [&](auto& peer, auto& reply) { peer.Submit(reply, request); });
  }

  wire::Outcome::type OutcomeOf(const std::string& job_id) {
    wire::GetJobRequest request;
    request.job_id = job_id;
    return Call<wire::GetJobReply>(
               [&](auto& peer, auto& reply) { peer.GetJob(reply, request); })
        .job.outcome;
  }

  // Announces the worker and reports started tasks as done until the job is
  // done. Returns false if the job is not done after 10 seconds.
  bool RunUntilDone(const std::string& job_id) {
    return Eventually(seconds(10), [&] {
      Announce();
      PollAndFinish();
      return OutcomeOf(job_id) == wire::Outcome::kDone;
    });
  }

  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<Controller>> controllers;
  std::unique_ptr<wire::LeaderClient> client;
  std::vector<wire::StartOrder> starts;

 private:
  std::string folder_;
  wire::Membership members_;
  std::vector<ControllerOptions> options_;
  std::int64_t session_ = 0;
  std::int64_t order_ack_ = 0;
};

}  // namespace

// Guards against a controller whose components work but which cannot take a job
// from submission to completion, and against a restart that loses committed
// data.
Test(controller, single_member_serves_the_whole_path) {
  LocalCell cell(1, 21'300);
  cell.Announce();
  cr_assert_eq(cell.Submit("j1").status.code, 0);
  cr_assert(cell.RunUntilDone("j1"));
  wire::PublishRequest publish;
  publish.publication.publication_id = "p1";
  publish.publication.files.resize(1);
  publish.publication.files[0].path = "a.rules.yaml";
  publish.publication.files[0].content = "service: s\n";
  const auto published = cell.Call<wire::PublishReply>(
      [&](auto& peer, auto& reply) { peer.Publish(reply, publish, 0); });
  cr_assert_eq(published.revision, 1);
  cell.controllers[0]->Shutdown();
  cell.controllers[0].reset();
  cell.StartOne(0);
  cr_assert_eq(cell.OutcomeOf("j1"), wire::Outcome::kDone);
  const auto cluster = cell.Cluster();
  cr_assert_eq(cluster.rules_revision, 1);
  cr_assert_eq(cluster.workers.size(), 1U);
  cr_assert_eq(cluster.kinds.size(), 4U);
  cr_assert_eq(cell.starts.size(), 1U);
}

// Guards against a cell that loses accepted jobs or stops placing tasks after
// its leader stops, with or without a leadership transfer.
Test(controller, three_members_survive_their_leaders) {
  LocalCell cell(3, 21'310);
  cell.Announce();
  cr_assert_eq(cell.Submit("j1").status.code, 0);
  cr_assert(cell.RunUntilDone("j1"));
  for (const bool graceful : {true, false}) {
    const std::string job = graceful ? "j2" : "j3";
    cr_assert_eq(cell.Submit(job).status.code, 0);
    const auto leader =
        static_cast<std::size_t>(cell.Cluster().leader_id.back() - '0');
    if (graceful) {
      cell.controllers[leader]->Shutdown();
    }
    cell.controllers[leader].reset();
    cr_assert(cell.RunUntilDone(job));
    cell.StartOne(leader);
  }
  cr_assert_eq(cell.OutcomeOf("j1"), wire::Outcome::kDone);
}

}  // namespace cranberryshunt::controller
