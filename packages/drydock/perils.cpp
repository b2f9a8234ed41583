#include "drydock/deeds.hpp"
#include "drydock/scenarios.hpp"

namespace wharf {

namespace {
void replace_controls(World &world, Instant from, Instant) {
  for (int round = 0; round < 2; ++round)
    world.at(from + round * seconds(9), [&world, round] {
      if (!world.may_lose_disk()) return;
      const int which = round == 0 && world.leader() >= 0 ? world.leader() : world.control_count() - 1;
      world.retire_control(which);
      world.at(world.now() + any_span(world, milliseconds(300), seconds(3)),
               [&world] { world.add_control(); });
    });
}

void swap_seeds(World &world, Instant from, Instant until) {
  for (int round = 0; round < 3; ++round)
    world.at(from + round * seconds(5), [&world, round] {
      world.retire_control(round);
      auto seeds = world.seeds();
      seeds[static_cast<std::size_t>(round)] = world.control_name(world.control_count());
      world.set_seeds(std::move(seeds));
      world.add_control();
    });
  world.at(until - seconds(2), [&world] {
    bounce_pilot(world, 0, milliseconds(200));
    world.add_control();
  });
}

void struck_mate_returns(World &world, Instant from, Instant until) {
  world.at(from, [&world, until] {
    const int which = any_control(world);
    world.kill_control(which);
    world.at(until - seconds(1), [&world, which] { world.start_control(which); });
  });
}

void founding_cut(World &world, Instant, Instant) {
  const std::string name = world.control_name(static_cast<int>(world.dice().below(3)));
  world.cut_off(name, true);
  world.at(any_span(world, seconds(2), seconds(5)), [&world, name] { world.cut_off(name, false); });
  if (world.dice().chance(0.5))
    world.at(milliseconds(500), [&world] { bounce_control(world, 0, milliseconds(300)); });
}

void lose_after_ack(World &world, Instant from, Instant until) {
  for (Instant moment = from; moment + seconds(9) < until; moment += seconds(9))
    world.at(moment, [&world] {
      if (!world.may_lose_disk()) return;
      world.on_next_taken([&world] {
        bounce_control(world, world.leader(), any_span(world, milliseconds(100), seconds(2)), true);
      });
      world.write(false, "", any_control(world));
    });
}

void no_room_for_pictures(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    const int which = any_control(world);
    world.set_disk(which, DiskMood::no_room_for_snapshot);
    world.at(world.now() + any_span(world, seconds(2), seconds(6)),
             [&world, which] { world.set_disk(which, DiskMood::well); });
  });
}

void clocks_jump(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(4), [&world] {
    world.jump_wall_clock(world.dice().chance(0.5) ? seconds(3600) : -seconds(3600));
    if (world.dice().chance(0.5))
      bounce_control(world, any_control(world), any_span(world, milliseconds(200), seconds(3)));
    else
      bounce_pilot(world, any_pilot(world), any_span(world, milliseconds(200), seconds(2)));
  });
}

void restarts_after_long_lives(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    // As much as the time of day moves on, or is set back, while a process lives.
    const Span life = any_span(world, seconds(20), seconds(140));
    world.jump_wall_clock(world.dice().chance(0.8) ? life : -life);
    const int which = world.dice().chance(0.5) && world.leader() >= 0 ? world.leader() : any_control(world);
    bounce_control(world, which, any_span(world, milliseconds(200), seconds(3)));
  });
}

void replica_behind(World &world, Instant from, Instant) {
  world.at(from + any_span(world, 0, seconds(6)), [&world] {
    if (!world.may_lose_disk()) return;
    const int behind = any_control(world);
    const int wiped = (behind + 1) % world.control_count();
    for (int at = 0; at < world.control_count(); ++at)
      if (at != behind) world.set_cut(world.control_name(behind), world.control_name(at), true);
    world.at(world.now() + seconds(5), [&world, behind, wiped] {
      world.jump_wall_clock(any_span(world, 0, seconds(140)));
      for (int at = 0; at < world.control_count(); ++at) {
        if (at == behind) continue;
        world.set_cut(world.control_name(behind), world.control_name(at), false);
        if (at == wiped)
          bounce_control(world, at, seconds(1), true);
        else
          bounce_control(world, at, seconds(6));
      }
    });
  });
}

