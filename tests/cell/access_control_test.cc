// Tests which calls a leader admits by their keys and accounts, also while
// configurations change and leaders are lost.
#include "access_control.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "cell_harness.h"
#include "cranberryshunt/wire/codec.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr int kOk = static_cast<int>(ResultCode::kOk);
constexpr int kUnauthorized = static_cast<int>(ResultCode::kUnauthorized);
constexpr int kWrongAccount = static_cast<int>(ResultCode::kWrongAccount);
constexpr int kGone = static_cast<int>(ResultCode::kGone);
constexpr int kNotFound = static_cast<int>(ResultCode::kNotFound);
constexpr int kNotLeader = static_cast<int>(ResultCode::kNotLeader);

wire::ClientAccount MakeAccount(const std::string& name,
                                std::vector<std::string> keys) {
  wire::ClientAccount account;
  account.name = name;
  account.key_digests = std::move(keys);
  account.weight = 1'000;
  return account;
}

// A reply, or -1 for none.
struct Answer {
  int code = -1;
  wire::GraphReply reply;
};

// A cell with the queues "keyed" and "open", the second of which allows
// anonymous use. Keys are given as their digests.
class AccountCell {
 public:
  explicit AccountCell(HarnessOptions options = {.workers = 2})
      : cell(options) {
    cell.Run(200);
  }

  // Proposes a table with these accounts, and returns its version.
  std::int64_t Publish(std::vector<wire::ClientAccount> accounts,
                       bool checks_keys = true) {
    wire::RoutingTable table;
    table.version = ++version;
    table.queues = {MakeQueue("keyed", 1), MakeQueue("open", 1)};
    for (auto& it : table.queues) {
      it.latency_target_ms = 1'000'000;
    }
    table.queues[1].allows_anonymous = true;
    table.services.emplace_back().name = "fleet";
    table.accounts = std::move(accounts);
    table.checks_keys = checks_keys;
    cell.engine().Handle(
        PublishTableCall{table,
                         [this, published = version](const auto& it) {
                           if (it) {
                             published_version =
                                 std::max(published_version, published);
                           }
                         }},
        Now());
    return version;
  }
  void PublishAndWait(std::vector<wire::ClientAccount> accounts,
                      bool checks_keys = true) {
    const auto published = Publish(std::move(accounts), checks_keys);
    cell.Run(100);
    cr_assert_eq(published_version, published);
  }

  static wire::GraphRequest MakeRequest(wire::GraphOperation::type operation,
                                        const std::string& queue,
                                        const std::string& path,
                                        const std::string& key) {
    wire::GraphRequest request;
    request.operation = operation;
    request.host = "jobs.example";
    request.path = "/" + queue + "/" + path;
    request.key_digest = key;
    request.job = MakeJob(1, 100, 50);
    return request;
  }
  // Makes a call as CallHandler does. The answer may come later.
  std::shared_ptr<Answer> Begin(const wire::GraphRequest& request,
                                bool reads_first = true) {
    auto answer = std::make_shared<Answer>();
    const auto take = [answer](const wire::GraphReply& reply) {
      cr_assert_eq(answer->code, -1, "answered twice");
      *answer = {reply.status.code, reply};
    };
    if (reads_first) {
      if (auto read = cell.engine().ReadJob(request)) {
        take(*read);
        return answer;
      }
    }
    cell.engine().Handle(GraphCall{request, take}, Now());
    return answer;
  }
  std::shared_ptr<Answer> BeginCall(wire::GraphOperation::type operation,
                                    const std::string& queue,
                                    graph::JobId id,
                                    const std::string& key) {
    return Begin(MakeRequest(operation, queue, graph::FormatJobId(id), key));
  }
  int Call(wire::GraphOperation::type operation,
           const std::string& queue,
           graph::JobId id,
           const std::string& key) {
    const auto answer = BeginCall(operation, queue, id, key);
    cell.Run(60);
    return answer->code;
  }
  int Submit(const std::string& queue,
             graph::JobId id,
             const std::string& key) {
    return Call(wire::GraphOperation::kSubmit, queue, id, key);
  }
  int Show(const std::string& queue, graph::JobId id, const std::string& key) {
    return Call(wire::GraphOperation::kShow, queue, id, key);
  }
  int Cancel(const std::string& queue,
             graph::JobId id,
             const std::string& key) {
    return Call(wire::GraphOperation::kCancel, queue, id, key);
  }
  std::int64_t Refused(const std::string& reason) {
    return cell.metrics().Counter("calls_refused_total{reason=\"" + reason +
                                  "\"}");
  }
  std::string OwnerOf(graph::JobId id) {
    const auto* job = cell.engine().store().FindJob(id);
    return job == nullptr ? "none" : job->account();
  }

