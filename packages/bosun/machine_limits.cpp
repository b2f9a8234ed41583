#include "bosun/machine_limits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace wharf {

namespace {
constexpr std::size_t memory_mb_unnamed = 256, descriptors_unnamed = 4096;
/// Files, logs and the loop's own, where there are many; never more than a quarter.
constexpr std::size_t for_files = 200;
} // namespace

std::size_t memory_mb_of(const ProcessOptions &options) {
  const std::size_t named = thousandths_of(options.memory_mb) / 1000;
  return named > 0 ? named : memory_mb_unnamed;
}

std::size_t descriptors_of(const ProcessOptions &options) {
  rlimit allowed{};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY;
  const std::size_t named = thousandths_of(options.fd_limit) / 1000;
  const std::size_t wanted = named > 0 ? named : descriptors_unnamed;
  return is_known ? std::min<std::size_t>(wanted, allowed.rlim_cur) : wanted;
}

DescriptorShares descriptor_shares(std::size_t descriptors) {
  const std::size_t rest = descriptors - std::min(for_files, descriptors / 4);
  return {rest / 2, rest / 4, rest / 5, rest / 20};
}

} // namespace wharf
