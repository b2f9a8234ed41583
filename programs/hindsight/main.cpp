// What runners cost in a run, beside the least that hindsight could have paid and what the present rules
// would.
#include <cstdio>
#include <fstream>
#include <iostream>

#include "bosun/flags.hpp"
#include "hindsight/hindsight.hpp"

namespace {
using namespace wharf;
using namespace wharf::hindsight;

struct Arguments {
  double start = 0.3, gigabyte_second = 1.2;
  /// What the scaler believes the two to be, as a multiple of the true ones.
  double start_belief = 1, memory_belief = 1;
  long start_delay_ms = 60, least = 0;
  ScalerOptions scaler;
  std::vector<ServiceClass> classes;
};

/// Reads SLOTS:BOOT_MS:AIM_MS.
std::string take_class(const std::string &word, Arguments &arguments) {
  unsigned slots = 0, boot_ms = 0, aim_ms = 0;
  if (std::sscanf(word.c_str(), "%u:%u:%u", &slots, &boot_ms, &aim_ms) != 3 || slots == 0)
    return "SLOTS:BOOT_MS:AIM_MS is expected";
  arguments.classes.push_back({slots, milliseconds(boot_ms), milliseconds(aim_ms)});
  return {};
}

ServicePlan plan_for(const History &history, const ServiceClass &known, const Arguments &arguments) {
  ServicePlan plan;
  plan.slots = history.slots;
  plan.most = 200;
  plan.boot = known.boot;
  plan.is_self_bounding = true;
  const ServicePrices believed{arguments.start * arguments.start_belief,
                               arguments.gigabyte_second * arguments.memory_belief};
  apply_prices(believed, history.memory_mb, known.aim, plan);
  if (plan.must_spare) plan.least = static_cast<std::uint32_t>(arguments.least);
  return plan;
}

void print_row(const std::string &name, const Cost &cost, const ServicePrices &prices, double least) {
  std::printf("%-18s %8zu %8zu %7zu %10.1f %8.1f %7.2f %6zu\n", name.c_str(), cost.calls, cost.starts,
              cost.unused, cost.gigabyte_seconds, cost.price(prices),
              least > 0 ? cost.price(prices) / least : 0.0, cost.late);
}

void print_class(const Recording &recording, const ServiceClass &known, const Arguments &arguments) {
  const ServicePrices prices{arguments.start, arguments.gigabyte_second};
  Cost actual, least, scaler;
  for (const auto &[name, history] : recording.services) {
    if (history.slots != known.slots || history.memory_mb == 0) continue;
    actual += actual_cost(history);
    least += least_cost(history, known.boot, prices);
    const ServicePlan plan = plan_for(history, known, arguments);
    scaler += scaler_cost(history, plan, arguments.scaler, known.aim, milliseconds(arguments.start_delay_ms),
                          recording.from, recording.until);
  }
  std::printf("services of %u slots\n%-18s %8s %8s %7s %10s %8s %7s %6s\n", known.slots, "", "calls",
              "starts", "unused", "GB s", "price", "ratio", "late");
  print_row("as it ran", actual, prices, least.price(prices));
  print_row("present rules", scaler, prices, least.price(prices));
  print_row("hindsight", least, prices, least.price(prices));
}
} // namespace

int main(int count, char **words) {
  Arguments arguments;
  Flags flags("hindsight", "LOG");
  flags.real("start-price", arguments.start, "What a start costs, in worths of an ordinary call.");
  flags.real("memory-price", arguments.gigabyte_second, "What a GB of runners costs a second.");
  flags.real("start-belief", arguments.start_belief, "What the scaler takes a start for, as a multiple.");
  flags.real("memory-belief", arguments.memory_belief, "What the scaler takes memory for, as a multiple.");
  flags.whole("start-delay", arguments.start_delay_ms, "Milliseconds from a decision to the start.");
  flags.whole("least", arguments.least, "Runners kept always where a start is slower than the aim.");
  flags.real("keep-least", arguments.scaler.keep_least, "Least part of the break-even time that is kept.");
  flags.real("keep-most", arguments.scaler.keep_most, "Most parts of the break-even time that are kept.");
  flags.real("spare", arguments.scaler.spare_deviations, "Deviations of the demand that are kept free.");
  flags.other(
      "class", [&](const std::string &word) { return take_class(word, arguments); },
      "SLOTS:BOOT_MS:AIM_MS of services; may be repeated.");
  auto read = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read)) return end->say();
  const auto rest = std::get<std::vector<std::string>>(read);
  std::ifstream log(rest.empty() ? "" : rest.front());
  if (!log || arguments.classes.empty()) {
    std::cerr << "hindsight: a readable LOG and at least one --class are needed\n";
    return 2;
  }
  const Recording recording = read_recording(log);
  for (const ServiceClass &known : arguments.classes) print_class(recording, known, arguments);
  return 0;
}
