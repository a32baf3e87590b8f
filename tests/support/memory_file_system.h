// An in-memory file system that can simulate a power loss, a full disk, damage
// and failures.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_MEMORY_FILE_SYSTEM_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_MEMORY_FILE_SYSTEM_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

class MemoryFileSystem final : public FileSystem {
 public:
  // Discards unsynced changes at random. Appended data is cut at a random
  // length and may have a damaged byte. Each unsynced name change is either
  // kept or undone. Operations on files that were opened before then fail.
  void SimulatePowerLoss(std::mt19937_64& random) {
    std::lock_guard lock(mutex_);
    ++epoch_;
    operations_until_failure_ = -1;
    std::map<std::string, std::shared_ptr<Inode>> names;
    // A name that was replaced refers to its old or its new file.
    for (const auto& [path, inode] : durable_names_) {
      const auto current = names_.find(path);
      if (current != names_.end()) {
        names[path] = random() % 2 == 0 ? inode : current->second;
      } else if (random() % 2 == 0) {
        names[path] = inode;
      }
    }
    for (const auto& [path, inode] : names_) {
      if (!durable_names_.contains(path) && random() % 2 == 0) {
        names[path] = inode;
      }
    }
    names_ = names;
    durable_names_ = names;
    std::set<Inode*> visited;
    for (auto& [path, inode] : names) {
      if (visited.insert(inode.get()).second) {
        DiscardUnsynced(*inode, random);
      }
    }
  }
  // Removes all files, as if the disk had been replaced.
  void RemoveAll() {
    std::lock_guard lock(mutex_);
    ++epoch_;
    operations_until_failure_ = -1;
    names_.clear();
    durable_names_.clear();
  }
  // Lets the next `n` operations other than reads succeed, and makes all later
  // ones fail until SimulatePowerLoss() or RemoveAll(). An append that fails
  // this way writes the first half of its bytes.
  void FailAfter(std::int64_t n) {
    std::lock_guard lock(mutex_);
    operations_until_failure_ = n;
  }
  // Limits the total size of all files.
  void set_capacity(std::int64_t bytes) {
    std::lock_guard lock(mutex_);
    capacity_ = bytes;
  }
  std::int64_t used() {
    std::lock_guard lock(mutex_);
    return Used();
  }
  // Durably inverts one bit of the byte at `offset`.
  void CorruptByte(const std::string& path, std::size_t offset) {
    std::lock_guard lock(mutex_);
    auto& inode = *names_.at(path);
    inode.data.at(offset) = static_cast<char>(inode.data.at(offset) ^ 0x40);
    inode.durable = inode.data;
  }

  Result<void> CreateDirectories(const std::string& /*path*/) override {
    return {};
  }
  Result<std::vector<std::string>> List(const std::string& path) override {
    std::lock_guard lock(mutex_);
    std::set<std::string> names;
    const std::string prefix = path + "/";
    for (const auto& [name, inode] : names_) {
      if (name.starts_with(prefix)) {
        const auto rest = name.substr(prefix.size());
        names.insert(rest.substr(0, rest.find('/')));
      }
    }
    return std::vector<std::string>(names.begin(), names.end());
  }
  Result<std::string> Read(const std::string& path) override {
    std::lock_guard lock(mutex_);
    const auto it = names_.find(path);
    if (it == names_.end()) {
      return Fail(ResultCode::kNotFound, path + ": not found");
    }
    return it->second->data;
  }
  Result<std::unique_ptr<File>> OpenForAppend(
      const std::string& path) override {
    std::lock_guard lock(mutex_);
    if (auto allowed = CountOperation(); !allowed) {
      return tl::unexpected(allowed.error());
    }
    auto& inode = names_[path];
    if (!inode) {
      inode = std::make_shared<Inode>();
    }
    return std::make_unique<MemoryFile>(*this, inode, epoch_);
  }
  Result<void> Rename(const std::string& from, const std::string& to) override {
    std::lock_guard lock(mutex_);
    if (auto allowed = CountOperation(); !allowed) {
      return allowed;
    }
    names_[to] = names_.at(from);
    names_.erase(from);
    return {};
  }
  Result<void> Remove(const std::string& path) override {
    std::lock_guard lock(mutex_);
    if (auto allowed = CountOperation(); !allowed) {
      return allowed;
    }
    if (names_.erase(path) == 0) {
      return Fail(ResultCode::kNotFound, path + ": not found");
    }
    return {};
  }
  Result<void> SyncDirectory(const std::string& path) override {
    std::lock_guard lock(mutex_);
    if (auto allowed = CountOperation(); !allowed) {
      return allowed;
    }
    const auto in_directory = [&](const std::string& name) {
      return name.substr(0, name.rfind('/')) == path;
    };
    std::erase_if(durable_names_,
                  [&](const auto& it) { return in_directory(it.first); });
    for (const auto& [name, inode] : names_) {
      if (in_directory(name)) {
        durable_names_[name] = inode;
      }
    }
    return {};
  }
  Result<void> Lock(const std::string& /*path*/) override { return {}; }

