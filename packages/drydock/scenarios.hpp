#pragma once
#include <string>
#include <vector>

#include "drydock/world.hpp"

namespace wharf {

/// One kind of failure, as deeds on a world between `from` and `until`.
struct Scenario {
  std::string name, about;
  void (*prepare)(World &world, Instant from, Instant until);
};

const std::vector<Scenario> &all_scenarios();
const Scenario *find_scenario(const std::string &name);

struct RunResult {
  Audit audit;
  std::string fingerprint, story;
  std::vector<CallRecord> calls;
  std::vector<VisitRecord> visits;
};

/// Runs one scenario with one seed in virtual time and judges it.
RunResult run_scenario(const Scenario &scenario, std::uint64_t seed, Defect defect = Defect::none);

} // namespace wharf
