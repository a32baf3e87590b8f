// Tracks publications of rules from the request until they are in force.
#ifndef CRANBERRYSHUNT_CONTROLLER_PUBLICATION_TRACKER_H_
#define CRANBERRYSHUNT_CONTROLLER_PUBLICATION_TRACKER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "leader_context.h"

namespace cranberryshunt::controller {

class PublicationTracker {
 public:
  PublicationTracker(LeaderContext& context, TimePoint now)
      : context_(context), published_(now) {}

  // Applies the current rules of the replicated state.
  void BeginTerm();
  void Publish(PublishCall call, TimePoint now);
  void OnApplied(const wire::PublishRules& command,
                 const state::PublishResult& applied,
                 TimePoint now);
  // Replies to the calls whose revision is in force or whose deadline has
  // passed.
  void Tick(TimePoint now);
  // Fails all pending publications with `status`.
  void Abandon(const wire::Status& status);

  // Returns when this leader applied the current revision, or when its term
  // started if it has not applied one.
  TimePoint published() const { return published_; }

 private:
  struct PendingPublication {
    std::string publication_id;
    std::int64_t revision = 0;  // 0: not committed yet.
    TimePoint deadline{};
    TimePoint commit_deadline{};
    Reply<wire::PublishReply> reply;
  };

  void ApplyRules(const wire::PublishRules& publication);
  static void Answer(const PendingPublication& pending, bool in_force);

  LeaderContext& context_;
  TimePoint published_;
  std::deque<PendingPublication> pending_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_PUBLICATION_TRACKER_H_
