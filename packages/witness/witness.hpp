#pragma once
// A witness's part: it vouches for the node set of an owner that has lost its leader, and can tell a new
// leader for how long what it vouched for still holds.
#include "signals/witness_messages.hpp"
#include "witness/witness_set.hpp"

namespace wharf {

/// Answers owners that ask this node to vouch for their node set.
class Witness {
public:
  explicit Witness(WitnessOptions options) : options_(options) {}
  /// Grants unless this node hears a leader, which then decides, or knows of a newer node set than the asker.
  WitnessResponse answer(const WitnessRequest &request, Epoch known_epoch, bool hears_leader, Instant now);
  /// For how long an owner may go on relying on a grant of this node; 0 where none can.
  Span granted_for(Instant now) const { return std::max<Span>(0, granted_until_ - now); }
  /// Grants given since the process began.
  std::uint64_t grants() const { return grants_; }

private:
  WitnessOptions options_;
  Instant granted_until_ = 0;
  std::uint64_t grants_ = 0;
};

} // namespace wharf