void zone_cut(World &world, Instant from, Instant until) {
  for (Instant moment = from; moment + seconds(8) < until; moment += seconds(9)) {
    const int zone = static_cast<int>(world.dice().below(static_cast<std::uint64_t>(world.shape().zones)));
    world.at(moment, [&world, zone] { world.set_zone_cut(zone, true); });
    world.at(moment + seconds(6), [&world, zone] { world.set_zone_cut(zone, false); });
  }
}

void zone_lost(World &world, Instant from, Instant until) {
  const int zone = static_cast<int>(world.dice().below(static_cast<std::uint64_t>(world.shape().zones)));
  world.at(from + seconds(2), [&world, zone] { world.kill_zone(zone); });
  world.at(until - seconds(2), [&world] { world.heal(); });
}

void one_way_cuts(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(3), [&world] {
    const std::string left = world.dice().chance(0.5) ? world.control_name(any_control(world))
                                                      : world.pilot_name(any_pilot(world));
    const std::string right = world.dice().chance(0.5) ? world.control_name(any_control(world))
                                                       : world.pilot_name(any_pilot(world));
    world.set_cut(left, right, true, false);
    world.at(world.now() + any_span(world, seconds(1), seconds(7)),
             [&world, left, right] { world.set_cut(left, right, false, false); });
  });
}

void callers_cut(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(5), [&world] {
    const std::string name = world.pilot_name(any_pilot(world));
    world.set_cut("callers", name, true);
    world.at(world.now() + any_span(world, seconds(1), seconds(5)),
             [&world, name] { world.set_cut("callers", name, false); });
  });
}

int replica_pilot(World &world, const std::string &tenant) {
  const int leads = world.leader();
  if (leads < 0) return -1;
  const auto ranked = rank_nodes(world.control(leads)->registry().roster().pilots, tenant, purser_salt);
  for (int at = 0; at < world.shape().pilots && ranked.size() > 1; ++at)
    if (world.is_pilot_up(at) && world.pilot_id(at) == ranked[1]) return at;
  return -1;
}

void lose_pursers(World &world, Instant from, Instant until) {
  const bool is_crowd = world.dice().chance(0.5);
  if (is_crowd) world.crowd(0, static_cast<double>(world.shape().base) * 3, from, until);
  often(world, from, until, seconds(7), [&world] {
    const int owner = world.owner_pilot("t0", purser_salt), replica = replica_pilot(world, "t0");
    const double roll = world.dice().unit();
    const Span away = any_span(world, milliseconds(500), seconds(4));
    if (roll < 0.7) bounce_pilot(world, owner, away);
    if (roll > 0.4) bounce_pilot(world, replica, away);
  });
}

void purser_half_cut(World &world, Instant from, Instant until) {
  world.crowd(0, static_cast<double>(world.shape().base) * 3, from, until);
  often(world, from, until, seconds(7), [&world] {
    const int owner = world.owner_pilot("t0", purser_salt);
    if (owner < 0) return;
    const std::string name = world.pilot_name(owner);
    for (int at = 0; at < world.shape().pilots; ++at)
      if (at != owner && world.dice().chance(0.5)) world.set_cut(name, world.pilot_name(at), true);
    world.at(world.now() + seconds(4), [&world, name] {
      for (int at = 0; at < world.shape().pilots; ++at) world.set_cut(name, world.pilot_name(at), false);
    });
  });
}

void freeze_scheduler(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(6), [&world] {
    const int kind = static_cast<int>(world.dice().below(2));
    const int which = world.owner_pilot(world.service_name(kind, 0), scheduler_salt);
    if (which >= 0) world.freeze(false, which, any_span(world, milliseconds(500), seconds(5)));
  });
}

void scheduler_and_leader(World &world, Instant from, Instant until) {
  often(world, from, until, seconds(8), [&world] {
    const int kind = static_cast<int>(world.dice().below(2));
    bounce_pilot(world, world.owner_pilot(world.service_name(kind, 0), scheduler_salt),
                 any_span(world, milliseconds(300), seconds(3)));
    bounce_control(world, world.leader(), any_span(world, milliseconds(300), seconds(3)));
  });
}

void wake_in_crowd(World &world, Instant from, Instant until) {
  world.crowd(0, static_cast<double>(world.shape().base) * 3, from, until);
  for (Instant moment = from + seconds(2); moment < until; moment += seconds(7))
    world.at(moment, [&world] {
      for (int at = 0; at < world.shape().rare; ++at) world.call_service(at % world.shape().tenants, 2, at);
    });
}

template <PlatformMood mood> void platform_trouble(World &world, Instant from, Instant until) {
  world.at(from, [&world] { world.set_platform(mood); });
  world.at(until, [&world] { world.set_platform(PlatformMood::well); });
  often(world, from, until, seconds(6),
        [&world] { bounce_pilot(world, any_pilot(world), any_span(world, milliseconds(300), seconds(3))); });
}

