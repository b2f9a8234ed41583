#include "drydock/scenarios.hpp"

#include <algorithm>

#include "drydock/deeds.hpp"

namespace wharf {

namespace {
constexpr Instant faults_from = seconds(14), faults_until = seconds(32), calls_until = seconds(56),
                  ends = seconds(72);

void calm(World &, Instant, Instant) {}

void kill_leader(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(6), [&world] {
    const int which = world.leader();
    if (which < 0) return;
    world.kill_control(which);
    world.at(world.now() + any_span(world, seconds(1), seconds(5)),
             [&world, which] { world.start_control(which); });
  });
}

void kill_pilots(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    const int which = any_pilot(world);
    world.kill_pilot(which);
    world.at(world.now() + any_span(world, milliseconds(200), seconds(4)),
             [&world, which] { world.start_pilot(which); });
  });
}

void kill_many(World &world, Instant from, Instant until) {
  world.at(from + any_span(world, 0, seconds(3)), [&world] {
    for (int at = 0; at < world.control_count(); ++at)
      if (world.dice().chance(0.6)) world.kill_control(at);
    for (int at = 0; at < world.shape().pilots; ++at)
      if (world.dice().chance(0.6)) world.kill_pilot(at);
  });
  (void)until;
}

void kill_all(World &world, Instant from, Instant) {
  world.at(from + any_span(world, 0, seconds(3)), [&world] {
    for (int at = 0; at < world.control_count(); ++at) world.kill_control(at);
    for (int at = 0; at < world.shape().pilots; ++at) world.kill_pilot(at);
  });
}

void freeze_any(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(3), [&world] {
    const bool is_control_node = world.dice().chance(0.5);
    world.freeze(is_control_node, is_control_node ? any_control(world) : any_pilot(world),
                 any_span(world, milliseconds(300), seconds(6)));
  });
}

void lose_disk(World &world, Instant from, Instant until) {
  for (Instant moment = from; moment + seconds(9) < until; moment += seconds(9)) {
    world.at(moment, [&world] {
      if (!world.may_lose_disk()) return;
      const int which = world.dice().chance(0.5) && world.leader() >= 0 ? world.leader() : any_control(world);
      world.kill_control(which);
      world.at(world.now() + any_span(world, milliseconds(300), seconds(3)),
               [&world, which] { world.start_control(which, true); });
    });
  }
}

void disk_trouble(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    const int which = world.dice().chance(0.5) && world.leader() >= 0 ? world.leader() : any_control(world);
    const double roll = world.dice().unit();
    world.set_disk(which, roll < 0.4 ? DiskMood::slow : roll < 0.7 ? DiskMood::stalled : DiskMood::full);
    world.at(world.now() + any_span(world, seconds(1), seconds(5)),
             [&world, which] { world.set_disk(which, DiskMood::well); });
  });
}

void isolate_leader(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(7), [&world] {
    const int which = world.leader();
    if (which < 0) return;
    const std::string name = world.control_name(which);
    const bool both_ways = world.dice().chance(0.5), from_mates_only = world.dice().chance(0.5);
    for (int at = 0; at < world.control_count(); ++at)
      if (at != which) world.set_cut(name, world.control_name(at), true, both_ways);
    if (!from_mates_only)
      for (int at = 0; at < world.shape().pilots; ++at)
        world.set_cut(name, world.pilot_name(at), true, both_ways);
    world.at(world.now() + any_span(world, seconds(2), seconds(6)),
             [&world, name] { world.cut_off(name, false); });
  });
}

void split_even(World &world, Instant from, Instant until) {
  for (Instant moment = from; moment + seconds(8) < until; moment += seconds(10)) {
    const std::uint64_t sides = world.dice().next();
    const auto set = [&world, sides](bool is_cut) {
      std::vector<std::string> names;
      for (int at = 0; at < world.control_count(); ++at) names.push_back(world.control_name(at));
      for (int at = 0; at < world.shape().pilots; ++at) names.push_back(world.pilot_name(at));
      for (std::size_t left = 0; left < names.size(); ++left)
        for (std::size_t right = left + 1; right < names.size(); ++right)
          if (((sides >> left) & 1) != ((sides >> right) & 1))
            world.set_cut(names[left], names[right], is_cut);
    };
    world.at(moment, [set] { set(true); });
    world.at(moment + seconds(6), [set] { set(false); });
  }
}

