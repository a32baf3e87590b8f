#include "cranberryshunt/state/records.h"

#include <algorithm>
#include <iterator>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::state {

void AuditTrail::Append(wire::AuditRecord record) {
  record.sequence = ++sequence_;
  records_.push_back(std::move(record));
  if (records_.size() > kMaxAuditRecords) {
    records_.pop_front();
  }
}

std::vector<wire::AuditRecord> AuditTrail::After(std::int64_t sequence,
                                                 std::size_t limit) const {
  auto it =
      std::upper_bound(records_.begin(), records_.end(), sequence,
                       [](std::int64_t value, const wire::AuditRecord& record) {
                         return value < record.sequence;
                       });
  std::vector<wire::AuditRecord> found;
  while (it != records_.end() && found.size() < limit) {
    found.push_back(*it);
    ++it;
  }
  return found;
}

void AuditTrail::Restore(std::int64_t sequence,
                         std::vector<wire::AuditRecord> records) {
  sequence_ = sequence;
  records_.assign(std::make_move_iterator(records.begin()),
                  std::make_move_iterator(records.end()));
}

PublishResult RulesHistory::Publish(const wire::PublishRules& command,
                                    bool* repeated) {
  const std::int64_t digest = PublicationDigest(command);
  const PublicationRecord* known = Find(command.publication_id);
  *repeated = known != nullptr;
  if (known != nullptr && known->digest == digest) {
    return {static_cast<ResultCode>(known->code), known->revision,
            known->winner};
  }
  PublishResult applied;
  if (known != nullptr || command.base_revision != revision_) {
    applied.code = ResultCode::kRevisionConflict;
    applied.winner = "operator '" + current_.operator_name +
                     "', publication '" + current_.publication_id +
                     "', version '" + current_.version + "'";
  } else {
    ++revision_;
    current_ = command;
  }
  applied.revision = revision_;
  if (known != nullptr) {
    return applied;
  }
  PublicationRecord record;
  record.publication_id = command.publication_id;
  record.digest = digest;
  record.code = static_cast<int>(applied.code);
  record.revision = applied.revision;
  record.winner = applied.winner;
  results_.push_back(std::move(record));
  if (results_.size() > kMaxPublicationResults) {
    results_.pop_front();
  }
  return applied;
}

const PublicationRecord* RulesHistory::Find(
    const std::string& publication_id) const {
  auto it = std::find_if(results_.begin(), results_.end(),
                         [&](const PublicationRecord& record) {
                           return record.publication_id == publication_id;
                         });
  return it == results_.end() ? nullptr : &*it;
}

void RulesHistory::Restore(std::int64_t revision,
                           wire::PublishRules current,
                           std::vector<PublicationRecord> results) {
  revision_ = revision;
  current_ = std::move(current);
  results_.assign(std::make_move_iterator(results.begin()),
                  std::make_move_iterator(results.end()));
}

std::int64_t PublicationDigest(const wire::PublishRules& publication) {
  wire::PublishRules content = publication;
  content.at_ms = 0;
  return Digest63(wire::Encode(content));
}

}  // namespace cranberryshunt::state
