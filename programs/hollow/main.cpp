#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "bosun/flags.hpp"
#include "control/control_node.hpp"
#include "pilot/pilot.hpp"
#include "signals/pack.hpp"

namespace {
using namespace wharf;
using Json = nlohmann::json;

/// Many hollow roles in one process: the real state machines and frames, with links counted instead of
/// opened.
struct Cost {
  double cpu_us = 0, bytes = 0, messages = 0, state = 0;
};

double cpu_now_us() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heap_now() { return static_cast<double>(mallinfo2().uordblks); }

Member member(NodeId id, Role role) {
  Member made;
  made.id = id;
  made.group = 1;
  made.address = "10." + std::to_string(id >> 16 & 255) + "." + std::to_string(id >> 8 & 255) + "." +
                 std::to_string(id & 255) + ":7480";
  made.http = made.address;
  made.zone = "zone-" + std::to_string(id % 12);
  made.role = static_cast<std::uint8_t>(role);
  return made;
}

void count_mail(const Outbox &mail, Cost &cost) {
  for (const Posted &posted : mail) {
    cost.bytes += static_cast<double>(frame({1, "10.0.0.1:7480", posted.signal}).size());
    ++cost.messages;
  }
}

/// One member of a group of `size`, for ten seconds of beats: what it sends, by second.
Cost run_membership(std::size_t size) {
  const double before = heap_now();
  Membership membership(member(1, Role::pilot), {}, MembershipOptions{});
  Outbox replies;
  MembershipGossip all;
  for (std::size_t id = 2; id <= size; ++id) all.members.push_back(member(id, Role::pilot));
  membership.step({2, "x", all}, 0, replies);
  Cost cost;
  cost.state = heap_now() - before - static_cast<double>(all.members.capacity() * sizeof(Member));
  constexpr int seconds_run = 10;
  const double started = cpu_now_us();
  double framing = 0;
  for (int beat = 1; beat <= seconds_run * 4; ++beat) {
    const Instant now = seconds(5) + beat * milliseconds(250);
    MembershipGossip beats;
    for (std::size_t id = 2; id <= size; ++id)
      beats.beats.push_back({short_id_of(id), static_cast<std::uint16_t>(beat + 1)});
    for (int times = 0; times < 4; ++times) membership.step({2, "x", beats}, now, replies);
    Outbox mail;
    membership.tick(now, mail);
    count_mail(mail, cost);
    framing = cpu_now_us() - started;
  }
  cost.cpu_us = framing / seconds_run;
  cost.bytes /= seconds_run;
  cost.messages /= seconds_run;
  return cost;
}

std::string manifest_of(std::size_t functions, std::size_t tenants) {
  Json root;
  for (std::size_t at = 0; at < functions; ++at) {
    const std::string name = "f" + std::to_string(at);
    root["services"][name] = {{"image", "i"}, {"self_bounding", true}, {"boot_ms", 400}};
    root["rules"]["r" + std::to_string(at)] =
        "* //host" + std::to_string(at % 100) + ".example/p" + std::to_string(at) + "/*/** to " + name;
  }
  for (std::size_t at = 0; at < tenants; ++at)
    root["tenants"]["t" + std::to_string(at)] = {{"keys", {"key-" + std::to_string(1'000'000 + at)}}};
  return root.dump();
}

/// Reading and holding a manifest of so many functions.
Cost run_manifest(std::size_t functions) {
  const std::string bytes = manifest_of(functions, 10);
  const double before = heap_now(), started = cpu_now_us();
  auto read = read_charter(bytes);
  Cost cost;
  cost.cpu_us = cpu_now_us() - started;
  cost.state = heap_now() - before;
  cost.bytes = static_cast<double>(bytes.size());
  cost.messages = std::holds_alternative<std::shared_ptr<const Charter>>(read) ? 1 : 0;
  return cost;
}

/// A leader alone with its disk, for measuring.
struct Leader {
  std::unique_ptr<ControlNode> control;
  Instant now = seconds(10);
  Cost cost;
  bool must_count = false;

