#include "celld/client_limits.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr std::uint64_t MiB = std::uint64_t{1} << 20U;

CellSettings makeSettings(std::uint32_t MemoryMb, std::uint32_t Descriptors,
                          bool IsVoter) {
  CellSettings Settings;
  Settings.MemoryMb = MemoryMb;
  Settings.Descriptors = Descriptors;
  Settings.IsVoter = IsVoter;
  (IsVoter ? Settings.Control : Settings.Callers) = Endpoint{"127.0.0.1", 1};
  return Settings;
}

std::size_t allConnections(const ClientLimits &Limits, bool HasBoth) {
  return Limits.Callers.MaxConnections +
         (HasBoth ? Limits.Control.MaxConnections : 0) +
         Limits.Readiness.MaxConnections + Limits.Metrics.MaxConnections;
}

} // namespace

TEST_GROUP(CelldClientLimits){};

/// What clients may take on all listeners together leaves room for links,
/// workers and files.
TEST(CelldClientLimits, ClientsTakeAPartOfDescriptorsAndMemory) {
  for (const std::uint32_t Descriptors : {64U, 512U, 1024U, 4096U}) {
    for (const std::uint32_t MemoryMb : {64U, 128U, 256U, 384U}) {
      CellSettings Settings = makeSettings(MemoryMb, Descriptors, true);
      Settings.Callers = Endpoint{"127.0.0.1", 2};
      const ClientLimits Limits = planClientLimits(Settings);
      CHECK(allConnections(Limits, true) + Limits.MaxInboundLinks <=
            Descriptors / 2);
      CHECK(Limits.Callers.MaxHeldBytes + Limits.Control.MaxHeldBytes +
                Limits.Readiness.MaxHeldBytes + Limits.Metrics.MaxHeldBytes <=
            MemoryMb * MiB / 8);
      // A body of the maximum size fits beside small ones.
      CHECK(Limits.Control.MaxHeldBytes * 3 / 4 >= 2 * MiB);
    }
  }
}

/// Guards against connections that are accepted until the process has no
/// descriptors left: it opens about 150 for itself.
TEST(CelldClientLimits, ClientsLeaveTheDescriptorsOfTheProcessItself) {
  constexpr std::size_t OpenedByProcess = 160;
  for (const bool IsVoter : {false, true}) {
    for (const std::uint32_t Descriptors : {256U, 300U, 512U, 1024U}) {
      CellSettings Settings = makeSettings(256, Descriptors, IsVoter);
      Settings.Readiness = Endpoint{"127.0.0.1", 2};
      const ClientLimits Limits = planClientLimits(Settings);
      CHECK(allConnections(Limits, false) + Limits.MaxInboundLinks +
                (IsVoter ? Limits.Control.MaxConnections : 0) +
                OpenedByProcess <=
            Descriptors);
    }
  }
}

/// An ordinary deployment does not reach the limits: each worker and each
/// entry node keeps a connection to the leader.
TEST(CelldClientLimits, AVoterOf540WorkersKeepsAConnectionForEach) {
  const ClientLimits Limits = planClientLimits(makeSettings(312, 4096, true));
  CHECK(Limits.Control.MaxConnections > 540);
  CHECK(Limits.MaxInboundLinks >= 300);
}

TEST(CelldClientLimits, AnEntryNodeOf160MbServesHundredsOfCallers) {
  const ClientLimits Limits = planClientLimits(makeSettings(160, 4100, false));
  CHECK(Limits.Callers.MaxConnections >= 500);
}

/// Without settings there are limits as well.
TEST(CelldClientLimits, UnlimitedMemoryHasABoundForClients) {
  const ClientLimits Limits = planClientLimits(makeSettings(0, 1024, true));
  CHECK(Limits.Control.MaxHeldBytes <= 64 * MiB);
}
