#include "mulberryramp/job/organisation_use.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryramp {

namespace {

constexpr std::int64_t NanoJobsPerJob = 1'000'000'000;
/// Largest weight that the bucket tells apart. It keeps the sums below 2^63.
constexpr double MaxWeight = 1e6;
constexpr double MicroPerUnit = 1e6;
constexpr std::int64_t MillisPerSecond = 1000;

/// Returns the rate in millionths of a job per second, which is the number of
/// nano-jobs per millisecond.
std::int64_t fillRate(double Weight) noexcept {
  return Weight > 0 ? std::llround(std::min(Weight, MaxWeight) * MicroPerUnit)
                    : 0;
}

std::int64_t bucketDepth(std::int64_t Rate) noexcept {
  return Rate == 0 ? 0 : std::max(NanoJobsPerJob, Rate * MillisPerSecond);
}

bool fitsInAmount(std::int64_t Cap, std::int64_t Used, std::int64_t Need,
                  std::int64_t Tasks) noexcept {
  // A division, as the product of an untrusted need and a count may overflow.
  return Cap == 0 ||
         (Used <= Cap && (Need <= 0 || (Cap - Used) / Need >= Tasks));
}

bool fitsInAmounts(const Resources &Cap, const Resources &Used,
                   const Resources &Need, std::int64_t Tasks) noexcept {
  return fitsInAmount(Cap.MilliCpus, Used.MilliCpus, Need.MilliCpus, Tasks) &&
         fitsInAmount(Cap.MemoryMb, Used.MemoryMb, Need.MemoryMb, Tasks) &&
         fitsInAmount(Cap.Accelerators, Used.Accelerators, Need.Accelerators,
                      Tasks) &&
         fitsInAmount(Cap.Slots, Used.Slots, Need.Slots, Tasks) &&
         fitsInAmount(Cap.Connections, Used.Connections, Need.Connections,
                      Tasks);
}

} // namespace

bool fitsUnderCap(const Resources &Cap, const OrganisationLoad &Load,
                  const Resources &Need, std::uint32_t Tasks) noexcept {
  const bool IsAlone = Tasks == 1 && Load.Tasks == 0;
  return IsAlone || fitsInAmounts(Cap, Load.Used, Need, Tasks);
}

bool exceedsCap(const Resources &Cap, const Resources &Need,
                std::uint32_t Tasks) noexcept {
  return !fitsInAmounts(Cap, Resources{}, Need, Tasks);
}

RateBucket fullBucket(double Weight, WallTime At) noexcept {
  return {bucketDepth(fillRate(Weight)), At};
}

bool takeJob(RateBucket &Bucket, double Weight, WallTime At) noexcept {
  const std::int64_t Rate = fillRate(Weight);
  const std::int64_t Depth = bucketDepth(Rate);
  const std::int64_t Elapsed =
      std::max<std::int64_t>(0, (At - Bucket.FilledAt).count());
  const std::int64_t Missing = Depth - Bucket.NanoJobs;
  const bool IsFull = Missing <= 0 || (Rate != 0 && Elapsed > Missing / Rate);
  Bucket.NanoJobs = IsFull ? Depth : Bucket.NanoJobs + Rate * Elapsed;
  Bucket.FilledAt = At;
  if (Bucket.NanoJobs < NanoJobsPerJob) {
    return false;
  }
  Bucket.NanoJobs -= NanoJobsPerJob;
  return true;
}

} // namespace mulberryramp