void manifest_moves(World &world, Instant from, Instant until) {
  often(world, from, until, milliseconds(1200), [&world] {
    world.write(world.dice().chance(0.3), "", any_control(world));
    if (world.dice().chance(0.3)) world.repeat_last_write(any_control(world));
  });
  often(world, from, until, milliseconds(30), [&world] { world.call(1, 3, "", 0); });
  often(world, from, until, seconds(3), [&world] { world.set_runner_mood("roam", {0, 0, 0, 0.2, 0, 0}); });
  often(world, from, until, seconds(5),
        [&world] { world.freeze(false, any_pilot(world), any_span(world, milliseconds(500), seconds(4))); });
}

void race_on_none(World &world, Instant, Instant) {
  for (int at = 0; at < 4; ++at) {
    const bool is_patch = at == 3;
    world.at(milliseconds(3200) + any_span(world, 0, milliseconds(400)),
             [&world, is_patch] { world.write(is_patch, is_patch ? "" : "v0", any_control(world)); });
  }
}

void restart_all(World &world, Instant from, Instant) {
  Instant moment = from;
  for (int at = 0; at < world.shape().pilots; ++at, moment += seconds(16) / world.shape().pilots) {
    world.at(moment, [&world, at] { world.leave_pilot(at); });
    for (Instant later = moment + milliseconds(500); later < moment + seconds(7); later += milliseconds(500))
      world.at(later, [&world, at] { world.start_pilot(at); });
  }
  for (int at = 0; at < world.shape().controls; ++at) {
    world.at(from + seconds(4) * at, [&world, at] { world.leave_control(at); });
    world.at(from + seconds(4) * at + milliseconds(1500), [&world, at] { world.start_control(at); });
  }
  often(world, from, from + seconds(18), milliseconds(700),
        [&world] { world.write(world.dice().chance(0.3), "", any_control(world)); });
}

void closing_fault(World &world, Instant, Instant) {
  const bool is_everything = world.dice().chance(0.5);
  world.at(seconds(62), [&world] { world.write(false, "", any_control(world)); });
  world.at(seconds(63), [&world, is_everything] {
    for (int at = 0; at < world.control_count(); ++at)
      if (is_everything || world.dice().chance(0.6)) world.kill_control(at);
    if (is_everything)
      for (int at = 0; at < world.shape().pilots; ++at) world.kill_pilot(at);
    else
      world.cut_off(world.control_name(any_control(world)), true);
  });
  world.at(seconds(66), [&world] { world.heal(); });
}

void fault_in_recovery(World &world, Instant from, Instant until) {
  for (Instant moment = from; moment + seconds(8) < until; moment += seconds(8)) {
    world.at(moment, [&world] {
      for (int at = 0; at < world.control_count(); ++at) bounce_control(world, at, milliseconds(500));
      for (int at = 0; at < world.shape().pilots; ++at) bounce_pilot(world, at, milliseconds(500));
    });
    world.at(moment + any_span(world, seconds(1), seconds(4)), [&world] {
      bounce_control(world, world.leader(), milliseconds(700));
      bounce_pilot(world, any_pilot(world), milliseconds(700));
    });
  }
}

void restless_voters(World &world, Instant from, Instant until) {
  often(world, from, until, milliseconds(500), [&world] {
    bounce_control(world, any_control(world), any_span(world, milliseconds(10), milliseconds(80)));
  });
  often(world, from, until, seconds(2), [&world] {
    const int which = world.leader();
    if (which < 0) return;
    const std::string name = world.control_name(which);
    world.cut_off(name, true);
    world.at(world.now() + milliseconds(1200), [&world, name] { world.cut_off(name, false); });
  });
}

void starving_changes(World &world, Instant from, Instant until) {
  world.at(seconds(10), [&world] {
    for (int at = 0; at < world.shape().hot; ++at) {
      RunnerMood mood;
      mood.slow = milliseconds(90);
      world.set_runner_mood(world.service_name(0, at), mood);
    }
  });
  often(world, from + seconds(6), until, milliseconds(900), [&world] {
    std::string tag;
    const int leads = world.leader();
    if (leads >= 0 && world.dice().chance(0.5))
      tag = "v" + std::to_string(world.control(leads)->registry().version());
    if (leads >= 0 && world.dice().chance(0.15)) {
      bounce_control(world, leads, seconds(1));
      return;
    }
    if (leads < 0 || world.now() - world.led_since(leads) < seconds(8)) return;
    world.write_starving(tag, any_control(world));
    if (world.dice().chance(0.5)) world.write(false, tag, any_control(world));
  });
}

