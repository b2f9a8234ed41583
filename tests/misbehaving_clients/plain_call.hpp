#pragma once
// One HTTP exchange of an ordinary client over a connection of its own.
#include <cstddef>
#include <functional>
#include <string>

#include "anchorage/http.hpp"

namespace wharf {

/// How an ordinary client reads: `piece` bytes at a time, with a pause before each.
struct ReadingPace {
  std::size_t piece = 65536;
  int pause_ms = 0;
  /// How long it waits for the next byte before it gives up, in milliseconds.
  int patience_ms = 10'000;
  /// The size of its receive buffer in bytes; 0 for the system's.
  int receive_buffer = 0;
};

/// Sends a request and reads the answer; its status is 0 when the connection ended without a whole one.
HttpMessage call_once(const std::string &address, const HttpMessage &request, const ReadingPace &pace = {});

/// Sends a request as an ordinary client does that comes back, until `is_served` or `seconds` are over.
HttpMessage call_until(const std::string &address, const std::function<HttpMessage()> &make_request,
                       const std::function<bool(const HttpMessage &)> &is_served, double seconds);

} // namespace wharf
