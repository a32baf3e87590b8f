#include <criterion/criterion.h>

#include <filesystem>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/storage/disk_identity.h"
#include "cranberryshunt/storage/hard_state.h"
#include "cranberryshunt/storage/log.h"
#include "cranberryshunt/storage/snapshot_file.h"
#include "memory_file_system.h"

namespace cranberryshunt::storage {

namespace {

constexpr char kDirectory[] = "/d/log";
constexpr char kSegmentPath[] = "/d/log/00000000000000000001.log";

std::vector<LogEntry> MakeEntries(std::int64_t first,
                                  int n,
                                  std::size_t bytes) {
  std::vector<LogEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back({first + i, 1, 1, std::string(bytes, 'x')});
  }
  return entries;
}

Result<std::unique_ptr<Log>> OpenLog(FileSystem& files,
                                     std::vector<LogEntry>& entries,
                                     std::int64_t committed = 0,
                                     std::int64_t snapshot_index = 0) {
  entries.clear();
  LogOptions options;
  options.segment_bytes = 300;
  return Log::Open(files, kDirectory, options, snapshot_index, committed,
                   entries);
}

void AppendAndSync(Log& log, int n, std::size_t bytes = 50) {
  cr_assert(
      log.Append(MakeEntries(log.last_index() + 1, n, bytes)).has_value());
  cr_assert(log.Sync().has_value());
}

bool Contains(const Error& error, const std::string& part) {
  return error.message().find(part) != std::string::npos;
}

}  // namespace

// Guards against lost or additional entries after a truncation, a removal of
// old segments and a restart.
Test(log, keeps_what_was_synced) {
  MemoryFileSystem files;
  std::vector<LogEntry> entries;
  {
    auto log = OpenLog(files, entries);
    cr_assert(log.has_value());
    for (int i = 0; i < 10; ++i) {
      AppendAndSync(**log, 2);
    }
    cr_assert((*log)->TruncateSuffix(8).has_value());
    AppendAndSync(**log, 1);
    cr_assert((*log)->DropPrefix(5).has_value());
  }
  auto log = OpenLog(files, entries, 8, 5);
  cr_assert(log.has_value());
  cr_assert_eq((*log)->last_index(), 8);
  cr_assert_eq(entries.back().index, 8);
  cr_assert_leq(entries.front().index, 6);
  cr_assert((*log)->Reset(20).has_value());
  AppendAndSync(**log, 1);
  cr_assert(OpenLog(files, entries, 20, 19).has_value());
  cr_assert(entries.size() == 1 && entries[0].index == 20);
}

// Guards against a log that does not open after a torn write, or that loses
// synced entries.
Test(log, a_torn_tail_is_truncated) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    std::vector<LogEntry> entries;
    std::int64_t synced = 0;
    {
      auto log = OpenLog(files, entries);
      cr_assert(log.has_value());
      for (int i = 0; i < 4; ++i) {
        AppendAndSync(**log, 1 + static_cast<int>(random() % 3));
      }
      synced = (*log)->last_index();
      files.FailAfter(static_cast<std::int64_t>(random() % 4));
      const auto more = MakeEntries(synced + 1, 3, 60);
      (void)(*log)->Append(more);
    }
    files.SimulatePowerLoss(random);
    auto log = OpenLog(files, entries, synced);
    cr_assert(log.has_value(), "seed %llu: %s",
              static_cast<unsigned long long>(seed),
              log ? "" : log.error().message().c_str());
    cr_assert_geq((*log)->last_index(), synced, "seed %llu",
                  static_cast<unsigned long long>(seed));
    AppendAndSync(**log, 1);
  }
}

// Guards against silently dropping damaged entries that were durable. The log
// detects them by the commit index, or else by the durable index that later
// records store.
Test(log, damage_to_durable_entries_is_refused) {
  MemoryFileSystem files;
  std::vector<LogEntry> entries;
  {
    auto log = OpenLog(files, entries);
    AppendAndSync(**log, 1);
    AppendAndSync(**log, 1);
  }
  // For the last record, only the commit index shows that it was durable.
  files.CorruptByte(kSegmentPath, 20 + 86 + 60);
  auto log = OpenLog(files, entries, 2);
  cr_assert_not(log.has_value());
  cr_assert(log.error().code() == ResultCode::kCorrupt);
  cr_assert(Contains(log.error(), kSegmentPath) &&
                Contains(log.error(), "offset 106"),
            "%s", log.error().message().c_str());
  files.CorruptByte(kSegmentPath, 20 + 86 + 60);
  // For the first record, the second record states that it was durable.
  files.CorruptByte(kSegmentPath, 20 + 60);
  log = OpenLog(files, entries);
  cr_assert(!log && log.error().code() == ResultCode::kCorrupt);
  cr_assert(Contains(log.error(), "offset 20"));
}

// Guards against opening a log whose end or one of whose middle segments is
// missing.
Test(log, missing_segments_are_refused) {
  MemoryFileSystem files;
  std::vector<LogEntry> entries;
  {
    auto log = OpenLog(files, entries);
    for (int i = 0; i < 12; ++i) {
      AppendAndSync(**log, 1);
    }
  }
  const auto names = *files.List(kDirectory);
  cr_assert_geq(names.size(), 3);
  cr_assert(files.Remove(std::string(kDirectory) + "/" + names[1]).has_value());
  cr_assert(!OpenLog(files, entries));
  for (std::size_t i = 2; i < names.size(); ++i) {
    (void)files.Remove(std::string(kDirectory) + "/" + names[i]);
  }
  const auto log = OpenLog(files, entries, 12);
  cr_assert(!log && Contains(log.error(), "committed index 12"));
}