  TimePoint Now() const {
    return TimePoint(std::chrono::milliseconds(cell.now_ms()));
  }

  CellHarness cell;
  std::int64_t version = 0;
  std::int64_t published_version = 0;
};

}  // namespace

// Guards against asking callers for keys, or refusing those that send one, in a
// cell without accounts.
Test(access_control, ignores_keys_without_accounts) {
  AccountCell it;
  it.PublishAndWait({}, false);
  cr_expect_eq(it.Submit("keyed", graph::JobId{1}, ""), kOk);
  cr_expect_eq(it.Submit("keyed", graph::JobId{2}, "x"), kOk);
  cr_expect_eq(it.Submit("keyed", graph::JobId{1}, "y"), kOk);
  cr_expect_eq(it.Show("keyed", graph::JobId{2}, ""), kOk);
  cr_expect_eq(it.Cancel("keyed", graph::JobId{2}, "z"), kOk);
  cr_expect(it.OwnerOf(graph::JobId{2}).empty());
  cr_expect_eq(it.cell.metrics().Render(it.Now()).find("calls_refused"),
               std::string::npos);
}

// Guards against a call of any kind that is served without a valid key, and
// against storing the job of one.
Test(access_control, refuses_calls_without_a_valid_key) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"})});
  const graph::JobId id{1};
  cr_assert_eq(it.Submit("keyed", id, "a1"), kOk);
  using Operation = wire::GraphOperation;
  for (const auto operation :
       {Operation::kSubmit, Operation::kShow, Operation::kCancel}) {
    for (const char* queue : {"keyed", "open"}) {
      cr_expect_eq(it.Call(operation, queue, id, "x"), kUnauthorized, "%s %d",
                   queue, static_cast<int>(operation));
      cr_expect_eq(it.Call(operation, queue, graph::JobId{9}, "x"),
                   kUnauthorized);
    }
    cr_expect_eq(it.Call(operation, "keyed", id, ""), kUnauthorized);
    cr_expect_eq(it.Call(operation, "unknown", id, "x"), kNotFound);
  }
  cr_expect_eq(it.Refused("unknown_key"), 12);
  cr_expect_eq(it.Refused("missing_key"), 3);
  cr_expect(it.cell.engine().store().jobs().size() == 1);
  cr_expect(it.OwnerOf(id) == "a");
  // The number of pending jobs, and a path without a job id.
  for (const char* path : {"", "no-id"}) {
    for (const char* key : {"", "x"}) {
      const auto answer = it.Begin(
          AccountCell::MakeRequest(Operation::kShow, "keyed", path, key));
      cr_expect_eq(answer->code, kUnauthorized, "%s", path);
    }
  }
  const auto counted =
      it.Begin(AccountCell::MakeRequest(Operation::kShow, "keyed", "", "a1"));
  cr_expect_eq(counted->code, kOk);
}

// Guards against an account that sees or cancels the jobs of another one, or
// takes their ids.
Test(access_control, keeps_jobs_of_accounts_apart) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1", "a2"}), MakeAccount("b", {"b1"})});
  const graph::JobId of_a{1};
  const graph::JobId of_none{2};
  cr_assert_eq(it.Submit("open", of_a, "a1"), kOk);
  cr_assert_eq(it.Submit("open", of_none, ""), kOk);
  cr_expect_eq(it.Submit("open", of_a, "a2"), kOk);
  cr_expect_eq(it.Submit("open", of_a, "b1"), kWrongAccount);
  cr_expect_eq(it.Show("open", of_a, "a2"), kOk);
  cr_expect_eq(it.Show("open", of_a, "b1"), kWrongAccount);
  cr_expect_eq(it.Cancel("open", of_a, "b1"), kWrongAccount);
  // Without a key there is no account.
  cr_expect_eq(it.Submit("open", of_a, ""), kWrongAccount);
  cr_expect_eq(it.Show("open", of_a, ""), kWrongAccount);
  cr_expect_eq(it.Cancel("open", of_a, ""), kWrongAccount);
  cr_expect_eq(it.Refused("wrong_account"), 6);
  cr_expect_eq(it.Submit("open", of_none, ""), kOk);
  cr_expect_eq(it.Submit("open", of_none, "a1"), kWrongAccount);
  cr_expect_eq(it.Show("open", of_none, "a1"), kOk);
  cr_expect_eq(it.Show("open", of_none, ""), kOk);
  cr_expect_eq(it.Cancel("open", of_none, "b1"), kOk);
  cr_expect_eq(it.Show("open", graph::JobId{3}, "b1"), kGone);
  cr_expect(it.OwnerOf(of_a) == "a");
  cr_expect(it.OwnerOf(of_none).empty());
}

