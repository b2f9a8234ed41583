#pragma once
// Names of processes and of versions of what they agree on, and how messages list their fields.
#include <boost/serialization/version.hpp>
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

/// A message that gained a field names its version inside itself. A declaration apart from the class was once
/// left behind when the class was moved, and the field was then silently no longer sent.
template <typename Message>
concept Versioned = requires {
  Message::carried_version;
};

} // namespace wharf

namespace boost::serialization {
template <wharf::Versioned Message> struct version<Message> {
  using type = mpl::int_<Message::carried_version>;
  using tag = mpl::integral_c_tag;
  static constexpr int value = type::value;
};
} // namespace boost::serialization
