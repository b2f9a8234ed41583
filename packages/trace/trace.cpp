#include "trace/trace.hpp"

#include <array>
#include <charconv>

namespace wharf {

namespace {
constexpr std::string_view call_mark = "trace-call ", runner_mark = "trace-runner ";
constexpr std::array<std::string_view, 3> change_names{"started", "stopped", "gone"};

std::string_view field(std::string_view text, std::string_view name) {
  const std::string marked = " " + std::string(name) + "=";
  const std::size_t at = text.find(marked);
  if (at == std::string_view::npos) return {};
  const std::string_view value = text.substr(at + marked.size());
  return value.substr(0, value.find_first_of(" \r\n"));
}

std::int64_t number(std::string_view text, std::string_view name) {
  const std::string_view value = field(text, name);
  std::int64_t read = 0;
  std::from_chars(value.data(), value.data() + value.size(), read);
  return read;
}

constexpr std::int64_t microsecond = 1'000;
} // namespace

std::string trace_line(const CallTrace &call) {
  return std::string(call_mark) + "service=" + call.service +
         " waited_us=" + std::to_string(call.waited / microsecond) +
         " worked_us=" + std::to_string(call.worked / microsecond) + " outcome=" + call.outcome +
         " runner=" + call.runner;
}

std::string trace_line(const RunnerTrace &runner) {
  return std::string(runner_mark) +
         "change=" + std::string(change_names[static_cast<std::size_t>(runner.change)]) +
         " runner=" + runner.runner + " service=" + runner.service +
         " memory_mb=" + std::to_string(runner.memory_mb) + " slots=" + std::to_string(runner.slots);
}

Trace read_trace(std::string_view line) {
  if (const std::size_t at = line.find(call_mark); at != std::string_view::npos) {
    // The blank before the first field stays, as every field begins with one.
    const std::string_view text = line.substr(at + call_mark.size() - 1);
    CallTrace call;
    call.service = field(text, "service");
    call.outcome = field(text, "outcome");
    call.runner = field(text, "runner");
    call.waited = number(text, "waited_us") * microsecond;
    call.worked = number(text, "worked_us") * microsecond;
    return call;
  }
  const std::size_t at = line.find(runner_mark);
  if (at == std::string_view::npos) return std::monostate{};
  const std::string_view text = line.substr(at + runner_mark.size() - 1);
  RunnerTrace runner;
  const std::string_view change = field(text, "change");
  for (std::size_t index = 0; index < change_names.size(); ++index)
    if (change_names[index] == change) runner.change = static_cast<RunnerChange>(index);
  runner.runner = field(text, "runner");
  runner.service = field(text, "service");
  runner.memory_mb = static_cast<std::uint32_t>(number(text, "memory_mb"));
  runner.slots = static_cast<std::uint32_t>(number(text, "slots"));
  return runner;
}

} // namespace wharf
