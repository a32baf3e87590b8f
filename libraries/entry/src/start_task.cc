#include "start_task.h"

#include <thread>
#include <utility>
#include <variant>

#include "cranberryshunt/base/bytes.h"

namespace cranberryshunt::entry {

namespace {

using targets::Reuse;

constexpr std::chrono::milliseconds kRetryPause{50};
// How long lookups are repeated before the attempt is reported as unknown.
constexpr std::chrono::seconds kLookupLimit{3};

}  // namespace

void StripUnstoredAnswer(wire::Answer& answer) {
  if (answer.stored && answer.bytes.size() <= kMaxStoredAnswerBytes) {
    return;
  }
  const bool complete =
      answer.length == static_cast<std::int64_t>(answer.bytes.size()) &&
      answer.crc32 == static_cast<std::int64_t>(Crc32(answer.bytes));
  if (!complete) {
    answer.bytes.resize(kMaxStoredAnswerBytes);
    return;
  }
  answer.stored = false;
  answer.bytes.clear();
}

StartTask::StartTask(targets::TargetClient& client,
                     PendingJobs& jobs,
                     Reporter& reporter,
                     const wire::StartOrder& order,
                     targets::Target target,
                     TimePoint received_at,
                     bool sent_before)
    : client_(client),
      jobs_(jobs),
      reporter_(reporter),
      order_(order),
      target_(std::move(target)),
      valid_until_(received_at + std::chrono::milliseconds(order.valid_ms)),
      maybe_sent_(sent_before) {}

void StartTask::Run() {
  const auto payload =
      order_.payload_at_entry
          ? jobs_.PayloadOf(order_.attempt.job_id)
          : std::make_shared<const std::string>(order_.payload);
  if (payload && BootClock::now() < valid_until_) {
    SendUntilAnswered(*payload);
  } else if (maybe_sent_) {
    ResolveByLookup();
  } else if (payload) {
    Report(wire::AttemptState::kNeverStarted, "the order came too late");
  } else {
    ReportPayloadMissing();
  }
}

void StartTask::SendUntilAnswered(const std::string& payload) {
  const bool waits = order_.kind == wire::JobKind::kInteractive;
  Reuse reuse = Reuse::kAllowed;
  do {
    const auto result =
        waits ? client_.StartAndWait(target_, order_, payload, reuse)
              : client_.Start(target_, order_, payload, reuse);
    // Targets recognise an attempt that they have already started, so sending
    // it again does not start it twice.
    maybe_sent_ =
        maybe_sent_ || !std::holds_alternative<targets::NotSent>(result);
    if (client_.aborted() || ReportStartResult(result)) {
      return;
    }
    reuse = Reuse::kForbidden;
    std::this_thread::sleep_for(kRetryPause);
  } while (BootClock::now() < valid_until_);
  if (maybe_sent_) {
    ResolveByLookup();
  } else {
    Report(wire::AttemptState::kNeverStarted, "the target was not reached");
  }
}

bool StartTask::ReportStartResult(const targets::StartResult& result) {
  if (const auto* finished = std::get_if<targets::Finished>(&result)) {
    ReportRecord(finished->record);
    return true;
  }
  if (const auto* refused = std::get_if<targets::RefusedByTarget>(&result)) {
    Report(wire::AttemptState::kRefused, refused->reason);
    return true;
  }
  if (std::holds_alternative<targets::Accepted>(result)) {
    Report(wire::AttemptState::kRunning, "");
    return true;
  }
  return false;
}

void StartTask::ResolveByLookup() {
  const auto lookup_deadline = BootClock::now() + kLookupLimit;
  do {
    const auto result =
        client_.Lookup(target_, order_.attempt, true, Reuse::kForbidden);
    if (client_.aborted() || ReportLookupResult(result)) {
      return;
    }
    std::this_thread::sleep_for(kRetryPause);
  } while (BootClock::now() < lookup_deadline);
  Report(wire::AttemptState::kUnknown, "the target does not answer lookups");
}

bool StartTask::ReportLookupResult(const targets::LookupResult& result) {
  if (std::holds_alternative<targets::NotFound>(result)) {
    Report(wire::AttemptState::kNeverStarted, "the target barred the attempt");
    return true;
  }
  const auto* found = std::get_if<targets::Found>(&result);
  if (found == nullptr) {
    return false;
  }
  const bool running = found->record.state == wire::AttemptState::kRunning;
  if (running && order_.kind == wire::JobKind::kInteractive) {
    const auto followed = client_.PollUntilFinal(target_, order_.attempt);
    return client_.aborted() || ReportStartResult(followed);
  }
  ReportRecord(found->record);
  return true;
}

void StartTask::Report(wire::AttemptState::type state,
                       const std::string& reason) {
  wire::AttemptReport report;
  report.attempt = order_.attempt;
  report.fence = order_.fence;
  report.state = state;
  report.reason = reason;
  report.answer.stored = true;
  reporter_.AddResult(report);
}

void StartTask::ReportPayloadMissing() {
  wire::AttemptReport report;
  report.attempt = order_.attempt;
  report.fence = order_.fence;
  report.state = wire::AttemptState::kNeverStarted;
  report.reason = "the payload is not at this entry";
  report.payload_missing = true;
  report.answer.stored = true;
  reporter_.AddResult(report);
}

void StartTask::ReportRecord(wire::AttemptReport record) {
  record.fence = order_.fence;
  if (record.state == wire::AttemptState::kDone &&
      jobs_.DeliverResult(record, order_.worker)) {
    record.answer.stored = false;
  }
  StripUnstoredAnswer(record.answer);
  reporter_.AddResult(record);
}

}  // namespace cranberryshunt::entry
