#pragma once
// Judges the scaler after a run: what the runners of each service cost, the least that a decider who knew
// every arrival could have paid, and what the scaler's present rules would pay on the same arrivals. It
// decides nothing; the daemons don't use it.
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "scheduler/service_prices.hpp"
#include "scheduler/service_scaler.hpp"

namespace wharf::hindsight {

/// A call that was sent to a runner.
struct Call {
  Instant arrived = 0;
  Span work = 0;
};

struct RunnerLife {
  Instant from = 0, to = 0;
  bool was_used = false;
};

/// What a run recorded of one service.
struct History {
  std::uint32_t memory_mb = 0, slots = 1;
  /// In order of arrival.
  std::vector<Call> calls;
  std::vector<RunnerLife> runners;
};

struct Recording {
  std::map<std::string, History> services;
  Instant from = 0, until = 0;
};

/// What is known of all services with the same number of slots.
struct ServiceClass {
  std::uint32_t slots = 1;
  Span boot = 0, aim = 0;
};

/// Memory and starts; `late` counts calls that missed their aim by waiting.
struct Cost {
  double gigabyte_seconds = 0;
  std::size_t starts = 0, unused = 0, late = 0, calls = 0;
  /// In units of the worth of an ordinary call.
  double price(const ServicePrices &prices) const {
    return gigabyte_seconds * prices.gigabyte_second + static_cast<double>(starts) * prices.start;
  }
  Cost &operator+=(const Cost &other);
};

/// Reads the traces out of a log. Each line begins with the time in seconds, as collectors of logs write it;
/// all lines are taken in any order.
Recording read_recording(std::istream &log);

/// What the runners of a service cost.
Cost actual_cost(const History &history);
/// The least that any decider could pay who serves each call as it arrives and starts runners ahead of need:
/// for each number of runners, what lies between two needs is bridged where keeping is cheaper than a start.
/// One who lets calls wait for each other may pay less still.
Cost least_cost(const History &history, Span boot, const ServicePrices &prices);
/// What the scaler would pay by a plan, on runners that start in `plan.boot` after `start_delay`.
Cost scaler_cost(const History &history, const ServicePlan &plan, ScalerOptions options, Span aim,
                 Span start_delay, Instant from, Instant until);

} // namespace wharf::hindsight
