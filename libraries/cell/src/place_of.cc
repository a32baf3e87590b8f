#include "place_of.h"

namespace cranberryshunt::cell {

policy::Place PlaceOf(const graph::GraphStore& store,
                      const graph::Job& job,
                      const graph::TaskKey& task) {
  const auto& step = job.step(task.step);
  if (step.gang ? !step.same_rack : step.data_rack.empty()) {
    return policy::Place::kAny;
  }
  const auto rack_of = [&](const graph::TaskKey& key) {
    const auto worker = store.workers().find(job.task(key).worker);
    return worker == store.workers().end() ? nullptr : &worker->second.rack;
  };
  const auto* rack = rack_of(task);
  if (rack == nullptr) {
    return policy::Place::kAny;
  }
  if (!step.gang) {
    return *rack == step.data_rack ? policy::Place::kNear : policy::Place::kFar;
  }
  auto member = task;
  for (member.index = 0; member.index < step.task_count; ++member.index) {
    const auto* other = rack_of(member);
    if (other != nullptr && *other != *rack) {
      return policy::Place::kFar;
    }
  }
  return policy::Place::kNear;
}

}  // namespace cranberryshunt::cell
