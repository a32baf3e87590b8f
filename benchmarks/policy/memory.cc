// Measures memory use by the number of workers, queued tasks and running tasks.
#include <fmt/core.h>
#include <malloc.h>

#include <algorithm>
#include <limits>

#include "engine.h"
#include "fleet.h"
#include "sections.h"

namespace cranberryshunt::policy {

namespace {

double BytesInUse() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct Size {
  int workers;
  int queued;
  int running;
};

double Measure(const Size& size, bool baseline) {
  const double before = BytesInUse();
  SchedulerOptions options;
  options.max_queued_tasks_per_team_and_kind = 1'000'000;
  options.max_queued_tasks_per_kind = 1'000'000;
  const auto engine =
      baseline ? MakeFirstFitEngine() : MakeSchedulerEngine(options);
  TimePoint now{std::chrono::seconds(1)};
  for (int n = 0; n < size.workers; ++n) {
    engine->AddWorker(LargeFleetWorker(n));
  }
  const auto submit = [&](int count, std::string_view prefix) {
    for (int n = 0; n < count; ++n) {
      JobRequest job;
      job.job_id = fmt::format("{}-{:020}", prefix, n);
      job.team = fmt::format("team-{}", n % 270);
      job.task_resources = {1'000, kGigabyte, 0, 1};
      engine->Submit(job, now);
    }
  };
  submit(size.running, "running");
  for (int left = size.running, round = 0; left > 0 && round < 20; ++round) {
    for (;;) {
      const auto decisions = engine->Decide(now, 1024);
      if (decisions.empty()) {
        break;
      }
      left -= static_cast<int>(decisions.size());
      for (const Decision& it : decisions) {
        if (const auto* place = std::get_if<Place>(&it)) {
          engine->TaskRunning(place->assignments.front().task, now);
        }
      }
    }
    now += std::chrono::milliseconds(1100);
  }
  submit(size.queued, "queued");
  return BytesInUse() - before;
}

void MeasureSlope(std::string_view what,
                  const std::vector<Size>& sizes,
                  int Size::*counted,
                  bool baseline) {
  std::vector<double> bytes;
  bytes.reserve(sizes.size());
  for (const Size& it : sizes) {
    bytes.push_back(Measure(it, baseline));
  }
  fmt::print("{:>14} {:>8}:", baseline ? "first fit" : "cranberryshunt", what);
  for (std::size_t n = 0; n < sizes.size(); ++n) {
    fmt::print(" {} = {:.1f} MB", sizes[n].*counted, bytes[n] / 1e6);
  }
  fmt::print(", slope {:.0f} bytes each\n",
             (bytes.back() - bytes.front()) /
                 (sizes.back().*counted - sizes.front().*counted));
}

}  // namespace

void MeasureMemory() {
  fmt::print("== memory ==\n");
  for (const bool baseline : {false, true}) {
    MeasureSlope("workers", {{1'000, 0, 0}, {4'000, 0, 0}, {13'000, 0, 0}},
                 &Size::workers, baseline);
    MeasureSlope("queued", {{0, 10'000, 0}, {0, 30'000, 0}, {0, 90'000, 0}},
                 &Size::queued, baseline);
    MeasureSlope("running",
                 {{4'000, 0, 10'000}, {4'000, 0, 30'000}, {4'000, 0, 90'000}},
                 &Size::running, baseline);
  }
}

}  // namespace cranberryshunt::policy