// Guards against an answer to another account that depends on whether the job
// is stored already.
Test(access_control, keeps_jobs_apart_while_they_are_being_stored) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"}), MakeAccount("b", {"b1"})});
  const graph::JobId id{1};
  using Operation = wire::GraphOperation;
  const auto first = it.BeginCall(Operation::kSubmit, "keyed", id, "a1");
  const auto repeated = it.BeginCall(Operation::kSubmit, "keyed", id, "a1");
  const auto other = it.BeginCall(Operation::kSubmit, "keyed", id, "b1");
  const auto cancelled = it.BeginCall(Operation::kCancel, "keyed", id, "b1");
  cr_expect_eq(first->code, -1);
  it.cell.Run(60);
  cr_expect_eq(first->code, kOk);
  cr_expect_eq(repeated->code, kOk);
  cr_expect_eq(other->code, kWrongAccount);
  cr_expect_eq(cancelled->code, kWrongAccount);
  cr_expect(it.OwnerOf(id) == "a");
  cr_expect(it.cell.StateOf(id) != wire::GraphJobState::kCancelled);
}

// Guards against jobs that end with the key or the account of their caller, and
// against a former account that can still use them.
Test(access_control, runs_jobs_of_accounts_that_are_gone) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"}), MakeAccount("b", {"b1"})});
  const graph::JobId id{1};
  auto request = AccountCell::MakeRequest(
      wire::GraphOperation::kSubmit, "keyed", graph::FormatJobId(id), "a1");
  request.job = MakeJob(1, 100, 2'000);
  const auto submitted = it.Begin(request);
  it.cell.Run(100);
  cr_assert_eq(submitted->code, kOk);
  it.PublishAndWait({MakeAccount("b", {"b1"})});
  cr_expect_eq(it.Show("keyed", id, "a1"), kUnauthorized);
  cr_expect_eq(it.Cancel("keyed", id, "a1"), kUnauthorized);
  cr_expect_eq(it.Submit("keyed", id, "a1"), kUnauthorized);
  cr_expect_eq(it.Show("keyed", id, "b1"), kWrongAccount);
  it.cell.Run(4'000);
  cr_expect(it.cell.StateOf(id) == wire::GraphJobState::kCompleted);
  // Keys may move, also to an account that comes back under its name.
  it.PublishAndWait({MakeAccount("a", {"b1"}), MakeAccount("b", {"a1"})});
  cr_expect_eq(it.Show("keyed", id, "b1"), kOk);
  cr_expect_eq(it.Show("keyed", id, "a1"), kWrongAccount);
  it.PublishAndWait({}, false);
  cr_expect_eq(it.Show("keyed", id, ""), kOk);
}

// Guards against a former leader that answers by its outdated table, be it with
// a job or with a refusal.
Test(access_control, leaves_all_answers_to_the_leader) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"})});
  const graph::JobId id{1};
  cr_assert_eq(it.Submit("keyed", id, "a1"), kOk);
  const auto expect_not_leader = [&](const char* when) {
    using Operation = wire::GraphOperation;
    for (const auto operation :
         {Operation::kSubmit, Operation::kShow, Operation::kCancel}) {
      for (const char* key : {"a1", "x", ""}) {
        const auto answer = it.BeginCall(operation, "keyed", id, key);
        cr_expect_eq(answer->code, kNotLeader, "%s", when);
      }
    }
  };
  it.cell.has_lease = false;
  expect_not_leader("without a lease");
  it.cell.has_lease = true;
  it.cell.lease_term = 99;
  expect_not_leader("while another term has the lease");
  it.cell.lease_term.reset();
  cr_expect_eq(it.Refused("unknown_key") + it.Refused("missing_key"), 0);
  consensus::RoleChange change;
  change.role = consensus::Role::kFollower;
  change.term = 1'000;
  it.cell.engine().OnRoleChange(change, it.Now());
  expect_not_leader("deposed");
}

