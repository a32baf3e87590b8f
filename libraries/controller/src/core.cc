#include "core.h"

#include <type_traits>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

template <typename T>
void ReplyWithStatus(const Reply<T>& reply, const wire::Status& status) {
  if constexpr (std::is_same_v<T, wire::Status>) {
    reply(status);
  } else {
    T answer;
    answer.status = status;
    reply(std::move(answer));
  }
}

}  // namespace

Core::Core(CoreOptions options,
           CoreEnvironment& environment,
           MetricsRegistry& metrics)
    : options_(std::move(options)),
      environment_(environment),
      metrics_(metrics) {}

Result<void> Core::OnCommitted(const consensus::CommittedEntry& entry,
                               TimePoint now) {
  auto batch = wire::Decode<wire::CommandBatch>(entry.data);
  if (!batch) {
    return tl::unexpected(batch.error());
  }
  const auto results = state_.Apply(*batch, entry.index);
  if (leader_) {
    leader_->OnApplied(*batch, results, now);
  }
  return {};
}

Result<void> Core::OnSnapshot(std::int64_t index, const std::string& data) {
  auto restored = state::StateMachine::Restore(data);
  if (!restored) {
    return tl::unexpected(restored.error());
  }
  Log(LogLevel::kInfo, "controller", "state restored from snapshot",
      {{"index", index}});
  // A replica does not receive snapshots while it leads. The leader is ended
  // anyway, because its components refer to the state that is replaced here.
  EndLeadership();
  state_ = std::move(*restored);
  return {};
}

void Core::OnRoleChange(const consensus::RoleChange& change, TimePoint now) {
  const bool leads = change.role == consensus::Role::kLeader;
  const bool same_term = leads && leader_ && role_.term == change.term;
  role_ = change;
  if (same_term) {
    return;
  }
  EndLeadership();
  if (!leads || stopped_) {
    return;
  }
  auto leader = Leader::Create(options_, state_, environment_, metrics_,
                               change.term, now);
  if (!leader) {
    Log(LogLevel::kError, "controller", "cannot create leader state",
        {{"message", leader.error().message()}});
    return;
  }
  leader_ = std::move(*leader);
  Log(LogLevel::kInfo, "controller", "leading", {{"term", change.term}});
}

void Core::EndLeadership() {
  if (leader_) {
    leader_->Abandon(NotLeaderStatus());
    leader_.reset();
  }
}

void Core::OnProposalDone(std::int64_t term,
                          std::uint64_t id,
                          const Result<std::int64_t>& result) {
  if (leader_ && term == role_.term) {
    leader_->OnProposalDone(id, result);
  }
}

void Core::Handle(Call call, TimePoint now) {
  if (stopped_) {
    RefuseCall(call, wire::ToStatus(Error(ResultCode::kShuttingDown,
                                          "controller is shutting down")));
  } else if (!leader_ || !environment_.HasLease(role_.term)) {
    RefuseCall(call, NotLeaderStatus());
  } else {
    leader_->Handle(std::move(call), now);
  }
}

void Core::Record(const wire::AuditRecord& record) {
  if (leader_) {
    leader_->Record(record);
  }
}

void Core::Advance(TimePoint now) {
  if (leader_) {
    leader_->Advance(now);
  }
}

std::optional<Proposal> Core::TakeProposal() {
  return leader_ ? leader_->TakeProposal() : std::nullopt;
}

void Core::Stop() {
  stopped_ = true;
  if (leader_) {
    leader_->Abandon(wire::ToStatus(
        Error(ResultCode::kShuttingDown, "controller is shutting down")));
  }
}

wire::Status Core::NotLeaderStatus() const {
  const bool leads = role_.role == consensus::Role::kLeader;
  const bool known = !leads && !role_.leader_id.empty();
  return wire::ToStatus(
      Error(ResultCode::kNotLeader,
            known ? role_.leader_id + " leads" : "no leader is known"),
      known ? role_.leader_address : "");
}

void RefuseCall(Call& call, const wire::Status& status) {
  std::visit([&](auto& it) { ReplyWithStatus(it.reply, status); }, call);
}

}  // namespace cranberryshunt::controller
