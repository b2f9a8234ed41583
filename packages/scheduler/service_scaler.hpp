#pragma once
// How many runners a service should have, by the load that its owner sees.
#include <cstdint>
#include <vector>

#include "scheduler/service_plan.hpp"

namespace wharf {

struct ScalerOptions {
  /// The time over which a priced service's demand is averaged, and how many of its own deviations are kept
  /// free above that average where a start is slow.
  Span demand_over = seconds(1);
  double spare_deviations = 0.5;
  /// The least and the most that an idle level of a priced service is kept, in parts of the plan's idle time.
  double keep_least = 0.2, keep_most = 2;
};

/// What a service's owner sees of its load at one moment.
struct ServiceLoad {
  std::uint32_t taken_slots = 0, pending = 0, usable_runners = 0;
  /// What a request is expected to occupy a slot for.
  Span serve_time = 0;
};

/// Works out the number of runners of one service; a pure state machine. It raises the number at once and
/// lowers it only after a level (the n-th runner) has not been needed for the plan's idle time. It knows no
/// runners and starts none.
class ServiceScaler {
public:
  ServiceScaler() = default;
  explicit ServiceScaler(ScalerOptions options) : options_(options) {}

  /// The number of runners to have.
  std::uint32_t target() const { return target_; }
  /// Takes this many runners as needed now and worth their idle time, as a successor that finds them does not
  /// know how many are, nor how often.
  void keep(std::uint32_t runners, const ServicePlan &plan, Instant now);
  /// Takes the load of the moment into account.
  void update(const ServicePlan &plan, const ServiceLoad &load, Instant now);
  /// Since when more runners have been needed than were the target; 0 when none are missing.
  Instant short_since() const { return short_since_; }
  /// A runner that was missing has come.
  void runner_came() { short_since_ = 0; }

private:
  /// For a number of runners: when that many were last needed, and what keeping them idle has been worth:
  /// each gap between two needs adds by how much it was shorter than the plan's idle time, where a start
  /// would have cost as much, or takes away by how much it was longer.
  struct Level {
    Instant needed_at = 0;
    Span credit = 0;
  };
  std::uint32_t needed_runners(const ServicePlan &plan, const ServiceLoad &load, Instant now);
  /// Runners a priced service needs, by its averaged demand and by how long requests would wait.
  std::uint32_t priced_runners(const ServicePlan &plan, const ServiceLoad &load, Instant now);
  void note_needed(std::uint32_t need, const ServicePlan &plan, Instant now);
  /// The highest level that is needed now or was so not long ago.
  std::uint32_t kept_level(std::uint32_t need, const ServicePlan &plan, Instant now) const;
  /// How long a level that is not needed is kept.
  Span keep_for(const Level &level, const ServicePlan &plan) const;

  ScalerOptions options_;
  std::uint32_t target_ = 0, needed_ = 0;
  std::vector<Level> levels_;
  Instant short_since_ = 0, averaged_at_ = 0;
  double average_demand_ = 0;
  std::uint32_t last_demand_ = 0;
};

} // namespace wharf
