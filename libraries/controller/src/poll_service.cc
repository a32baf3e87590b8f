#include "poll_service.h"

#include <algorithm>
#include <utility>

#include "cluster_view.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

constexpr std::int32_t kMaxPollMilliseconds = 500;
constexpr std::size_t kMaxUpdatesPerReply = 1'000;
// Maximum age of the queue pressure in a reply.
constexpr std::chrono::milliseconds kMaxPressureAge{20};

}  // namespace

void PollService::Poll(PollCall call, TimePoint now) {
  auto& request = call.request;
  // Acknowledgements of another session are ignored, because they would confirm
  // orders that this leader never sent.
  if (request.session != 0 && request.session != context_.term) {
    request.order_ack = 0;
    request.update_ack = 0;
  }
  if (LiveEntry* known = context_.entries.Find(request.entry_id)) {
    // A new poll from the entry means that it no longer waits for the open one.
    if (known->poll) {
      wire::PollReply reply;
      reply.status = wire::ToStatus(
          Error(ResultCode::kTimeout, "replaced by a newer poll"));
      std::exchange(known->poll, std::nullopt)->reply(reply);
    }
    if (known->dead) {
      Log(LogLevel::kInfo, "controller", "entry resumed polling",
          {{"entry", request.entry_id}});
    }
  }
  const auto arrival = context_.entries.Poll(request, now);
  if (arrival == EntryTable::PollEffect::kRestarted) {
    attempts_.OnEntryLost(request.entry_id, now);
    jobs_.FinishJobsWithLostPayload(request.entry_id);
  }
  context_.orders.Acknowledge(request.entry_id, request.order_ack);
  LiveEntry& entry = *context_.entries.Find(request.entry_id);
  const std::int32_t wait =
      std::clamp(request.wait_ms, 0, kMaxPollMilliseconds);
  entry.poll = PendingPoll{std::move(request), std::move(call.reply),
                           now + std::chrono::milliseconds(wait)};
}

void PollService::Serve(TimePoint now) {
  for (auto& [id, entry] : context_.entries.entries()) {
    if (entry.poll) {
      ServeOne(entry, now);
    }
  }
}

void PollService::ServeOne(LiveEntry& entry, TimePoint now) {
  wire::PollReply reply;
  if (context_.orders.size(entry.id) > 0) {
    reply.orders = context_.orders.OrdersFor(
        entry.id, [this, now](const wire::AttemptKey& attempt) {
          return attempts_.DecideStart(attempt, now);
        });
  }
  const std::int64_t revision = context_.state.rules().revision();
  // An entry without a rules lease admits no requests until it gets one, so its
  // poll is answered at once.
  const bool needs_lease = entry.rules_revision == revision &&
                           entry.rules_lease_end < entry.last_poll;
  const bool has_content =
      !reply.orders.empty() || !entry.updates.empty() || needs_lease ||
      (entry.rules_revision != revision && entry.sent_revision != revision);
  if (has_content || now >= entry.poll->deadline) {
    Answer(entry, std::move(reply), now);
  }
}

void PollService::Answer(LiveEntry& entry,
                         wire::PollReply reply,
                         TimePoint now) {
  const std::int64_t revision = context_.state.rules().revision();
  reply.rules_lease_ms =
      context_.entries
          .GrantRulesLease(entry, revision, publications_.published(), now)
          .count();
  reply.rules_revision = revision;
  entry.sent_revision = revision;
  const auto updates = std::min(entry.updates.size(), kMaxUpdatesPerReply);
  reply.updates.assign(
      entry.updates.begin(),
      entry.updates.begin() + static_cast<std::ptrdiff_t>(updates));
  reply.pressure = Pressure(now);
  reply.session = context_.term;
  reply.leader_id = context_.options.id;
  std::exchange(entry.poll, std::nullopt)->reply(std::move(reply));
}

const std::vector<wire::KindPressure>& PollService::Pressure(TimePoint now) {
  if (pressure_.empty() || now - pressure_at_ > kMaxPressureAge) {
    pressure_ = DescribePressure(*context_.scheduler, now);
    pressure_at_ = now;
  }
  return pressure_;
}

void PollService::Tick(TimePoint now) {
  for (const auto& id : context_.entries.MarkDead(now)) {
    Log(LogLevel::kWarning, "controller", "entry stopped polling",
        {{"entry", id}});
    attempts_.OnEntryLost(id, now);
    jobs_.FinishJobsWithLostPayload(id);
  }
}

void PollService::Abandon(const wire::Status& status) {
  for (auto& [id, entry] : context_.entries.entries()) {
    if (entry.poll) {
      wire::PollReply reply;
      reply.status = status;
      std::exchange(entry.poll, std::nullopt)->reply(std::move(reply));
    }
  }
}

}  // namespace cranberryshunt::controller
