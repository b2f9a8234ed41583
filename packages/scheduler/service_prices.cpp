#include "scheduler/service_prices.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// The part of its worth that a call loses when it misses its aim, and how many calls do while a runner
/// starts.
constexpr double late_share = 0.6, calls_late = 2;
/// What a start costs its caller even where it keeps the aim.
constexpr double late_least = 0.1;
constexpr Span keep_least = milliseconds(500), keep_most = seconds(30);
/// Starts take longer than usual now and then.
constexpr Span boot_margin_tenths = 14;
} // namespace

ServicePrices prices_of(std::int64_t start_thousandths, std::int64_t gigabyte_second_thousandths) {
  return {static_cast<double>(start_thousandths) / 1000,
          static_cast<double>(gigabyte_second_thousandths) / 1000};
}

void apply_prices(const ServicePrices &prices, std::uint32_t memory_mb, Span aim, ServicePlan &plan) {
  plan.is_priced = true;
  plan.wait_well = aim * 3 / 10;
  plan.must_spare = aim == 0 || plan.boot * boot_margin_tenths / 10 >= aim;
  const double second = static_cast<double>(memory_mb) / 1000 * prices.gigabyte_second;
  const double boot_s = static_cast<double>(plan.boot) / 1e9;
  const double late = plan.must_spare ? late_share * calls_late : late_least;
  const double start = prices.start + second * boot_s + late;
  plan.idle = std::clamp(static_cast<Span>(start / second * 1e9), keep_least, keep_most);
}

} // namespace wharf
