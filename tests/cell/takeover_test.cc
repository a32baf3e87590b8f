// Measures how soon a new leader answers and starts tasks.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int32_t kWorkers = 350;
constexpr std::size_t kWaitingSteps = 600;

// Times after the takeover, in virtual time; -1: not within the run. Processor
// time of the leader until the first start is real.
struct Takeover {
  std::int64_t first_answer_ms = -1;
  std::int64_t first_list_ms = -1;  // Asked for at the worker.
  std::int64_t last_list_ms = -1;
  std::int64_t first_question_ms = -1;  // To the advice service.
  std::int64_t first_placement_ms = -1;
  std::int64_t first_start_ms = -1;
  std::int64_t tenth_start_ms = -1;
  std::int64_t hundredth_start_ms = -1;
  double engine_ms = 0;
  // Workers that got a start of the new leader before it had asked for their
  // list.
  int early_starts = 0;
};

void Print(const char* name, const Takeover& it) {
  fmt::print(
      "{}: first answer {} ms, lists {} to {} ms, question {} ms, placement {} "
      "ms, start {} ms, "
      "10 starts {} ms, 100 starts {} ms; processor time {:.0f} ms\n",
      name, it.first_answer_ms, it.first_list_ms, it.last_list_ms,
      it.first_question_ms, it.first_placement_ms, it.first_start_ms,
      it.tenth_start_ms, it.hundredth_start_ms, it.engine_ms);
}

// A full cell with waiting steps loses its leader.
Takeover LoseLeader(bool needs_advice) {
  CellHarness cell({.workers = kWorkers,
                    .milli_cpus = 16'000,
                    .network_ms = 12,
                    .advice_callers = 32,
                    .allowed_share = 0.45,
                    .check = false});
  // Tasks end all the time.
  cell.run_time = [](const graph::TaskKey& task, std::int64_t declared) {
    return declared / 6 +
           (static_cast<std::int64_t>(task.job) * 7 + task.index) * 37 %
               declared;
  };
  auto queue = MakeQueue("batch", 1);
  queue.latency_target_ms = 600'000;
  queue.needs_advice = needs_advice;
  queue.advice.base_ms = 104;
  queue.advice.ticket_valid_ms = 2'000;
  cell.Publish({queue});
  cell.Run(1'000);
  graph::JobId id = 1;
  const auto fill = [&](std::size_t jobs) {
    for (std::size_t n = 0; n < jobs; ++n) {
      cell.Submit(id++, "batch", MakeJob(25, 1'700, 6'000));
    }
  };
  // The cell has room for about 120 of these jobs at a time.
  fill(120);
  cell.Run(1'000);
  fill(kWaitingSteps);
  cell.Run(1'000);
  cell.ChangeLeader();
  const auto begin_ms = cell.now_ms();
  auto starts = cell.starts;
  auto& placements = cell.metrics().Counter("starts_total");
  auto& questions = cell.metrics().Counter("advice_questions_total");
  const auto placed = placements.load();
  const auto asked = questions.load();
  const auto engine_ms = cell.engine_ms();
  std::vector<std::int64_t> fences;
  std::vector<std::size_t> runs;
  for (const auto& it : cell.workers) {
    fences.push_back(it.fence);
    runs.push_back(it.runs.size());
  }
  std::vector<bool> listed(fences.size());
  // The first order of the new leader raises the fence. It must ask for the
  // list, so it adds no run.
  const auto count_lists = [&](Takeover& out) {
    for (std::size_t n = 0; n < fences.size(); ++n) {
      const auto& it = cell.workers[n];
      if (!listed[n] && it.fence > fences[n]) {
        listed[n] = true;
        out.early_starts += it.runs.size() > runs[n] ? 1 : 0;
      }
      runs[n] = it.runs.size();
    }
    return std::count(listed.begin(), listed.end(), true);
  };
  const auto probe = id++;
  cell.Submit(probe, "batch", MakeJob(1, 1'000, 1'000));
  Takeover out;
  const auto record = [&](std::int64_t& time, bool reached) {
    if (time < 0 && reached) {
      time = cell.now_ms() - begin_ms;
    }
  };
  for (int n = 0; n < 6'000 && out.hundredth_start_ms < 0; ++n) {
    cell.Run(1);
    record(out.first_answer_ms, cell.jobs[probe].replied_ms >= 0);
    const auto lists = count_lists(out);
    record(out.first_list_ms, lists > 0);
    record(out.last_list_ms, lists == kWorkers);
    record(out.first_question_ms, questions > asked);
    record(out.first_placement_ms, placements > placed);
    if (out.first_placement_ms < 0) {
      starts = cell.starts;  // Sent by the former leader.
      continue;
    }
    record(out.first_start_ms, cell.starts > starts);
    record(out.tenth_start_ms, cell.starts >= starts + 10);
    record(out.hundredth_start_ms, cell.starts >= starts + 100);
    if (out.first_start_ms < 0) {
      out.engine_ms = cell.engine_ms() - engine_ms;
    }
  }
  return out;
}

}  // namespace

// Load: a cell of 350 workers with 600 waiting steps loses its leader. Guards
// against a new leader that answers late or asks for advice late although it
// has the lists of the workers, and against starts before it has them.
Test(takeover, asks_and_starts_once_the_lists_are_read) {
  constexpr std::int64_t kRoundTripMs = 24;
  // Of a commit, and of a start on its way.
  constexpr std::int64_t kStartMs = 27;
  constexpr std::int64_t kMarginMs = 10;
  const auto plain = LoseLeader(false);
  const auto advised = LoseLeader(true);
  Print("without advice", plain);
  Print("with advice", advised);
  for (const auto& it : {plain, advised}) {
    cr_expect_eq(it.early_starts, 0);
    cr_expect_geq(it.first_answer_ms, 0);
    cr_expect_leq(it.first_answer_ms, kRoundTripMs);
    cr_expect_geq(it.last_list_ms, 0);
    cr_expect_leq(it.last_list_ms, kRoundTripMs);
  }
  cr_expect_geq(plain.first_start_ms, kRoundTripMs);
  cr_expect_leq(plain.first_start_ms, kRoundTripMs + kStartMs + kMarginMs);
  cr_expect_geq(advised.first_question_ms, kRoundTripMs);
  cr_expect_leq(advised.first_question_ms, kRoundTripMs + kMarginMs);
}
