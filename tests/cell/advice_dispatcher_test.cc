// Tests the order in which questions for the advice service are assigned.
#include <criterion/criterion.h>

#include "advice_dispatcher.h"

#include <utility>

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

AdviceQuestion MakeQuestion(policy::StepId step,
                            bool urgent,
                            std::int64_t latest_start_ms) {
  AdviceQuestion question;
  question.step = step;
  question.step_name = std::to_string(step);
  question.expected_ms = 100;
  question.urgent_queue = urgent;
  question.latest_start_ms = latest_start_ms;
  return question;
}

// Polls as one caller until no question is left; returns the steps in order.
std::string AssignAll(AdviceDispatcher& dispatcher, std::int64_t now_ms) {
  std::string order;
  std::vector<wire::AdviceResult> results;
  for (;;) {
    const auto before = order.size();
    AdviceCall call;
    call.poll.caller = "c";
    call.poll.wait_ms = 0;
    call.poll.results = results;
    results.clear();
    call.reply = [&](const wire::AdviceOrders& orders) {
      for (const auto& it : orders.orders) {
        order += it.step;
        results.emplace_back().id = it.id;
      }
    };
    dispatcher.OnPoll(std::move(call), now_ms);
    dispatcher.Advance(now_ms);
    if (order.size() == before) {
      return order;
    }
  }
}

}  // namespace

