#include "hindsight/hindsight.hpp"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <unordered_map>

#include "trace/trace.hpp"

namespace wharf::hindsight {

namespace {
double gigabytes(const History &history) { return static_cast<double>(history.memory_mb) / 1000; }

/// A change of the number of calls that run at once.
struct Step {
  Instant at = 0;
  int change = 0;
  bool operator<(const Step &other) const { return at != other.at ? at < other.at : change < other.change; }
};

std::vector<Step> steps_of(const History &history) {
  std::vector<Step> steps;
  for (const Call &call : history.calls) {
    steps.push_back({call.arrived, 1});
    steps.push_back({call.arrived + call.work, -1});
  }
  std::sort(steps.begin(), steps.end());
  return steps;
}
} // namespace

Cost &Cost::operator+=(const Cost &other) {
  gigabyte_seconds += other.gigabyte_seconds;
  starts += other.starts;
  unused += other.unused;
  late += other.late;
  calls += other.calls;
  return *this;
}

Recording read_recording(std::istream &log) {
  Recording recording;
  std::set<std::string> used;
  struct Life {
    std::string service;
    RunnerLife life;
  };
  std::unordered_map<std::string, Life> lives;
  std::string line;
  bool is_first = true;
  while (std::getline(log, line)) {
    const Trace trace = read_trace(line);
    if (std::holds_alternative<std::monostate>(trace)) continue;
    const auto at = static_cast<Instant>(std::strtod(line.c_str(), nullptr) * 1e9);
    recording.from = is_first ? at : std::min(recording.from, at);
    recording.until = is_first ? at : std::max(recording.until, at);
    is_first = false;
    if (const auto *call = std::get_if<CallTrace>(&trace)) {
      if (call->worked == 0) continue;
      recording.services[call->service].calls.push_back({at - call->waited - call->worked, call->worked});
      used.insert(call->runner);
    } else if (const auto *runner = std::get_if<RunnerTrace>(&trace)) {
      History &history = recording.services[runner->service];
      history.memory_mb = runner->memory_mb;
      history.slots = std::max(1u, runner->slots);
      // A start may be told more than once, by one leader after another; the first end counts.
      Life &known = lives.try_emplace(runner->runner, Life{runner->service, {at, 0, false}}).first->second;
      if (runner->change == RunnerChange::started)
        known.life.from = std::min(known.life.from, at);
      else
        known.life.to = known.life.to == 0 ? at : std::min(known.life.to, at);
    }
  }
  for (auto &[name, history] : recording.services)
    std::sort(history.calls.begin(), history.calls.end(),
              [](const Call &left, const Call &right) { return left.arrived < right.arrived; });
  for (auto &[runner, known] : lives) {
    if (known.life.to == 0) known.life.to = recording.until;
    known.life.was_used = used.contains(runner);
    recording.services[known.service].runners.push_back(known.life);
  }
  return recording;
}

Cost actual_cost(const History &history) {
  Cost cost;
  cost.calls = history.calls.size();
  for (const RunnerLife &life : history.runners) {
    cost.gigabyte_seconds += gigabytes(history) * static_cast<double>(life.to - life.from) / 1e9;
    ++cost.starts;
    cost.unused += life.was_used ? 0 : 1;
  }
  return cost;
}

Cost least_cost(const History &history, Span boot, const ServicePrices &prices) {
  Cost cost;
  cost.calls = history.calls.size();
  Span held = 0;
  /// When the n-th runner was last let go by the calls; 0 when it never ran.
  std::vector<Instant> free_since;
  std::size_t needed = 0, running = 0;
  Instant last = 0;
  const double second = gigabytes(history) * prices.gigabyte_second;
  const double start = prices.start + second * static_cast<double>(boot) / 1e9;
  for (const Step &step : steps_of(history)) {
    held += static_cast<Span>(needed) * (step.at - last);
    last = step.at;
    running = step.change > 0 ? running + 1 : running - 1;
    const std::size_t next = (running + history.slots - 1) / history.slots;
    if (free_since.size() < next) free_since.resize(next);
    for (std::size_t at = needed; at < next; ++at) {
      const Span gap = step.at - free_since[at];
      const bool is_kept = free_since[at] != 0 && second * static_cast<double>(gap) / 1e9 < start;
      held += is_kept ? gap : boot;
      cost.starts += is_kept ? 0 : 1;
    }
    for (std::size_t at = next; at < needed; ++at) free_since[at] = step.at;
    needed = next;
  }
  cost.gigabyte_seconds = gigabytes(history) * static_cast<double>(held) / 1e9;
  return cost;
}

namespace {
/// The runners of one service under the scaler's rules, on a clock that moves in small steps.
class ScalerRun {
public:
  ScalerRun(const History &history, const ServicePlan &plan, ScalerOptions options, Span aim,
            Span start_delay)
      : history_(history), plan_(plan), scaler_(options), aim_(aim), start_delay_(start_delay) {}

