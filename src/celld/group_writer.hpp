#pragma once

#include "mulberryramp/storage/group_store.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace mulberryramp {

/// @brief Writes and syncs batches on a separate thread, so that a slow disk
/// does not block the event loop. Only one batch may be in progress at a time.
/// A failed write is retried until it succeeds or the writer is destroyed.
class GroupWriter {
public:
  /// @brief Starts the thread; ends the process if no pipe can be created.
  /// @param Store Storage that receives the batches.
  explicit GroupWriter(GroupStore Store);
  GroupWriter(const GroupWriter &) = delete;
  GroupWriter &operator=(const GroupWriter &) = delete;
  ~GroupWriter();

  /// @brief Passes a batch to the thread. The behaviour is undefined if the
  /// completion of the previous batch has not been consumed.
  void write(PersistBatch Batch);

  /// @brief Returns the descriptor that becomes readable when a batch is
  /// synced.
  [[nodiscard]] int descriptor() const noexcept { return CompletionPipe[0]; }

  /// @brief Consumes the completion of a batch, without blocking.
  /// @return True exactly once for each synced batch.
  [[nodiscard]] bool consumeCompletion();

  /// @brief Returns the number of failed writes since the start.
  [[nodiscard]] std::uint64_t failures() const noexcept { return Failures; }

private:
  void runThread();
  void writeWithRetry(const PersistBatch &Batch);

  GroupStore Store;
  int CompletionPipe[2] = {-1, -1};
  std::mutex Mutex;
  std::condition_variable WorkAvailable;
  std::optional<PersistBatch> PendingBatch;
  bool IsStopping = false;
  std::atomic<std::uint64_t> Failures{0};
  std::thread WriterThread;
};

} // namespace mulberryramp
