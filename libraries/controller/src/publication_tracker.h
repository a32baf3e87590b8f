// Publications of rules, from the call until they are in force.
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

  // Loads the rules of the state.
  void BeginTerm();
  void Publish(PublishCall call, TimePoint now);
  void OnApplied(const wire::PublishRules& command,
                 const state::PublishResult& applied,
                 TimePoint now);
  // Answers the calls whose revision is in force or whose wait is over.
  void Tick(TimePoint now);
  void Abandon(const wire::Status& status);

  // When this leader saw the current revision first.
  TimePoint published() const { return published_; }

 private:
  struct PendingPublication {
    std::string publication_id;
    std::int64_t revision = 0;  // 0: not committed.
    TimePoint deadline{};
    TimePoint commit_deadline{};
    Reply<wire::PublishReply> reply;
  };

  void ApplyRules(const wire::PublishRules& publication);
  static void Answer(const PendingPublication& waiting, bool in_force);

  LeaderContext& context_;
  TimePoint published_;
  std::deque<PendingPublication> pending_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_PUBLICATION_TRACKER_H_
