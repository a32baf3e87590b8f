#include "entry_table.h"

namespace cranberryshunt::controller {

namespace {

// An entry that polls but has not applied a new revision for this long gets no
// further rules lease, so that it cannot block the publication.
constexpr std::chrono::milliseconds kMaxRulesLag{1'000};

// Number of low bits of a sequence number that count within a term.
constexpr int kSequenceBits = 36;

}  // namespace

std::int64_t FirstSequence(std::int64_t term) {
  return (term << kSequenceBits) + 1;
}

EntryTable::EntryTable(std::int64_t term,
                       std::chrono::milliseconds entry_lease,
                       std::chrono::milliseconds rules_lease,
                       TimePoint term_began)
    : entry_lease_(entry_lease),
      rules_lease_(rules_lease),
      term_began_(term_began),
      next_update_(FirstSequence(term)) {}

EntryTable::PollEffect EntryTable::Poll(const wire::PollRequest& request,
                                        TimePoint now) {
  auto [it, is_new] = entries_.try_emplace(request.entry_id);
  LiveEntry& entry = it->second;
  const bool restarted = !is_new && entry.incarnation != request.incarnation;
  entry.id = request.entry_id;
  entry.address = request.address;
  entry.region = request.region;
  entry.availability_zone = request.availability_zone;
  entry.incarnation = request.incarnation;
  entry.rules_revision = request.rules_revision;
  entry.draining = request.draining;
  entry.last_poll = now;
  entry.dead = false;
  while (!entry.updates.empty() &&
         entry.updates.front().sequence <= request.update_ack) {
    entry.updates.pop_front();
  }
  if (restarted) {
    entry.updates.clear();
    entry.sent_revision = -1;
    return PollEffect::kRestarted;
  }
  return is_new ? PollEffect::kNew : PollEffect::kSame;
}

void EntryTable::AddUpdate(const std::string& entry_id,
                           const wire::JobStatus& job) {
  LiveEntry* entry = Find(entry_id);
  if (entry == nullptr || entry->dead) {
    return;
  }
  wire::SequencedUpdate update;
  update.sequence = next_update_++;
  update.job = job;
  entry->updates.push_back(std::move(update));
}

std::vector<std::string> EntryTable::MarkDead(TimePoint now) {
  std::vector<std::string> dead;
  for (auto& [id, entry] : entries_) {
    if (!entry.dead && !entry.poll && now - entry.last_poll > entry_lease_) {
      entry.dead = true;
      entry.updates.clear();
      dead.push_back(id);
    }
  }
  return dead;
}

std::chrono::milliseconds EntryTable::GrantRulesLease(LiveEntry& entry,
                                                      std::int64_t revision,
                                                      TimePoint published,
                                                      TimePoint now) const {
  const bool current = entry.rules_revision == revision;
  // An expired lease is renewed only for the current revision.
  const bool lagging = entry.rules_revision > 0 &&
                       now < entry.rules_lease_end &&
                       now - published < kMaxRulesLag;
  if (!current && !lagging) {
    return {};
  }
  // The entry counts the lease from when it sent the request, which is earlier.
  entry.rules_lease_end = entry.last_poll + WithClockMargin(rules_lease_);
  return rules_lease_;
}

bool EntryTable::AllConfirmed(std::int64_t revision, TimePoint now) const {
  if (now < term_began_ + WithClockMargin(rules_lease_)) {
    return false;
  }
  for (const auto& [id, entry] : entries_) {
    if (entry.rules_revision < revision && now < entry.rules_lease_end) {
      return false;
    }
  }
  return true;
}

LiveEntry* EntryTable::Find(const std::string& id) {
  auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

bool EntryTable::IsLive(const std::string& id) const {
  auto it = entries_.find(id);
  return it != entries_.end() && !it->second.dead;
}

bool EntryTable::IsLost(const std::string& id, TimePoint now) const {
  auto it = entries_.find(id);
  if (it == entries_.end()) {
    return now > term_began_ + entry_lease_;
  }
  return it->second.dead;
}

std::string EntryTable::Choose(const std::string& preferred,
                               const std::string& region,
                               std::size_t round_robin) const {
  std::vector<const LiveEntry*> in_region;
  std::vector<const LiveEntry*> all;
  for (const auto& [id, entry] : entries_) {
    if (entry.dead || entry.draining) {
      continue;
    }
    if (id == preferred) {
      return id;
    }
    all.push_back(&entry);
    if (entry.region == region) {
      in_region.push_back(&entry);
    }
  }
  const auto& candidates = in_region.empty() ? all : in_region;
  return candidates.empty() ? std::string()
                            : candidates[round_robin % candidates.size()]->id;
}

}  // namespace cranberryshunt::controller
