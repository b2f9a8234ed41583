#pragma once
#include <string>
#include <vector>

#include "drydock/world.hpp"

namespace wharf {

/// One kind of failure, as deeds on a world between `from` and `until`.
struct Scenario {
  std::string name, about;
  void (*prepare)(World &world, Instant from, Instant until);
  /// Proper errands a run may refuse, at 60 errands a second, before it counts as bad.
  std::uint64_t refusals_most = 600;
};

/// Scenarios of single perils beside the common ones.
const std::vector<Scenario> &peril_scenarios();

const std::vector<Scenario> &all_scenarios();
const Scenario *find_scenario(const std::string &name);

struct RunResult {
  Audit audit;
  std::string fingerprint, story;
  std::vector<CallRecord> calls;
  std::vector<VisitRecord> visits;
};

/// Runs one scenario with one seed in virtual time and judges it.
RunResult run_scenario(const Scenario &scenario, std::uint64_t seed, Defect defect = Defect::none,
                       const WorldShape &shape = {});

} // namespace wharf
