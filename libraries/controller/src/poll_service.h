// Handles long polls of entries.
#ifndef CRANBERRYSHUNT_CONTROLLER_POLL_SERVICE_H_
#define CRANBERRYSHUNT_CONTROLLER_POLL_SERVICE_H_

#include <cstdint>
#include <vector>

#include "attempt_manager.h"
#include "job_service.h"
#include "leader_context.h"
#include "publication_tracker.h"

namespace cranberryshunt::controller {

class PollService {
 public:
  PollService(LeaderContext& context,
              AttemptManager& attempts,
              JobService& jobs,
              PublicationTracker& publications)
      : context_(context),
        attempts_(attempts),
        jobs_(jobs),
        publications_(publications) {}

  void Poll(PollCall call, TimePoint now);
  // Answers the polls that have content to deliver or whose wait time is over.
  // The caller must hold the leader lease.
  void Serve(TimePoint now);
  // Marks entries that have stopped polling as dead and assigns their starts
  // again. Queued tasks whose payload was held only by a dead entry fail with
  // kUnavailable.
  void Tick(TimePoint now);
  void Abandon(const wire::Status& status);

 private:
  // Answers the poll of `entry` if there is content to deliver or its wait time
  // is over.
  void ServeOne(LiveEntry& entry, TimePoint now);
  void Answer(LiveEntry& entry, wire::PollReply reply, TimePoint now);
  const std::vector<wire::KindPressure>& Pressure(TimePoint now);

  LeaderContext& context_;
  AttemptManager& attempts_;
  JobService& jobs_;
  PublicationTracker& publications_;
  std::vector<wire::KindPressure> pressure_;
  TimePoint pressure_at_{};
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_POLL_SERVICE_H_
