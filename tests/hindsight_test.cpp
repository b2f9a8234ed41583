// Costs of runners in hindsight, against cases worked out by hand.
#include <sstream>

#include "hindsight/hindsight.hpp"
#include "trace/trace.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;
using namespace wharf::hindsight;

namespace {
/// A start costs as much as keeping 1 GB for two seconds; runners of 1 GB start in half a second.
constexpr ServicePrices prices{1.5, 1.0};
constexpr Span boot = milliseconds(500);
constexpr double exactly = 1e-6;

History history_of(std::uint32_t slots, std::vector<Call> calls) {
  History history;
  history.memory_mb = 1000;
  history.slots = slots;
  history.calls = std::move(calls);
  return history;
}

Call call_at(std::int64_t arrived_ms, std::int64_t work_ms) {
  return {milliseconds(arrived_ms), milliseconds(work_ms)};
}
} // namespace

TEST_GROUP(Hindsight){};

TEST(Hindsight, one_call_costs_a_start_its_boot_and_its_work) {
  const Cost cost = least_cost(history_of(1, {call_at(1000, 200)}), boot, prices);
  LONGS_EQUAL(1, cost.starts);
  DOUBLES_EQUAL(0.7, cost.gigabyte_seconds, exactly);
  DOUBLES_EQUAL(1.5 + 0.7, cost.price(prices), exactly);
}

TEST(Hindsight, a_gap_is_bridged_where_that_costs_less_than_a_start) {
  // 1.9 s between the end of the first and the second: keeping costs 1.9, a start 1.5 and 0.5 for its boot.
  const Cost kept = least_cost(history_of(1, {call_at(1000, 100), call_at(3000, 100)}), boot, prices);
  LONGS_EQUAL(1, kept.starts);
  DOUBLES_EQUAL(0.5 + 0.1 + 1.9 + 0.1, kept.gigabyte_seconds, exactly);
  const Cost let_go = least_cost(history_of(1, {call_at(1000, 100), call_at(3200, 100)}), boot, prices);
  LONGS_EQUAL(2, let_go.starts);
  DOUBLES_EQUAL(2 * (0.5 + 0.1), let_go.gigabyte_seconds, exactly);
}

TEST(Hindsight, calls_at_once_share_a_runner_as_far_as_it_has_slots) {
  const std::vector<Call> calls{call_at(1000, 1000), call_at(1200, 400), call_at(1300, 200)};
  LONGS_EQUAL(1, least_cost(history_of(3, calls), boot, prices).starts);
  // With two slots a second runner is needed from 1.3 to 1.5 s.
  const Cost two = least_cost(history_of(2, calls), boot, prices);
  LONGS_EQUAL(2, two.starts);
  DOUBLES_EQUAL(2 * 0.5 + 1.0 + 0.2, two.gigabyte_seconds, exactly);
}

TEST(Hindsight, a_recording_is_read_out_of_a_log_in_any_order) {
  std::stringstream log;
  log << "4.0 node-1 2026-01-01 [info] "
      << trace_line(CallTrace{"s", "answered", "r1", milliseconds(300), milliseconds(200)}) << "\n"
      << "2.5 node-1 [info] a line of another kind service=s\n"
      << "6.0 leader [info] " << trace_line(RunnerTrace{RunnerChange::stopped, "r1", "s", 512, 4}) << "\n"
      << "6.5 leader [info] " << trace_line(RunnerTrace{RunnerChange::gone, "r1", "s", 512, 4}) << "\n"
      << "3.0 leader [info] " << trace_line(RunnerTrace{RunnerChange::started, "r1", "s", 512, 4}) << "\n"
      << "3.1 leader [info] " << trace_line(RunnerTrace{RunnerChange::started, "r2", "s", 512, 4}) << "\n";
  const Recording recording = read_recording(log);
  LONGS_EQUAL(1, recording.services.size());
  const History &history = recording.services.at("s");
  LONGS_EQUAL(4, history.slots);
  LONGS_EQUAL(1, history.calls.size());
  DOUBLES_EQUAL(3.5e9, static_cast<double>(history.calls[0].arrived), 1e3);
  LONGS_EQUAL(milliseconds(200), history.calls[0].work);
  const Cost cost = actual_cost(history);
  LONGS_EQUAL(2, cost.starts);
  LONGS_EQUAL(1, cost.unused);
  // r1 from 3 to 6 s, r2 from 3.1 s to the end of the recording, at 0.512 GB each.
  DOUBLES_EQUAL(0.512 * (3.0 + 3.4), cost.gigabyte_seconds, exactly);
}

TEST(Hindsight, the_scaler_never_pays_less_than_hindsight) {
  // Calls that come one after another, as a scaler may also save by letting calls wait for each other.
  Dice dice(11);
  std::vector<Call> calls;
  std::int64_t at = 1000;
  for (int count = 0; count < 200; ++count) {
    at += 400 + static_cast<std::int64_t>(dice.below(1500));
    calls.push_back(call_at(at, 50 + static_cast<std::int64_t>(dice.below(300))));
  }
  const History history = history_of(1, calls);
  ServicePlan plan;
  plan.boot = boot;
  plan.most = 100;
  apply_prices(prices, history.memory_mb, seconds(2), plan);
  const Cost least = least_cost(history, boot, prices);
  const Cost ours =
      scaler_cost(history, plan, ScalerOptions{}, seconds(2), 0, 0, milliseconds(at) + seconds(10));
  CHECK(ours.price(prices) >= least.price(prices));
  CHECK(ours.price(prices) <= 2 * least.price(prices));
}
