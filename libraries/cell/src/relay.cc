#include "relay.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "helper_selection.h"
#include "relay_codec.h"

namespace cranberryshunt::cell {

namespace {

// How long the id of an order that was given up is kept, to recognize a late
// reply.
constexpr std::chrono::seconds kKeepGivenUpTime{5};
// Added to the timeout of a relayed order: two transits between regions, and
// batches that wait for the previous one.
constexpr std::chrono::milliseconds kRelayMargin{400};
// How long the id of an executed order is kept, so that a repeated message is
// recognized. Longer than a message is repeated.
constexpr std::chrono::seconds kKeepExecutedTime{8};
// How long a helper that did not answer is avoided. A helper that was frozen or
// disconnected works again after some seconds.
constexpr std::chrono::seconds kAvoidHelperTime{5};
// A helper that answered an order within this time is alive. Helpers answer the
// holds of their workers about every second.
constexpr std::chrono::milliseconds kAnsweringTime{2'500};
// A network failure between a helper and a worker lasts some seconds.
constexpr std::chrono::seconds kDirectCallTime{10};
// A leader that calls more workers directly runs short of processor time.
constexpr std::size_t kMaxDirectWorkers = 40;

bool MayBeUnreachable(WorkerAnswer answer) {
  return answer == WorkerAnswer::kNoAnswer || WasNotSent(answer);
}

}  // namespace

Relay::Relay(ReplySink sink, RelayLink& link, const Clock& clock)
    : sink_(std::move(sink)), link_(link), clock_(clock) {}

void Relay::SetDriver(std::unique_ptr<WorkerDriver> driver) {
  driver_ = std::move(driver);
}

void Relay::Stop() {
  driver_.reset();
}

std::vector<std::size_t> Relay::FindUsableHelpers(TimePoint now) const {
  std::vector<bool> silent;
  silent.reserve(helpers_.size());
  for (const auto& it : helpers_) {
    const auto avoided = avoided_helpers_.find(it);
    silent.push_back(avoided != avoided_helpers_.end() &&
                     now < avoided->second);
  }
  return UsableHelpers(silent);
}

std::string Relay::SelectHelper(const SentOrder& order,
                                const std::vector<std::size_t>& usable,
                                TimePoint now) {
  if (helpers_.empty()) {
    return {};
  }
  const auto direct = direct_workers_.find(order.worker.id);
  if (direct != direct_workers_.end() && now < direct->second) {
    return {};
  }
  // A new connection is requested when earlier orders were not answered, which
  // may be the fault of the helper. In this case the next helper is tried
  // first, which has no connection to the worker yet.
  const auto hash = std::hash<std::string>()(order.worker.id) +
                    (order.fresh_connection ? 1 : 0);
  const auto assigned = hash % helpers_.size();
  if (usable.empty() || (order.fresh_connection && helpers_.size() == 1)) {
    if (direct_workers_.size() < kMaxDirectWorkers) {
      direct_workers_[order.worker.id] = now + kAvoidHelperTime;
      return {};
    }
    return helpers_[assigned];
  }
  if (std::find(usable.begin(), usable.end(), assigned) != usable.end()) {
    return helpers_[assigned];
  }
  // Spreads the workers of a helper that is not used over all others.
  return helpers_[usable[hash / helpers_.size() % usable.size()]];
}

void Relay::Send(std::vector<SentOrder> orders) {
  std::vector<SentOrder> own;
  std::map<std::string, std::vector<Expiring<wire::RelayedOrder>>> relayed;
  {
    const std::lock_guard lock(mutex_);
    const auto now = clock_.Now();
    const auto usable = FindUsableHelpers(now);
    for (auto& it : orders) {
      auto helper = SelectHelper(it, usable, now);
      if (helper.empty()) {
        CountExecuted(it.order);
        own.push_back(std::move(it));
        continue;
      }
      ++counts_.relayed;
      const auto deadline = now + it.timeout + kRelayMargin;
      relayed[helper].push_back({ToWire(it), deadline});
      outstanding_[it.id] = {std::move(helper), it.worker.id, now, deadline};
    }
  }
  for (auto& [helper, batch] : relayed) {
    link_.SendOrders(helper, std::move(batch));
  }
  if (!own.empty()) {
    driver_->Send(std::move(own));
  }
}

// Adds current helpers that answer orders although their requests to join do
// not get through.
void Relay::AddAnsweringHelpers(std::vector<std::string>& helpers,
                                TimePoint now) const {
  for (const auto& it : helpers_) {
    if (!IsSilentSince(it, now - kAnsweringTime) &&
        std::find(helpers.begin(), helpers.end(), it) == helpers.end()) {
      helpers.push_back(it);
    }
  }
  // The position of a helper determines the workers that it calls.
  std::sort(helpers.begin(), helpers.end());
}

void Relay::SetHelpers(std::vector<std::string> helpers) {
  const std::lock_guard lock(mutex_);
  if (!helpers.empty()) {
    AddAnsweringHelpers(helpers, clock_.Now());
  }
  if (helpers.size() != helpers_.size()) {
    Log(LogLevel::kInfo, "cell", "calls to workers are spread",
        {{"helpers", helpers.size()}});
  }
  helpers_ = std::move(helpers);
}

void Relay::OnReplies(const std::vector<wire::RelayedReply>& replies) {
  for (const auto& it : replies) {
    auto reply = FromWire(it);
    const auto id = static_cast<OrderId>(it.id);
    {
      const std::lock_guard lock(mutex_);
      const auto now = clock_.Now();
      const auto node = outstanding_.extract(id);
      if (node.empty()) {
        const auto late = given_up_.find(id);
        if (late != given_up_.end()) {
          RecordReplyOf(late->second, now);
        }
        continue;
      }
      RecordReplyOf(node.mapped().helper, now);
      if (MayBeUnreachable(reply.answer) &&
          direct_workers_.size() < kMaxDirectWorkers) {
        direct_workers_[node.mapped().worker] = now + kDirectCallTime;
      }
    }
    sink_(id, std::move(reply));
  }
}

void Relay::RecordReplyOf(const std::string& helper, TimePoint now) {
  last_reply_[helper] = now;
  if (avoided_helpers_.erase(helper) > 0) {
    Log(LogLevel::kInfo, "cell", "helper answers again", {{"helper", helper}});
  }
}

// Returns whether the helper has not answered any order since `time`. A helper
// that has answered another order since then has not failed. In this case the
// helper or the worker is only slow.
bool Relay::IsSilentSince(const std::string& helper, TimePoint time) const {
  const auto last_reply = last_reply_.find(helper);
  return last_reply == last_reply_.end() || last_reply->second < time;
}

void Relay::AvoidHelper(const Outstanding& order, TimePoint now) {
  const auto known = avoided_helpers_.find(order.helper);
  if (known == avoided_helpers_.end() || known->second <= now) {
    Log(LogLevel::kWarning, "cell", "helper does not answer",
        {{"helper", order.helper}, {"worker", order.worker}});
  }
  avoided_helpers_[order.helper] = now + kAvoidHelperTime;
}

void Relay::Advance() {
  std::vector<OrderId> expired;
  {
    const std::lock_guard lock(mutex_);
    const auto now = clock_.Now();
    for (auto it = outstanding_.begin(); it != outstanding_.end();) {
      if (now < it->second.deadline) {
        ++it;
        continue;
      }
      if (IsSilentSince(it->second.helper, it->second.sent_at)) {
        AvoidHelper(it->second, now);
      }
      ++counts_.expired;
      expired.push_back(it->first);
      given_up_[it->first] = it->second.helper;
      given_up_ids_.push_back({it->first, now + kKeepGivenUpTime});
      it = outstanding_.erase(it);
    }
    std::erase_if(direct_workers_,
                  [&](const auto& it) { return it.second <= now; });
    ForgetOldOrders(now);
  }
  for (const auto it : expired) {
    WorkerReply reply;
    reply.detail = "the helper did not answer";
    sink_(it, std::move(reply));
  }
}

void Relay::CountExecuted(const WorkerOrder& order) {
  struct Visitor {
    CallCounts& counts;

    void operator()(const HoldOrder&) const { ++counts.holds; }
    void operator()(const StartOrder&) const { ++counts.starts; }
    void operator()(const StopOrder&) const { ++counts.stops; }
  };
  std::visit(Visitor{counts_}, order);
}

CallCounts Relay::TakeCounts() {
  const std::lock_guard lock(mutex_);
  return std::exchange(counts_, {});
}

void Relay::OnOrders(const std::string& leader,
                     const std::vector<wire::RelayedOrder>& orders) {
  std::vector<SentOrder> decoded;
  for (const auto& it : orders) {
    auto order = FromWire(it);
    if (!order) {
      Log(LogLevel::kWarning, "cell", "relayed order could not be decoded",
          {{"leader", leader}, {"reason", order.error().message()}});
      continue;
    }
    const std::lock_guard lock(mutex_);
    const auto now = clock_.Now();
    const auto deadline = now + order->timeout + kRelayMargin;
    if (!executed_.try_emplace(order->id, Executed{leader, deadline}).second) {
      continue;
    }
    executed_ids_.push_back({order->id, now + kKeepExecutedTime});
    CountExecuted(order->order);
    decoded.push_back(std::move(*order));
  }
  if (!decoded.empty()) {
    driver_->Send(std::move(decoded));
  }
}

void Relay::ForgetOldOrders(TimePoint now) {
  while (!given_up_ids_.empty() && given_up_ids_.front().deadline <= now) {
    given_up_.erase(given_up_ids_.front().message);
    given_up_ids_.pop_front();
  }
  while (!executed_ids_.empty() && executed_ids_.front().deadline <= now) {
    executed_.erase(executed_ids_.front().message);
    executed_ids_.pop_front();
  }
}

void Relay::OnLocalReply(OrderId id, WorkerReply reply) {
  std::string leader;
  TimePoint deadline;
  {
    const std::lock_guard lock(mutex_);
    counts_.unanswered += MayBeUnreachable(reply.answer) ? 1 : 0;
    const auto it = executed_.find(id);
    if (it != executed_.end()) {
      leader = it->second.leader;
      deadline = it->second.deadline;
    }
  }
  if (leader.empty()) {
    sink_(id, std::move(reply));
  } else {
    link_.SendReplies(leader, {{ToWire(id, reply), deadline}});
  }
}

}  // namespace cranberryshunt::cell
