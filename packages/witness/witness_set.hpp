#pragma once
// The witnesses of a node set: a fixed few of its owners, found alike by every process that knows the node
// set.
#include <vector>

#include "signals/placement_messages.hpp"

namespace wharf {

/// Spans by which an owner, its witnesses and the leader reckon; alike in all processes.
struct WitnessOptions {
  /// How long one grant of a witness holds, from the moment at which it was asked for.
  Span grant = seconds(1);
  /// What clocks may run apart in that time; added where the other side's clock counts.
  Span drift = milliseconds(100);
  /// How long after the end of its lease an owner may act on its witnesses at most.
  Span extension_most = seconds(20);
  /// How long before the end of its lease an owner begins to ask, and how often it asks.
  Span ask_ahead = milliseconds(1200), ask_every = milliseconds(250);
};

/// The witnesses among the owners of a node set; none where there are too few for a majority to mean
/// anything.
std::vector<NodeId> witnesses_of(const std::vector<NodeId> &owners);

/// How many of so many witnesses must vouch.
constexpr std::size_t witness_majority(std::size_t witnesses) { return witnesses / 2 + 1; }

} // namespace wharf
