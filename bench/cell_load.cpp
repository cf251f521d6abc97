#include "cell_load.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryramp::bench {

namespace {

constexpr double TwoPi = 6.283185307179586;
/// Organisations differ in size by this exponent of their rank.
constexpr double SizeExponent = 1.2;
constexpr double WeightPerRate = 1.9;

/// Log-normal distribution with an upper bound.
struct Spread {
  double Mean = 0;
  double Sigma = 0;
  double Max = 0;
};

/// Shape of the jobs of a kind.
struct ClassShape {
  double JobsPerSecond = 0;
  Spread Steps;
  Spread Width;
  Spread MilliCpus;
  Spread MemoryMb;
  Spread RunMs;
  double EstimateError = 0; ///< Largest relative error of an estimate.
  bool IsCheckpointed = false;
};

const ClassShape &shapeOf(JobClass Class) {
  static const ClassShape Shapes[] = {{35.5,
                                       {1.6, 0.4, 4},
                                       {9.5, 0.8, 57},
                                       {8900, 0.45, 27000},
                                       {18000, 0.6, 55000},
                                       {640, 0.5, 1600},
                                       0.5,
                                       false},
                                      {0.221,
                                       {1, 0, 1},
                                       {20, 0.8, 120},
                                       {18000, 0.4, 30000},
                                       {51000, 0.5, 100000},
                                       {45000, 0.7, 140000},
                                       0.2,
                                       false},
                                      {5.34,
                                       {2, 0.4, 5},
                                       {17, 0.6, 84},
                                       {18000, 0.4, 30000},
                                       {53000, 0.5, 110000},
                                       {4800, 0.5, 12000},
                                       0.9,
                                       true}};
  return Shapes[static_cast<std::size_t>(Class)];
}

double uniform(Random &Source) {
  return (static_cast<double>(Source.next() >> 11U) + 0.5) * 0x1.0p-53;
}

double draw(Random &Source, const Spread &Of) {
  const double Normal = std::sqrt(-2 * std::log(uniform(Source))) *
                        std::cos(TwoPi * uniform(Source));
  const double Value =
      Of.Mean * std::exp(Of.Sigma * Normal - Of.Sigma * Of.Sigma / 2);
  return std::clamp(Value, Of.Mean / 20, Of.Max);
}

std::vector<double> organisationSizes(std::size_t Count) {
  std::vector<double> Sizes;
  double Total = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Sizes.push_back(std::pow(static_cast<double>(Index + 1), -SizeExponent));
    Total += Sizes.back();
  }
  for (double &Size : Sizes) {
    Size /= Total;
  }
  return Sizes;
}

LoadJob drawJob(Random &Source, JobClass Class) {
  const ClassShape &Shape = shapeOf(Class);
  LoadJob Job;
  Job.Class = Class;
  const auto Steps = std::max(1L, std::lround(draw(Source, Shape.Steps)));
  for (long Index = 0; Index < Steps; ++Index) {
    StepSpec Step;
    Step.Tasks = static_cast<std::uint32_t>(
        std::max(1L, std::lround(draw(Source, Shape.Width))));
    Step.Need.MilliCpus = std::llround(draw(Source, Shape.MilliCpus));
    Step.Need.MemoryMb = std::llround(draw(Source, Shape.MemoryMb));
    Step.IsCheckpointed = Shape.IsCheckpointed;
    Step.IsLongRunning = Class == JobClass::Service;
    if (Index > 0) {
      Step.DependsOn.push_back(static_cast<std::uint32_t>(Index - 1));
    }
    const double Base = draw(Source, Shape.RunMs);
    const double Error = 1 + Shape.EstimateError * (2 * uniform(Source) - 1);
    Step.Estimate = Millis{std::llround(Base * Error)};
    std::vector<Millis> Times;
    for (std::uint32_t Task = 0; Task < Step.Tasks; ++Task) {
      const double Time = Base * (0.85 + 0.3 * uniform(Source));
      Times.emplace_back(std::llround(Time));
      Job.CoreSeconds += Time * static_cast<double>(Step.Need.MilliCpus) / 1e6;
    }
    Job.RunTimes.push_back(std::move(Times));
    Job.Spec.Steps.push_back(std::move(Step));
  }
  return Job;
}

