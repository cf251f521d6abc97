#pragma once

#include "mulberryramp/core/table.hpp"
#include "mulberryramp/ledger/command.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace mulberryramp {

/// @brief Identity of a request.
struct Identity {
  std::string Customer;
  std::string Key;

  auto operator<=>(const Identity &) const = default;
};

/// @brief Everything that a data centre agrees on.
///
/// The rows are replicated and snapshotted; the indexes behind them follow
/// from the rows.
struct Ledger {
  Table<Worker> Workers;
  Table<Task> Tasks;
  Table<Request> Requests;
  std::uint64_t NextAttemptCount =
      1; ///< Count in the number of the next attempt.
  std::uint64_t FirstAttemptCount = 1; ///< First one since the last recovery.
  bool IsDataLossPending = false; ///< A recovery waits for its doubt command.
  WallTime DataLossUntil;         ///< Earlier requests may have left no trace.
  std::uint64_t RulesNumber = 0;  ///< Revision in force in the data centre.
  std::string RulesText;

  std::map<Identity, RequestId> ByIdentity;
  std::unordered_map<std::string, WorkerId> ByWorkerName;
  std::unordered_map<AttemptId, TaskId> ByAttempt;
  std::map<std::string, Resources> GrantedByTeam;
  std::set<std::pair<WallTime, RequestId>> ByFinishedAt;
  std::set<RequestId> QueuedRequests; ///< Requests with a task that is queued.

  static constexpr auto fields() {
    return std::make_tuple(&Ledger::Workers, &Ledger::Tasks, &Ledger::Requests,
                           &Ledger::NextAttemptCount,
                           &Ledger::FirstAttemptCount,
                           &Ledger::IsDataLossPending, &Ledger::DataLossUntil,
                           &Ledger::RulesNumber, &Ledger::RulesText);
  }
};

/// @brief How a request to accept ended.
enum class AcceptVerdict : std::uint8_t {
  Accepted,
  Resend,
  Conflict,
  Indeterminate,
  Refused
};

/// @brief Names of the verdicts.
constexpr std::array<std::string_view, 5>
nameTable(AcceptVerdict /*Verdict*/) noexcept {
  return {"accepted", "resend", "conflict", "doubtful", "refused"};
}

/// @brief What a command changed.
struct ApplyResult {
  std::vector<RequestId> Changed; ///< Requests with a change to report.
  std::optional<AcceptVerdict> Accept;
  RequestId Accepted;
  bool IsFound = false; ///< The named request or worker was there.
};

/// @brief Applies a command; the same on every member.
/// @param State The ledger.
/// @param Command The command.
/// @return What changed.
ApplyResult apply(Ledger &State, const LedgerCommand &Command);

/// @brief Notes a recovery of the group with a log that may lack entries.
/// @param State The ledger.
void recordRecovery(Ledger &State);

/// @brief Tells whether an attempt was granted before the last recovery.
/// @param State The ledger.
/// @param Attempt The attempt.
/// @return True if its end may have been recorded and lost.
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

/// @brief Tells whether a request without a trace may have been accepted.
/// @param State The ledger.
/// @param Spec The request.
/// @param At The present time.
/// @return True if it must not be run as new.
[[nodiscard]] bool isIndeterminate(const Ledger &State, const RequestSpec &Spec,
                                   WallTime At);

/// @brief Encodes the rows for a snapshot.
[[nodiscard]] std::string encodeLedger(const Ledger &State);

/// @brief Restores a ledger from a snapshot; an empty one from no bytes.
/// @return The ledger, or nothing if the bytes are none of `encodeLedger`.
[[nodiscard]] std::optional<Ledger> decodeLedger(std::string_view Data);

/// @brief Computes the digest of what a caller asked for.
/// @param Spec The request; priority and limits by rules are left out.
/// @return The digest.
[[nodiscard]] std::uint64_t digestOf(const RequestSpec &Spec);

/// @brief Lists what is wrong in the ledger itself.
/// @param State The ledger.
/// @return A sentence for each broken invariant; empty if all hold.
[[nodiscard]] std::vector<std::string> checkLedger(const Ledger &State);

} // namespace mulberryramp