// Guards against telling a caller that its submission is refused although an
// earlier attempt of it was accepted before the key was taken away.
Test(access_control, states_that_an_earlier_attempt_may_be_accepted) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"}), MakeAccount("b", {"b1"})});
  const graph::JobId id{1};
  auto request = AccountCell::MakeRequest(
      wire::GraphOperation::kSubmit, "keyed", graph::FormatJobId(id), "a1");
  request.request_id = 41;
  const auto first = it.Begin(request);
  it.cell.Run(60);
  cr_assert_eq(first->code, kOk);  // Assume that this reply is lost.
  request.earlier_attempt_open = true;
  it.PublishAndWait({MakeAccount("b", {"b1"})});
  const auto revoked = it.Begin(request);
  cr_expect_eq(revoked->code, kUnauthorized);
  cr_expect(revoked->reply.may_be_accepted);
  cr_expect_not(revoked->reply.refuses_earlier_attempts);
  it.PublishAndWait({MakeAccount("b", {"b1", "a1"})});
  const auto moved = it.Begin(request);
  cr_expect_eq(moved->code, kWrongAccount);
  cr_expect(moved->reply.may_be_accepted);
  // If it is not known, the refusal holds for attempts that arrive late, even
  // if the key becomes valid.
  auto late =
      AccountCell::MakeRequest(wire::GraphOperation::kSubmit, "keyed",
                               graph::FormatJobId(graph::JobId{2}), "c1");
  late.request_id = 42;
  late.earlier_attempt_open = true;
  const auto refused = it.Begin(late);
  cr_expect_eq(refused->code, kUnauthorized);
  cr_expect_not(refused->reply.may_be_accepted);
  cr_expect(refused->reply.refuses_earlier_attempts);
  it.PublishAndWait({MakeAccount("c", {"c1"})});
  late.earlier_attempt_open = false;
  const auto arrived = it.Begin(late);
  it.cell.Run(100);
  cr_expect_eq(arrived->code, kUnauthorized);
  cr_expect(it.OwnerOf(graph::JobId{2}) == "none");
}

// Guards against calls that wait for the decision thread only to be refused,
// with which a flood of unknown keys would delay the calls of others.
Test(access_control, refuses_keys_without_the_decision_thread) {
  AccountCell it;
  it.PublishAndWait({MakeAccount("a", {"a1"})});
  using Operation = wire::GraphOperation;
  const auto path = graph::FormatJobId(graph::JobId{1});
  for (const auto operation :
       {Operation::kSubmit, Operation::kShow, Operation::kCancel}) {
    auto request = AccountCell::MakeRequest(operation, "keyed", path, "x");
    const auto refused = it.cell.engine().ReadJob(request);
    cr_assert(refused.has_value());
    cr_expect_eq(refused->status.code, kUnauthorized);
    request.key_digest = "a1";
    const auto admitted = it.cell.engine().ReadJob(request);
    cr_expect_eq(admitted.has_value(), operation == Operation::kShow);
    // Refusals of repeated attempts are remembered there.
    request.key_digest = "x";
    request.earlier_attempt_open = true;
    cr_expect_not(it.cell.engine().ReadJob(request).has_value());
  }
}

