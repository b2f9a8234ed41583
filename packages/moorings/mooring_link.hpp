#pragma once
// One link of an HTTP server that is watched by one duty.
#include "moorings/moorings.hpp"

namespace wharf {

enum class Berthing : std::uint8_t { parked, waiting, busy, writing, lingering };

struct Moorings::Link {
  int descriptor = -1;
  Berthing state = Berthing::parked;
  std::string bytes;
  Instant parked_at = 0, incoming_snapshot_since = 0, waiting_since = 0;
  std::size_t served = 0;
  /// How much of `bytes` the request being served has read, and how far a body in chunks has been looked at.
  std::size_t read_at = 0, chunk_at = 0;
  /// What the client has not taken yet of an answer, from `sent` on; since when, and when it last took some.
  std::string outgoing;
  std::size_t sent = 0;
  Instant answered_at = 0, progress_at = 0;
  /// What the link holds, and what the request that is served takes besides.
  MemoryCharge charge, request_charge;
  std::function<void()> on_gone;
  bool is_gone = false, may_stay = true, was_told_to_continue = false;
};

/// What a link takes besides the texts it holds, in this process and in the kernel.
constexpr std::size_t mooring_link_bytes = 4096;

} // namespace wharf
