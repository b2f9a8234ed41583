#pragma once
#include <algorithm>

#include "tide/tide.hpp"

namespace wharf {

/// When to repeat a message that has not been answered: after `first`, then after twice as long each time, up
/// to `most`. A receiver that is merely slow must not get more to do each time it is late.
class Backoff {
public:
  Backoff() = default;
  Backoff(Span first, Span most) : first_(first), most_(most) {}
  /// True when the message should be sent, for the first time or again.
  bool is_due(Instant now) const { return now >= due_at_; }
  /// Notes that the message was sent.
  void sent(Instant now) {
    wait_ = wait_ == 0 ? first_ : std::min(wait_ * 2, most_);
    due_at_ = now + wait_;
  }
  /// Begins anew: the message is due now, as it goes to another receiver or is another one.
  void restart() { wait_ = due_at_ = 0; }
  /// Notes a sign of life: the message is due after `wait`, and the pauses begin anew.
  void answered(Instant now, Span wait) {
    wait_ = 0;
    due_at_ = now + wait;
  }

private:
  Span first_ = 0, most_ = 0, wait_ = 0;
  Instant due_at_ = 0;
};

} // namespace wharf
