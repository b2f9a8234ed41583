#include "scheduler/cut_off_share.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// With fewer slots than this, a share would take a large part from all other nodes.
constexpr std::size_t slots_divided_least = 4;
} // namespace

std::uint32_t cut_off_share(const RunnerSlots &service, std::size_t place) {
  const std::size_t all = service.slots_each * service.runners;
  if (all < slots_divided_least || place >= service.runners) return 0;
  const std::size_t nodes = std::max<std::size_t>(1, service.nodes);
  const std::size_t share = std::min((all + nodes - 1) / nodes, all / 2);
  const std::size_t more = place < share % service.runners ? 1 : 0;
  return static_cast<std::uint32_t>(share / service.runners + more);
}

} // namespace wharf
