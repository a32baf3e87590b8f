// Places the tasks of gangs, which start together or not at all. A gang needs
// room for all its tasks and a valid ticket for each of their workers at the
// same moment, and both last for a short time only.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "expected_room.h"
#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Room for one task of a gang on a worker.
struct Opening {
  // When both the room and the ticket are expected to be there.
  std::int64_t ready_ms = 0;
  std::int64_t room_ms = 0;  // When the room is.
  bool needs_ticket = false;
  PlanWorker* worker = nullptr;
};

bool IsEarlier(const Opening& a, const Opening& b) {
  return std::tuple(a.ready_ms, a.needs_ticket, a.room_ms, a.worker->number) <
         std::tuple(b.ready_ms, b.needs_ticket, b.room_ms, b.worker->number);
}

void AddHeld(std::vector<HeldCapacity>& held,
             std::int64_t worker,
             const Demand& demand) {
  auto it = std::find_if(held.begin(), held.end(), [&](const auto& entry) {
    return entry.worker == worker;
  });
  if (it == held.end()) {
    it = held.insert(it, {worker, {}});
  }
  it->demand += demand;
}

}  // namespace

void GraphPlanner::PlaceGang(PlanStep& step,
                             const Candidates& workers,
                             Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  // Starting the first member changes what the others may use, so the capacity
  // is determined before.
  std::map<const PlanWorker*, Demand> usable;
  for (const auto* it : workers) {
    usable[it] = UsableCapacity(step, *it, round.now_ms);
  }
  // Racks to try. The empty name stands for all racks together; for `same_rack`
  // each single rack is tried first.
  std::vector<std::string> racks;
  if (step.same_rack) {
    for (const auto* it : workers) {
      if (std::find(racks.begin(), racks.end(), it->rack) == racks.end()) {
        racks.push_back(it->rack);
      }
    }
  }
  racks.emplace_back();
  step.lacks_room = !workers.empty();
  ChooseNearRack(step, workers, round);
  for (const auto& rack : racks) {
    Candidates fitting;
    std::int64_t fit = 0;
    std::int64_t ticketed = 0;
    std::vector<std::int64_t> with_room;
    for (auto* it : workers) {
      if (!rack.empty() && it->rack != rack) {
        continue;
      }
      const auto n = FitCount(step.demand, usable[it],
                              std::min(count, PerWorkerLimit(step, *it)));
      if (n <= 0) {
        continue;
      }
      fit += n;
      with_room.push_back(it->number);
      if (step.advice.HasTicket(it->number, until)) {
        ticketed += n;
        fitting.push_back(it);
      }
    }
    step.lacks_room = step.lacks_room && fit < count;
    if (ticketed >= count) {
      if (rack.empty() && WaitsForNearRack(step, round)) {
        return;
      }
      // Workers with the least capacity left over come first, so that the gang
      // uses few workers.
      const auto key = [&](const auto* it) {
        return std::pair(step.avoided.contains(it->number),
                         LeftoverShare(*it, step.demand));
      };
      std::sort(fitting.begin(), fitting.end(),
                [&](auto* a, auto* b) { return key(a) < key(b); });
      for (auto* it : fitting) {
        while (!step.waiting.empty() && step.demand.FitsIn(usable[it]) &&
               PerWorkerLimit(step, *it) > 0) {
          Start(step, *it, round, rack.empty());
          usable[it] -= step.demand;
        }
      }
      return;
    }
    if (fit >= count) {
      if (IsRackTooSlow(step, rack)) {
        continue;
      }
      PlanRenewal(step, MissingTickets(step, with_room, round.now_ms), round);
      break;
    }
  }
}

void GraphPlanner::HoldCapacity(const PlanStep& step, Round& round) {
  const bool held_long =
      step.held_since_ms != 0 &&
      round.now_ms - step.held_since_ms >= options_.max_wait_ms;
  Demand held;
  for (const auto& it : step.held) {
    auto* worker = FindWorker(it.worker);
    if (worker != nullptr) {
      worker->held += it.demand;
      if (held_long) {
        worker->held_long += it.demand;
      }
      workers_with_held_capacity_.push_back(it.worker);
      held += it.demand;
    }
  }
  round.held_share += ShareOf(held, usable_capacity_[step.service_name]);
  if (step.gang) {
    accounts_.Hold(step.account, held);
  }
}