// Guards against keys that work before their configuration is committed or
// after it is replaced, and against jobs that change their account, at whatever
// moment configurations, submissions and takeovers meet.
Test(access_control, follows_the_committed_keys_through_takeovers) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AccountCell it({.workers = 2, .max_commit_ms = 60, .seed = seed});
    std::mt19937_64 random(seed);
    const auto below = [&](int n) {
      return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    const auto key = [](int n) { return "k" + std::to_string(n); };
    constexpr int kKeys = 6;
    // Each key belongs to one of two accounts, or to none.
    const auto random_accounts = [&] {
      std::vector<wire::ClientAccount> accounts = {MakeAccount("a", {}),
                                                   MakeAccount("b", {})};
      for (int n = 0; n < kKeys; ++n) {
        if (const int owner = below(3); owner < 2) {
          accounts[static_cast<std::size_t>(owner)].key_digests.push_back(
              key(n));
        }
      }
      if (below(4) == 0) {
        accounts.erase(accounts.begin() + below(2));
      }
      return accounts;
    };
    it.PublishAndWait(random_accounts());
    struct Submission {
      std::shared_ptr<Answer> answer;
      graph::JobId id;
      std::string account;
    };
    std::vector<Submission> submissions;
    std::map<graph::JobId, std::string> owners;
    std::map<int, int> answers;
    for (int n = 0; n < 600; ++n) {
      const int action = below(40);
      if (action == 0) {
        it.cell.ChangeLeader();
      } else if (action <= 2) {
        it.Publish(random_accounts());
      } else {
        const graph::JobId id{static_cast<std::uint64_t>(1 + below(30))};
        const auto used = key(below(kKeys));
        // Looked up without the index of the store.
        std::optional<std::string> account;
        for (const auto& known : it.cell.engine().store().table().accounts) {
          if (std::count(known.key_digests.begin(), known.key_digests.end(),
                         used) > 0) {
            account = known.name;
          }
        }
        const bool submits = below(2) == 0;
        const auto* job = it.cell.engine().store().FindJob(id);
        const std::string owner = job == nullptr ? "" : job->account();
        const auto answer = it.Begin(
            AccountCell::MakeRequest(submits ? wire::GraphOperation::kSubmit
                                             : wire::GraphOperation::kShow,
                                     "keyed", graph::FormatJobId(id), used),
            below(2) == 0);
        cr_assert_eq(answer->code == kUnauthorized, !account.has_value(),
                     "seed %d step %d", static_cast<int>(seed), n);
        if (account && job != nullptr) {
          cr_assert_eq(answer->code, *account == owner ? kOk : kWrongAccount,
                       "seed %d step %d", static_cast<int>(seed), n);
        }
        ++answers[answer->code];
        if (submits && account) {
          submissions.push_back({answer, id, *account});
        }
      }
      it.cell.Run(below(12));
      for (const auto& [id, job] : it.cell.engine().store().jobs()) {
        const auto [known, added] = owners.emplace(id, job.account());
        cr_assert(known->second == job.account(), "seed %d",
                  static_cast<int>(seed));
      }
    }
    it.cell.Run(500);
    for (const auto& submission : submissions) {
      if (submission.answer->code == kOk) {
        cr_expect(it.OwnerOf(submission.id) == submission.account,
                  "seed %d: job of %s acknowledged to %s",
                  static_cast<int>(seed), it.OwnerOf(submission.id).c_str(),
                  submission.account.c_str());
      }
    }
    for (const int code : {kOk, kUnauthorized, kWrongAccount}) {
      cr_expect_gt(answers[code], 0, "seed %d: no answer %d",
                   static_cast<int>(seed), code);
    }
    cr_expect(it.cell.violations.empty(), "%s",
              it.cell.violations.empty() ? "" : it.cell.violations[0].c_str());
  }
}

// Guards against a key that is served after the acknowledgement of the
// configuration that takes it away, also by a leader that takes over at once.
Test(access_control, stops_a_key_with_the_acknowledgement) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    AccountCell it({.workers = 2, .max_commit_ms = 40, .seed = seed});
    it.PublishAndWait({MakeAccount("a", {"a1"})});
    it.Publish({MakeAccount("a", {"a2"})});
    graph::JobId id{1};
    std::optional<std::int64_t> acknowledged_ms;
    for (int n = 0; n < 200; ++n) {
      if (n == static_cast<int>(seed)) {
        it.cell.ChangeLeader();
      }
      if (!acknowledged_ms && it.published_version == it.version) {
        acknowledged_ms = it.cell.now_ms();
        it.cell.ChangeLeader();
      }
      const auto answer =
          it.BeginCall(wire::GraphOperation::kSubmit, "keyed", id, "a1");
      id = graph::JobId{static_cast<std::uint64_t>(n + 2)};
      if (acknowledged_ms) {
        cr_assert_eq(answer->code, kUnauthorized, "seed %d",
                     static_cast<int>(seed));
      }
      if (!acknowledged_ms && n == 100) {
        // The takeover has lost the configuration; the operator repeats it.
        it.Publish({MakeAccount("a", {"a2"})});
      }
      it.cell.Run(1);
    }
    cr_expect(acknowledged_ms.has_value(), "seed %d", static_cast<int>(seed));
  }
}

// Guards against refusals that are counted under a wrong reason, and against
// keys in metrics.
Test(access_refusals, count_by_reason) {
  MetricsRegistry metrics;
  AccessRefusals refusals(metrics);
  wire::GraphRequest request;
  const Error unauthorized(ResultCode::kUnauthorized, "no");
  const Error wrong(ResultCode::kWrongAccount, "no");
  cr_expect_eq(refusals.Refuse(unauthorized, request, "q", "").status.code,
               kUnauthorized);
  request.key_digest = "d1";
  refusals.Refuse(unauthorized, request, "q", "");
  refusals.Refuse(unauthorized, request, "q", "");
  cr_expect_eq(refusals.Refuse(wrong, request, "q", "a").status.code,
               kWrongAccount);
  refusals.LogIfDue(5'000);
  const auto text = metrics.Render({});
  for (const char* it : {"calls_refused_total{reason=\"missing_key\"} 1",
                         "calls_refused_total{reason=\"unknown_key\"} 2",
                         "calls_refused_total{reason=\"wrong_account\"} 1"}) {
    cr_expect_neq(text.find(it), std::string::npos, "%s", it);
  }
  cr_expect_eq(text.find("d1"), std::string::npos);
}
