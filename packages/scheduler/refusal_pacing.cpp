#include "scheduler/refusal_pacing.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// Refusals are counted over this span; users bound them over one of the same length.
constexpr Span counted_over = seconds(5);
/// The pause between probes after no refusal; each one doubles it, up to the longest.
constexpr Span pause_least = milliseconds(50), pause_most = milliseconds(2500);
/// That many refusals in the span stop probes: half of what the strictest users bear, as calls that are under
/// way may still be refused.
constexpr std::size_t refusals_most = 6;
} // namespace

void RefusalPacing::refused(Instant now) { refusals_.push_back(now); }

std::size_t RefusalPacing::recent(Instant now) {
  while (!refusals_.empty() && now - refusals_.front() >= counted_over) refusals_.pop_front();
  return refusals_.size();
}

bool RefusalPacing::may_probe(Instant now) {
  const std::size_t refusals = recent(now);
  if (refusals >= refusals_most) return false;
  const Span pause = std::min(pause_most, pause_least << refusals);
  const Instant last = refusals_.empty() ? probed_at_ : std::max(probed_at_, refusals_.back());
  if (now - last < pause) return false;
  probed_at_ = now;
  return true;
}

} // namespace wharf
