// Rules revisions and the audit trail.
#ifndef CRANBERRYSHUNT_STATE_RECORDS_H_
#define CRANBERRYSHUNT_STATE_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cranberryshunt/state/results.h"
#include "snapshot_types.h"

namespace cranberryshunt::state {

// Bounds of what is kept; the same on every replica, because they decide the
// content of the state.
inline constexpr std::size_t kMaxAuditRecords = 10'000;
inline constexpr std::size_t kMaxPublicationResults = 1'000;

// The newest kMaxAuditRecords changes, with sequence numbers that only grow.
class AuditTrail {
 public:
  void Append(wire::AuditRecord record);
  // Returns up to `limit` records after `sequence`, oldest first.
  std::vector<wire::AuditRecord> After(std::int64_t sequence,
                                       std::size_t limit) const;

  const std::deque<wire::AuditRecord>& records() const { return records_; }
  std::int64_t sequence() const { return sequence_; }
  void Restore(std::int64_t sequence, std::vector<wire::AuditRecord> records);

 private:
  std::deque<wire::AuditRecord> records_;
  std::int64_t sequence_ = 0;
};

// The current publication in full and the results of recent ones.
class RulesHistory {
 public:
  // A compare-and-set on the base revision. A known publication id with the
  // same content gets its first result again; `*repeated` says so.
  PublishResult Publish(const wire::PublishRules& command, bool* repeated);

  // Returns the first result of a publication, or null.
  const PublicationRecord* Find(const std::string& publication_id) const;
  std::int64_t revision() const { return revision_; }
  const wire::PublishRules& current() const { return current_; }
  const std::deque<PublicationRecord>& results() const { return results_; }
  void Restore(std::int64_t revision,
               wire::PublishRules current,
               std::vector<PublicationRecord> results);

 private:
  std::int64_t revision_ = 0;
  wire::PublishRules current_;
  std::deque<PublicationRecord> results_;
};

// Digest of the content of a publication without its time.
std::int64_t PublicationDigest(const wire::PublishRules& publication);

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_RECORDS_H_
