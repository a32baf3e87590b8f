#include "publication_tracker.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

// Minimum time that a call waits for its commit, even if it does not wait for
// the revision to be in force.
constexpr std::chrono::milliseconds kMinCommitWait{2'000};

std::vector<rules::SourceFile> SourceFiles(
    const wire::PublishRules& publication) {
  std::vector<rules::SourceFile> files;
  for (const auto& file : publication.files) {
    files.push_back({file.path, file.content});
  }
  return files;
}

wire::PublishReply ReplyFor(const state::PublishResult& applied) {
  wire::PublishReply reply;
  reply.revision = applied.revision;
  reply.winner = applied.winner;
  if (applied.code != ResultCode::kOk) {
    reply.status = wire::ToStatus(
        Error(applied.code, "the current revision is " +
                                std::to_string(applied.revision) + " by " +
                                applied.winner));
  }
  return reply;
}

Result<void> Check(const wire::PublishRules& publication) {
  if (publication.publication_id.empty()) {
    return Fail(ResultCode::kMissingField, "publication_id is required",
                "publication_id");
  }
  const auto parsed = rules::Parse(SourceFiles(publication));
  if (parsed) {
    return {};
  }
  std::string text;
  for (const auto& error : parsed.error()) {
    text += (text.empty() ? "" : "\n") + rules::FormatError(error);
  }
  return Fail(ResultCode::kRulesInvalid, text, "files");
}

}  // namespace

void PublicationTracker::BeginTerm() {
  ApplyRules(context_.state.rules().current());
}

void PublicationTracker::ApplyRules(const wire::PublishRules& publication) {
  auto parsed = rules::Parse(SourceFiles(publication));
  if (!parsed) {
    Log(LogLevel::kError, "controller", "cannot parse the committed rules",
        {{"revision", context_.state.rules().revision()}});
    return;
  }
  context_.rules = std::move(*parsed);
  context_.scheduler->SetQuotas(context_.rules.quotas);
}

void PublicationTracker::Publish(PublishCall call, TimePoint now) {
  const auto& publication = call.request.publication;
  if (auto checked = Check(publication); !checked) {
    wire::PublishReply reply;
    reply.status = wire::ToStatus(checked.error());
    reply.revision = context_.state.rules().revision();
    call.reply(reply);
    return;
  }
  pending_.push_back({publication.publication_id, 0, now + call.wait,
                      now + std::max(call.wait, kMinCommitWait),
                      std::move(call.reply)});
  // A resent publication also goes through the log, where it gets the result of
  // the first one.
  wire::Command command;
  command.__set_publish_rules(publication);
  command.publish_rules.at_ms = context_.environment.WallMilliseconds();
  context_.commands.Add(std::move(command));
}

void PublicationTracker::OnApplied(const wire::PublishRules& command,
                                   const state::PublishResult& applied,
                                   TimePoint now) {
  const bool is_current = applied.code == ResultCode::kOk &&
                          applied.revision == context_.state.rules().revision();
  if (is_current && context_.state.rules().current().at_ms == command.at_ms) {
    published_ = now;
    ApplyRules(command);
  }
  for (auto it = pending_.begin(); it != pending_.end(); ++it) {
    if (it->publication_id != command.publication_id || it->revision != 0) {
      continue;
    }
    if (applied.code == ResultCode::kOk) {
      it->revision = applied.revision;
    } else {
      it->reply(ReplyFor(applied));
      pending_.erase(it);
    }
    break;
  }
}

void PublicationTracker::Tick(TimePoint now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const bool committed = it->revision != 0;
    const bool in_force =
        committed && context_.entries.AllConfirmed(it->revision, now);
    const TimePoint deadline = committed ? it->deadline : it->commit_deadline;
    if (!in_force && now < deadline) {
      ++it;
      continue;
    }
    Answer(*it, in_force);
    it = pending_.erase(it);
  }
}

void PublicationTracker::Answer(const PendingPublication& pending,
                                bool in_force) {
  wire::PublishReply reply;
  reply.revision = pending.revision;
  reply.in_force = in_force;
  if (pending.revision == 0) {
    reply.status = wire::ToStatus(
        Error(ResultCode::kTimeout, "the publication is not committed yet"));
  } else if (!in_force) {
    reply.status = wire::ToStatus(
        Error(ResultCode::kNotInForceYet,
              "committed, but not every entry has confirmed the revision"));
  }
  pending.reply(reply);
}

void PublicationTracker::Abandon(const wire::Status& status) {
  wire::PublishReply reply;
  reply.status = status;
  for (const auto& pending : pending_) {
    pending.reply(reply);
  }
  pending_.clear();
}

}  // namespace cranberryshunt::controller
