// Entries, their leases, open polls and job updates.
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
  std::int64_t rules_revision = 0;  // In force at the entry.
  std::int64_t sent_revision = -1;  // The newest that a reply named.
  TimePoint last_poll{};
  TimePoint rules_lease_end{};  // On the leader's clock, with margin.
  bool draining = false;
  bool dead = false;
  std::optional<PendingPoll> poll;
  std::deque<wire::SequencedUpdate> updates;
};

class EntryTable {
 public:
  // Update sequences start above those of earlier terms, so that an
  // acknowledgement of another session confirms nothing.
  EntryTable(std::int64_t term,
             std::chrono::milliseconds entry_lease,
             std::chrono::milliseconds rules_lease,
             TimePoint term_began);

  enum class PollEffect { kSame, kNew, kRestarted };

  // Takes over the request's data and acknowledgements.
  PollEffect Poll(const wire::PollRequest& request, TimePoint now);
  void AddUpdate(const std::string& entry_id, const wire::JobStatus& job);
  // Marks entries without a poll for the lease as dead; returns their names.
  std::vector<std::string> MarkDead(TimePoint now);

  // Grants the rules lease for the poll that is answered now. Returns its
  // length, zero when the entry lags behind `revision`, published at
  // `published`.
  std::chrono::milliseconds GrantRulesLease(LiveEntry& entry,
                                            std::int64_t revision,
                                            TimePoint published,
                                            TimePoint now) const;
  // Whether each entry has confirmed `revision` or lost its rules lease. An
  // entry of an earlier leader may hold a lease that this one does not know.
  bool AllConfirmed(std::int64_t revision, TimePoint now) const;

  LiveEntry* Find(const std::string& id);
  std::map<std::string, LiveEntry>& entries() { return entries_; }
  const std::map<std::string, LiveEntry>& entries() const { return entries_; }
  bool IsLive(const std::string& id) const;
  // Whether payloads at this entry are lost: it is dead, or it has not polled
  // within a lease of the beginning of the term.
  bool IsLost(const std::string& id, TimePoint now) const;
  // Returns a live entry that is not draining: `preferred` if possible, else
  // one of `region`, else any; empty when there is none. `round_robin` spreads
  // calls.
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

// The first sequence number of a term's session.
std::int64_t FirstSequence(std::int64_t term);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ENTRY_TABLE_H_