void cut_one(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(6), [&world] {
    const std::string name = world.dice().chance(0.3) ? world.control_name(any_control(world))
                                                      : world.pilot_name(any_pilot(world));
    world.cut_off(name, true);
    world.at(world.now() + any_span(world, seconds(1), seconds(6)),
             [&world, name] { world.cut_off(name, false); });
  });
}

void bad_weather(World &world, Instant from, Instant until) {
  world.at(from, [&world] { world.set_weather({0.05, 0.05, microseconds(200), milliseconds(80)}); });
  world.at(until, [&world] { world.set_weather({}); });
}

void bad_runners(World &world, Instant from, Instant until) {
  world.at(from, [&world] {
    for (int kind = 0; kind < 3; ++kind)
      world.set_runner_mood(world.service_name(kind, 0), {0.25, 0.03, 0.03, 0.01, 0.02});
  });
  world.at(until, [&world] {
    for (int kind = 0; kind < 3; ++kind) world.set_runner_mood(world.service_name(kind, 0), {});
  });
}

void lose_workers(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    const int which = static_cast<int>(world.dice().below(static_cast<std::uint64_t>(world.shape().workers)));
    if (world.dice().chance(0.5))
      world.drain_worker(which, true);
    else
      world.crash_worker(which);
    world.at(world.now() + any_span(world, seconds(2), seconds(6)), [&world] { world.restore_workers(); });
  });
}

void platform_away(World &world, Instant from, Instant until) {
  world.at(from, [&world] { world.set_platform(PlatformMood::away); });
  world.at(until, [&world] { world.set_platform(PlatformMood::well); });
  kill_pilots(world, from, until);
}

void operators_race(World &world, Instant from, Instant until) {
  often(world, from, until, milliseconds(900), [&world] {
    const bool is_bound = world.dice().chance(0.5);
    std::string tag;
    if (is_bound && world.leader() >= 0)
      tag = "v" + std::to_string(world.control(world.leader())->registry().version());
    for (int at = 0; at < 2; ++at) world.write(world.dice().chance(0.4), tag, any_control(world));
  });
  kill_leader(world, from, until);
}

void crowd_all(World &world, Instant from, Instant until) {
  world.crowd(0, static_cast<double>(world.shape().base) * 4, from, until);
  world.crowd(1, static_cast<double>(world.shape().base) * 3, from, until, 0);
}

void crowd_and_purser(World &world, Instant from, Instant until) {
  crowd_all(world, from, until);
  often(world, from, until, seconds(7), [&world] {
    const int which = world.owner_pilot("t0", purser_salt);
    if (which < 0) return;
    if (world.dice().chance(0.5)) {
      world.kill_pilot(which);
      world.at(world.now() + seconds(3), [&world, which] { world.start_pilot(which); });
    } else {
      world.cut_off(world.pilot_name(which), true);
      world.at(world.now() + seconds(4), [&world, which] { world.cut_off(world.pilot_name(which), false); });
    }
  });
}

void lose_scheduler(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(6), [&world] {
    const int which =
        world.owner_pilot(world.service_name(static_cast<int>(world.dice().below(2)), 0), scheduler_salt);
    if (which < 0) return;
    world.kill_pilot(which);
    world.at(world.now() + seconds(3), [&world, which] { world.start_pilot(which); });
  });
}

void restart_in_turn(World &world, Instant from, Instant until) {
  Instant moment = from;
  for (int at = 0; at < world.shape().pilots; ++at, moment += seconds(2)) {
    world.at(moment, [&world, at] { world.leave_pilot(at); });
    world.at(moment + seconds(5), [&world, at] { world.start_pilot(at); });
  }
  for (int at = 0; at < world.control_count(); ++at) {
    world.at(from + seconds(4) * at, [&world, at] { world.kill_control(at); });
    world.at(from + seconds(4) * at + seconds(1), [&world, at] { world.start_control(at); });
  }
  (void)until;
}

void wake_rare(World &world, Instant from, Instant) {
  world.at(from, [&world] {
    for (int at = 0; at < 60; ++at) world.call(at % world.shape().tenants, 2, "", 0);
  });
}

void everything(World &world, Instant from, Instant until) {
  using Prepare = void (*)(World &, Instant, Instant);
  static constexpr Prepare kinds[] = {kill_leader, kill_pilots, freeze_any,   disk_trouble,   isolate_leader,
                                      cut_one,     bad_runners, lose_workers, operators_race, lose_scheduler,
                                      bad_weather, crowd_all,   lose_disk};
  for (int at = 0; at < 3; ++at) kinds[world.dice().below(std::size(kinds))](world, from, until);
}
} // namespace

