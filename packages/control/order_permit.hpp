#pragma once
// Tells threads beside the one that decides whether an order may still go to the platform.
#include <cstdint>
#include <mutex>

#include "control/platform_orders.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// The lease under which orders may be sent, told by the deciding thread and asked by the sending one.
class OrderPermit {
public:
  /// Orders of this term, and of no other, may be sent before a moment; 0 where none may be.
  void set(std::uint64_t term, Instant until) {
    const std::lock_guard guard(mutex_);
    term_ = term;
    until_ = until;
  }
  bool allows(const PlatformOrder &order, Instant now) const {
    const std::lock_guard guard(mutex_);
    return now < until_ && order.term == term_;
  }

private:
  mutable std::mutex mutex_;
  std::uint64_t term_ = 0;
  Instant until_ = 0;
};

} // namespace wharf