void crowd_in_mix(World &world, Instant from, Instant until) {
  world.crowd_mixed(0, static_cast<double>(world.shape().base) * 5, from, until);
}

void hang_ups(World &world, Instant from, Instant until) {
  world.crowd_mixed(0, static_cast<double>(world.shape().base) * 3, from, until);
  often(world, from, until, milliseconds(8), [&world] { world.hang_up(any_pilot(world)); });
  often(world, from, until, seconds(6),
        [&world] { bounce_pilot(world, any_pilot(world), any_span(world, milliseconds(300), seconds(2))); });
}

void large_answers(World &world, Instant from, Instant until) {
  world.at(from, [&world] {
    for (int at = 0; at < world.shape().once; ++at)
      world.set_runner_mood(world.service_name(1, at), {0.05, 0.05, 0.02, 0, 0, 0.3});
  });
  often(world, from, until, milliseconds(20), [&world] { world.repeat_once(); });
}
} // namespace

const std::vector<Scenario> &peril_scenarios() {
  static const std::vector<Scenario> list = {
      {"replace-controls", "a control machine is replaced by an empty one elsewhere, twice", replace_controls,
       60},
      {"swap-seeds", "all seeds are swapped one by one, then fresh processes know only the new", swap_seeds,
       120},
      {"struck-replica-returns", "a replica taken out of the group comes back", struck_mate_returns, 60},
      {"founding-cut", "a seed is cut off or dies while the group is founded", founding_cut, 60},
      {"lose-after-ack", "the leader's disk is lost right after an acknowledgement", lose_after_ack, 60},
      {"no-room-for-snapshots", "disks have no room for a snapshot, then have", no_room_for_pictures, 60},
      {"clocks-jump", "wall clocks jump an hour either way while processes restart", clocks_jump},
      {"zone-cut", "a zone is cut off with its workers", zone_cut},
      {"zone-lost", "a zone is lost with its machines and workers", zone_lost},
      {"one-way-cuts", "links fail in one direction", one_way_cuts},
      {"callers-cut", "single pilots cannot be reached by callers, and by them only", callers_cut, 60},
      {"lose-pursers", "a tenant's owner, replica or both die", lose_pursers},
      {"purser-half-cut", "a tenant's owner is cut from some pilots", purser_half_cut},
      {"freeze-scheduler", "a scheduler freezes with slots in use", freeze_scheduler},
      {"scheduler-and-leader", "a scheduler and the leader die at once", scheduler_and_leader},
      {"wake-in-crowd", "all rare services wake while a busy one has a crowd", wake_in_crowd},
      {"platform-late", "the platform lists three seconds late while pilots die",
       platform_trouble<PlatformMood::late>},
      {"platform-refuses", "the platform refuses most orders while pilots die",
       platform_trouble<PlatformMood::refusing>},
      {"platform-forgets", "the platform forgets runners that run",
       platform_trouble<PlatformMood::forgetting>},
      {"platform-lists-stopped", "the platform lists runners that are gone",
       platform_trouble<PlatformMood::listing_stopped>},
      {"long-lives", "control processes restart after lives of any length, or with their clock set back",
       restarts_after_long_lives},
      {"replica-behind", "a replica misses changes, another loses its disk, the others are down for a while",
       replica_behind},
      {"manifest-moves", "keys, rules and services come and go under pending errands and frozen pilots",
       manifest_moves},
      {"race-on-none", "operators race to be first", race_on_none, 60},
      {"restart-all", "every process is restarted as planned, manifests change meanwhile", restart_all},
      {"closing-fault", "a fault in the last seconds, then the manifest is read", closing_fault},
      {"fault-in-recovery", "all die, and some again while the rest recover", fault_in_recovery},
      {"restless-voters", "voters restart all the time while leaders are cut off", restless_voters, 200},
      {"starving-changes", "changes that would starve tenants race with sound ones while leaders die",
       starving_changes, 60},
      {"crowd-in-mix", "a tenant sends five times its allowance of holds, confirmations and status calls",
       crowd_in_mix, 60},
      {"hang-ups", "callers hang up while they wait, and pilots die", hang_ups},
      {"large-answers", "once answers too large to keep, repeated by impatient callers", large_answers, 60},
  };
  return list;
}

} // namespace wharf
