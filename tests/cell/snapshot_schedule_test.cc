#include "snapshot_schedule.h"

#include <criterion/criterion.h>

namespace cranberryshunt::cell {

// Load pattern: operators publish large configurations one after another.
// Guards against a log of many MiB that a member without a disk has to receive
// before it may vote.
Test(snapshot_schedule, bounds_the_bytes_of_the_log) {
  constexpr std::size_t kConfigurationBytes = 100 << 10;
  constexpr std::size_t kSnapshotBytes = 200 << 10;
  constexpr std::size_t kMaxLogBytes = 4U << 20;
  SnapshotSchedule schedule(20'000);
  std::size_t log_bytes = 0;
  for (std::int64_t index = 1; index <= 200; ++index) {
    schedule.OnApplied(index, kConfigurationBytes);
    log_bytes += kConfigurationBytes;
    if (schedule.IsDue()) {
      schedule.OnSnapshot(index, kSnapshotBytes);
      log_bytes = 0;
    }
    cr_assert_leq(log_bytes, kMaxLogBytes);
  }
}

// Guards against a large state that is written again and again.
Test(snapshot_schedule, takes_snapshots_of_a_large_state_less_often) {
  constexpr std::size_t kSnapshotBytes = 50U << 20;
  SnapshotSchedule schedule(20'000);
  schedule.OnSnapshot(1, kSnapshotBytes);
  schedule.OnApplied(2, kSnapshotBytes);
  cr_expect_not(schedule.IsDue());
  schedule.OnApplied(3, kSnapshotBytes);
  cr_expect(schedule.IsDue());
}

// Guards against a log that grows without limit by small entries.
Test(snapshot_schedule, bounds_the_number_of_entries) {
  SnapshotSchedule schedule(100);
  schedule.OnApplied(99, 1);
  cr_expect_not(schedule.IsDue());
  schedule.OnApplied(100, 1);
  cr_expect(schedule.IsDue());
}

}  // namespace cranberryshunt::cell
