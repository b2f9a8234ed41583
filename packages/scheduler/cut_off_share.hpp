#pragma once
// Which slots of a service's runners an owner that is cut off from all other nodes may go on granting. It and
// its successor work them out alike and without a word to each other: the one keeps to them, the other leaves
// them free, so that no runner is given more than it may run at once.
#include <cstddef>
#include <cstdint>

namespace wharf {

/// A service's runners as both owners know them.
struct RunnerSlots {
  std::uint32_t slots_each = 1;
  std::size_t runners = 0;
  /// Nodes of the node set in which the cut-off owner owned the service.
  std::size_t nodes = 1;
};

/// Slots of the runner at a place in the order of names that a cut-off owner may grant: an even share of one
/// node, at most half of all, and nothing where there are too few to divide.
std::uint32_t cut_off_share(const RunnerSlots &service, std::size_t place);

} // namespace wharf