// Load pattern: callers return after an outage, and most of their steps are
// late. Guards against late steps that delay the steps still on time.
Test(advice_dispatcher, asks_for_steps_on_time_before_late_ones) {
  AdviceDispatcher dispatcher(0);
  dispatcher.Ask(MakeQuestion(1, false, 900));
  dispatcher.Ask(MakeQuestion(2, true, 950));
  dispatcher.Ask(MakeQuestion(3, false, 5'000));
  dispatcher.Ask(MakeQuestion(4, true, 6'000));
  cr_expect_eq(AssignAll(dispatcher, 1'000), "4321");
}

// Load pattern: a backlog of late questions. Guards against asking first for
// jobs whose callers have no use for them any more.
Test(advice_dispatcher, asks_for_late_steps_before_those_of_no_use) {
  AdviceDispatcher dispatcher(0);
  for (policy::StepId n = 1; n <= 3; ++n) {
    auto question = MakeQuestion(n, false, 100 * n);
    question.latest_useful_start_ms = n == 1 ? 900 : 2'000;
    dispatcher.Ask(std::move(question));
  }
  cr_expect_eq(AssignAll(dispatcher, 1'000), "231");
}

// Load pattern: a backlog of batch questions. Guards against refusing urgent
// jobs because of questions that are assigned after theirs.
Test(advice_dispatcher, expects_no_wait_behind_later_questions) {
  AdviceDispatcher dispatcher(0);
  for (policy::StepId n = 1; n <= 50; ++n) {
    dispatcher.Ask(MakeQuestion(n, false, 20'000));
  }
  const std::int64_t now_ms = 10'000;
  cr_expect_eq(dispatcher.ExpectedWaitMs(now_ms, true, 11'000), 0);
  cr_expect_geq(dispatcher.ExpectedWaitMs(now_ms, false, 30'000), 5'000);
}

// Guards against losing a question together with the host that took it.
Test(advice_dispatcher, gives_a_question_back_when_its_caller_is_gone) {
  AdviceDispatcher dispatcher(0);
  dispatcher.Ask(MakeQuestion(1, true, 5'000));
  AdviceCall call;
  call.poll.caller = "gone";
  call.reply = [](const wire::AdviceOrders&) {};
  dispatcher.OnPoll(std::move(call), 0);
  dispatcher.Advance(0);
  cr_expect(dispatcher.TakeAnswers().empty());
  dispatcher.Advance(10'000);
  const auto answers = dispatcher.TakeAnswers();
  cr_assert_eq(answers.size(), 1);
  cr_expect_not(answers[0].answered);
}

// Load pattern: a backlog while all hosts wait for questions. Guards against
// hosts whose polls replace each other, so that only one question is asked at a
// time.
Test(advice_dispatcher, hands_out_one_question_to_each_waiting_host) {
  AdviceDispatcher dispatcher(0);
  constexpr int kHosts = 4;
  std::vector<std::string> got(kHosts);
  for (int n = 0; n < kHosts; ++n) {
    AdviceCall call;
    call.poll.caller = "host-" + std::to_string(n);
    call.poll.wait_ms = 1'000;
    call.reply = [&got, n](const wire::AdviceOrders& orders) {
      for (const auto& it : orders.orders) {
        got[static_cast<std::size_t>(n)] += it.step;
      }
    };
    dispatcher.OnPoll(std::move(call), 0);
  }
  for (policy::StepId n = 1; n <= kHosts; ++n) {
    dispatcher.Ask(MakeQuestion(n, true, 1'000 + n));
  }
  dispatcher.Advance(1);
  for (const auto& it : got) {
    cr_expect_eq(it.size(), 1, "a host got \"%s\"", it.c_str());
  }
  cr_expect_eq(dispatcher.queued(), 0);
}

// Load pattern: many long questions while some hosts are free. Guards against
// refusing urgent jobs for a wait that they would not have.
Test(advice_dispatcher, expects_no_wait_while_a_host_is_free) {
  AdviceDispatcher dispatcher(0);
  constexpr int kHosts = 10;
  const auto poll = [&](int n) {
    AdviceCall call;
    call.poll.caller = "host-" + std::to_string(n);
    call.poll.wait_ms = 60'000;
    call.reply = [](const wire::AdviceOrders&) {};
    dispatcher.OnPoll(std::move(call), 10'000);
  };
  for (int n = 0; n < kHosts; ++n) {
    poll(n);
  }
  for (policy::StepId n = 1; n < kHosts; ++n) {
    auto question = MakeQuestion(n, false, 20'000);
    question.expected_ms = 1'000;
    dispatcher.Ask(std::move(question));
  }
  dispatcher.Advance(10'000);
  cr_expect_eq(dispatcher.ExpectedWaitMs(10'000, true, 10'500), 0);
  auto last = MakeQuestion(kHosts, false, 20'000);
  last.expected_ms = 1'000;
  dispatcher.Ask(std::move(last));
  dispatcher.Advance(10'000);
  cr_expect_eq(dispatcher.ExpectedWaitMs(10'400, true, 10'900), 600);
}

// Load pattern: callers in another region. Guards against jobs that are
// accepted for a wait that is too short, because a question occupies its caller
// for longer than the service takes.
Test(advice_dispatcher, counts_the_time_of_callers_beyond_that_of_the_service) {
  AdviceDispatcher dispatcher(0);
  std::vector<wire::AdviceResult> results;
  const auto poll = [&](std::int64_t now_ms) {
    AdviceCall call;
    call.poll.caller = "c";
    call.poll.wait_ms = 10'000;
    call.poll.results = std::exchange(results, {});
    call.reply = [&](const wire::AdviceOrders& orders) {
      for (const auto& it : orders.orders) {
        results.emplace_back().id = it.id;
      }
    };
    dispatcher.OnPoll(std::move(call), now_ms);
    dispatcher.Advance(now_ms);
  };
  dispatcher.Ask(MakeQuestion(1, false, 50'000));
  poll(10'000);
  dispatcher.Ask(MakeQuestion(2, false, 50'000));
  dispatcher.Ask(MakeQuestion(3, false, 50'000));
  poll(10'180);  // The service takes 100 ms, the caller 80 ms more.
  cr_expect_eq(dispatcher.ExpectedWaitMs(10'180, false, 60'000), 360);
  cr_expect_eq(dispatcher.ExpectedWaitMs(10'180, true, 60'000), 180);
}

// Load pattern: urgent questions take half of the callers all the time. Guards
// against other jobs that are accepted as if these callers were theirs: urgent
// questions that arrive later go first.
Test(advice_dispatcher, leaves_callers_to_later_urgent_questions) {
  AdviceDispatcher dispatcher(0);
  constexpr int kHosts = 4;
  for (int n = 0; n < kHosts; ++n) {
    AdviceCall call;
    call.poll.caller = "host-" + std::to_string(n);
    call.poll.wait_ms = 60'000;
    call.reply = [](const wire::AdviceOrders&) {};
    dispatcher.OnPoll(std::move(call), 10'000);
  }
  for (policy::StepId n = 1; n <= kHosts; ++n) {
    auto question = MakeQuestion(n, n <= 2, 20'000);
    question.expected_ms = n <= 2 ? 1'000 : 3'000;
    dispatcher.Ask(std::move(question));
  }
  for (std::int64_t now_ms = 10'000; now_ms <= 11'000; now_ms += 10) {
    dispatcher.Advance(now_ms);
  }
  cr_expect_eq(dispatcher.ExpectedWaitMs(11'000, true, 11'500), 0);
  cr_expect_eq(dispatcher.ExpectedWaitMs(11'000, false, 19'000), 2'000);
}

// Load pattern: half of the callers have urgent questions, the others are idle.
// Guards against other jobs that are refused because the idle callers are left
// to urgent queues, too.
Test(advice_dispatcher, leaves_no_more_callers_to_urgent_queues_than_they_use) {
  AdviceDispatcher dispatcher(0);
  constexpr int kHosts = 4;
  for (int n = 0; n < kHosts; ++n) {
    AdviceCall call;
    call.poll.caller = "host-" + std::to_string(n);
    call.poll.wait_ms = 60'000;
    call.reply = [](const wire::AdviceOrders&) {};
    dispatcher.OnPoll(std::move(call), 10'000);
  }
  for (policy::StepId n = 1; n <= kHosts / 2; ++n) {
    auto question = MakeQuestion(n, true, 20'000);
    question.expected_ms = 1'500;
    dispatcher.Ask(std::move(question));
  }
  for (std::int64_t now_ms = 10'000; now_ms <= 11'000; now_ms += 10) {
    dispatcher.Advance(now_ms);
  }
  cr_expect_eq(dispatcher.ExpectedWaitMs(11'000, false, 19'000), 0);
}

// Guards against questions about a worker whose number has ended, and against a
// step that waits for the answer to a question without workers.
Test(advice_dispatcher, asks_nothing_about_a_removed_worker) {
  AdviceDispatcher dispatcher(0);
  auto question = MakeQuestion(1, false, 900);
  question.workers = {"a", "b"};
  question.worker_numbers = {1, 2};
  dispatcher.Ask(question);
  question.step = 2;
  question.workers = {"a"};
  question.worker_numbers = {1};
  dispatcher.Ask(question);
  dispatcher.RemoveWorker(1);
  const auto failed = dispatcher.TakeAnswers();
  cr_assert_eq(failed.size(), 1);
  cr_expect_eq(failed[0].question.step, 2);
  cr_expect(!failed[0].answered);
  std::vector<std::string> asked;
  AdviceCall call;
  call.poll.caller = "c";
  call.reply = [&](const wire::AdviceOrders& orders) {
    cr_assert_eq(orders.orders.size(), 1);
    asked = orders.orders[0].workers;
  };
  dispatcher.OnPoll(std::move(call), 100);
  dispatcher.Advance(100);
  cr_expect(asked == std::vector<std::string>{"b"});
}

// Guards against an answer to an earlier leader's question that counts for the
// question to which this leader gave the same number: the step would take
// workers as forbidden that the service was not asked about.
Test(advice_dispatcher, ignores_answers_to_questions_of_an_earlier_leader) {
  std::int64_t old_id = 0;
  const auto poll = [](AdviceDispatcher& dispatcher, const std::string& caller,
                       std::vector<wire::AdviceResult> results,
                       std::int64_t* id) {
    AdviceCall call;
    call.poll.caller = caller;
    call.poll.wait_ms = 1'000;
    call.poll.results = std::move(results);
    call.reply = [id](const wire::AdviceOrders& orders) {
      if (id != nullptr && !orders.orders.empty()) {
        *id = orders.orders.front().id;
      }
    };
    dispatcher.OnPoll(std::move(call), 0);
    dispatcher.Advance(0);
  };
  AdviceDispatcher earlier(0);
  earlier.Ask(MakeQuestion(1, true, 5'000));
  poll(earlier, "a", {}, &old_id);
  AdviceDispatcher dispatcher(0);
  dispatcher.Ask(MakeQuestion(2, true, 5'000));
  poll(dispatcher, "b", {}, nullptr);
  wire::AdviceResult late;
  late.id = old_id;
  late.answered = true;
  poll(dispatcher, "a", {late}, nullptr);
  cr_expect(dispatcher.TakeAnswers().empty());
}

// Load pattern: callers in several regions while some are idle. Guards against
// urgent questions that take the way to a region far away and back.
Test(advice_dispatcher, gives_urgent_questions_to_callers_that_answer_fast) {
  AdviceDispatcher dispatcher(0);
  std::map<std::string, std::vector<std::string>> steps;
  std::map<std::string, std::vector<wire::AdviceResult>> results;
  const auto poll = [&](const std::string& caller, std::int64_t now_ms) {
    AdviceCall call;
    call.poll.caller = caller;
    call.poll.wait_ms = 10'000;
    call.poll.results = std::exchange(results[caller], {});
    call.reply = [&, caller](const wire::AdviceOrders& orders) {
      for (const auto& it : orders.orders) {
        steps[caller].push_back(it.step);
        results[caller].emplace_back().id = it.id;
      }
    };
    dispatcher.OnPoll(std::move(call), now_ms);
  };
  poll("far", 0);
  poll("near", 0);
  dispatcher.Ask(MakeQuestion(1, true, 5'000));
  dispatcher.Ask(MakeQuestion(2, true, 5'000));
  dispatcher.Advance(0);
  poll("near", 102);
  poll("far", 130);
  for (policy::StepId n = 3; n <= 4; ++n) {
    dispatcher.Ask(MakeQuestion(n, n == 3, 5'000));
  }
  dispatcher.Advance(200);
  cr_assert_eq(steps["near"].size(), 2);
  cr_assert_eq(steps["far"].size(), 2);
  cr_expect_str_eq(steps["near"].back().c_str(), "3");
  cr_expect_str_eq(steps["far"].back().c_str(), "4");
}