// Holds for a gang that cannot start yet the openings of which room and ticket
// are expected first, since other tasks would otherwise keep taking them. They
// are held for each task separately: draining whole workers would leave more
// of them idle for longer. Nothing is held for a start that is far off.
void GraphPlanner::AssembleGang(PlanStep& step,
                                const Candidates& workers,
                                Round& round) {
  step.held.clear();
  step.held_ready_ms = 0;
  const auto now_ms = round.now_ms;
  const auto count = step.waiting.size();
  const auto& advice = step.advice;
  const auto renewal_ms =
      AnswerMs(step, std::min(count + count / 2, kMaxWorkersPerQuestion)) +
      kAnswerTransitMs;
  std::vector<Opening> openings;
  for (auto* it : workers) {
    // Skips workers with capacity held for a gang that precedes this one.
    if (it->held != Demand() ||
        (!step.near_rack.empty() && it->rack != step.near_rack)) {
      continue;
    }
    const auto limit =
        std::min(static_cast<std::int64_t>(count), PerWorkerLimit(step, *it));
    for (const auto room_ms :
         ExpectedRoom(*it, it->FreeCapacity(), step.demand, limit, now_ms)) {
      Opening opening{room_ms, room_ms, false, it};
      if (!advice.HasTicket(it->number, room_ms + options_.ticket_margin_ms)) {
        const bool renewing =
            advice.renewal_pending && advice.renewing.contains(it->number);
        opening.needs_ticket = !renewing;
        opening.ready_ms = std::max(
            room_ms, renewing ? advice.renewal_due_ms : now_ms + renewal_ms);
      }
      openings.push_back(opening);
    }
  }
  if (openings.size() < count) {
    return;
  }
  std::sort(openings.begin(), openings.end(), IsEarlier);
  step.held_ready_ms = openings[count - 1].ready_ms;
  // The limit grows while the gang waits, so that others do not take each
  // opening before it comes near.
  const auto waited_ms = now_ms - step.waiting_since_ms;
  if (step.held_ready_ms - now_ms > options_.max_hold_ms + waited_ms ||
      round.held_share >= options_.max_held_share) {
    return;
  }
  std::int64_t room_ms = now_ms;
  bool needs_ticket = false;
  for (std::size_t i = 0; i < count; ++i) {
    // Near room isn't kept free while the gang could start on far places.
    if (!step.leaves_far_room) {
      AddHeld(step.held, openings[i].worker->number, step.demand);
    }
    room_ms = std::max(room_ms, openings[i].room_ms);
    needs_ticket = needs_ticket || openings[i].needs_ticket;
  }
  step.held_room_free = room_ms <= now_ms;
  if (!needs_ticket || room_ms - now_ms > renewal_ms) {
    return;
  }
  // The tickets of some further openings are renewed too, in case a task runs
  // longer than expected.
  const auto usable_from_ms =
      std::max(step.held_ready_ms, now_ms + renewal_ms) +
      options_.ticket_margin_ms;
  std::vector<std::int64_t> missing;
  const auto renewed = std::min(openings.size(), count + count / 2);
  for (std::size_t i = 0; i < renewed; ++i) {
    const auto number = openings[i].worker->number;
    if (!advice.HasTicket(number, usable_from_ms) &&
        std::find(missing.begin(), missing.end(), number) == missing.end()) {
      missing.push_back(number);
    }
  }
  PlanRenewal(step, missing, round);
}

GangSummary GraphPlanner::SummarizeGangs(std::int64_t now_ms) const {
  constexpr std::int64_t kUnplannedMs = 1'000;
  GangSummary out;
  for (const auto& [id, step] : waiting_steps_) {
    if (!step->gang || step->waiting.empty() || step->uncommitted) {
      continue;
    }
    ++out.waiting;
    out.late += IsLate(*step, now_ms) ? 1 : 0;
    const auto unplanned_ms =
        now_ms - std::max(step->planned_ms, step->waiting_since_ms);
    if (unplanned_ms >= kUnplannedMs) {
      ++out.unplanned;
      out.longest_unplanned_ms =
          std::max(out.longest_unplanned_ms, unplanned_ms);
    }
    if (step->held.empty()) {
      out.renewing_without_room += step->advice.renewal_pending ? 1 : 0;
      continue;
    }
    auto& count = step->held_room_free ? out.lacking_tickets : out.lacking_room;
    auto& milli_cpus = step->held_room_free ? out.milli_cpus_lacking_tickets
                                            : out.milli_cpus_lacking_room;
    ++count;
    for (const auto& it : step->held) {
      milli_cpus += it.demand.milli_cpus;
    }
  }
  return out;
}

}  // namespace cranberryshunt::policy
