// Scheduler::Implementation: changes of workers and quotas, and reports.
#include <algorithm>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// Families and teams with fewer recent faults are left out of the report.
constexpr std::int64_t kMinReportedFaults = 3;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string FormatWithRatio(const std::string& name, double ratio) {
  return name + " (" + std::to_string(static_cast<int>(ratio * 100)) +
         "% of tasks failed)";
}

}  // namespace

void Scheduler::Implementation::UpsertWorker(const WorkerInfo& info) {
  const bool is_new = workers.Find(info.id) == kNone;
  const std::int32_t number = workers.Add(info.id);
  if (is_new) {
    failure_tracker.Reset(number);
  }
  const Worker& worker = workers.at(number);
  const bool unchanged = worker.present && worker.capacity == info.capacity &&
                         workers.HasLocation(number, info);
  if (unchanged) {
    return;
  }
  for (const TaskRef& it : worker.tasks) {
    UpdatePlacementCounts(jobs.at(it.job), worker, -1);
  }
  workers.SetInfo(number, info);
  for (const TaskRef& it : worker.tasks) {
    UpdatePlacementCounts(jobs.at(it.job), worker, 1);
  }
  shares.set_fleet(workers.capacity());
  if (!first_worker_seen_at) {
    first_worker_seen_at = now;
  }
  for (std::size_t n = 0; n < kKindCount; ++n) {
    queues[n].RefreshShares([&](std::int32_t team) {
      return shares.TeamShare(static_cast<Kind>(n), team);
    });
  }
}

void Scheduler::Implementation::SetAccepting(const std::string& id,
                                             bool accepting) {
  const std::int32_t number = workers.Find(id);
  if (number == kNone || workers.at(number).accepting == accepting) {
    return;
  }
  workers.at(number).accepting = accepting;
  workers.Refresh(number);
}

void Scheduler::Implementation::RemoveWorker(const std::string& id) {
  const std::int32_t number = workers.Find(id);
  if (number == kNone || !workers.at(number).tasks.empty()) {
    return;
  }
  DropClaim(number);
  std::erase(start_limited_workers, number);
  if (reservation) {
    std::erase(reservation->workers, number);
  }
  failure_tracker.Reset(number);
  workers.Remove(number);
  shares.set_fleet(workers.capacity());
}

void Scheduler::Implementation::SetQuotas(const std::vector<Quota>& quotas) {
  shares.ClearQuotas();
  for (const Quota& it : quotas) {
    shares.SetQuota(teams.Add(it.team), it.limit);
  }
  for (FairQueue& it : queues) {
    it.UnblockOldest(it.blocked().size());
  }
}

std::array<KindReport, kKindCount> Scheduler::Implementation::KindReports()
    const {
  std::array<KindReport, kKindCount> reports;
  for (std::size_t n = 0; n < kKindCount; ++n) {
    const auto kind = static_cast<Kind>(n);
    const KindState& it = kinds[n];
    KindReport& report = reports[n];
    report.queued = queues[n].queued_tasks();
    report.running = it.running;
    report.share = shares.KindShare(kind);
    report.refused = it.refused;
    report.preempted = it.preempted;
    report.preempted_run_ms = ToMilliseconds(it.preempted_run);
    const LogHistogram waits = it.waits.Recent();
    report.wait_p50_ms = Milliseconds(waits.Quantile(0.5));
    report.wait_p99_ms = Milliseconds(waits.Quantile(0.99));
    report.full = report.queued >= options.max_queued_tasks_per_kind;
    report.retry_after = report.full ? RetryAfter(kind) : Duration::zero();
  }
  return reports;
}

SchedulerReport Scheduler::Implementation::Report() const {
  SchedulerReport report;
  report.kinds = KindReports();
  double packed = 0;
  std::size_t used = 0;
  for (std::size_t n = 0; n < workers.size(); ++n) {
    const auto number = static_cast<std::int32_t>(n);
    const Worker& worker = workers.at(number);
    if (!worker.present) {
      continue;
    }
    WorkerReport& it = report.workers.emplace_back();
    it.id = worker.id;
    it.capacity = worker.capacity;
    it.reserved = worker.capacity - worker.free;
    it.quarantined = worker.quarantined;
    if (worker.quarantined) {
      it.reason = "fails far more often than the fleet";
    } else if (worker.on_probation) {
      it.reason = "on probation after a quarantine";
    } else if (!worker.accepting) {
      it.reason = "accepts no new tasks";
    }
    if (!worker.tasks.empty()) {
      packed += DominantShare(it.reserved, it.capacity);
      ++used;
    }
  }
  report.packing = used > 0 ? packed / static_cast<double>(used) : 0;
  report.culprits = Culprits();
  return report;
}

std::vector<std::string> Scheduler::Implementation::Culprits() const {
  std::vector<std::string> culprits;
  for (const std::int32_t number : failure_tracker.quarantined()) {
    culprits.push_back(FormatWithRatio("worker " + workers.at(number).id,
                                       failure_tracker.failure_ratio(number)));
  }
  for (std::size_t n = 0; n < families.size(); ++n) {
    const auto family = static_cast<std::int32_t>(n);
    if (failure_tracker.IsFamilyCulprit(family)) {
      culprits.push_back("family " + families.name(family));
    }
    if (run_estimator.IsDeclarationUnreliable(family)) {
      culprits.push_back("family " + families.name(family) +
                         " (declared run times are wrong)");
    }
  }
  for (std::size_t n = 0; n < excess_uses.size(); ++n) {
    const std::int64_t count = excess_uses.Recent(n, now);
    if (count >= kMinReportedFaults) {
      culprits.push_back(
          "family " + families.name(static_cast<std::int32_t>(n)) + " (" +
          std::to_string(count) + " tasks used more than they declared)");
    }
  }
  for (std::size_t n = 0; n < impossible_jobs.size(); ++n) {
    const std::int64_t count = impossible_jobs.Recent(n, now);
    if (count >= kMinReportedFaults) {
      culprits.push_back("team " + teams.name(static_cast<std::int32_t>(n)) +
                         " (" + std::to_string(count) + " impossible jobs)");
    }
  }
  return culprits;
}

}  // namespace cranberryshunt::policy
