// Measures commits per second and commit latency, with and without group
// commit.
//
// All replicas run in this process and store real files in a temporary folder.
// They exchange messages by direct calls, so that the results include the log
// and the disk but not the network. The baseline is the same replica with one
// entry per sync.
//
// Usage: commit_benchmark [SECONDS [FOLDER]]

#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t kPayloadBytes = 200;
constexpr std::size_t kProposalsInFlight = 512;
// With one sync per entry, heartbeats queue behind the proposals in flight.
// With more proposals than this and a sync delay of 5 ms, the leader loses its
// lease.
constexpr std::size_t kProposalsInFlightUngrouped = 32;

// Delays each sync of a file to simulate a slower disk.
class SlowFile final : public storage::File {
 public:
  SlowFile(std::unique_ptr<storage::File> file, std::chrono::milliseconds delay)
      : file_(std::move(file)), delay_(delay) {}

  Result<void> Append(std::string_view bytes) override {
    return file_->Append(bytes);
  }
  Result<void> Sync() override {
    std::this_thread::sleep_for(delay_);
    return file_->Sync();
  }
  Result<void> Truncate(std::int64_t size) override {
    return file_->Truncate(size);
  }
  std::int64_t size() const override { return file_->size(); }

 private:
  const std::unique_ptr<storage::File> file_;
  const std::chrono::milliseconds delay_;
};

class SlowFileSystem final : public storage::FileSystem {
 public:
  explicit SlowFileSystem(std::chrono::milliseconds delay) : delay_(delay) {}

  Result<void> CreateDirectories(const std::string& path) override {
    return files_->CreateDirectories(path);
  }
  Result<std::vector<std::string>> List(const std::string& path) override {
    return files_->List(path);
  }
  Result<std::string> Read(const std::string& path) override {
    return files_->Read(path);
  }
  Result<std::unique_ptr<storage::File>> OpenForAppend(
      const std::string& path) override {
    auto file = files_->OpenForAppend(path);
    if (!file) {
      return file;
    }
    return std::make_unique<SlowFile>(std::move(*file), delay_);
  }
  Result<void> Rename(const std::string& from, const std::string& to) override {
    return files_->Rename(from, to);
  }
  Result<void> Remove(const std::string& path) override {
    return files_->Remove(path);
  }
  Result<void> SyncDirectory(const std::string& path) override {
    return files_->SyncDirectory(path);
  }
  Result<void> Lock(const std::string& path) override {
    return files_->Lock(path);
  }

 private:
  const std::unique_ptr<storage::FileSystem> files_ =
      storage::CreateSystemFileSystem();
  const std::chrono::milliseconds delay_;
};

// Delivers messages to the replicas in this process.
class Network {
 public:
  void Add(const std::string& id, consensus::Replica* replica) {
    std::lock_guard lock(mutex_);
    replicas_[id] = replica;
  }
  void Close() {
    std::lock_guard lock(mutex_);
    replicas_.clear();
  }
  void Send(std::vector<wire::RaftMessage> messages) {
    std::lock_guard lock(mutex_);
    for (auto& it : messages) {
      const auto replica = replicas_.find(it.receiver);
      if (replica != replicas_.end()) {
        std::vector<wire::RaftMessage> one;
        one.push_back(std::move(it));
        replica->second->Receive(std::move(one));
      }
    }
  }

 private:
  std::mutex mutex_;
  std::map<std::string, consensus::Replica*> replicas_;
};

class DirectTransport final : public consensus::PeerTransport {
 public:
  explicit DirectTransport(Network& network) : network_(network) {}
  void Send(std::vector<wire::RaftMessage> messages) override {
    network_.Send(std::move(messages));
  }
  void SetMembers(const wire::Membership& /*membership*/) override {}

 private:
  Network& network_;
};

class NullObserver final : public consensus::ReplicaObserver {
 public:
  void OnCommitted(
      std::vector<consensus::CommittedEntry> /*entries*/) override {}
  void OnSnapshot(std::int64_t /*index*/, std::string /*data*/) override {}
  void OnRoleChange(const consensus::RoleChange& /*change*/) override {}
  void OnStorageFailure(const Error& error) override {
    fmt::print(stderr, "storage failed: {}\n", error.message());
  }
};

struct Results {
  double commits_per_second = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double commits_per_sync = 0;
  std::size_t failed = 0;
};

// Counts proposals in flight and failed ones, and collects the latencies of
// committed ones.
struct ProposalRecorder {
  std::mutex mutex;
  std::vector<double> latencies_ms;
  std::atomic<std::size_t> in_flight = 0;
  std::atomic<std::size_t> failed = 0;
};

