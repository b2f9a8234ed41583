#pragma once
// Names of processes and of versions of what they agree on, and how messages list their fields.
#include <cstdint>

namespace wharf {

using NodeId = std::uint64_t;
using Epoch = std::uint64_t;
using Version = std::uint64_t;

#define WHARF_CARRY(...)                                                                                     \
  template <typename Archive> void serialize(Archive &archive, unsigned) {                                   \
    wharf::carry(archive, __VA_ARGS__);                                                                      \
  }

template <typename Archive, typename... Parts> void carry(Archive &archive, Parts &...parts) {
  (void)(archive & ... & parts);
}

} // namespace wharf
