#include "celld/organisation_metrics.hpp"

#include <prometheus/gauge.h>

#include <algorithm>
#include <map>

namespace mulberryramp {

namespace {

using GaugeFamily = prometheus::Family<prometheus::Gauge>;

GaugeFamily &familyOf(prometheus::Registry &Registry, const char *Name,
                      const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
}

GaugeFamily &useFamily(prometheus::Registry &Registry) {
  return familyOf(Registry, "mulberryramp_organisation_use",
                  "Resources of the tasks of an organisation that run or may "
                  "still run; processors in thousandths, memory in MiB");
}

GaugeFamily &capFamily(prometheus::Registry &Registry) {
  return familyOf(Registry, "mulberryramp_organisation_cap",
                  "Cap of an organisation; 0 is no limit");
}

GaugeFamily &waitingFamily(prometheus::Registry &Registry) {
  return familyOf(
      Registry, "mulberryramp_organisation_waiting_tasks",
      "Tasks of an organisation that could run and are not started");
}

GaugeFamily &leastServedFamily(prometheus::Registry &Registry) {
  return familyOf(Registry, "mulberryramp_organisation_least_served",
                  "Dominant share divided by the weight of the least served "
                  "organisation that waits");
}

using Labels = std::map<std::string, std::string>;

Labels labelsOf(const std::string &Name, const char *Resource) {
  return {{"organisation", Name}, {"resource", Resource}};
}

void setAmounts(GaugeFamily &Family, const std::string &Name,
                const Resources &Amounts) {
  Family.Add(labelsOf(Name, "cpu")).Set(static_cast<double>(Amounts.MilliCpus));
  Family.Add(labelsOf(Name, "memory"))
      .Set(static_cast<double>(Amounts.MemoryMb));
  Family.Add(labelsOf(Name, "accelerators"))
      .Set(static_cast<double>(Amounts.Accelerators));
}

void removeSeries(prometheus::Registry &Registry, const std::string &Name) {
  for (GaugeFamily *Family : {&useFamily(Registry), &capFamily(Registry)}) {
    for (const char *Resource : {"cpu", "memory", "accelerators"}) {
      Family->Remove(&Family->Add(labelsOf(Name, Resource)));
    }
  }
  GaugeFamily &Waiting = waitingFamily(Registry);
  Waiting.Remove(&Waiting.Add({{"organisation", Name}}));
}

std::string labelOf(const OrganisationStatus &Status) {
  return Status.Name.empty() ? "public" : Status.Name;
}

} // namespace

void OrganisationMetrics::update(
    prometheus::Registry &Registry,
    const std::vector<OrganisationStatus> &Organisations) {
  std::set<std::string> Present;
  for (const OrganisationStatus &Status : Organisations) {
    Present.insert(labelOf(Status));
  }
  std::erase_if(Named, [&Present](const std::string &Name) {
    return !Present.contains(Name);
  });
  std::map<std::string, OrganisationStatus> Sums;
  const OrganisationStatus *Least = nullptr;
  for (const OrganisationStatus &Status : Organisations) {
    const std::string Label = labelOf(Status);
    const bool IsNamed = Named.contains(Label) || Named.size() < MaxNamed;
    if (IsNamed) {
      Named.insert(Label);
    }
    OrganisationStatus &Sum = Sums[IsNamed ? Label : "other"];
    Sum.Used += Status.Used;
    Sum.Cap += Status.Cap;
    Sum.WaitingTasks += Status.WaitingTasks;
    if (Status.WaitingTasks != 0 &&
        (Least == nullptr || Status.WeightedShare < Least->WeightedShare)) {
      Least = &Status;
    }
  }
  for (const std::string &Name : Shown) {
    if (!Sums.contains(Name)) {
      removeSeries(Registry, Name);
    }
  }
  Shown.clear();
  for (const auto &[Name, Sum] : Sums) {
    Shown.insert(Name);
    setAmounts(useFamily(Registry), Name, Sum.Used);
    setAmounts(capFamily(Registry), Name, Sum.Cap);
    waitingFamily(Registry)
        .Add({{"organisation", Name}})
        .Set(static_cast<double>(Sum.WaitingTasks));
  }
  GaugeFamily &Served = leastServedFamily(Registry);
  const std::string NextLeast = Least == nullptr ? "" : labelOf(*Least);
  if (!LeastServed.empty() && LeastServed != NextLeast) {
    Served.Remove(&Served.Add({{"organisation", LeastServed}}));
  }
  LeastServed = NextLeast;
  if (Least != nullptr) {
    Served.Add({{"organisation", NextLeast}}).Set(Least->WeightedShare);
  }
}

} // namespace mulberryramp
