#include "scheduler/service_scaler.hpp"

#include <algorithm>
#include <cmath>

namespace wharf {

namespace {
/// Part of a runner by which the averaged demand may exceed whole runners before one more is wanted.
constexpr double rounding_tolerance = 0.05;
/// Exponents beyond this make no difference to an average.
constexpr double exponent_most = 50;

Span part_of(Span span, double part) { return static_cast<Span>(static_cast<double>(span) * part); }

std::uint32_t runners_for(std::uint32_t demand, std::uint32_t slots) { return (demand + slots - 1) / slots; }
} // namespace

void ServiceScaler::keep(std::uint32_t runners, const ServicePlan &plan, Instant now) {
  if (levels_.size() < runners) levels_.resize(runners);
  for (std::uint32_t at = 0; at < runners; ++at) {
    levels_[at].needed_at = now;
    levels_[at].credit = std::max(levels_[at].credit, plan.idle);
  }
  target_ = std::max(target_, runners);
}

void ServiceScaler::update(const ServicePlan &plan, const ServiceLoad &load, Instant now) {
  const std::uint32_t need = needed_runners(plan, load, now);
  if (need > target_ && short_since_ == 0) short_since_ = now;
  note_needed(need, plan, now);
  const std::uint32_t kept = kept_level(need, plan, now);
  target_ = std::clamp(std::min(kept, std::max(target_, need)), plan.least, plan.most);
}

std::uint32_t ServiceScaler::needed_runners(const ServicePlan &plan, const ServiceLoad &load, Instant now) {
  const std::uint32_t demand = load.taken_slots + load.pending;
  std::uint32_t need = runners_for(demand, plan.slots);
  if (plan.is_priced) need = priced_runners(plan, load, now);
  const bool is_nearly_full = demand * 5 >= need * plan.slots * 4 && demand > 0;
  if (!plan.is_priced && is_nearly_full) ++need;
  if (plan.least > 0 && !plan.is_self_bounding) need = std::max(need, 2u);
  return std::clamp(need, plan.least, plan.most);
}

std::uint32_t ServiceScaler::priced_runners(const ServicePlan &plan, const ServiceLoad &load, Instant now) {
  const std::uint32_t demand = load.taken_slots + load.pending;
  const double passed = static_cast<double>(now - averaged_at_) / static_cast<double>(options_.demand_over);
  average_demand_ += (last_demand_ - average_demand_) * (1 - std::exp(-std::min(passed, exponent_most)));
  averaged_at_ = now;
  last_demand_ = demand;
  const auto slots = static_cast<double>(plan.slots);
  const double spare = plan.must_spare ? options_.spare_deviations * std::sqrt(average_demand_) : 0;
  auto need = static_cast<std::uint32_t>(std::ceil((average_demand_ + spare) / slots - rounding_tolerance));
  const auto lanes = static_cast<Span>(std::max(1u, load.usable_runners) * plan.slots);
  const Span wait = static_cast<Span>(load.pending) * load.serve_time / lanes;
  if (wait > plan.wait_well) need = std::max(need, runners_for(demand, plan.slots));
  if (demand > 0) need = std::max(need, 1u);
  // The average lags behind: where no slots are kept free it must not keep runners that nothing uses.
  return plan.must_spare ? need : std::min(need, runners_for(demand, plan.slots));
}

void ServiceScaler::note_needed(std::uint32_t need, const ServicePlan &plan, Instant now) {
  if (levels_.size() < need) levels_.resize(need);
  for (std::uint32_t at = needed_; at < need; ++at) {
    Level &level = levels_[at];
    if (level.needed_at == 0) continue;
    const Span gap = now - level.needed_at;
    level.credit =
        std::clamp<Span>(level.credit + plan.idle - gap, 0, part_of(plan.idle, options_.keep_most));
  }
  needed_ = need;
  for (std::uint32_t at = 0; at < need; ++at) levels_[at].needed_at = now;
}

std::uint32_t ServiceScaler::kept_level(std::uint32_t need, const ServicePlan &plan, Instant now) const {
  for (auto at = static_cast<std::uint32_t>(levels_.size()); at > need; --at) {
    const Level &level = levels_[at - 1];
    if (level.needed_at != 0 && now - level.needed_at < keep_for(level, plan)) return at;
  }
  return need;
}

Span ServiceScaler::keep_for(const Level &level, const ServicePlan &plan) const {
  if (!plan.is_priced) return plan.idle;
  return std::max(level.credit, part_of(plan.idle, options_.keep_least));
}

} // namespace wharf
