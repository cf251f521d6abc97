#include "mulberryramp/config/ini.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <ini.h>

namespace mulberryramp::internal {

namespace {

struct IniText {
  std::vector<std::string> Lines;
  std::vector<IniPair> Pairs;
  std::size_t LinesRead = 0;
};

/// Line reader for inih, with the signature of `fgets`.
char *readIniLine(char *Buffer, int Size, void *Stream) {
  auto &Text = *static_cast<IniText *>(Stream);
  if (Text.LinesRead >= Text.Lines.size()) {
    return nullptr;
  }
  const std::string Line = Text.Lines[Text.LinesRead] + "\n";
  Text.LinesRead += 1;
  const auto Length = std::min(Line.size(), static_cast<std::size_t>(Size) - 1);
  std::copy_n(Line.data(), Length, Buffer);
  Buffer[Length] = '\0';
  return Buffer;
}

/// Handler for inih, called for each pair.
int onIniPair(void *User, const char *Section, const char *Key,
              const char *Value) {
  auto &Text = *static_cast<IniText *>(User);
  Text.Pairs.push_back(
      {Section, Key, Value, Text.LinesRead, Text.Lines[Text.LinesRead - 1]});
  return 1;
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find('\n', Begin), Text.size());
    Lines.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Lines;
}

} // namespace

std::vector<IniPair> readIni(const std::string &Source, const std::string &Text,
                             Findings &Report) {
  IniText Ini;
  Ini.Lines = splitLines(Text);
  const int ErrorLine = ini_parse_stream(readIniLine, &Ini, onIniPair, &Ini);
  if (ErrorLine > 0) {
    Report.add({Source, static_cast<std::size_t>(ErrorLine), 1,
                "neither a section nor `key = value`"});
  }
  return std::move(Ini.Pairs);
}

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos) {
    return std::nullopt;
  }
  const auto Port = parseNumber<std::uint16_t>(
      std::string_view{Text}.substr(Colon + 1), 1, 65535);
  in_addr Address{};
  const std::string Host = Text.substr(0, Colon);
  if (!Port || inet_pton(AF_INET, Host.c_str(), &Address) != 1) {
    return std::nullopt;
  }
  return Endpoint{Host, *Port};
}

} // namespace mulberryramp::internal
