#include "witness/witness_set.hpp"

namespace wharf {

namespace {
constexpr std::size_t witnesses_least = 3, witnesses_most = 9;
constexpr std::uint64_t witness_salt = 37;
} // namespace

std::vector<NodeId> witnesses_of(const std::vector<NodeId> &owners) {
  if (owners.size() < witnesses_least) return {};
  std::vector<NodeId> ranked = rank_nodes(owners, "witness", witness_salt);
  if (ranked.size() > witnesses_most) ranked.resize(witnesses_most);
  return ranked;
}

} // namespace wharf
