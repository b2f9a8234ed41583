#pragma once
// Whether a request has arrived whole, told from its bytes before anything is parsed.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "memory/memory_account.hpp"
#include "tide/tide.hpp"

namespace wharf {

struct MooringOptions {
  /// Requests served at the same time, and whole ones that may wait for a thread.
  std::size_t threads = 192, waiting_most = 64;
  Span waiting_within = seconds(1);
  /// Links kept, whether idle or not, and what they may have sent without being served.
  std::size_t links_most = 4096, head_most = 65536, body_most = 16u << 20, bytes_most = 128u << 20;
  /// How long a link may be idle, and how long a request may take to arrive.
  Span idle = seconds(20), arrive_within = seconds(8), write_within = seconds(10);
  std::size_t served_most = 100'000;
  /// What links and the requests being served hold is counted here; without an account nothing is.
  MemoryAccount *memory = nullptr;
};

/// What a request's head says of its length: not whole yet, or how many bytes it has in all.
enum class Arrival : std::uint8_t { partial, whole };

/// Whether the bytes hold a whole request. Doubtful ones count as whole: the library refuses them. `chunk_at`
/// keeps how far a body in chunks has been looked at, between calls for the same request; 0 at first.
Arrival arrival_of(std::string_view bytes, const MooringOptions &options, std::size_t &chunk_at);
inline Arrival arrival_of(std::string_view bytes, const MooringOptions &options) {
  std::size_t chunk_at = 0;
  return arrival_of(bytes, options, chunk_at);
}
/// True for a head that is there and asks to be told before its body is sent.
bool asks_to_continue(std::string_view bytes);
/// What serving a whole request takes besides the bytes that hold it: all copies of its body and headers.
std::size_t bytes_to_serve(std::string_view bytes);

} // namespace wharf
