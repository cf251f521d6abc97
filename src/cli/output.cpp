#include "cli/output.hpp"

#include <algorithm>
#include <iostream>
#include <vector>

namespace mulberryramp {

namespace internal {

using nlohmann::json;
using Row = std::vector<std::string>;

std::string textOf(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printTable(const Row &Header, const std::vector<Row> &Rows) {
  std::vector<std::size_t> Width(Header.size(), 0);
  const auto WidenColumns = [&Width](const Row &Line) {
    for (std::size_t Index = 0; Index < Line.size(); ++Index) {
      Width[Index] = std::max(Width[Index], Line[Index].size());
    }
  };
  const auto PrintLine = [&Width](const Row &Line) {
    for (std::size_t Index = 0; Index < Line.size(); ++Index) {
      const bool IsLast = Index + 1 == Line.size();
      const std::size_t Padding =
          IsLast ? 0 : Width[Index] + 2 - Line[Index].size();
      std::cout << Line[Index] << std::string(Padding, ' ');
    }
    std::cout << '\n';
  };
  WidenColumns(Header);
  std::for_each(Rows.begin(), Rows.end(), WidenColumns);
  PrintLine(Header);
  std::for_each(Rows.begin(), Rows.end(), PrintLine);
}

void printList(const json &List, const Row &Columns) {
  std::vector<Row> Rows;
  for (const json &Value : List) {
    Row Line;
    for (const std::string &Column : Columns) {
      Line.push_back(Value.contains(Column) ? textOf(Value[Column]) : "-");
    }
    Rows.push_back(std::move(Line));
  }
  printTable(Columns, Rows);
}

void printRequest(const json &Request) {
  std::cout << textOf(Request["customer"]) << '/' << textOf(Request["key"])
            << "  home " << textOf(Request["home"]) << "  "
            << textOf(Request["kind"])
            << "  outcome: " << textOf(Request["outcome"]) << '\n';
  if (!Request["reason"].get<std::string>().empty()) {
    std::cout << "reason: " << textOf(Request["reason"]) << '\n';
  }
  if (!Request["tasks"].empty()) {
    printList(Request["tasks"],
              {"ordinal", "state", "attempts", "worker", "answer", "reason"});
  }
}

void printWorkers(const json &Workers) {
  std::vector<Row> Rows;
  for (const json &Worker : Workers) {
    const auto Usage = [&Worker](const char *Key) {
      return textOf(Worker["granted"][Key]) + "/" +
             textOf(Worker["capacity"][Key]);
    };
    std::string Marks;
    for (const char *Mark : {"leaving", "drained", "quarantined"}) {
      Marks += Worker[Mark].get<bool>() ? std::string{Mark} + " " : "";
    }
    Rows.push_back({textOf(Worker["name"]), textOf(Worker["rack"]),
                    Usage("milli_cpus"), Usage("memory_mb"),
                    Usage("accelerators"), textOf(Worker["tasks"]), Marks});
  }
  printTable({"worker", "rack", "milli-cpus", "memory-mb", "accelerators",
              "tasks", "marks"},
             Rows);
}

void printRules(const json &Rules) {
  std::cout << "# revision " << textOf(Rules["revision"])
            << (Rules["current"].get<bool>() ? "" : " (may be outdated)")
            << '\n'
            << Rules["text"].get<std::string>();
}

} // namespace internal

void printResult(const nlohmann::json &Body, OutputFormat Format) {
  if (Format == OutputFormat::Json) {
    std::cout << Body.dump(2) << '\n';
    return;
  }
  if (Body.contains("request")) {
    internal::printRequest(Body["request"]);
  } else if (Body.contains("reason")) {
    std::cout << internal::textOf(Body["status"]) << ": "
              << internal::textOf(Body["reason"]) << '\n';
  }
  if (Body.contains("change")) {
    internal::printList(
        nlohmann::json::array({Body["change"]}),
        {"change_key", "operator", "base", "revision", "verdict", "winner"});
  }
  if (Body.contains("history")) {
    internal::printList(Body["history"], {"revision", "operator", "verdict",
                                          "at_ms", "added", "removed"});
  }
  if (Body.contains("in_force")) {
    internal::printList(Body["in_force"], {"node", "current", "heard"});
  } else if (Body.contains("rules")) {
    internal::printRules(Body["rules"]);
  }
  if (Body.contains("workers")) {
    internal::printWorkers(Body["workers"]);
  }
  if (Body.contains("groups")) {
    internal::printList(Body["groups"], {"group", "role", "leader", "term",
                                         "last", "commit", "ready"});
  }
}

ExitStatus exitStatusOf(int HttpStatus, const nlohmann::json &Body,
                        bool NeedsOutcome) {
  switch (HttpStatus) {
  case 400:
    return ExitStatus::Usage;
  case 404:
    return ExitStatus::NotFound;
  case 409:
    return ExitStatus::Conflict;
  case 422:
    return ExitStatus::NotRun;
  case 503:
    return ExitStatus::Unavailable;
  case 504:
    return ExitStatus::Unknown;
  case 200:
    break;
  default:
    return ExitStatus::Error;
  }
  const std::string Outcome = Body.value("outcome", "done");
  if (Outcome == "failed") {
    return ExitStatus::Failed;
  }
  if (Outcome == "not run") {
    return ExitStatus::NotRun;
  }
  if (Outcome == "unknown") {
    return ExitStatus::Unknown;
  }
  return Outcome == "pending" && NeedsOutcome ? ExitStatus::Pending
                                              : ExitStatus::Done;
}

} // namespace mulberryramp