  Cost run(Instant from, Instant until) {
    constexpr Span step = milliseconds(10);
    for (Instant now = from; now < until; now += step) advance(now, step);
    for (const Runner &runner : runners_) cost_.unused += runner.was_used ? 0 : 1;
    cost_.calls = history_.calls.size();
    return cost_;
  }

private:
  struct Runner {
    Instant ready_at = 0;
    std::vector<Instant> ends;
    bool is_leaving = false, was_used = false;
  };

  void advance(Instant now, Span step) {
    for (Runner &runner : runners_) std::erase_if(runner.ends, [&](Instant end) { return end <= now; });
    while (next_ < history_.calls.size() && history_.calls[next_].arrived <= now)
      waiting_.push_back(history_.calls[next_++]);
    serve(now);
    std::uint32_t taken = 0, usable = 0;
    for (const Runner &runner : runners_) {
      taken += static_cast<std::uint32_t>(runner.ends.size());
      usable += runner.is_leaving ? 0 : 1;
    }
    scaler_.update(plan_, {taken, static_cast<std::uint32_t>(waiting_.size()), usable, serve_time_}, now);
    follow_target(usable, now);
    cost_.gigabyte_seconds +=
        gigabytes(history_) * static_cast<double>(runners_.size()) * static_cast<double>(step) / 1e9;
  }

  void serve(Instant now) {
    while (!waiting_.empty()) {
      Runner *best = nullptr;
      for (Runner &runner : runners_) {
        const bool is_free = !runner.is_leaving && runner.ready_at <= now && runner.ends.size() < plan_.slots;
        if (is_free && (best == nullptr || runner.ends.size() < best->ends.size())) best = &runner;
      }
      if (best == nullptr) return;
      const Call call = waiting_.front();
      waiting_.erase(waiting_.begin());
      best->ends.push_back(now + call.work);
      best->was_used = true;
      serve_time_ = (serve_time_ * 7 + call.work) / 8;
      if (aim_ > 0 && call.work <= aim_ && now + call.work - call.arrived > aim_) ++cost_.late;
    }
  }

  void follow_target(std::uint32_t usable, Instant now) {
    for (; usable < scaler_.target(); ++usable) {
      runners_.push_back({now + start_delay_ + plan_.boot, {}, false, false});
      ++cost_.starts;
    }
    for (; usable > scaler_.target(); --usable) {
      const auto idlest =
          std::min_element(runners_.begin(), runners_.end(), [](const Runner &left, const Runner &right) {
            return std::make_pair(left.is_leaving, left.ends.size()) <
                   std::make_pair(right.is_leaving, right.ends.size());
          });
      idlest->is_leaving = true;
    }
    std::erase_if(runners_, [this](const Runner &runner) {
      const bool is_over = runner.is_leaving && runner.ends.empty();
      cost_.unused += is_over && !runner.was_used ? 1 : 0;
      return is_over;
    });
  }

  const History &history_;
  const ServicePlan &plan_;
  ServiceScaler scaler_;
  Span aim_, start_delay_;
  std::vector<Runner> runners_;
  std::vector<Call> waiting_;
  std::size_t next_ = 0;
  Span serve_time_ = milliseconds(50);
  Cost cost_;
};
} // namespace

Cost scaler_cost(const History &history, const ServicePlan &plan, ScalerOptions options, Span aim,
                 Span start_delay, Instant from, Instant until) {
  return ScalerRun(history, plan, options, aim, start_delay).run(from, until);
}

} // namespace wharf::hindsight
