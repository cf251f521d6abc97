#include "support/memory_files.hpp"

#include <algorithm>

namespace mulberryramp::test {

StorageStatus MemoryFiles::consumeCall() {
  Calls += 1;
  if (CallsUntilFailure && *CallsUntilFailure == 0) {
    return tl::make_unexpected(StorageError{"the disk fails"});
  }
  if (CallsUntilFailure) {
    *CallsUntilFailure -= 1;
  }
  return {};
}

tl::expected<std::string, StorageError>
MemoryFiles::read(const std::string &Name) {
  const auto It = Current.find(Name);
  if (It == Current.end()) {
    return tl::make_unexpected(StorageError{"no file " + Name});
  }
  return It->second;
}

tl::expected<std::vector<std::string>, StorageError>
MemoryFiles::list(const std::string &Folder) {
  std::vector<std::string> Names;
  const std::string Prefix = Folder + "/";
  for (const auto &[Name, Content] : Current) {
    if (Name.starts_with(Prefix)) {
      Names.push_back(Name.substr(Prefix.size()));
    }
  }
  return Names;
}

StorageStatus MemoryFiles::write(const std::string &Name,
                                 std::string_view Bytes) {
  return consumeCall().map([&] { Current[Name] = Bytes; });
}

StorageStatus MemoryFiles::append(const std::string &Name,
                                  std::string_view Bytes) {
  if (auto Status = consumeCall(); !Status) {
    Current[Name] += Bytes.substr(0, Bytes.size() / 2);
    return Status;
  }
  Current[Name] += Bytes;
  return {};
}

StorageStatus MemoryFiles::truncate(const std::string &Name,
                                    std::size_t Bytes) {
  return consumeCall().map([&] { Current[Name].resize(Bytes); });
}

StorageStatus MemoryFiles::sync(const std::string &Name) {
  return consumeCall().map([&] {
    SyncedContent[Name] = Current[Name];
    if (Durable.contains(Name)) {
      Durable[Name] = Current[Name];
    }
  });
}

StorageStatus MemoryFiles::syncFolder(const std::string &Folder) {
  return consumeCall().map([&] {
    const std::string Prefix = Folder + "/";
    std::erase_if(Durable, [&](const auto &File) {
      return File.first.starts_with(Prefix) && !Current.contains(File.first);
    });
    for (const auto &[Name, Content] : Current) {
      if (Name.starts_with(Prefix)) {
        Durable[Name] = SyncedContent[Name];
      }
    }
  });
}

StorageStatus MemoryFiles::rename(const std::string &From,
                                  const std::string &To) {
  return consumeCall().map([&] {
    Current[To] = Current[From];
    SyncedContent[To] = SyncedContent[From];
    Current.erase(From);
    SyncedContent.erase(From);
  });
}

StorageStatus MemoryFiles::remove(const std::string &Name) {
  return consumeCall().map([&] {
    Current.erase(Name);
    SyncedContent.erase(Name);
  });
}

StorageStatus MemoryFiles::makeFolder(const std::string & /*Folder*/) {
  return {};
}

void MemoryFiles::crash(std::size_t TornBytes) {
  std::map<std::string, std::string> Surviving = Durable;
  for (auto &[Name, Content] : Surviving) {
    const auto It = Current.find(Name);
    if (It != Current.end() && It->second.starts_with(Content)) {
      Content = It->second.substr(
          0, std::min(Content.size() + TornBytes, It->second.size()));
    }
  }
  Current = Surviving;
  SyncedContent = Surviving;
  Durable = Surviving;
  stopFailing();
}

void MemoryFiles::wipe() {
  Current.clear();
  SyncedContent.clear();
  Durable.clear();
  stopFailing();
}

std::vector<std::string> MemoryFiles::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Content] : Current) {
    Names.push_back(Name);
  }
  return Names;
}

} // namespace mulberryramp::test