const std::vector<Scenario> &all_scenarios() {
  static const std::vector<Scenario> list = [] {
    std::vector<Scenario> all = {
        {"calm", "no fault at all", calm, 5},
        {"kill-leader", "the leading harbourd dies again and again", kill_leader, 30},
        {"kill-pilots", "single pilotd die and come back", kill_pilots},
        {"kill-many", "most processes die at once", kill_many},
        {"kill-all", "every process dies at once", kill_all},
        {"freeze", "processes stop and wake believing old permits", freeze_any},
        {"lose-disk", "a harbourd comes back with an empty disk", lose_disk, 30},
        {"disk-trouble", "disks slow, stall and fill up", disk_trouble, 30},
        {"isolate-leader", "the leader is cut off, from replicas or from all, one way or both",
         isolate_leader, 60},
        {"split-even", "the machines are split in two at random", split_even},
        {"cut-one", "single machines are cut off", cut_one},
        {"bad-weather", "messages lost, doubled, late and out of order", bad_weather, 30},
        {"bad-runners", "runners refuse, lose answers, send garbage, hang and crash", bad_runners, 10},
        {"lose-workers", "workers drain and crash", lose_workers, 10},
        {"platform-away", "the platform cannot be reached while pilotd die", platform_away},
        {"operators-race", "two operators write at once while leaders die", operators_race, 30},
        {"crowd", "tenants send far above their allowance, over all pilots and on one", crowd_all, 30},
        {"crowd-purser", "the same, while the purser's owner dies or is cut off", crowd_and_purser},
        {"lose-scheduler", "the scheduler dies with slots in use", lose_scheduler},
        {"restart-in-turn", "every process is restarted in turn", restart_in_turn},
        {"wake-rare", "rare services are woken together", wake_rare, 10},
        {"everything", "three of the above at once", everything},
    };
    all.insert(all.end(), peril_scenarios().begin(), peril_scenarios().end());
    return all;
  }();
  return list;
}

const Scenario *find_scenario(const std::string &name) {
  for (const Scenario &scenario : all_scenarios())
    if (scenario.name == name) return &scenario;
  return nullptr;
}

RunResult run_scenario(const Scenario &scenario, std::uint64_t seed, Defect defect, const WorldShape &shape) {
  World world(seed, shape, defect);
  world.set_refusals_most(
      static_cast<std::uint64_t>(static_cast<double>(scenario.refusals_most) * shape.rate / 60));
  world.at(seconds(4), [&world] { world.write(false, "", 0); });
  const auto first_write = [&world] {
    const bool is_taken = std::any_of(world.writes().begin(), world.writes().end(),
                                      [](const WriteRecord &write) { return write.outcome == "taken"; });
    if (!is_taken) world.write(false, "", any_control(world));
  };
  for (Instant moment = seconds(6); moment < seconds(9); moment += milliseconds(1500))
    world.at(moment, first_write);
  world.start_callers(seconds(10), calls_until);
  for (Instant moment = seconds(12); moment < seconds(60); moment += milliseconds(3700))
    world.at(moment, [&world] { world.write(world.dice().chance(0.3), "", any_control(world)); });
  for (Instant moment = seconds(12); moment < seconds(60); moment += milliseconds(90))
    world.at(moment, [&world] {
      std::string key = "never-held-key";
      for (const WriteRecord &write : world.writes()) {
        if (write.is_patch || !world.dice().chance(0.4)) continue;
        const auto place = write.bytes.find("rolling-key-");
        if (place != std::string::npos) key = write.bytes.substr(place, write.bytes.find('"', place) - place);
      }
      world.call(0, 0, "", 0, -1, key);
    });
  for (Instant moment = seconds(12); moment < seconds(60); moment += milliseconds(400))
    world.at(moment, [&world] { world.call(1, 3, "", 0); });
  auto story = std::make_shared<std::string>();
  for (Instant moment = seconds(10); moment < ends; moment += seconds(1))
    world.at(moment, [&world, story] { *story += world.describe(); });
  scenario.prepare(world, faults_from, faults_until);
  world.at(faults_until, [&world] { world.heal(); });
  world.at(faults_until + seconds(1), [&world] { world.heal(); });
  world.run_until(faults_until);
  world.heal();
  for (Instant moment = seconds(66); moment < ends - seconds(1); moment += milliseconds(700))
    world.at(moment, [&world] {
      if (!world.has_read_back()) world.read_back(any_control(world));
    });
  world.run_until(ends);
  return {world.judge(faults_until + seconds(1)), world.fingerprint(), *story, world.calls(), world.visits()};
}

} // namespace wharf
