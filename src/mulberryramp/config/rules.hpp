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

/// @brief Request class: priority, retries, deadline and preemption.
struct ClassRule {
  std::string Name;
  std::int32_t Priority = 50;
  std::uint32_t MaxAttempts = 3; ///< Attempts of an idempotent task.
  Millis Backoff{500};           ///< Before the second attempt; doubles.
  Millis AgingInterval{60000};   ///< Queue time that raises priority by 1.
  Millis StartDeadline{0};       ///< Default; 0 means no deadline.
  bool MayPreempt = false;       ///< May stop tasks of lower priority.
};

/// @brief Limit of the resources that the tasks of a team use at a time, summed
/// over all data centres.
struct QuotaRule {
  std::string Team;
  Resources Limit;
  std::int64_t Weight = 1; ///< Weight in fair sharing between teams.
};

/// @brief Goal of the placement of a customer's tasks: short queue time or few
/// partly used workers.
enum class PlacementPolicy : std::uint8_t { QueueTime, BinPacking };

/// @brief Names of the policies in the rules.
constexpr std::array<std::string_view, 2>
nameTable(PlacementPolicy /*Policy*/) noexcept {
  return {"waiting", "packing"};
}

/// @brief Selects the placement policy of a customer.
struct PolicyRule {
  std::string Customer;
  PlacementPolicy Policy = PlacementPolicy::QueueTime;
};

/// @brief Limits how many tasks of one request may run in the same rack.
struct SpreadRule {
  WorkKind Kind = WorkKind::Service;
  std::uint32_t MaxPerRack = 0;
};

/// @brief Limits the queue length of a team; `*` stands for all teams without
/// a rule of their own.
struct QueueLimitRule {
  std::string Team;
  std::uint32_t MaxRequests = 0;
};

/// @brief Scope of a drain rule.
enum class DrainScope : std::uint8_t { Worker, Rack, Centre };

/// @brief Names of the scopes in the rules.
constexpr std::array<std::string_view, 3>
nameTable(DrainScope /*Scope*/) noexcept {
  return {"worker", "rack", "centre"};
}

/// @brief Excludes a worker, a rack or a data centre from new placements.
struct DrainRule {
  DrainScope Scope = DrainScope::Worker;
  std::string Name;
};

/// @brief Capacity of the largest worker that the deployment will have.
struct MaxWorkerSizeRule {
  Resources MaxCapacity;
};

/// @brief Limits retries to a percentage of all attempts.
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

/// @brief Parses and validates rules.
/// @param Source Name of the file, reported in findings.
/// @param Text One rule per line: `kind key=value ... # asked by NAME`.
/// @return The rules, or all findings.
[[nodiscard]] tl::expected<Rules, Findings>
parseRules(const std::string &Source, std::string_view Text);

/// @brief Finds a class by its name. The class `normal` exists even without a
/// rule, with default values.
/// @return The class, or nothing if it doesn't exist.
[[nodiscard]] std::optional<ClassRule> findClass(const Rules &RuleSet,
                                                 std::string_view Name);

/// @brief Finds the quota of a team.
/// @return The quota, or null if the team has none.
[[nodiscard]] const QuotaRule *findQuota(const Rules &RuleSet,
                                         std::string_view Team);

/// @brief Determines the queue limit of a team.
/// @return The limit in requests.
[[nodiscard]] std::uint32_t queueLimit(const Rules &RuleSet,
                                       std::string_view Team);

/// @brief Determines the placement policy of a customer; the default is
/// `QueueTime`.
[[nodiscard]] PlacementPolicy placementPolicyFor(const Rules &RuleSet,
                                                 std::string_view Customer);

/// @brief Determines how many tasks of a request may run in the same rack.
/// @return The limit; 0 means unlimited.
[[nodiscard]] std::uint32_t maxPerRack(const Rules &RuleSet, WorkKind Kind);

/// @brief Tells whether a drain rule applies to a worker, its rack or its data
/// centre.
[[nodiscard]] bool isDrained(const Rules &RuleSet, std::string_view Worker,
                             std::string_view Rack, std::string_view Centre);

/// @brief Computes the share of a quota that one data centre may assign.
/// @param Total The quota over all data centres.
/// @param Centres Number of data centres; must not be 0.
/// @param Index Index of the data centre in the order of names.
/// @return The share; the shares of all data centres add up to the total.
[[nodiscard]] Resources quotaShare(const Resources &Total, std::size_t Centres,
                                   std::size_t Index);

} // namespace mulberryramp
