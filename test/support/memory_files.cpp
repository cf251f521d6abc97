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
  const auto Found = Live.find(Name);
  if (Found == Live.end()) {
    return tl::make_unexpected(StorageError{"no file " + Name});
  }
  return Found->second;
}

tl::expected<std::vector<std::string>, StorageError>
MemoryFiles::list(const std::string &Folder) {
  std::vector<std::string> Names;
  const std::string Prefix = Folder + "/";
  for (const auto &[Name, Content] : Live) {
    if (Name.starts_with(Prefix)) {
      Names.push_back(Name.substr(Prefix.size()));
    }
  }
  return Names;
}

StorageStatus MemoryFiles::write(const std::string &Name,
                                 std::string_view Bytes) {
  return consumeCall().map([&] { Live[Name] = Bytes; });
}

StorageStatus MemoryFiles::append(const std::string &Name,
                                  std::string_view Bytes) {
  if (auto Spent = consumeCall(); !Spent) {
    Live[Name] += Bytes.substr(0, Bytes.size() / 2);
    return Spent;
  }
  Live[Name] += Bytes;
  return {};
}

StorageStatus MemoryFiles::truncate(const std::string &Name,
                                    std::size_t Bytes) {
  return consumeCall().map([&] { Live[Name].resize(Bytes); });
}

StorageStatus MemoryFiles::sync(const std::string &Name) {
  return consumeCall().map([&] {
    Synced[Name] = Live[Name];
    if (Lasting.contains(Name)) {
      Lasting[Name] = Live[Name];
    }
  });
}

StorageStatus MemoryFiles::syncFolder(const std::string &Folder) {
  return consumeCall().map([&] {
    const std::string Prefix = Folder + "/";
    std::erase_if(Lasting, [&](const auto &Item) {
      return Item.first.starts_with(Prefix) && !Live.contains(Item.first);
    });
    for (const auto &[Name, Content] : Live) {
      if (Name.starts_with(Prefix)) {
        Lasting[Name] = Synced[Name];
      }
    }
  });
}

StorageStatus MemoryFiles::rename(const std::string &From,
                                  const std::string &To) {
  return consumeCall().map([&] {
    Live[To] = Live[From];
    Synced[To] = Synced[From];
    Live.erase(From);
    Synced.erase(From);
  });
}

StorageStatus MemoryFiles::remove(const std::string &Name) {
  return consumeCall().map([&] {
    Live.erase(Name);
    Synced.erase(Name);
  });
}

StorageStatus MemoryFiles::makeFolder(const std::string & /*Folder*/) {
  return {};
}

void MemoryFiles::crash(std::size_t TornBytes) {
  std::map<std::string, std::string> Left = Lasting;
  for (auto &[Name, Content] : Left) {
    const auto Found = Live.find(Name);
    if (Found != Live.end() && Found->second.starts_with(Content)) {
      Content = Found->second.substr(
          0, std::min(Content.size() + TornBytes, Found->second.size()));
    }
  }
  Live = Left;
  Synced = Left;
  Lasting = Left;
  stopFailing();
}

void MemoryFiles::wipe() {
  Live.clear();
  Synced.clear();
  Lasting.clear();
  stopFailing();
}

std::vector<std::string> MemoryFiles::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Content] : Live) {
    Names.push_back(Name);
  }
  return Names;
}

} // namespace mulberryramp::test
