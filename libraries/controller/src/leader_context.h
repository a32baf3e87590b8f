// State that the components of the leader share. Only the decision thread
// accesses it.
#ifndef CRANBERRYSHUNT_CONTROLLER_LEADER_CONTEXT_H_
#define CRANBERRYSHUNT_CONTROLLER_LEADER_CONTEXT_H_

#include <cstdint>
#include <memory>

#include "command_queue.h"
#include "core_types.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/rules/rules.h"
#include "cranberryshunt/state/state_machine.h"
#include "entry_table.h"
#include "order_queue.h"
#include "worker_table.h"

namespace cranberryshunt::controller {

struct LeaderContext {
  const CoreOptions& options;
  const state::StateMachine& state;
  CoreEnvironment& environment;
  MetricsRegistry& metrics;
  std::int64_t term = 0;
  std::unique_ptr<policy::Scheduler> scheduler;
  CommandQueue commands;
  WorkerTable workers;
  EntryTable entries;
  OrderQueue orders;
  rules::RuleSet rules;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_LEADER_CONTEXT_H_
