#pragma once

#include "mulberryramp/core/table.hpp"
#include "mulberryramp/ledger/command.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace mulberryramp {

/// @brief Unique key of a request: its customer and the customer's own key.
struct Identity {
  std::string Customer;
  std::string Key;

  auto operator<=>(const Identity &) const = default;
};

/// @brief Replicated state of one data centre.
///
/// The tables and counters are replicated and stored in snapshots; the indexes
/// after them are rebuilt from the tables.
struct Ledger {
  Table<Worker> Workers;
  Table<Task> Tasks;
  Table<Request> Requests;
  std::uint64_t NextAttemptCount = 1;  ///< Counter of the next attempt.
  std::uint64_t FirstAttemptCount = 1; ///< First since the last recovery.
  bool IsDataLossPending = false;      ///< No DataLossCommand since recovery.
  WallTime DataLossUntil;              ///< Requests issued earlier may be lost.
  std::uint64_t RulesNumber = 0;       ///< Active revision in the data centre.
  std::string RulesText;

  std::map<Identity, RequestId> ByIdentity;
  std::unordered_map<std::string, WorkerId> ByWorkerName;
  std::unordered_map<AttemptId, TaskId> ByAttempt;
  std::map<std::string, Resources> AssignedByTeam;
  std::set<std::pair<WallTime, RequestId>> ByFinishedAt;
  std::set<RequestId> QueuedRequests; ///< Requests with a queued task.

  static constexpr auto fields() {
    return std::make_tuple(&Ledger::Workers, &Ledger::Tasks, &Ledger::Requests,
                           &Ledger::NextAttemptCount,
                           &Ledger::FirstAttemptCount,
                           &Ledger::IsDataLossPending, &Ledger::DataLossUntil,
                           &Ledger::RulesNumber, &Ledger::RulesText);
  }
};

/// @brief Outcome of an AcceptCommand.
enum class AcceptVerdict : std::uint8_t {
  Accepted,
  Resend,        ///< The ledger already holds the same request.
  Conflict,      ///< Its key belongs to a different request.
  Indeterminate, ///< It may have been accepted before; see `isIndeterminate`.
  Refused        ///< Recorded as refused for the reason in the command.
};

/// @brief Names of the verdicts, by value.
constexpr std::array<std::string_view, 5>
nameTable(AcceptVerdict /*Verdict*/) noexcept {
  return {"accepted", "resend", "conflict", "doubtful", "refused"};
}

/// @brief Effects of an applied command.
struct ApplyResult {
  std::vector<RequestId> Changed;      ///< Requests whose state changed.
  std::optional<AcceptVerdict> Accept; ///< Only for an `AcceptCommand`.
  RequestId Accepted;   ///< Request of the verdict; null if indeterminate.
  bool IsFound = false; ///< The named request or worker existed.
};

/// @brief Applies a command; deterministic, so all replicas stay equal.
/// @param State The ledger.
/// @param Command The command.
/// @return Effects of the command.
ApplyResult apply(Ledger &State, const LedgerCommand &Command);

/// @brief Records an unsafe recovery of the group: its log may lack entries.
/// @param State The ledger.
void recordRecovery(Ledger &State);

/// @brief Tells whether an attempt was assigned before the last recovery.
/// @param State The ledger.
/// @param Attempt The attempt.
/// @return True if its end may have been recorded in a lost entry.
[[nodiscard]] bool isBeforeRecovery(const Ledger &State,
                                    AttemptId Attempt) noexcept;

/// @brief Finds a request by its identity.
/// @return Its identifier, null if there is none.
[[nodiscard]] RequestId findRequest(const Ledger &State,
                                    const std::string &Customer,
                                    const std::string &Key);

/// @brief Finds a worker by its name.
/// @return Its identifier, null if there is none.
[[nodiscard]] WorkerId findWorker(const Ledger &State, const std::string &Name);

/// @brief Tells whether a request that the ledger does not hold may have been
/// accepted before.
/// @param State The ledger.
/// @param Spec The request.
/// @param At Current wall clock time.
/// @return True if it must not be run as a new request.
[[nodiscard]] bool isIndeterminate(const Ledger &State, const RequestSpec &Spec,
                                   WallTime At);

/// @brief Encodes the tables and counters for a snapshot.
[[nodiscard]] std::string encodeLedger(const Ledger &State);

/// @brief Restores a ledger from a snapshot; no bytes give an empty ledger.
/// @return The ledger, or nothing if the data is malformed.
[[nodiscard]] std::optional<Ledger> decodeLedger(std::string_view Data);

/// @brief Computes a digest that tells whether a resend is the same request.
/// @param Spec The request; the issue time, the latest start and the fields
/// that the rules may set are left out.
/// @return Digest of the remaining fields.
[[nodiscard]] std::uint64_t digestOf(const RequestSpec &Spec);

/// @brief Checks the invariants of the ledger.
/// @param State The ledger.
/// @return One sentence for each violated invariant; empty if all hold.
[[nodiscard]] std::vector<std::string> checkLedger(const Ledger &State);

} // namespace mulberryramp
