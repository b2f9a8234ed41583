#pragma once
// Tokens of tenants: asks, grants, and the ledgers that owners copy.
#include <cstdint>
#include <string>
#include <vector>

#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// What a node says of one permit: tokens spent, and of these the errands that went out or ended.
struct PermitReturn {
  std::uint64_t permit = 0;
  std::uint32_t spent = 0, gone = 0;
  bool is_final = false;
  WHARF_CARRY(permit, spent, gone, is_final)
};
/// Asks a tenant's owner for tokens. Sent again with the same number until it is answered, it is granted
/// once.
struct PermitAsk {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t ask = 0;
  /// How often this ask was sent before.
  std::uint32_t attempt = 0;
  std::uint32_t want = 0;
  std::vector<PermitReturn> returns;
  WHARF_CARRY(tenant, epoch, ask, attempt, want, returns)
};
struct PermitSay {
  std::string tenant;
  std::uint64_t ask = 0, permit = 0;
  std::uint32_t tokens = 0;
  Span window = 0, retry_after = 0;
  bool is_owner = true;
  /// The attempt that was granted: the tokens' life begins when that was sent.
  std::uint32_t attempt = 0;
  WHARF_CARRY(tenant, ask, permit, tokens, window, retry_after, is_owner, attempt)
};

/// One charge a purser keeps until it is older than the quota window.
struct Charge {
  std::uint64_t permit = 0;
  NodeId node = 0;
  std::uint32_t tokens = 0, granted = 0, gone = 0;
  Span age = 0;
  bool is_open = true, is_final = false;
  /// The ledger's sequence number of the grant it comes from; 0 where several were put together.
  std::uint64_t sequence = 0;
  WHARF_CARRY(permit, node, tokens, granted, gone, age, is_open, is_final, sequence)
};
/// A tenant's ledger as it goes to a replica or a successor.
struct LedgerCopy {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t sequence = 0, next_permit = 0;
  double tokens = 0;
  std::vector<Charge> charges;
  bool is_handover = false;
  /// True when `charges` holds single charges to be added to the ledger that was sent whole before, in any
  /// order.
  bool is_delta = false;
  WHARF_CARRY(tenant, epoch, sequence, next_permit, tokens, charges, is_handover, is_delta)
};
/// What a replica holds of a ledger: of a whole one all up to `sequence`, else just the charges named.
struct LedgerAck {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> charges;
  /// True when the replica has no ledger to add charges to.
  bool needs_whole = false;
  WHARF_CARRY(tenant, epoch, sequence, charges, needs_whole)
};

} // namespace wharf
