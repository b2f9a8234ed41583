#pragma once
// What a process tells of its own load: counters in its log, and as text at `GET /metrics`.
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "anchorage/http.hpp"
#include "signals/signals.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// Named figures of a process at one moment.
using Metrics = std::map<std::string, std::uint64_t>;

/// Measures whether an event loop keeps up: the processor time that its process took and how late its ticks
/// ran. A loop that is over its share of the processor runs its ticks late; one that waits does not.
class LoopMeter {
public:
  /// Notes that a tick that was due at `due` ran at `now`.
  void tick_ran(Instant due, Instant now);
  /// Adds the figures: processor time and ticks since the start, the latest tick of this span, and the share
  /// of a processor taken in the span before.
  void report(Metrics &metrics) const;
  /// Ends a span of measuring and begins the next.
  void begin_span(Instant now);

private:
  std::uint64_t ticks_ = 0;
  Span latest_ = 0;
  Instant span_began_ = 0;
  std::uint64_t cpu_ms_before_ = 0, cpu_permille_ = 0;
};

/// Counts the bytes of messages to other processes by kind of message.
class TrafficMeter {
public:
  void sent(const Signal &signal, std::size_t bytes) { bytes_[signal.index()] += bytes; }
  void report(Metrics &metrics) const;

private:
  std::array<std::uint64_t, std::variant_size_v<Signal>> bytes_{};
};

/// One line of a log with every figure that is not 0.
std::string metrics_line(const Metrics &metrics);
/// One figure a line: its name, a blank and its value.
std::string metrics_text(const Metrics &metrics);

/// True for a request of the figures: `GET /metrics`.
bool asks_for_metrics(const HttpMessage &request);
/// The answer to it.
HttpMessage metrics_response(const Metrics &metrics);

} // namespace wharf