 private:
  struct Inode {
    std::string data;
    std::string durable;
  };

  class MemoryFile final : public File {
   public:
    MemoryFile(MemoryFileSystem& parent,
               std::shared_ptr<Inode> inode,
               int epoch)
        : parent_(parent), inode_(std::move(inode)), epoch_(epoch) {}

    Result<void> Append(std::string_view bytes) override {
      std::lock_guard lock(parent_.mutex_);
      if (auto allowed = CheckAllowed(); !allowed) {
        inode_->data += bytes.substr(0, bytes.size() / 2);
        return allowed;
      }
      const auto free_bytes =
          std::max<std::int64_t>(0, parent_.capacity_ - parent_.Used());
      inode_->data += bytes.substr(0, static_cast<std::size_t>(free_bytes));
      if (static_cast<std::size_t>(free_bytes) < bytes.size()) {
        return Fail(ResultCode::kStorageFull, "no space left");
      }
      return {};
    }
    Result<void> Sync() override {
      std::lock_guard lock(parent_.mutex_);
      if (auto allowed = CheckAllowed(); !allowed) {
        return allowed;
      }
      inode_->durable = inode_->data;
      return {};
    }
    Result<void> Truncate(std::int64_t size) override {
      std::lock_guard lock(parent_.mutex_);
      if (auto allowed = CheckAllowed(); !allowed) {
        return allowed;
      }
      inode_->data.resize(static_cast<std::size_t>(size));
      return {};
    }
    std::int64_t size() const override {
      std::lock_guard lock(parent_.mutex_);
      return static_cast<std::int64_t>(inode_->data.size());
    }

   private:
    Result<void> CheckAllowed() {
      if (epoch_ != parent_.epoch_) {
        return Fail(ResultCode::kIoError, "opened before the power loss");
      }
      return parent_.CountOperation();
    }

    MemoryFileSystem& parent_;
    const std::shared_ptr<Inode> inode_;
    const int epoch_;
  };

  Result<void> CountOperation() {
    if (operations_until_failure_ == 0) {
      return Fail(ResultCode::kIoError, "injected failure");
    }
    operations_until_failure_ -= operations_until_failure_ > 0 ? 1 : 0;
    return {};
  }
  std::int64_t Used() const {
    std::size_t n = 0;
    for (const auto& [path, inode] : names_) {
      n += inode->data.size();
    }
    return static_cast<std::int64_t>(n);
  }
  static void DiscardUnsynced(Inode& inode, std::mt19937_64& random) {
    const bool extended = inode.data.starts_with(inode.durable);
    const auto unsynced_bytes =
        extended ? inode.data.size() - inode.durable.size() : 0;
    if (unsynced_bytes > 0) {
      const auto kept_bytes = random() % (unsynced_bytes + 1);
      auto remaining = inode.data.substr(0, inode.durable.size() + kept_bytes);
      if (kept_bytes > 0 && random() % 2 == 0) {
        auto& byte = remaining[inode.durable.size() + random() % kept_bytes];
        byte = static_cast<char>(byte ^ 0x11);
      }
      inode.data = std::move(remaining);
    } else if (random() % 2 == 0) {
      inode.data = inode.durable;
    }
    inode.durable = inode.data;
  }

  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Inode>> names_;
  std::map<std::string, std::shared_ptr<Inode>> durable_names_;
  std::int64_t capacity_ = INT64_MAX;
  std::int64_t operations_until_failure_ = -1;
  int epoch_ = 0;
};

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_MEMORY_FILE_SYSTEM_H_
