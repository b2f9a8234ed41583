#pragma once
// Tells stalls of the soak itself from stalls of what it watches. Pure: told of the time, no clock of its
// own.
#include <algorithm>

#include "tide/tide.hpp"

namespace wharf::soak {

class StallWatch {
public:
  /// One round of the soak's loop. False after a stall of the soak itself: answers that came meanwhile lie
  /// unread in its sockets, so nothing may count as overdue before they are read.
  bool may_judge(Instant now) {
    const Span gap = last_ == 0 ? 0 : now - last_;
    last_ = now;
    longest_ = std::max(longest_, gap);
    return gap < stall_least;
  }
  Span longest() const { return longest_; }

  static constexpr Span stall_least = milliseconds(100);

private:
  Instant last_ = 0;
  Span longest_ = 0;
};

} // namespace wharf::soak
