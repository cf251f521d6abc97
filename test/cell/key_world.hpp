#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/core/random.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Keys of the callers of a simulated cell: how they change with the
/// configuration, and whether calls are served as they demand.

namespace mulberryramp::test {

/// @brief Deliberate fault that one of the invariants has to report.
enum class KeyTrap : std::uint8_t {
  None,
  IgnoresRemovals, ///< The cell gets configurations in which no key is removed.
  IgnoresAdditions ///< The cell gets configurations without the added keys.
};

/// @brief Organisations and keys by version of the configuration.
///
/// Each organisation has one key that is never removed, for the calls about its
/// jobs. The other keys are removed, moved and added. A version counts as
/// active from its acknowledgement, without any allowance for time, which is
/// stricter than the bounds that the deployments ask for.
class KeyWorld {
public:
  KeyWorld(std::uint64_t Seed, KeyTrap Trap);

  /// @brief Creates the next version. Undefined while one is open.
  void change();

  /// @brief Tells whether the last version is not acknowledged.
  [[nodiscard]] bool isOpen() const { return !Versions.back().AckedAt; }

  /// @brief Returns the last version of the configuration.
  /// @param Queues Configuration to complete.
  [[nodiscard]] CellConfiguration
  configuration(CellConfiguration Configuration) const;

  /// @brief Records that the last version is sent, or acknowledged.
  void onSent(Instant Now);
  void onAcknowledged(Instant Now);

  /// @brief Returns the key for calls about a job.
  [[nodiscard]] static std::string keyOf(const std::string &Job);

  /// @brief Returns one of the keys that change; it may be invalid.
  [[nodiscard]] std::string randomKey();

  /// @brief Checks the answer to a call.
  /// @param Key Key of the call.
  /// @param SentAt When the call was sent.
  /// @param Now When the answer arrived.
  /// @return Text of the violated invariant; empty if there is none.
  [[nodiscard]] std::string check(const std::string &Key, Instant SentAt,
                                  Instant Now, CellVerdict Verdict) const;

private:
  struct Version {
    std::map<std::string, std::string> Owners; ///< Organisation by key.
    std::optional<Instant> SentAt;
    std::optional<Instant> AckedAt;
  };

  KeyTrap Trap;
  Random Rng;
  std::vector<Version> Versions; ///< The first has the number 1.
};

} // namespace mulberryramp::test
