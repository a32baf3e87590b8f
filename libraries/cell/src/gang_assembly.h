// Follows each gang from the first start that is sent until all members have
// confirmed theirs. Does no I/O and reads no clock.
#ifndef CRANBERRYSHUNT_CELL_GANG_ASSEMBLY_H_
#define CRANBERRYSHUNT_CELL_GANG_ASSEMBLY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cranberryshunt/graph/task_key.h"

namespace cranberryshunt::cell {

// A run of a gang. All members have the same run number.
struct GangRun {
  graph::StepKey step;
  std::int32_t run = 0;

  // The linter mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const GangRun&) const = default;
};

// A gang that does not assemble, with the members that have not confirmed their
// starts.
struct IncompleteGang {
  GangRun gang;
  std::set<std::int32_t> missing;
  std::int64_t began_ms = 0;

  bool operator==(const IncompleteGang&) const = default;
};

class GangAssembly {
 public:
  // All members must have confirmed their starts within `limit_ms`.
  explicit GangAssembly(std::int64_t limit_ms) : limit_ms_(limit_ms) {}

  // Begins when the starts of all members are sent, or with the term of a
  // leader that inherits them.
  void Begin(const GangRun& gang, std::int32_t members, std::int64_t now_ms);
  // Once all members have started, the gang is only expected to make progress.
  void OnMemberStarted(const graph::TaskKey& task, std::int32_t run);
  // A member makes progress only when all members are there, even if some have
  // not confirmed their starts yet.
  void OnProgress(const graph::TaskKey& task, std::int32_t run);
  // Ends the assembly of the gang to which the run belongs. Empty if the gang
  // has assembled or is not known.
  std::optional<IncompleteGang> Abandon(const graph::TaskKey& task,
                                        std::int32_t run);
  // Ends the assembly of the gangs whose time is over, and returns them.
  std::vector<IncompleteGang> TakeOverdue(std::int64_t now_ms);
  // Returns the gangs whose members have all confirmed their starts, of which
  // none has ended or listed progress within the limit. They are forgotten
  // `grace_ms` later.
  std::vector<IncompleteGang> FindWithoutProgress(std::int64_t now_ms,
                                                  std::int64_t grace_ms);

 private:
  struct Entry {
    std::set<std::int32_t> missing;
    std::int64_t began_ms = 0;
  };
  using Entries = std::map<GangRun, Entry>;

  IncompleteGang Remove(Entries::iterator it);

  const std::int64_t limit_ms_;
  Entries entries_;
  std::set<std::pair<std::int64_t, GangRun>> deadlines_;
  // Gangs whose members have all confirmed their starts, with the times at
  // which the assembly began.
  std::map<GangRun, std::int64_t> confirmed_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_GANG_ASSEMBLY_H_