void ProposeOne(consensus::Replica& leader, ProposalRecorder& recorder) {
  const auto start = steady_clock::now();
  ++recorder.in_flight;
  leader.Propose(leader.role().term, std::string(kPayloadBytes, 'x'),
                 [&recorder, start](const auto& index) {
                   const std::chrono::duration<double, std::milli> elapsed =
                       steady_clock::now() - start;
                   if (index) {
                     std::lock_guard lock(recorder.mutex);
                     recorder.latencies_ms.push_back(elapsed.count());
                   } else {
                     ++recorder.failed;
                   }
                   --recorder.in_flight;
                 });
}

Results Measure(consensus::Replica& leader,
                std::size_t in_flight,
                std::chrono::seconds duration) {
  ProposalRecorder recorder;
  const auto syncs = leader.stats().syncs;
  const auto start = steady_clock::now();
  while (steady_clock::now() - start < duration) {
    if (recorder.in_flight < in_flight) {
      ProposeOne(leader, recorder);
    } else {
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
  while (recorder.in_flight > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  auto& latencies = recorder.latencies_ms;
  std::sort(latencies.begin(), latencies.end());
  const auto n = latencies.size();
  Results results;
  results.failed = recorder.failed;
  if (n > 0) {
    results.commits_per_second = static_cast<double>(n) / elapsed.count();
    results.p50_ms = latencies[n / 2];
    results.p99_ms = latencies[n * 99 / 100];
    results.commits_per_sync =
        static_cast<double>(n) / static_cast<double>(std::max<std::int64_t>(
                                     1, leader.stats().syncs - syncs));
  }
  return results;
}

consensus::Replica* WaitForLeader(
    const std::vector<std::unique_ptr<consensus::Replica>>& replicas) {
  const auto deadline = steady_clock::now() + std::chrono::seconds(30);
  while (steady_clock::now() < deadline) {
    for (const auto& it : replicas) {
      if (it->HasLease()) {
        return it.get();
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return nullptr;
}

bool Run(int size,
         bool group_commit,
         std::chrono::milliseconds delay,
         std::chrono::seconds duration,
         const std::filesystem::path& folder) {
  const auto directory = folder / RandomId("commit-benchmark-");
  SlowFileSystem files(delay);
  SystemClock clock;
  Network network;
  NullObserver observer;
  DirectTransport transport(network);
  consensus::ReplicaOptions options;
  for (int i = 0; i < size; ++i) {
    wire::Member member;
    member.id = "c" + std::to_string(i);
    member.address = member.id;
    member.voter = true;
    options.initial_members.members.push_back(member);
  }
  options.bootstrap = true;
  options.max_batch_items = group_commit ? options.max_batch_items : 1;
  std::vector<std::unique_ptr<consensus::Replica>> replicas;
  for (const auto& it : options.initial_members.members) {
    options.id = it.id;
    options.data_directory = (directory / it.id).string();
    auto replica =
        consensus::Replica::Start(options, files, clock, transport, observer);
    if (!replica) {
      fmt::print(stderr, "{}\n", replica.error().message());
      return false;
    }
    network.Add(it.id, replica->get());
    replicas.push_back(std::move(*replica));
  }
  auto* leader = WaitForLeader(replicas);
  if (leader == nullptr) {
    fmt::print(stderr, "no leader was elected\n");
    return false;
  }
  const auto in_flight =
      group_commit ? kProposalsInFlight : kProposalsInFlightUngrouped;
  const auto results = Measure(*leader, in_flight, duration);
  fmt::print(
      "{:>8} {:>8} {:>10} {:>6} {:>11.0f} {:>9.2f} {:>9.2f} {:>13.1f} {:>7}\n",
      size, group_commit ? "yes" : "no", delay.count(), in_flight,
      results.commits_per_second, results.p50_ms, results.p99_ms,
      results.commits_per_sync, results.failed);
  std::fflush(stdout);
  network.Close();
  replicas.clear();
  std::filesystem::remove_all(directory);
  return true;
}

}  // namespace

}  // namespace cranberryshunt

int main(int argc, char** argv) {
  const std::chrono::seconds duration(argc > 1 ? std::atoi(argv[1]) : 3);
  const std::filesystem::path folder =
      argc > 2 ? std::filesystem::path(argv[2])
               : std::filesystem::temp_directory_path();
  fmt::print("{:>8} {:>8} {:>10} {:>6} {:>11} {:>9} {:>9} {:>13} {:>7}\n",
             "replicas", "grouped", "sync_delay", "open", "commits/s", "p50_ms",
             "p99_ms", "commits/sync", "failed");
  for (const int size : {3, 5}) {
    for (const int delay : {0, 1, 5}) {
      for (const bool group_commit : {true, false}) {
        if (!cranberryshunt::Run(size, group_commit,
                                 std::chrono::milliseconds(delay), duration,
                                 folder)) {
          return 1;
        }
      }
    }
  }
  return 0;
}
