#include "support/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace cranberryshunt::test {

namespace {

constexpr std::int64_t kForever = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kLeavingBoundUs = 2'000'000;

// One execution of an attempt at a worker.
struct Run {
  TargetRecord start;
  std::int64_t end_us = kForever;
  std::string end_state;
};

std::string Describe(const TargetRecord& record) {
  return fmt::format("{}/{} attempt {} of request '{}' at {}", record.job_id,
                     record.index, record.attempt, record.request,
                     record.worker);
}

bool SameAttempt(const TargetRecord& left, const TargetRecord& right) {
  return left.job_id == right.job_id && left.index == right.index &&
         left.attempt == right.attempt &&
         left.incarnation == right.incarnation && left.worker == right.worker;
}

class Checker {
 public:
  Checker(const std::vector<TargetRecord>& targets,
          const std::vector<CallerRecord>& callers)
      : targets_(targets), callers_(callers) {
    std::stable_sort(targets_.begin(), targets_.end(),
                     [](const auto& left, const auto& right) {
                       return left.boot_us < right.boot_us;
                     });
  }

  std::vector<std::string> Run() {
    CollectRuns();
    CheckRefusals();
    CheckCapacity();
    CheckExclusive();
    CheckNonIdempotent();
    CheckFences();
    CheckCallers();
    return std::move(violations_);
  }

 private:
  using RunList = std::vector<test::Run>;

  void Report(std::string text) { violations_.push_back(std::move(text)); }

  void CollectRuns() {
    std::map<std::string, std::vector<std::size_t>> open_by_worker;
    for (const auto& record : targets_) {
      auto& open_runs = open_by_worker[record.worker];
      if (record.event == "start") {
        open_runs.push_back(runs_.size());
        runs_.push_back({record, kForever, ""});
      } else if (record.event == "end") {
        std::erase_if(open_runs, [&](std::size_t n) {
          return SameAttempt(runs_[n].start, record) && EndRun(n, record);
        });
      } else if (record.event == "up" || record.event == "dead") {
        // Running tasks end with their process.
        for (const std::size_t n : open_runs) {
          EndRun(n, record);
        }
        open_runs.clear();
      }
    }
  }

  bool EndRun(std::size_t n, const TargetRecord& record) {
    runs_[n].end_us = std::max(record.boot_us, runs_[n].start.boot_us);
    runs_[n].end_state = record.state;
    return true;
  }

  // The stand-in refuses starts beyond its capacity and while it leaves. Even a
  // refused start is a violation when it was beyond the capacity or came too
  // long after the worker announced that it leaves.
  void CheckRefusals() {
    std::map<std::string, std::int64_t> leaving;  // By incarnation.
    for (const auto& record : targets_) {
      if (record.event == "leaving") {
        leaving.emplace(record.incarnation, record.boot_us);
      } else if (record.event == "refuse" && record.reason == "capacity") {
        Report("start beyond capacity: " + Describe(record));
      } else if (record.event == "start" || record.event == "refuse") {
        const auto it = leaving.find(record.incarnation);
        const bool start_attempted =
            record.event == "start" || record.reason == "leaving";
        if (start_attempted && it != leaving.end() &&
            record.boot_us > it->second + kLeavingBoundUs) {
          Report(fmt::format("start {} ms after leaving was announced: {}",
                             (record.boot_us - it->second) / 1'000,
                             Describe(record)));
        }
      }
    }
  }

  void CheckCapacity() {
    // Of events at the same time, ends (0) come before starts (1).
    std::multimap<std::pair<std::int64_t, int>, const test::Run*> events;
    for (const auto& run : runs_) {
      events.emplace(std::pair(run.start.boot_us, 1), &run);
      events.emplace(std::pair(run.end_us, 0), &run);
    }
    std::map<std::string, Resources> capacity;
    for (const auto& record : targets_) {
      if (record.event == "up") {
        capacity[record.worker] = record.resources;
      }
    }
    std::map<std::string, Resources> used;
    for (const auto& [key, run] : events) {
      auto& sum = used[run->start.worker];
      sum = key.second == 1 ? sum + run->start.resources
                            : sum - run->start.resources;
      if (key.second == 1 && !sum.FitsIn(capacity[run->start.worker])) {
        Report("capacity exceeded by " + Describe(run->start));
      }
    }
  }

  void CheckExclusive() {
    std::map<std::pair<std::string, std::int64_t>, const test::Run*> by_task;
    for (const auto& run : runs_) {
      if (!run.start.exclusive) {
        continue;
      }
      auto& latest_end = by_task[{run.start.request, run.start.index}];
      if (latest_end != nullptr && run.start.boot_us < latest_end->end_us) {
        Report(fmt::format("runs of an exclusive task overlap: {} and {}",
                           Describe(latest_end->start), Describe(run.start)));
      }
      if (latest_end == nullptr || run.end_us > latest_end->end_us) {
        latest_end = &run;
      }
    }
  }

  void CheckNonIdempotent() {
    std::map<std::pair<std::string, std::int64_t>, const test::Run*> first;
    for (const auto& run : runs_) {
      if (!run.start.non_idempotent) {
        continue;
      }
      const auto [it, is_new] =
          first.emplace(std::pair(run.start.request, run.start.index), &run);
      if (!is_new) {
        Report(fmt::format("non-idempotent task started twice: {} and {}",
                           Describe(it->second->start), Describe(run.start)));
      }
    }
  }

  void CheckFences() {
    std::map<std::int64_t, const test::Run*> seen;
    for (const auto& run : runs_) {
      const auto [it, is_new] = seen.emplace(run.start.fence, &run);
      if (!is_new) {
        Report(fmt::format("fence {} used twice: {} and {}", run.start.fence,
                           Describe(it->second->start), Describe(run.start)));
      }
    }
  }

  void CheckCallers() {
    std::map<std::string, std::vector<const test::Run*>> by_request;
    for (const auto& run : runs_) {
      by_request[run.start.request].push_back(&run);
    }
    for (const auto& caller : callers_) {
      CheckCaller(caller, by_request[caller.request]);
    }
  }

  void CheckCaller(const CallerRecord& caller,
                   const std::vector<const test::Run*>& runs) {
    if (caller.outcome == "not_run" && !runs.empty()) {
      Report(fmt::format("outcome not_run for a task that ran: {}",
                         Describe(runs.front()->start)));
    }
    if (caller.outcome != "done") {
      return;
    }
    std::set<std::int64_t> finished;
    for (const auto* run : runs) {
      if (run->end_state == "done") {
        finished.insert(run->start.index);
      }
    }
    if (static_cast<std::int64_t>(finished.size()) < caller.tasks) {
      Report(fmt::format(
          "outcome done but only {} of {} tasks finished: request '{}'",
          finished.size(), caller.tasks, caller.request));
    }
    if (!caller.answers_intact ||
        static_cast<std::int64_t>(caller.answers.size()) != caller.tasks) {
      Report("incomplete answer to request '" + caller.request + "'");
    }
    for (const auto& answer : caller.answers) {
      if (answer != caller.expected_answer) {
        Report(fmt::format("wrong answer to request '{}': '{:.40}'",
                           caller.request, answer));
      }
    }
  }

  std::vector<TargetRecord> targets_;
  const std::vector<CallerRecord>& callers_;
  RunList runs_;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> FindViolations(
    const std::vector<TargetRecord>& targets,
    const std::vector<CallerRecord>& callers) {
  return Checker(targets, callers).Run();
}

}  // namespace cranberryshunt::test
