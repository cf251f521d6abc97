#pragma once

#include "mulberryramp/cell/organisation_shares.hpp"
#include "mulberryramp/cell/pending_steps.hpp"
#include "mulberryramp/cell/schedulable_workers.hpp"

#include <functional>
#include <queue>
#include <vector>

/// @file
/// @brief Order in which a planning pass works on the ready steps of several
/// organisations.

namespace mulberryramp {

/// @brief Yields ready steps one after another.
///
/// The classes of steps (excess, far overdue, priority) come in the order of
/// `PendingStep`. Within a class, the next step is that of the organisation
/// with the lowest weighted dominant share at that time. What the pass assigned
/// to the steps before counts. The steps of one organisation keep the order of
/// `PendingStep`.
class StepOrder {
public:
  /// @param Steps Steps in the order of `PendingStep`; kept by reference.
  /// @param Uses Use of the organisation of each step, by index in `Steps`.
  /// @param Total Capacity of the schedulable workers.
  StepOrder(const std::vector<PendingStep> &Steps,
            std::vector<OrganisationUse *> Uses, const Resources &Total);

  /// @brief Returns the index of the next step, or the number of steps if there
  /// is none. The shares are read again.
  [[nodiscard]] std::size_t next();

private:
  /// Steps of one organisation in the current class.
  struct Lane {
    OrganisationUse *Use = nullptr;
    std::vector<std::size_t> Steps;
    std::size_t Position = 0;
  };
  struct Turn {
    double Share = 0;
    std::size_t Step = 0; ///< Equal shares: the earlier step comes first.
    std::size_t Lane = 0;

    bool operator>(const Turn &Other) const {
      return std::tie(Share, Step) > std::tie(Other.Share, Other.Step);
    }
  };

  void openClass();
  void enqueue(std::size_t LaneIndex);

  const std::vector<PendingStep> &Steps;
  std::vector<OrganisationUse *> Uses;
  Resources Total;
  std::size_t ClassEnd = 0; ///< Index of the first step of the next class.
  std::vector<Lane> Lanes;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  /// Lane of the step that was returned last, until its share is read again.
  std::size_t LastLane = 0;
  bool HasLast = false;
};

/// @brief Tells whether the unassigned tasks of steps need about as much as the
/// workers of a pool have left, or more.
[[nodiscard]] bool isContended(const CellState &State,
                               const SchedulableWorkers &Workers,
                               const std::vector<PendingStep> &Ready);

/// @brief Visits steps in planning order: in the order of their organisations'
/// shares while a pool is contended, otherwise in the order of `PendingStep`.
///
/// Without organisations in the configuration the visitor gets no use, and
/// nothing is computed. Otherwise it updates the use that it gets, and the use
/// after the last step is stored in the dispatch state.
/// @param Ready Steps in the order of `PendingStep`.
void forEachInOrder(
    DispatchState &Dispatch, const CellState &State,
    const SchedulableWorkers &Workers, const std::vector<PendingStep> &Ready,
    Instant Now,
    const std::function<void(const PendingStep &, OrganisationUse *)> &Visit);

} // namespace mulberryramp
