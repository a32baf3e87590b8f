// Table of entries with their leases, pending polls and job updates.
#ifndef CRANBERRYSHUNT_CONTROLLER_ENTRY_TABLE_H_
#define CRANBERRYSHUNT_CONTROLLER_ENTRY_TABLE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core_types.h"
#include "cranberryshunt/base/clock.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

struct PendingPoll {
  wire::PollRequest request;
  Reply<wire::PollReply> reply;
  TimePoint deadline{};
};

struct LiveEntry {
  std::string id;
  std::string address;
  std::string region;
  std::string availability_zone;
  std::string incarnation;
  std::int64_t rules_revision = 0;  // Revision in force at the entry.
  std::int64_t sent_revision = -1;  // Revision in the newest reply.
  TimePoint last_poll{};
  TimePoint rules_lease_end{};  // On the leader's clock, with margin.
  bool draining = false;
  bool dead = false;
  std::optional<PendingPoll> poll;
  std::deque<wire::SequencedUpdate> updates;
};

class EntryTable {
 public:
  // Update sequence numbers start above those of earlier terms, so that an
  // acknowledgement from an earlier session confirms no update of this one.
  EntryTable(std::int64_t term,
             std::chrono::milliseconds entry_lease,
             std::chrono::milliseconds rules_lease,
             TimePoint term_began);

  enum class PollEffect { kSame, kNew, kRestarted };

  // Updates the entry from the request and removes acknowledged updates.
  PollEffect Poll(const wire::PollRequest& request, TimePoint now);
  void AddUpdate(const std::string& entry_id, const wire::JobStatus& job);
  // Marks entries as dead that have no pending poll and have not polled for
  // longer than the entry lease. Returns their ids.
  std::vector<std::string> MarkDead(TimePoint now);

  // Grants the rules lease for the poll that is being answered. Returns the
  // length of the lease, or zero when none is granted. An entry that lags
  // behind `revision`, published at `published`, can renew its lease only for a
  // short time.
  std::chrono::milliseconds GrantRulesLease(LiveEntry& entry,
                                            std::int64_t revision,
                                            TimePoint published,
                                            TimePoint now) const;
  // Returns whether each entry has confirmed `revision` or holds no rules
  // lease. Returns false until the rules leases that an earlier leader may have
  // granted have expired.
  bool AllConfirmed(std::int64_t revision, TimePoint now) const;

  LiveEntry* Find(const std::string& id);
  std::map<std::string, LiveEntry>& entries() { return entries_; }
  const std::map<std::string, LiveEntry>& entries() const { return entries_; }
  bool IsLive(const std::string& id) const;
  // Returns whether the payloads at this entry are lost. That is the case when
  // it is dead, or has not polled within one entry lease of the start of the
  // term.
  bool IsLost(const std::string& id, TimePoint now) const;
  // Returns a live entry that is not draining: `preferred` if possible, else
  // one in `region`, else any. Returns an empty string when there is none.
  // `round_robin` is a counter that spreads the choice over the candidates.
  std::string Choose(const std::string& preferred,
                     const std::string& region,
                     std::size_t round_robin) const;

 private:
  std::chrono::milliseconds entry_lease_;
  std::chrono::milliseconds rules_lease_;
  TimePoint term_began_;
  std::int64_t next_update_;
  std::map<std::string, LiveEntry> entries_;
};

// Returns the first sequence number of a term.
std::int64_t FirstSequence(std::int64_t term);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ENTRY_TABLE_H_
