#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <map>
#include <system_error>

#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

namespace {

constexpr std::size_t kReadChunkBytes = 1 << 20;

tl::unexpected<Error> FailWithErrno(int code,
                                    const std::string& action,
                                    const std::string& path) {
  const std::string message = path + ": cannot " + action + ": " +
                              std::generic_category().message(code);
  if (code == ENOSPC || code == EDQUOT) {
    return Fail(ResultCode::kStorageFull, message);
  }
  if (code == ENOENT) {
    return Fail(ResultCode::kNotFound, message);
  }
  return Fail(ResultCode::kIoError, message);
}

// Owns a file descriptor and closes it on destruction.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }

  int get() const { return fd_; }

 private:
  const int fd_;
};

class SystemFile final : public File {
 public:
  SystemFile(int fd, std::string path, std::int64_t size)
      : fd_(fd), path_(std::move(path)), size_(size) {}

  Result<void> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const auto n = ::write(fd_.get(), bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return FailWithErrno(errno, "write", path_);
      }
      size_ += n;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
  }

  Result<void> Sync() override {
    if (::fdatasync(fd_.get()) != 0) {
      return FailWithErrno(errno, "sync", path_);
    }
    return {};
  }

  Result<void> Truncate(std::int64_t size) override {
    if (::ftruncate(fd_.get(), size) != 0) {
      return FailWithErrno(errno, "truncate", path_);
    }
    size_ = size;
    return {};
  }

  std::int64_t size() const override { return size_; }

 private:
  const Descriptor fd_;
  const std::string path_;
  std::int64_t size_;
};

class SystemFileSystem final : public FileSystem {
 public:
  Result<void> CreateDirectories(const std::string& path) override {
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec) {
      return FailWithErrno(ec.value(), "create directory", path);
    }
    return {};
  }

  Result<std::vector<std::string>> List(const std::string& path) override {
    std::error_code ec;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator it(path, ec), end;
         !ec && it != end; it.increment(ec)) {
      names.push_back(it->path().filename().string());
    }
    if (ec) {
      return FailWithErrno(ec.value(), "list", path);
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<std::string> Read(const std::string& path) override {
    const Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0) {
      return FailWithErrno(errno, "open", path);
    }
    std::string bytes;
    for (;;) {
      const auto size = bytes.size();
      bytes.resize(size + kReadChunkBytes);
      const auto n = ::read(fd.get(), bytes.data() + size, kReadChunkBytes);
      bytes.resize(size + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
      if (n < 0 && errno != EINTR) {
        return FailWithErrno(errno, "read", path);
      }
      if (n == 0) {
        return bytes;
      }
    }
  }

  Result<std::unique_ptr<File>> OpenForAppend(
      const std::string& path) override {
    const int fd =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) {
      return FailWithErrno(errno, "open", path);
    }
    const auto size = ::lseek(fd, 0, SEEK_END);
    auto file = std::make_unique<SystemFile>(fd, path, size);
    if (size < 0) {
      return FailWithErrno(errno, "inspect", path);
    }
    return file;
  }

  Result<void> Rename(const std::string& from, const std::string& to) override {
    if (std::rename(from.c_str(), to.c_str()) != 0) {
      return FailWithErrno(errno, "rename", from);
    }
    return {};
  }

  Result<void> Remove(const std::string& path) override {
    if (::unlink(path.c_str()) != 0) {
      return FailWithErrno(errno, "remove", path);
    }
    return {};
  }

  Result<void> SyncDirectory(const std::string& path) override {
    const Descriptor fd(
        ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0) {
      return FailWithErrno(errno, "open", path);
    }
    if (::fsync(fd.get()) != 0) {
      return FailWithErrno(errno, "sync", path);
    }
    return {};
  }

  Result<void> Lock(const std::string& path) override {
    const std::string name = path + "/lock";
    // This object keeps the lock when a replica is stopped and restarted in the
    // same process.
    if (locks_.contains(name)) {
      return {};
    }
    auto fd = std::make_unique<Descriptor>(
        ::open(name.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
    if (fd->get() < 0) {
      return FailWithErrno(errno, "open", name);
    }
    if (::flock(fd->get(), LOCK_EX | LOCK_NB) != 0) {
      return Fail(ResultCode::kIoError,
                  name + ": the directory is in use by another process");
    }
    locks_.emplace(name, std::move(fd));
    return {};
  }

 private:
  std::map<std::string, std::unique_ptr<Descriptor>> locks_;
};

}  // namespace

std::unique_ptr<FileSystem> CreateSystemFileSystem() {
  return std::make_unique<SystemFileSystem>();
}

}  // namespace cranberryshunt::storage
