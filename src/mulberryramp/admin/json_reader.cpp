#include "mulberryramp/admin/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

JsonReader::JsonReader(const nlohmann::json &Value, std::string Path,
                       Findings &Report)
    : Object{&Value}, Path{std::move(Path)}, Report{Report} {
  if (!Value.is_object()) {
    Report.add(
        {this->Path.empty() ? "/" : this->Path, 0, 0, "expected an object"});
    this->Object = nullptr;
  }
}

std::string JsonReader::pathOf(const char *Key) const {
  return Path + "/" + Key;
}

void JsonReader::add(const char *Key, std::string Text) {
  Report.add({pathOf(Key), 0, 0, std::move(Text)});
}

const nlohmann::json *JsonReader::member(const char *Key) {
  ReadKeys.emplace_back(Key);
  if (Object == nullptr) {
    return nullptr;
  }
  const auto It = Object->find(Key);
  return It == Object->end() ? nullptr : &*It;
}

std::string JsonReader::text(const char *Key, bool IsRequired,
                             std::size_t MaxBytes) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    if (IsRequired && Object != nullptr) {
      add(Key, "is missing");
    }
    return {};
  }
  if (!Value->is_string()) {
    add(Key, "expected a string");
    return {};
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (Text.size() > MaxBytes || (IsRequired && Text.empty())) {
    add(Key, "expected 1 to " + std::to_string(MaxBytes) + " bytes");
    return {};
  }
  return Text;
}

std::int64_t JsonReader::number(const char *Key, std::int64_t Default,
                                std::int64_t MinValue, std::int64_t MaxValue) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    return Default;
  }
  const bool FitsInt64 =
      Value->is_number_integer() &&
      !(Value->is_number_unsigned() &&
        Value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
  if (!FitsInt64 || Value->get<std::int64_t>() < MinValue ||
      Value->get<std::int64_t>() > MaxValue) {
    add(Key, "expected a whole number from " + std::to_string(MinValue) +
                 " to " + std::to_string(MaxValue));
    return Default;
  }
  return Value->get<std::int64_t>();
}

std::uint64_t JsonReader::unsignedNumber(const char *Key, bool IsRequired) {
  const nlohmann::json *Value = member(Key);
  if (Value == nullptr) {
    if (IsRequired && Object != nullptr) {
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
  if (Object == nullptr) {
    return;
  }
  for (const auto &[Key, Value] : Object->items()) {
    if (std::find(ReadKeys.begin(), ReadKeys.end(), Key) == ReadKeys.end()) {
      add(Key.c_str(), "is not known");
    }
  }
}

} // namespace mulberryramp
