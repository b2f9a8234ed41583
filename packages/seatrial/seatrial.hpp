#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "soundings/soundings.hpp"

namespace wharf {

/// What there is to run runners on.
struct Yard {
  bool is_known = false;
  std::uint64_t memory_mb = 0, largest_worker_mb = 0;
  std::map<std::string, std::uint32_t> runners;
  double pace = 80;
};

/// What a manifest would mean for one tenant, over the measured mix.
struct TenantForecast {
  double per_second = 0, refused_percent = 0, unruled_percent = 0, over_quota_percent = 0;
};

/// What it would mean for one service.
struct ServiceForecast {
  double per_second = 0, busy = 0, refused_percent = 0;
  std::uint32_t runners = 0, started = 0;
};

struct Forecast {
  std::map<std::string, TenantForecast> tenants;
  std::map<std::string, ServiceForecast> services;
  std::uint64_t memory_mb = 0;
  std::uint32_t starts = 0;
  double starts_s = 0;
};

/// One declared bound that a change would break, with the number that breaks it.
struct Breach {
  std::string what;
  double figure = 0, bound = 0;
};

/// A change tried over the measured mix: what would be, beside what is, and whether it may be taken.
struct Trial {
  bool is_measured = false, has_yard = false;
  std::uint64_t errands = 0;
  Forecast next, now;
  std::vector<Breach> breaches;
};

/// What a charter would do with the measured mix.
Forecast forecast(const Charter &charter, const Measured &measured, const Yard &yard);

/// Tries a change. Tighter allowances and withdrawn keys are foretold but never stand in its way.
Trial try_change(const Charter *now, const Charter &next, const Measured &measured, const Yard &yard);

/// The trial as operators read it, as a JSON object.
std::string trial_json(const Trial &trial);

} // namespace wharf
