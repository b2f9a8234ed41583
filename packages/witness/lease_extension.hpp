#pragma once
// An owner's part: while it hears no leader it goes on acting as long as a majority of its node set's
// witnesses vouch that they hear none either and know of no newer node set.
#include <map>

#include "signals/signals.hpp"
#include "witness/witness_set.hpp"

namespace wharf {

/// Extends an owner's lease from the leader by grants of witnesses; a pure state machine.
///
/// A new leader lets successors act only once no majority of the witnesses can vouch for the older node set
/// any more, or once the longest extension is over, so that an owner and its successor never act at once.
class LeaseExtension {
public:
  LeaseExtension(NodeId self, WitnessOptions options) : self_(self), options_(options) {}
  /// Takes the node set in force; grants for an older one count no more.
  void set_node_set(Epoch epoch, const std::vector<NodeId> &owners);
  /// Asks the witnesses where the leader's lease is about to end or has ended; never without having had one.
  void tick(Instant lease_until, Instant now, Outbox &out);
  /// Takes a witness's answer; only grants for the node set in force by its own witnesses count.
  void take(NodeId from, const WitnessResponse &response);
  /// Until when the owner may act on its witnesses' word; 0 where no majority has vouched.
  Instant until(Instant lease_until) const;

private:
  NodeId self_;
  WitnessOptions options_;
  Epoch epoch_ = 0;
  std::vector<NodeId> witnesses_;
  /// When each witness was asked for its newest grant.
  std::map<NodeId, Instant> granted_at_;
  Instant asked_at_ = 0;
};

} // namespace wharf