double rateAt(const LoadOptions &Options, JobClass Class,
              std::size_t Organisation, double Seconds) {
  double Factor = Options.RateFactor;
  for (const LoadBurst &Burst : Options.Bursts) {
    const bool Applies =
        Seconds >= Burst.FromSeconds && Seconds < Burst.ToSeconds &&
        (Burst.Class < 0 || Burst.Class == static_cast<int>(Class)) &&
        (Burst.Organisation < 0 ||
         Burst.Organisation == static_cast<int>(Organisation));
    Factor *= Applies ? Burst.Factor : 1;
  }
  return shapeOf(Class).JobsPerSecond * Factor;
}

} // namespace

std::vector<LoadJob> drawLoad(const LoadOptions &Options) {
  constexpr double SliceSeconds = 0.001;
  Random Source{Options.Seed};
  const std::vector<double> Sizes = organisationSizes(Options.Organisations);
  std::vector<LoadJob> Jobs;
  for (double At = 0; At < Options.Seconds; At += SliceSeconds) {
    for (const JobClass Class :
         {JobClass::Urgent, JobClass::Service, JobClass::Batch}) {
      for (std::size_t Index = 0; Index < Sizes.size(); ++Index) {
        const double Expected =
            rateAt(Options, Class, Index, At) * Sizes[Index] * SliceSeconds;
        if (uniform(Source) < Expected) {
          LoadJob Job = drawJob(Source, Class);
          Job.At = Millis{std::llround(At * 1000)};
          Job.Organisation = Index;
          Jobs.push_back(std::move(Job));
        }
      }
    }
  }
  return Jobs;
}

double organisationWeight(std::size_t Index, std::size_t Count) {
  double Rate = 0;
  for (const JobClass Class :
       {JobClass::Urgent, JobClass::Service, JobClass::Batch}) {
    Rate += shapeOf(Class).JobsPerSecond;
  }
  return std::max(1.0, WeightPerRate * Rate * organisationSizes(Count)[Index]);
}

CellConfiguration makeLoadConfiguration(std::size_t Count) {
  CellConfiguration Configuration;
  Configuration.Version = 1;
  Configuration.RequiresKeys = true;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Organisation Row;
    Row.Name = "org-" + std::to_string(Index);
    Row.KeyDigests.push_back(Row.Name);
    Row.Weight = organisationWeight(Index, Count);
    Configuration.Organisations.push_back(std::move(Row));
  }
  const auto AddQueue = [&](JobClass Class, double Slack, Millis Target,
                            double DecisionMs, double PerWorkerMs) {
    JobQueue Queue;
    Queue.Host = "host";
    Queue.Prefix =
        "/" + std::string{nameTable(Class)[static_cast<std::size_t>(Class)]} +
        "/";
    Queue.Pool = "pool";
    Queue.Priority = static_cast<std::uint32_t>(Class);
    Queue.MaxAttempts = 4;
    Queue.SlackFactor = Slack;
    Queue.LatencyTarget = Target;
    Queue.Advice = AdvisorOptions{DecisionMs, PerWorkerMs, Millis{2500}};
    Queue.IsPublic = Class == JobClass::Service;
    Configuration.Queues.push_back(std::move(Queue));
  };
  AddQueue(JobClass::Urgent, 1.5, Millis{300}, 17, 0.24);
  AddQueue(JobClass::Service, 2.2, Millis{2500}, 450, 6.5);
  AddQueue(JobClass::Batch, 2.2, Millis{1200}, 390, 5.6);
  return Configuration;
}

} // namespace mulberryramp::bench
