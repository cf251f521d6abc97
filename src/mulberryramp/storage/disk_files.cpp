#include "mulberryramp/storage/file_system.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace mulberryramp {

namespace internal {

namespace fs = std::filesystem;

StorageError systemError(const std::string &Operation,
                         const std::string &Name) {
  return {Operation + " " + Name + ": " + std::strerror(errno)};
}

class Descriptor {
public:
  Descriptor(const std::string &Path, int Flags)
      : Handle{::open(Path.c_str(), Flags | O_CLOEXEC, 0640)} {}
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  ~Descriptor() {
    if (Handle >= 0) {
      ::close(Handle);
    }
  }
  [[nodiscard]] bool isOpen() const noexcept { return Handle >= 0; }
  [[nodiscard]] int handle() const noexcept { return Handle; }

private:
  int Handle;
};

bool writeAll(int Handle, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written = ::write(Handle, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR) {
      continue;
    }
    if (Written <= 0) {
      return false;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

class DiskFiles final : public FileSystem {
public:
  explicit DiskFiles(std::string Root) : Root{std::move(Root)} {}

  tl::expected<std::string, StorageError>
  read(const std::string &Name) override {
    const Descriptor File{path(Name), O_RDONLY};
    if (!File.isOpen()) {
      return tl::make_unexpected(systemError("open", Name));
    }
    std::string Content;
    std::array<char, 65536> Chunk{};
    while (true) {
      const ssize_t Count = ::read(File.handle(), Chunk.data(), Chunk.size());
      if (Count < 0 && errno == EINTR) {
        continue;
      }
      if (Count < 0) {
        return tl::make_unexpected(systemError("read", Name));
      }
      if (Count == 0) {
        return Content;
      }
      Content.append(Chunk.data(), static_cast<std::size_t>(Count));
    }
  }

  tl::expected<std::vector<std::string>, StorageError>
  list(const std::string &Folder) override {
    std::error_code Error;
    std::vector<std::string> Names;
    for (const auto &DirEntry : fs::directory_iterator{path(Folder), Error}) {
      Names.push_back(DirEntry.path().filename().string());
    }
    if (Error) {
      return tl::make_unexpected(
          StorageError{"list " + Folder + ": " + Error.message()});
    }
    std::sort(Names.begin(), Names.end());
    return Names;
  }

  StorageStatus write(const std::string &Name,
                      std::string_view Bytes) override {
    return writeFile(Name, Bytes, O_WRONLY | O_CREAT | O_TRUNC);
  }

  StorageStatus append(const std::string &Name,
                       std::string_view Bytes) override {
    return writeFile(Name, Bytes, O_WRONLY | O_CREAT | O_APPEND);
  }

  StorageStatus truncate(const std::string &Name, std::size_t Bytes) override {
    if (::truncate(path(Name).c_str(), static_cast<off_t>(Bytes)) != 0) {
      return tl::make_unexpected(systemError("truncate", Name));
    }
    return {};
  }

  StorageStatus sync(const std::string &Name) override {
    return syncPath(Name, O_RDONLY);
  }

  StorageStatus syncFolder(const std::string &Folder) override {
    return syncPath(Folder, O_RDONLY | O_DIRECTORY);
  }

  StorageStatus rename(const std::string &From,
                       const std::string &To) override {
    if (::rename(path(From).c_str(), path(To).c_str()) != 0) {
      return tl::make_unexpected(systemError("rename", From));
    }
    return {};
  }

  StorageStatus remove(const std::string &Name) override {
    if (::unlink(path(Name).c_str()) != 0) {
      return tl::make_unexpected(systemError("remove", Name));
    }
    return {};
  }

  StorageStatus makeFolder(const std::string &Folder) override {
    std::error_code Error;
    fs::create_directories(path(Folder), Error);
    if (Error) {
      return tl::make_unexpected(
          StorageError{"create " + Folder + ": " + Error.message()});
    }
    return {};
  }

private:
  [[nodiscard]] std::string path(const std::string &Name) const {
    return Root + "/" + Name;
  }

  StorageStatus writeFile(const std::string &Name, std::string_view Bytes,
                          int Flags) {
    const Descriptor File{path(Name), Flags};
    if (!File.isOpen() || !writeAll(File.handle(), Bytes)) {
      return tl::make_unexpected(systemError("write", Name));
    }
    return {};
  }

  StorageStatus syncPath(const std::string &Name, int Flags) {
    const Descriptor File{path(Name), Flags};
    if (!File.isOpen() || ::fsync(File.handle()) != 0) {
      return tl::make_unexpected(systemError("sync", Name));
    }
    return {};
  }

  std::string Root;
};

} // namespace internal

tl::expected<std::unique_ptr<FileSystem>, StorageError>
openDiskFiles(const std::string &Root) {
  auto Files = std::make_unique<internal::DiskFiles>(Root);
  if (auto Created = Files->makeFolder("."); !Created) {
    return tl::make_unexpected(Created.error());
  }
  return Files;
}

} // namespace mulberryramp
