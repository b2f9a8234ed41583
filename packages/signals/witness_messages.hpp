#pragma once
// Between an owner whose lease runs out and the witnesses of its node set.
#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// An owner asks a witness to vouch for the node set by which it owns.
struct WitnessRequest {
  Epoch epoch = 0;
  /// By the asker's clock; told back in the response.
  Instant sent_at = 0;
  WHARF_CARRY(epoch, sent_at)
};

/// Granted where the witness hears no leader and knows of no newer node set.
struct WitnessResponse {
  Epoch epoch = 0;
  Instant sent_at = 0;
  bool is_granted = false;
  WHARF_CARRY(epoch, sent_at, is_granted)
};

} // namespace wharf
