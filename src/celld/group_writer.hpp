#pragma once

#include "mulberryramp/storage/group_store.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace mulberryramp {

/// @brief Syncs batches on a thread of its own, so that a slow disk does not
/// hold up the event loop. There is one batch at a time.
class GroupWriter {
public:
  /// @brief Starts the thread.
  /// @param Store Log and snapshot.
  explicit GroupWriter(GroupStore Store);
  GroupWriter(const GroupWriter &) = delete;
  GroupWriter &operator=(const GroupWriter &) = delete;
  ~GroupWriter();

  /// @brief Hands a batch over; undefined while one is under way.
  void write(PersistBatch Batch);

  /// @brief Reads the descriptor that becomes readable when a batch is synced.
  [[nodiscard]] int descriptor() const noexcept { return Ready[0]; }

  /// @brief Takes the news that a batch was synced.
  /// @return True once for each batch.
  [[nodiscard]] bool consumeCompletion();

  /// @brief Counts writes that failed and are tried again.
  [[nodiscard]] std::uint64_t failures() const noexcept { return Failures; }

private:
  void runThread();
  void writeWithRetry(const PersistBatch &Batch);

  GroupStore Store;
  int Ready[2] = {-1, -1};
  std::mutex Guard;
  std::condition_variable Wake;
  std::optional<PersistBatch> PendingBatch;
  bool IsStopping = false;
  std::atomic<std::uint64_t> Failures{0};
  std::thread Worker;
};

} // namespace mulberryramp
