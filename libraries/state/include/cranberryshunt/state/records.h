// The history of published rules and the audit trail.
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

// Limits on the number of stored records. They must be the same on every
// replica, because they determine the contents of the state.
inline constexpr std::size_t kMaxAuditRecords = 10'000;
inline constexpr std::size_t kMaxPublicationResults = 1'000;

// Keeps the newest kMaxAuditRecords audit records. Their sequence numbers
// increase and are never reused.
class AuditTrail {
 public:
  void Append(wire::AuditRecord record);
  // Returns up to `limit` records with a sequence number greater than
  // `sequence`, oldest first.
  std::vector<wire::AuditRecord> After(std::int64_t sequence,
                                       std::size_t limit) const;

  const std::deque<wire::AuditRecord>& records() const { return records_; }
  std::int64_t sequence() const { return sequence_; }
  void Restore(std::int64_t sequence, std::vector<wire::AuditRecord> records);

 private:
  std::deque<wire::AuditRecord> records_;
  std::int64_t sequence_ = 0;
};

// Stores the current publication in full and the results of recent
// publications.
class RulesHistory {
 public:
  // Publishes the rules if the base revision is the current revision. A known
  // publication id with the same content returns its first result again, and
  // with other content it fails with kRevisionConflict. Sets `*repeated` to
  // whether the publication id is known.
  PublishResult Publish(const wire::PublishRules& command, bool* repeated);

  // Returns the first result of a publication, or null if it is not stored.
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

// Returns a digest of the content of a publication without its time.
std::int64_t PublicationDigest(const wire::PublishRules& publication);

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_RECORDS_H_
