#pragma once

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/job/organisation.hpp"

#include <cstdint>

/// @file
/// @brief What an organisation uses at the moment and how fast it submits jobs,
/// compared with its cap and with the rate that it is owed.

namespace mulberryramp {

/// @brief What the assigned tasks of an organisation use.
struct OrganisationLoad {
  /// Sum of `StepSpec::Need`, including the processors of best-effort steps.
  Resources Used;
  std::uint32_t Tasks = 0;

  bool operator==(const OrganisationLoad &) const = default;
};

/// @brief Tells whether tasks may start together under the cap of their
/// organisation. One task alone may be larger than the cap.
/// @param Cap The cap; an amount of 0 is no limit.
/// @param Load What the organisation uses already.
/// @param Need Resources of one task.
/// @param Tasks Number of tasks; at least 1.
[[nodiscard]] bool fitsUnderCap(const Resources &Cap,
                                const OrganisationLoad &Load,
                                const Resources &Need,
                                std::uint32_t Tasks) noexcept;

/// @brief Tells whether tasks that run at the same time are together larger
/// than a cap.
[[nodiscard]] bool exceedsCap(const Resources &Cap, const Resources &Need,
                              std::uint32_t Tasks) noexcept;

/// @brief Token bucket of the rate of jobs that an organisation is owed.
///
/// The amounts are integers, so that replicas on different processors compute
/// the same.
struct RateBucket {
  std::int64_t NanoJobs = 0; ///< Tokens; a job takes 10^9 of them.
  WallTime FilledAt;         ///< When tokens were last added.

  bool operator==(const RateBucket &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&RateBucket::NanoJobs, &RateBucket::FilledAt);
  }
};

/// @brief Bucket of an organisation.
struct OrganisationRate {
  std::string Name; ///< Name of the organisation.
  RateBucket Bucket;

  bool operator==(const OrganisationRate &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&OrganisationRate::Name, &OrganisationRate::Bucket);
  }
};

/// @brief Returns a full bucket: the jobs of one second, at least one. A weight
/// of 0 has no jobs.
[[nodiscard]] RateBucket fullBucket(double Weight, WallTime At) noexcept;

/// @brief Fills a bucket up to a point in time and takes one job from it.
///
/// A time before the last one adds nothing, and the bucket is filled from that
/// time on: the clock of a new leader may be behind that of the previous one.
/// @return False if there is too little for a job; nothing is taken then.
[[nodiscard]] bool takeJob(RateBucket &Bucket, double Weight,
                           WallTime At) noexcept;

} // namespace mulberryramp
