#pragma once
// Log lines that record calls and runners one by one, so that the decisions of the scaler can be judged after
// a run. Written only where the log level is debug or trace; read by the program `hindsight`.
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "tide/tide.hpp"

namespace wharf {

/// One call at the edge node that took it, told when it ended.
struct CallTrace {
  std::string service, outcome, runner;
  /// From its arrival until it went to a runner, or until its end when it never did.
  Span waited = 0;
  /// From then until its end; 0 when it went to no runner.
  Span worked = 0;
};

enum class RunnerChange : std::uint8_t { started, stopped, gone };

/// What the leader of the control group did with a runner or learned of it.
struct RunnerTrace {
  RunnerChange change = RunnerChange::started;
  std::string runner, service;
  std::uint32_t memory_mb = 0, slots = 0;
};

using Trace = std::variant<std::monostate, CallTrace, RunnerTrace>;

std::string trace_line(const CallTrace &call);
std::string trace_line(const RunnerTrace &runner);
/// Reads a line of the log, whatever stands before the record; monostate for all other lines.
Trace read_trace(std::string_view line);

} // namespace wharf
