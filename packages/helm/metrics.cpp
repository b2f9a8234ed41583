#include "helm/metrics.hpp"

#include <algorithm>
#include <ctime>

namespace wharf {

namespace {
std::uint64_t process_cpu_ms() {
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<std::uint64_t>(used.tv_sec) * 1000 +
         static_cast<std::uint64_t>(used.tv_nsec) / 1'000'000;
}
} // namespace

void LoopMeter::tick_ran(Instant due, Instant now) {
  ++ticks_;
  if (due != 0) latest_ = std::max(latest_, now - due);
}

void LoopMeter::report(Metrics &metrics) const {
  metrics["cpu_ms"] = process_cpu_ms();
  metrics["cpu_permille"] = cpu_permille_;
  metrics["ticks"] = ticks_;
  metrics["tick_late_ms"] = static_cast<std::uint64_t>(latest_ / 1'000'000);
}

void LoopMeter::begin_span(Instant now) {
  const std::uint64_t cpu_ms = process_cpu_ms();
  const Span span = now - span_began_;
  if (span_began_ != 0 && span > 0)
    cpu_permille_ = (cpu_ms - cpu_ms_before_) * 1'000'000'000 / static_cast<std::uint64_t>(span);
  span_began_ = now;
  cpu_ms_before_ = cpu_ms;
  latest_ = 0;
}

void TrafficMeter::report(Metrics &metrics) const {
  for (std::size_t kind = 0; kind < bytes_.size(); ++kind)
    metrics["bytes_" + std::string(signal_name_at(kind))] = bytes_[kind];
}

std::string metrics_line(const Metrics &metrics) {
  std::string line = "counters";
  for (const auto &[name, value] : metrics)
    if (value != 0) line += " " + name + "=" + std::to_string(value);
  return line;
}

std::string metrics_text(const Metrics &metrics) {
  std::string text;
  for (const auto &[name, value] : metrics) text += name + " " + std::to_string(value) + "\n";
  return text;
}

bool asks_for_metrics(const HttpMessage &request) {
  return request.method == "GET" && request.target == "/metrics";
}

HttpMessage metrics_response(const Metrics &metrics) {
  HttpMessage response;
  response.status = 200;
  response.set("Content-Type", "text/plain; charset=utf-8");
  response.body = metrics_text(metrics);
  return response;
}

} // namespace wharf
