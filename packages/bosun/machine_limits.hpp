#pragma once
// How a process shares out the memory and the descriptors that its machine gives it.
#include <cstddef>

#include "bosun/options.hpp"

namespace wharf {

/// Descriptors by what they are for; together they leave those that files need.
struct DescriptorShares {
  std::size_t clients = 0, calls = 0, inner = 0, readiness = 0;
};

/// The memory that this process may take, in MB.
std::size_t memory_mb_of(const ProcessOptions &options);
/// Descriptors that this process may have open: what its options say, or less where the system allows less.
std::size_t descriptors_of(const ProcessOptions &options);
DescriptorShares descriptor_shares(std::size_t descriptors);

} // namespace wharf
