#pragma once

#include "mulberryramp/config/fwd.hpp"
#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/request.hpp"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Class of work: its order, its retries and its patience.
struct ClassRule {
  std::string Name;
  std::int32_t Priority = 50;
  std::uint32_t MaxAttempts = 3; ///< Tries of an idempotent task.
  Millis Backoff{500};           ///< Pause before the second try; doubles.
  Millis AgingInterval{60000};   ///< Waiting that raises the priority by 1.
  Millis StartDeadline{0};       ///< Default latest start; 0 means none.
  bool MayPreempt = false;       ///< May stop work of lower priority.
};

/// @brief What all tasks of a team may hold at once, in all data centres.
struct QuotaRule {
  std::string Team;
  Resources Limit;
  std::int64_t Weight = 1; ///< Share of the team beside other teams.
};

/// @brief What placement of a customer's work weighs most.
enum class PlacementPolicy : std::uint8_t { QueueTime, BinPacking };

/// @brief Names of the ways of weighing.
constexpr std::array<std::string_view, 2>
nameTable(PlacementPolicy /*Way*/) noexcept {
  return {"waiting", "packing"};
}

/// @brief Chooses how work of a customer is placed.
struct PolicyRule {
  std::string Customer;
  PlacementPolicy Policy = PlacementPolicy::QueueTime;
};

/// @brief Keeps tasks of one request apart.
struct SpreadRule {
  WorkKind Kind = WorkKind::Service;
  std::uint32_t MaxPerRack = 0;
};

/// @brief Bounds the queue of a team; `*` means any team without an own line.
struct QueueLimitRule {
  std::string Team;
  std::uint32_t MaxRequests = 0;
};

/// @brief What a drain rule empties.
enum class DrainScope : std::uint8_t { Worker, Rack, Centre };

/// @brief Names of the scopes.
constexpr std::array<std::string_view, 3>
nameTable(DrainScope /*Scope*/) noexcept {
  return {"worker", "rack", "centre"};
}

/// @brief Gives no new work to a worker, a rack or a data centre.
struct DrainRule {
  DrainScope Scope = DrainScope::Worker;
  std::string Name;
};

/// @brief The largest worker that there will be.
struct MaxWorkerSizeRule {
  Resources MaxCapacity;
};

/// @brief Bounds retries to a share of the attempts.
struct RetryRule {
  std::uint32_t BudgetPercent = 20;
};

/// @brief All rules of one revision.
struct Rules {
  Revision Number = 0;
  std::vector<ClassRule> Classes;
  std::vector<QuotaRule> Quotas;
  std::vector<PolicyRule> Policies;
  std::vector<SpreadRule> Spreads;
  std::vector<QueueLimitRule> Limits;
  std::vector<DrainRule> Drains;
  std::optional<MaxWorkerSizeRule> MaxWorkerSize;
  RetryRule Retry;
};

/// @brief Parses rules, one a line, and checks them whole.
/// @param Source Name of the file, for findings.
/// @param Text Lines `kind key=value ... # asked by NAME`.
/// @return The rules, or all findings.
[[nodiscard]] tl::expected<Rules, Findings>
parseRules(const std::string &Source, std::string_view Text);

/// @brief Finds a class; the name `normal` is there without a rule.
/// @return The class, or nothing if there is none of that name.
[[nodiscard]] std::optional<ClassRule> findClass(const Rules &RuleSet,
                                                 std::string_view Name);

/// @brief Finds the quota of a team.
/// @return The quota, or null if there is none.
[[nodiscard]] const QuotaRule *findQuota(const Rules &RuleSet,
                                         std::string_view Team);

/// @brief Finds the bound of the queue of a team.
/// @return The bound in requests.
[[nodiscard]] std::uint32_t queueLimit(const Rules &RuleSet,
                                       std::string_view Team);

/// @brief Finds how the work of a customer is placed.
[[nodiscard]] PlacementPolicy placementPolicyFor(const Rules &RuleSet,
                                                 std::string_view Customer);

/// @brief Finds how many tasks of a request may share a rack.
/// @return The number; 0 means any.
[[nodiscard]] std::uint32_t maxPerRack(const Rules &RuleSet, WorkKind Kind);

/// @brief Tells whether a rule keeps new work from a worker.
[[nodiscard]] bool isDrained(const Rules &RuleSet, std::string_view Worker,
                             std::string_view Rack, std::string_view Centre);

/// @brief Computes the part of a quota that a data centre may grant.
/// @param Whole The quota over all data centres.
/// @param Centres Number of data centres; undefined for 0.
/// @param Index Place of the data centre in the order of names.
/// @return The part; the parts of all data centres add up to the whole.
[[nodiscard]] Resources quotaShare(const Resources &Whole, std::size_t Centres,
                                   std::size_t Index);

} // namespace mulberryramp
