#pragma once
// What the platform lists, the starts and stops that it is given, and what it says to them.
#include <cstdint>
#include <string>
#include <vector>

#include "control/registry.hpp"

namespace wharf {

struct WorkerSeen {
  std::string id, zone;
  std::uint32_t memory_mb = 0;
  bool is_draining = false;
};
enum class RunnerPhase : std::uint8_t { booting, ready, stopping };
struct RunnerSeen {
  std::string id, service, worker, address;
  RunnerPhase phase = RunnerPhase::booting;
};
/// What the platform listed, late as it may be.
struct PlatformView {
  std::vector<WorkerSeen> workers;
  std::vector<RunnerSeen> runners;
};
/// One start or stop for the platform.
struct PlatformOrder {
  bool is_start = true;
  RunnerRecord runner;
  std::string seal_key;
  Span grace = 0;
  /// The term of the leader that decided on it, which is its fencing token. It is not sent once that has
  /// ended.
  std::uint64_t term = 0;
};

enum class OrderEnd : std::uint8_t { done, refused, busy, unknown };
/// What the platform said to an order.
struct PlatformSay {
  std::string runner, worker;
  bool is_start = true;
  OrderEnd end = OrderEnd::unknown;
  /// Its own name for the runner and where that will listen, where it gives them at the start.
  std::string handle, address;
};

} // namespace wharf
