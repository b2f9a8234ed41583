#pragma once
// One run of a soak: a deployment of real processes, its stand-ins, a schedule of troubles, and the verdict.
#include <string>
#include <vector>

#include "soak/checks.hpp"
#include "soak/deployment.hpp"
#include "soak/schedule.hpp"

namespace wharf::soak {

struct RunOptions {
  std::string deployment = "small", folder, binaries;
  std::uint64_t seed = 1;
  Span length = seconds(40);
  /// Processes at most; 0 for as many as the deployment has.
  std::size_t processes_most = 0;
  /// Only restarts, hang-ups and changes: then nothing at all may be lost.
  bool is_planned_only = false;
  Bounds bounds;
};

/// What a run showed.
struct RunReport {
  std::string deployment;
  std::uint64_t seed = 0;
  bool is_planned_only = false;
  std::size_t processes = 0;
  /// Why there were no more.
  std::string processes_bound;
  std::size_t troubles = 0, troubles_left_out = 0, changes = 0, requests = 0, served = 0, refused = 0,
              runs = 0;
  std::size_t runs_refused = 0;
  double latency_p50_ms = 0, latency_p99_ms = 0;
  std::uint64_t peak_memory_kb = 0;
  /// The longest time for which the soak itself did not run.
  std::uint64_t longest_stall_ms = 0;
  /// Why the run could not be made; empty where it was.
  std::string failure;
  std::vector<Finding> findings;
  /// The schedule, a line each, and the story of each finding.
  std::vector<std::string> schedule, stories;
};

/// Names of the deployments that can be run.
std::vector<std::string> deployment_names();

/// Plays one run; the folder holds options, data and logs of all processes afterwards.
RunReport play(const Wire &wire, const RunOptions &options);

} // namespace wharf::soak