// Guards against a full disk that damages synced entries, or that leaves a part
// of a batch whose write failed.
Test(log, a_full_disk_keeps_what_was_acknowledged) {
  MemoryFileSystem files;
  std::vector<LogEntry> entries;
  auto log = OpenLog(files, entries);
  AppendAndSync(**log, 2);
  files.set_capacity(files.used() + 100);
  const auto written = (*log)->Append(MakeEntries(3, 3, 60));
  cr_assert(!written && written.error().code() == ResultCode::kStorageFull);
  cr_assert((*log)->RollBack().has_value());
  cr_assert(OpenLog(files, entries, 2).has_value());
  cr_assert_eq(entries.size(), 2);
  files.set_capacity(INT64_MAX);
  AppendAndSync(**log, 3);
  cr_assert(OpenLog(files, entries, 5).has_value());
  cr_assert_eq(entries.size(), 5);
}

// Guards against a mixture of two states, or a missing state, after a power
// loss.
Test(files, replaced_atomically) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    const HardState first{.term = 1, .vote = "a", .durable_commit_index = 1};
    const HardState second{.term = 2, .vote = "bb", .durable_commit_index = 2};
    const Snapshot old{.index = 1, .term = 1, .membership = "m", .data = "1"};
    const Snapshot next{.index = 2, .term = 1, .membership = "m", .data = "2"};
    cr_assert(SaveHardState(files, "/d", first).has_value());
    cr_assert(SaveSnapshot(files, "/d", old).has_value());
    files.FailAfter(static_cast<std::int64_t>(random() % 14));
    const bool saved = SaveHardState(files, "/d", second).has_value();
    const bool stored = SaveSnapshot(files, "/d", next).has_value();
    files.SimulatePowerLoss(random);
    const auto state = LoadHardState(files, "/d");
    const auto snapshot = LoadSnapshot(files, "/d");
    cr_assert(state && (*state == second || (!saved && *state == first)),
              "seed %llu", static_cast<unsigned long long>(seed));
    cr_assert(snapshot && *snapshot &&
                  (**snapshot == next || (!stored && **snapshot == old)),
              "seed %llu: %s", static_cast<unsigned long long>(seed),
              snapshot ? (*snapshot ? (**snapshot).data.c_str() : "none")
                       : snapshot.error().message().c_str());
  }
}

// Guards against using damaged files, or a directory whose identity is missing.
Test(files, damage_is_refused) {
  MemoryFileSystem files;
  cr_assert(!*LoadDiskIdentity(files, "/d"));
  const DiskIdentity identity{.disk = "x", .replica = "a", .bootstrap = "m"};
  cr_assert(SaveDiskIdentity(files, "/d", identity).has_value());
  cr_assert(*LoadDiskIdentity(files, "/d") == identity);
  cr_assert(SaveHardState(files, "/d", HardState{3, "", 0}).has_value());
  cr_assert(SaveSnapshot(files, "/d", Snapshot{1, 1, "", "x"}).has_value());
  files.CorruptByte("/d/hard_state", 14);
  files.CorruptByte("/d/snapshot-00000000000000000001", 14);
  const auto state = LoadHardState(files, "/d");
  cr_assert(!state && Contains(state.error(), "/d/hard_state"));
  const auto snapshot = LoadSnapshot(files, "/d");
  cr_assert(!snapshot && Contains(snapshot.error(), "/d/snapshot-"));
  cr_assert(files.Remove("/d/identity").has_value());
  const auto missing = LoadDiskIdentity(files, "/d");
  cr_assert(!missing && missing.error().code() == ResultCode::kWrongIdentity);
}

// Guards against damage to the old state when the disk is too full to write the
// new one.
Test(files, a_full_disk_keeps_the_old_state) {
  MemoryFileSystem files;
  cr_assert(SaveHardState(files, "/d", HardState{1, "", 0}).has_value());
  files.set_capacity(files.used() + 20);
  const auto saved = SaveHardState(files, "/d", HardState{2, "", 0});
  cr_assert(!saved && saved.error().code() == ResultCode::kStorageFull);
  cr_assert_eq(LoadHardState(files, "/d")->term, 1);
}

// Guards against differences between the system's files and the in-memory files
// that the other tests use, and against two users of the same directory.
Test(system_files, behave_as_described) {
  const auto directory =
      (std::filesystem::temp_directory_path() / RandomId("storage-test-"))
          .string();
  auto files = CreateSystemFileSystem();
  cr_assert(files->CreateDirectories(directory + "/a").has_value());
  cr_assert(files->Lock(directory).has_value());
  cr_assert_not(CreateSystemFileSystem()->Lock(directory).has_value());
  auto file = files->OpenForAppend(directory + "/f");
  cr_assert((*file)->Append("hello").has_value());
  cr_assert((*file)->Sync().has_value());
  cr_assert((*file)->Truncate(2).has_value());
  cr_assert((*file)->Append("y").has_value());
  cr_assert_eq((*file)->size(), 3);
  cr_assert_eq((*files->OpenForAppend(directory + "/f"))->size(), 3);
  cr_assert(files->Rename(directory + "/f", directory + "/g").has_value());
  cr_assert(files->SyncDirectory(directory).has_value());
  cr_assert_eq(*files->Read(directory + "/g"), "hey");
  const auto names = *files->List(directory);
  cr_assert(names == std::vector<std::string>({"a", "g", "lock"}));
  cr_assert(files->Remove(directory + "/g").has_value());
  const auto missing = files->Read(directory + "/g");
  cr_assert(!missing && missing.error().code() == ResultCode::kNotFound);
  auto full = files->OpenForAppend("/dev/full");
  const auto written = (*full)->Append("x");
  cr_assert(!written && written.error().code() == ResultCode::kStorageFull);
  std::filesystem::remove_all(directory);
}

}  // namespace cranberryshunt::storage
