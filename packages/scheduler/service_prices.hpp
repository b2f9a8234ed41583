#pragma once
// What runners cost, and what follows from it for the plan of a service.
#include "scheduler/service_plan.hpp"

namespace wharf {

/// Prices in units of the worth of an ordinary call.
struct ServicePrices {
  double start = 0, gigabyte_second = 0;
};

/// Prices from thousandths of a call's worth, as configurations and options write them.
ServicePrices prices_of(std::int64_t start_thousandths, std::int64_t gigabyte_second_thousandths);

/// Sets how long an idle runner is worth keeping, and whether slots are kept spare, from what starts and
/// memory cost beside the worth of a call that comes too late for its aim. `plan.boot` must be known; an aim
/// of 0 is none.
void apply_prices(const ServicePrices &prices, std::uint32_t memory_mb, Span aim, ServicePlan &plan);

} // namespace wharf
