#pragma once
#include <atomic>
#include <functional>
#include <memory>
#include <variant>

#include "capstan/duty.hpp"
#include "capstan/ring.hpp"
#include "storage/log_storage.hpp"

namespace wharf {

/// What the disk's duty says: a batch is synced, a write was refused, the folder is open again.
struct DiskDone {
  std::uint64_t ticket = 0;
};
struct DiskRefused {
  std::string what;
};
struct DiskOpened {
  Recovered recovered;
};
using DiskEvent = std::variant<DiskDone, DiskRefused, DiskOpened>;

/// Writes batches to a storage on a duty of its own, several in one sync where they wait together. After a
/// refused write nothing goes to disk until the folder has been opened anew.
class DiskWorker {
public:
  /// `say` is called on the disk's own thread.
  DiskWorker(std::unique_ptr<LogStorage> storage, std::function<void(DiskEvent &&)> say);
  /// Writes what is waiting and ends.
  ~DiskWorker();
  void give(WriteBatch save) { ring_.offer(std::move(save)); }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t microseconds() const { return microseconds_; }

private:
  void run();
  bool write(const WriteBatch &save);
  std::unique_ptr<LogStorage> storage_;
  std::function<void(DiskEvent &&)> say_;
  SteadyTide tide_;
  Ring<WriteBatch> ring_{65536};
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> writes_{0}, microseconds_{0};
  Duty duty_;
};

} // namespace wharf
