#include "nearness.h"

namespace cranberryshunt::cell {

policy::Nearness NearnessOf(const graph::GraphStore& store,
                            const graph::Job& job,
                            const graph::TaskKey& task) {
  const auto& step = job.step(task.step);
  if (step.gang ? !step.same_rack : step.data_rack.empty()) {
    return policy::Nearness::kAny;
  }
  const auto rack_of = [&](const graph::TaskKey& key) {
    const auto worker = store.workers().find(job.task(key).worker);
    return worker == store.workers().end() ? nullptr : &worker->second.rack;
  };
  const auto* rack = rack_of(task);
  if (rack == nullptr) {
    return policy::Nearness::kAny;
  }
  if (!step.gang) {
    return *rack == step.data_rack ? policy::Nearness::kNear
                                   : policy::Nearness::kFar;
  }
  auto member = task;
  for (member.index = 0; member.index < step.task_count; ++member.index) {
    const auto* other = rack_of(member);
    if (other != nullptr && *other != *rack) {
      return policy::Nearness::kFar;
    }
  }
  return policy::Nearness::kNear;
}

}  // namespace cranberryshunt::cell
