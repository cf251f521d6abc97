#include "mulberryramp/admin/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

JsonReader::JsonReader(const nlohmann::json &Value, std::string Path,
                       Findings &Report)
    : Item{&Value}, Path{std::move(Path)}, Report{Report} {
  if (!Value.is_object()) {
    Report.add(
        {this->Path.empty() ? "/" : this->Path, 0, 0, "expected an object"});
    this->Item = nullptr;
  }
}

std::string JsonReader::pathOf(const char *Key) const {
  return Path + "/" + Key;
}

void JsonReader::add(const char *Key, std::string Text) {
  Report.add({pathOf(Key), 0, 0, std::move(Text)});
}

const nlohmann::json *JsonReader::member(const char *Key) {
  Read.emplace_back(Key);
  if (Item == nullptr) {
    return nullptr;
  }
  const auto Found = Item->find(Key);
  return Found == Item->end() ? nullptr : &*Found;
}

std::string JsonReader::text(const char *Key, bool IsNeeded,
                             std::size_t MaxBytes) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    if (IsNeeded && Item != nullptr) {
      add(Key, "is missing");
    }
    return {};
  }
  if (!Value->is_string()) {
    add(Key, "expected a string");
    return {};
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (Text.size() > MaxBytes || (IsNeeded && Text.empty())) {
    add(Key, "expected 1 to " + std::to_string(MaxBytes) + " bytes");
    return {};
  }
  return Text;
}

std::int64_t JsonReader::number(const char *Key, std::int64_t Default,
                                std::int64_t Least, std::int64_t Most) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    return Default;
  }
  const bool Whole =
      Value->is_number_integer() &&
      !(Value->is_number_unsigned() &&
        Value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
  if (!Whole || Value->get<std::int64_t>() < Least ||
      Value->get<std::int64_t>() > Most) {
    add(Key, "expected a whole number from " + std::to_string(Least) + " to " +
                 std::to_string(Most));
    return Default;
  }
  return Value->get<std::int64_t>();
}

std::uint64_t JsonReader::count(const char *Key, bool IsNeeded) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    if (IsNeeded && Item != nullptr) {
      add(Key, "is missing");
    }
    return 0;
  }
  if (!Value->is_number_unsigned()) {
    add(Key, "expected a whole number of 0 or more");
    return 0;
  }
  return Value->get<std::uint64_t>();
}

bool JsonReader::flag(const char *Key, bool Default) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    return Default;
  }
  if (!Value->is_boolean()) {
    add(Key, "expected true or false");
    return Default;
  }
  return Value->get<bool>();
}

void JsonReader::rejectUnknownMembers() {
  if (Item == nullptr) {
    return;
  }
  for (const auto &[Key, Value] : Item->items()) {
    if (std::find(Read.begin(), Read.end(), Key) == Read.end()) {
      add(Key.c_str(), "is not known");
    }
  }
}

} // namespace mulberryramp
