#pragma once
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

#include "tide/tide.hpp"

namespace wharf {

/// A bounded ring that joins two duties. Offering to a full ring fails at once.
template <typename Item> class Ring {
public:
  explicit Ring(std::size_t limit) : limit_(limit) {}

  /// Puts one item in; false when the ring is full or closed.
  bool offer(Item item) {
    {
      std::lock_guard guard(mutex_);
      if (closed_ || items_.size() >= limit_) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Takes all that is there, waiting at most `patience`; false once closed and empty.
  bool drain(std::deque<Item> &into, Span patience) {
    std::unique_lock guard(mutex_);
    ready_.wait_for(guard, std::chrono::nanoseconds(patience), [this] { return closed_ || !items_.empty(); });
    into.swap(items_);
    items_.clear();
    return !(closed_ && into.empty());
  }

  /// Wakes the taker; nothing more goes in.
  void close() {
    {
      std::lock_guard guard(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Item> items_;
  std::size_t limit_;
  bool closed_ = false;
};

} // namespace wharf