  Leader() {
    Member self = member(7, Role::control);
    control = std::make_unique<ControlNode>(self, std::vector<std::string>{self.address}, ControlOptions{}, 3,
                                            Recovered{}, now);
    for (int at = 0; at < 300; ++at) tick(milliseconds(20));
  }
  void take(ControlOutput &out) {
    if (must_count) count_mail(out.mail, cost);
    while (!out.batches.empty()) {
      ControlOutput next;
      for (const WriteBatch &save : out.batches) control->saved(save.ticket, now, next);
      out = std::move(next);
      if (must_count) count_mail(out.mail, cost);
    }
  }
  void tick(Span span) {
    now += span;
    ControlOutput out;
    control->tick(now, out);
    take(out);
  }
  void pulse(NodeId id) {
    Pulse pulse;
    pulse.sent_at = now;
    pulse.version = control->registry().version();
    pulse.epoch = control->registry().roster().epoch;
    ControlOutput out;
    control->receive({id, "10.0.0.2:7480", pulse}, now, out);
    take(out);
  }
};

/// A leader with so many pilots, for two seconds of their pulses: a second's cost.
Cost run_leader(std::size_t pilots) {
  const double before = heap_now();
  Leader leader;
  const auto round = [&] {
    for (std::size_t id = 100; id < 100 + pilots; ++id) leader.pulse(id);
    for (int at = 0; at < 12; ++at) leader.tick(milliseconds(20));
  };
  for (int at = 0; at < 6; ++at) round();
  leader.must_count = true;
  const double started = cpu_now_us();
  constexpr int rounds = 8;
  for (int at = 0; at < rounds; ++at) round();
  leader.cost.cpu_us = (cpu_now_us() - started) / rounds * 4;
  leader.cost.bytes = leader.cost.bytes / rounds * 4;
  leader.cost.messages = leader.cost.messages / rounds * 4;
  leader.cost.state = heap_now() - before;
  return leader.cost;
}

/// A leader that is listed so many runners: one reading of the list with the planning after it.
Cost run_listing(std::size_t runners) {
  Leader leader;
  const double before = heap_now();
  PlatformView snapshot;
  for (std::size_t at = 0; at < runners / 50 + 1; ++at)
    snapshot.workers.push_back(
        {"w" + std::to_string(at), "zone-" + std::to_string(at % 12), 64 * 1024, false});
  ControlOutput first;
  const std::string manifest = manifest_of(std::max<std::size_t>(1, runners / 3), 1);
  leader.control->operate({1, OperatorVerb::put_manifest, manifest, {}, "w"}, leader.now, first);
  leader.take(first);
  for (std::size_t at = 0; at < runners; ++at)
    snapshot.runners.push_back({"i-" + std::to_string(at), "f" + std::to_string(at % (runners / 3 + 1)),
                                "w" + std::to_string(at / 50), "10.0.0.9:80", RunnerPhase::ready});
  const double started = cpu_now_us();
  ControlOutput out;
  leader.control->platform_seen(std::move(snapshot), leader.now, out);
  leader.take(out);
  Cost cost;
  cost.cpu_us = cpu_now_us() - started;
  cost.state = heap_now() - before;
  return cost;
}

/// The registry with so many runners: its snapshot's bytes, and the time of packing it.
Cost run_registry(std::size_t runners) {
  const double before = heap_now();
  Registry registry;
  PutRunners put;
  for (std::size_t at = 0; at < runners; ++at) {
    RunnerRecord record;
    record.id = "r1-" + std::to_string(at);
    record.service = "f" + std::to_string(at / 3);
    record.worker = "w" + std::to_string(at / 50);
    record.handle = "i-" + std::to_string(at);
    record.address = "10.0.0.9:80";
    put.add.push_back(std::move(record));
  }
  registry.apply(put);
  put = {};
  Cost cost;
  cost.state = heap_now() - before;
  const double started = cpu_now_us();
  cost.bytes = static_cast<double>(registry.snapshot().size());
  cost.cpu_us = cpu_now_us() - started;
  return cost;
}

/// A scheduler of so many services at rest: one movement of its clock.
Cost run_scheduler(std::size_t services) {
  const double before = heap_now();
  Scheduler scheduler(1, SchedulerOptions{});
  Outbox out;
  scheduler.set_fresh_until(seconds(10'000));
  std::map<std::string, ServicePlan> plans;
  ServicePlan plan;
  plan.is_priced = plan.is_self_bounding = true;
  for (std::size_t at = 0; at < services; ++at) plans["f" + std::to_string(at)] = plan;
  Roster roster;
  roster.epoch = 1;
  roster.pilots = {1};
  roster.is_first = true;
  scheduler.set_plans(plans, seconds(10), out);
  scheduler.set_roster(roster, 1, seconds(10), out);
  plans.clear();
  Cost cost;
  cost.state = heap_now() - before;
  constexpr int ticks = 20;
  const double started = cpu_now_us();
  for (int at = 0; at < ticks; ++at) scheduler.tick(seconds(20) + at * milliseconds(20), out);
  cost.cpu_us = (cpu_now_us() - started) / ticks;
  for (const Want &want : scheduler.wants(seconds(21))) cost.bytes += static_cast<double>(pack(want).size());
  return cost;
}

/// A purser of so many tenants, each granted once: the cost of one grant with its copy to the replica.
Cost run_purser(std::size_t tenants) {
  const double before = heap_now();
  Purser purser(1, PurserOptions{});
  std::map<std::string, Allowance> allowances;
  for (std::size_t at = 0; at < tenants; ++at) allowances["t" + std::to_string(at)] = {100, 100};
  Outbox out;
  purser.set_fresh_until(seconds(10'000));
  purser.set_allowances(allowances, seconds(10));
  Roster roster;
  roster.epoch = 1;
  roster.pilots = {1};
  roster.is_first = true;
  purser.set_roster(roster, 1, seconds(10), out);
  Cost cost;
  const double started = cpu_now_us();
  for (const auto &[name, allowance] : allowances) {
    PermitAsk ask;
    ask.tenant = name;
    ask.ask = 1;
    ask.want = 5;
    purser.step(9, ask, seconds(11), out);
  }
  cost.cpu_us = (cpu_now_us() - started) / static_cast<double>(tenants);
  count_mail(out, cost);
  cost.bytes /= static_cast<double>(tenants);
  cost.messages /= static_cast<double>(tenants);
  out.clear();
  cost.state = (heap_now() - before) / static_cast<double>(tenants);
  return cost;
}

/// A pilot with so many errands under way: the whole of one errand's decisions, its mail framed.
Cost run_errands(std::size_t errands) {
  const double before = heap_now();
  Pilot pilot(member(1, Role::pilot), {"seed"}, PilotOptions{}, 0);
  PilotOutput out;
  Orders orders;
  orders.term = orders.version = 1;
  orders.sent_at = seconds(10);
  orders.has_manifest = true;
  orders.manifest = R"({"tenants": {"t": {"keys": ["key-1000000"], "unbounded": true}},
      "services": {"s": {"image": "i", "slots": 1000, "self_bounding": true}}, "rules": {"r": "* /** to s"}})";
  orders.roster.epoch = 1;
  orders.roster.pilots = {2};
  orders.roster.is_first = true;
  orders.settled = 1;
  const Instant now = seconds(10);
  pilot.receive({100, "h", orders}, now, out);
  out = {};
  Cost cost;
  const double started = cpu_now_us();
  for (std::size_t at = 0; at < errands; ++at) {
    ErrandHead head;
    head.id = "e" + std::to_string(at);
    head.method = "GET";
    head.target = "/x";
    head.key = "key-1000000";
    auto planned = pilot.front(head, now);
    pilot.arrive(std::get<Waybill>(std::move(planned)), now, out);
  }
  count_mail(out.mail, cost);
  out = {};
  cost.state = (heap_now() - before) / static_cast<double>(errands);
  for (std::size_t at = 0; at < errands; ++at) {
    SlotSay say;
    say.errand = "e" + std::to_string(at);
    say.service = "s";
    say.runner = "r1";
    say.address = "10.0.0.9:80";
    pilot.receive({2, "q", say}, now, out);
    pilot.call_ended({say.errand, CallKind::answered, 200, {}, {}, {}}, now, out);
    count_mail(out.mail, cost);
    out = {};
  }
  cost.cpu_us = (cpu_now_us() - started) / static_cast<double>(errands);
  cost.bytes /= static_cast<double>(errands);
  cost.messages /= static_cast<double>(errands);
  return cost;
}

struct Measuring {
  std::string name, of;
  std::function<Cost(std::size_t)> run;
  std::vector<std::size_t> sizes;
};

struct Fit {
  double exponent = 0, residual = 0;
};

/// The exponent of y over x by least squares of their logarithms, with the largest residual as a factor.
Fit fit(const std::vector<std::pair<double, double>> &points) {
  double x = 0, y = 0, xx = 0, xy = 0;
  const auto count = static_cast<double>(points.size());
  for (const auto &[size, value] : points) {
    const double left = std::log(size), right = std::log(std::max(value, 1e-9));
    x += left, y += right, xx += left * left, xy += left * right;
  }
  Fit made;
  made.exponent = (count * xy - x * y) / (count * xx - x * x);
  const double base = (y - made.exponent * x) / count;
  for (const auto &[size, value] : points)
    made.residual = std::max(
        made.residual, std::abs(std::log(std::max(value, 1e-9)) - base - made.exponent * std::log(size)));
  made.residual = std::exp(made.residual);
  return made;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}
} // namespace

int main(int count, char **words) {
  long runs = 5, scale = 1;
  bool is_json = false;
  Flags flags("hollow", "");
  flags.whole("runs", runs, "Runs of each size; the median is told. Default: 5.");
  flags.whole("scale", scale, "Divides every size; for a quick look. Default: 1.");
  flags.mark("json", is_json, "Print JSON.");
  const auto read = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read)) return end->say();
  if (runs < 1 || scale < 1) return EndNow{2, "hollow: --runs and --scale are at least 1\n"}.say();
  const std::vector<Measuring> trials = {
      {"membership", "members", run_membership, {256, 512, 1024, 2048, 4096, 8192}},
      {"leader", "pilots", run_leader, {64, 128, 256, 512, 1024}},
      {"listing", "runners", run_listing, {1'500, 3'000, 6'000, 12'000, 24'000}},
      {"registry", "runners", run_registry, {10'000, 20'000, 40'000, 80'000, 160'000}},
      {"manifest", "functions", run_manifest, {1'000, 2'000, 4'000, 8'000, 16'000}},
      {"scheduler", "services", run_scheduler, {1'000, 2'000, 4'000, 8'000, 16'000}},
      {"purser", "tenants", run_purser, {500, 1'000, 2'000, 4'000, 8'000}},
      {"errands", "errands", run_errands, {250, 500, 1'000, 2'000, 4'000}},
  };
  Json report = Json::array();
  bool is_sound = true;
  for (const Measuring &trial : trials) {
    std::map<std::string, std::vector<std::pair<double, double>>> points;
    for (const std::size_t whole : trial.sizes) {
      const std::size_t size = std::max<std::size_t>(16, whole / static_cast<std::size_t>(scale));
      std::map<std::string, std::vector<double>> values;
      for (long at = 0; at < runs; ++at) {
        const Cost cost = trial.run(size);
        values["cpu_us"].push_back(cost.cpu_us);
        values["bytes"].push_back(cost.bytes);
        values["messages"].push_back(cost.messages);
        values["state"].push_back(cost.state);
      }
      Json line{{"trial", trial.name}, {"of", trial.of}, {"size", size}};
      for (const auto &[name, list] : values) {
        const double middle = median(list);
        const auto [least, most] = std::minmax_element(list.begin(), list.end());
        line[name] = middle;
        line[name + "_spread"] = middle > 0 ? (*most - *least) / middle : 0;
        if (middle > 0) points[name].emplace_back(size, middle);
      }
      is_sound = is_sound && line["cpu_us"].get<double>() > 0;
      report.push_back(line);
      if (is_json) continue;
      std::cout << std::left << std::setw(10) << trial.name << std::setw(10) << trial.of << std::right
                << std::setw(8) << size << std::fixed << std::setprecision(1);
      for (const char *name : {"cpu_us", "bytes", "messages", "state"})
        std::cout << "  " << name << " " << line[name].get<double>();
      std::cout << "  spread " << std::setprecision(2) << line["cpu_us_spread"].get<double>() << "\n"
                << std::flush;
    }
    for (const auto &[name, list] : points) {
      if (list.size() < 3) continue;
      const Fit made = fit(list);
      report.push_back({{"trial", trial.name},
                        {"figure", name},
                        {"exponent", made.exponent},
                        {"residual", made.residual}});
      if (!is_json)
        std::cout << "  " << trial.name << " " << name << " grows with " << trial.of << " to the power "
                  << std::setprecision(2) << made.exponent << ", within a factor of " << made.residual
                  << "\n";
    }
  }
  if (is_json) std::cout << report.dump(2) << "\n";
  return is_sound ? 0 : 1;
}
