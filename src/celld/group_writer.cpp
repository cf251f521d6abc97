#include "celld/group_writer.hpp"

#include <glog/logging.h>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mulberryramp {

namespace {

/// Time between attempts of a write that fails, for example on a full disk.
constexpr std::chrono::milliseconds RetryInterval{300};

} // namespace

GroupWriter::GroupWriter(GroupStore Store) : Store{std::move(Store)} {
  if (::pipe2(CompletionPipe, O_NONBLOCK | O_CLOEXEC) != 0) {
    LOG(FATAL) << "cannot create the pipe of the storage thread";
  }
  WriterThread = std::thread{[this] { runThread(); }};
}

GroupWriter::~GroupWriter() {
  {
    const std::lock_guard Lock{Mutex};
    IsStopping = true;
  }
  WorkAvailable.notify_one();
  WriterThread.join();
  ::close(CompletionPipe[0]);
  ::close(CompletionPipe[1]);
}

void GroupWriter::write(PersistBatch Batch) {
  {
    const std::lock_guard Lock{Mutex};
    PendingBatch = std::move(Batch);
  }
  WorkAvailable.notify_one();
}

bool GroupWriter::consumeCompletion() {
  char Byte = 0;
  return ::read(CompletionPipe[0], &Byte, 1) == 1;
}

void GroupWriter::runThread() {
  while (true) {
    std::optional<PersistBatch> Batch;
    {
      std::unique_lock Lock{Mutex};
      WorkAvailable.wait(Lock, [this] { return IsStopping || PendingBatch; });
      if (IsStopping) {
        return;
      }
      Batch = std::exchange(PendingBatch, std::nullopt);
    }
    writeWithRetry(*Batch);
    const char Byte = 1;
    if (::write(CompletionPipe[1], &Byte, 1) != 1) {
      LOG(ERROR) << "cannot signal the completion of a write to the event loop";
    }
  }
}

void GroupWriter::writeWithRetry(const PersistBatch &Batch) {
  while (true) {
    const auto Written = Store.write(Batch);
    if (Written) {
      return;
    }
    if (Failures.fetch_add(1) == 0) {
      LOG(ERROR) << "storage write failed, retrying: " << Written.error().Text;
    }
    std::unique_lock Lock{Mutex};
    if (WorkAvailable.wait_for(Lock, RetryInterval,
                               [this] { return IsStopping; })) {
      return;
    }
  }
}

} // namespace mulberryramp
