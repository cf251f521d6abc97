#include "celld/group_writer.hpp"

#include <glog/logging.h>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mulberryramp {

namespace {

/// Between tries of a write that failed, as on a full disk.
constexpr std::chrono::milliseconds RetryEvery{300};

} // namespace

GroupWriter::GroupWriter(GroupStore Store) : Store{std::move(Store)} {
  if (::pipe2(Ready, O_NONBLOCK | O_CLOEXEC) != 0) {
    LOG(FATAL) << "no pipe for the storage thread";
  }
  Worker = std::thread{[this] { runThread(); }};
}

GroupWriter::~GroupWriter() {
  {
    const std::lock_guard Lock{Guard};
    IsStopping = true;
  }
  Wake.notify_one();
  Worker.join();
  ::close(Ready[0]);
  ::close(Ready[1]);
}

void GroupWriter::write(PersistBatch Batch) {
  {
    const std::lock_guard Lock{Guard};
    PendingBatch = std::move(Batch);
  }
  Wake.notify_one();
}

bool GroupWriter::consumeCompletion() {
  char Byte = 0;
  return ::read(Ready[0], &Byte, 1) == 1;
}

void GroupWriter::runThread() {
  while (true) {
    std::optional<PersistBatch> Batch;
    {
      std::unique_lock Lock{Guard};
      Wake.wait(Lock, [this] { return IsStopping || PendingBatch; });
      if (IsStopping) {
        return;
      }
      Batch = std::exchange(PendingBatch, std::nullopt);
    }
    writeWithRetry(*Batch);
    const char Byte = 1;
    if (::write(Ready[1], &Byte, 1) != 1) {
      LOG(ERROR) << "cannot wake the event loop";
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
      LOG(ERROR) << "storage failed, trying again: " << Written.error().Text;
    }
    std::unique_lock Lock{Guard};
    if (Wake.wait_for(Lock, RetryEvery, [this] { return IsStopping; })) {
      return;
    }
  }
}

} // namespace mulberryramp
