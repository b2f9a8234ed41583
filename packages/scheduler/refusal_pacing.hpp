#pragma once
// How soon slots are tried again that a runner's refusals have shown to be taken by calls the owner does not
// know of. Pure: told of refusals, asked for probes, no clock of its own.
#include <deque>

#include "tide/tide.hpp"

namespace wharf {

/// Paces probes of one service's runners: each refusal of the last seconds doubles the pause before the next
/// slot in doubt is given away, and many of them stop probes altogether until they are past.
class RefusalPacing {
public:
  /// A runner of the service turned a call away.
  void refused(Instant now);
  /// True where one slot in doubt may be given away now; that probe is counted.
  bool may_probe(Instant now);
  /// Refusals within the span over which they are counted.
  std::size_t recent(Instant now);

private:
  std::deque<Instant> refusals_;
  Instant probed_at_ = 0;
};

} // namespace wharf
