#include <algorithm>
#include <map>

#include "raft/raft.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Orders){};

TEST(Orders, a_manifest_never_goes_back_and_a_withdrawn_key_is_not_carried) {
  every_order(4, [](const std::vector<std::size_t> &order) {
    PilotRig rig;
    PilotOutput out;
    rig.pilot.arrive(rig.bill("e"), rig.now, out);
    const Signal deeds[] = {rig.orders(2, "first-key-00000000"), rig.orders(3, "second-key-0000000"),
                            rig.orders(2, "first-key-00000000"), rig.grant("e", "r1", 0)};
    bool is_withdrawn = false;
    Version seen = rig.pilot.in_force().version;
    for (std::size_t at : order) {
      const std::size_t carried = out.carries.size();
      const bool is_grant = std::holds_alternative<SlotSay>(deeds[at]);
      rig.pilot.receive({is_grant ? rig_other : rig_leader, "x", deeds[at]}, rig.now, out);
      CHECK(rig.pilot.in_force().version >= seen);
      seen = rig.pilot.in_force().version;
      if (is_withdrawn) LONGS_EQUAL(carried, out.carries.size());
      is_withdrawn = is_withdrawn || at == 1;
    }
    LONGS_EQUAL(3, rig.pilot.in_force().version);
  });
}

TEST(Orders, a_scheduler_that_takes_over_gives_a_taken_slot_to_nobody_until_it_is_freed) {
  every_order(5, [](const std::vector<std::size_t> &order) {
    Scheduler scheduler(rig_self, SchedulerOptions{});
    Outbox out;
    const Instant now = seconds(10);
    scheduler.set_fresh_until(now + seconds(20));
    scheduler.set_plans({{"s", ServicePlan{}}}, now, out);
    RunnerView runner;
    runner.id = "r1";
    runner.service = "s";
    scheduler.set_runners({runner}, now, out);
    Roster roster;
    roster.epoch = 2;
    roster.pilots = {rig_self};
    roster.past = {{1, {rig_other, rig_self}, {}}};
    scheduler.set_roster(roster, 2, now, out);
    InventorySay own, other;
    own.epoch = other.epoch = 2;
    for (const Posted &posted : out)
      if (const auto *asked = std::get_if<InventoryAsk>(&posted.signal))
        (posted.to == rig_self ? own : other).number = asked->number;
    ServiceInventory inventory;
    inventory.service = "s";
    inventory.held = {{"held", "r1", rig_other, 0, seconds(30)}};
    other.services = {inventory};
    SlotAsk ask;
    ask.errand = "fresh";
    ask.service = "s";
    ask.tenant = "t";
    ask.patience = seconds(10);
    const SlotFree free{"held", "s", "r1", static_cast<std::uint8_t>(SlotEnd::answered), 0};
    const std::pair<NodeId, Signal> deeds[] = {
        {rig_self, own}, {rig_other, other}, {rig_other, ask}, {rig_other, free}, {rig_other, other}};
    bool is_told = false, is_freed = false;
    for (std::size_t at : order) {
      out.clear();
      scheduler.step(deeds[at].first, deeds[at].second, now, out);
      is_told = is_told || at == 1 || at == 4;
      is_freed = is_freed || at == 3;
      for (const Posted &posted : out) {
        const auto *say = std::get_if<SlotSay>(&posted.signal);
        if (say != nullptr && say->state == static_cast<std::uint8_t>(SlotState::granted)) {
          CHECK(is_told && is_freed);
        }
      }
      CHECK(scheduler.slots_taken("r1") <= 1);
    }
  });
}

TEST(Orders, a_scheduler_asks_each_node_once_for_all_services_it_takes_over) {
  constexpr std::size_t services = 130;
  constexpr NodeId nodes = 90;
  Scheduler scheduler(rig_self, SchedulerOptions{});
  Outbox out;
  Instant now = seconds(10);
  scheduler.set_fresh_until(now + seconds(20));
  std::map<std::string, ServicePlan> plans;
  for (std::size_t at = 0; at < services; ++at) plans["s" + std::to_string(at)] = ServicePlan{};
  scheduler.set_plans(plans, now, out);
  Roster roster;
  roster.epoch = 2;
  for (NodeId id = 1; id <= nodes; ++id) roster.pilots.push_back(id);
  roster.owner_candidates = {rig_self};
  roster.past = {{1, roster.pilots, {}, 0, {rig_other}}};
  scheduler.set_roster(roster, 2, now, out);
  LONGS_EQUAL(nodes, out.size());
  std::map<NodeId, std::uint64_t> numbers;
  for (const Posted &posted : out) {
    const auto &ask = std::get<InventoryAsk>(posted.signal);
    LONGS_EQUAL(services, ask.services.size());
    numbers[posted.to] = ask.number;
  }
  // Nobody answers: each is asked again under the same number, ever more seldom.
  out.clear();
  for (int step = 0; step < 45; ++step) scheduler.tick(now += milliseconds(10), out);
  LONGS_EQUAL(2 * nodes, out.size());
  for (const Posted &posted : out)
    CHECK_EQUAL(numbers.at(posted.to), std::get<InventoryAsk>(posted.signal).number);
  // A late answer to the first sending counts; one under another number does not.
  SlotAsk wanted;
  wanted.errand = "fresh";
  wanted.service = "s7";
  wanted.tenant = "t";
  wanted.patience = seconds(10);
  RunnerView runner;
  runner.id = "r1";
  runner.service = "s7";
  scheduler.set_runners({runner}, now, out);
  scheduler.step(rig_other, wanted, now, out);
  const auto granted = [&out] {
    return std::count_if(out.begin(), out.end(), [](const Posted &posted) {
      const auto *say = std::get_if<SlotSay>(&posted.signal);
      return say != nullptr && say->state == static_cast<std::uint8_t>(SlotState::granted);
    });
  };
  for (const auto &[node, number] : numbers)
    scheduler.step(node, InventorySay{number + 1000, 2, {}}, now, out);
  LONGS_EQUAL(0, granted());
  for (const auto &[node, number] : numbers) scheduler.step(node, InventorySay{number, 2, {}}, now, out);
  LONGS_EQUAL(1, granted());
}

TEST(Orders, a_purser_that_takes_over_grants_no_more_than_it_was_handed) {
  const auto nodes = rank_nodes({1, 2, 3}, "t", purser_salt);
  every_order(4, [&](const std::vector<std::size_t> &order) {
    const Instant start = seconds(100);
    Purser purser(nodes[1], PurserOptions{});
    purser.set_allowances({{"t", {100, 50}}}, start);
    purser.set_fresh_until(start + seconds(100));
    Roster roster;
    roster.epoch = 2;
    roster.pilots = {nodes[1]};
    roster.past = {{1, {nodes[0], nodes[1]}, {}}};
    LedgerCopy copy;
    copy.tenant = "t";
    copy.epoch = 2;
    copy.sequence = 9;
    copy.tokens = 12;
    copy.is_handover = true;
    std::uint32_t granted = 0;
    std::uint64_t number = 0;
    for (std::size_t at : order) {
      Outbox out;
      if (at == 0) purser.set_roster(roster, 1, start, out);
      if (at == 1) purser.set_roster(roster, 2, start, out);
      if (at == 2) purser.step(nodes[0], copy, start, out);
      if (at == 3) purser.step(nodes[0], copy, start, out);
      for (int ask = 0; ask < 3; ++ask) {
        PermitAsk made;
        made.tenant = "t";
        made.ask = ++number;
        made.want = 10;
        purser.step(9, made, start, out);
      }
      for (const Posted &posted : out)
        if (const auto *say = std::get_if<PermitSay>(&posted.signal)) granted += say->tokens;
    }
    CHECK(granted <= 12);
  });
}

TEST(Orders, a_change_of_mates_commits_only_with_a_majority_of_the_new_ones) {
  every_order(4, [](const std::vector<std::size_t> &order) {
    Recovered disk;
    disk.hard = {5, 1, 1};
    disk.snapshot.replicas = {{1, true, "a"}, {2, true, "b"}, {3, true, "c"}};
    Instant now = seconds(10);
    RaftNode leader(1, RaftOptions{}, 1, disk, now);
    std::deque<WriteBatch> batches;
    const auto take = [&](RaftOutput &out) {
      for (WriteBatch &save : out.batches) batches.push_back(std::move(save));
    };
    const auto sync = [&] {
      while (!batches.empty()) {
        RaftOutput out;
        const std::uint64_t ticket = batches.front().ticket;
        batches.pop_front();
        leader.saved(ticket, now, out);
        take(out);
      }
    };
    const auto step = [&](NodeId from, const Signal &signal) {
      RaftOutput out;
      leader.step(from, signal, now, out);
      take(out);
    };
    now += seconds(2);
    RaftOutput tick;
    leader.tick(now, tick);
    take(tick);
    step(2, RequestVoteResponse{5, leader.term() + 1, true, true});
    sync();
    step(2, RequestVoteResponse{5, leader.term(), true, false});
    CHECK(leader.is_leader());
    sync();
    step(2, AppendEntriesResponse{5, leader.term(), leader.last_index(), true, now});
    CHECK(leader.is_settled());
    RaftOutput change;
    const auto index = leader.propose_replicas(
        {{1, true, "a"}, {2, true, "b"}, {3, true, "c"}, {4, true, "d"}}, now, change);
    CHECK(index.has_value());
    take(change);
    RaftOutput second;
    CHECK(!leader.propose_replicas({{1, true, "a"}}, now, second).has_value());
    std::size_t have = 0;
    for (std::size_t at : order) {
      if (at == 0)
        sync();
      else
        step(at + 1, AppendEntriesResponse{5, leader.term(), *index, true, now});
      ++have;
      CHECK_EQUAL(have >= 3, leader.commit() >= *index);
    }
  });
}

TEST(Orders, a_leaving_pilot_is_quiet_only_when_all_it_read_is_finished_and_nobody_counts_on_it) {
  every_order(4, [](const std::vector<std::size_t> &order) {
    PilotRig rig;
    PilotOutput out;
    MembershipGossip gossip;
    Member other;
    other.id = rig_other;
    other.address = "q";
    other.role = static_cast<std::uint8_t>(Role::pilot);
    other.beat = 5;
    gossip.members = {other};
    rig.pilot.receive({rig_other, "q", gossip}, rig.now, out);
    rig.pilot.arrive(rig.bill("e"), rig.now, out);
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r1", 0)}, rig.now, out);
    LONGS_EQUAL(1, out.carries.size());
    rig.pilot.set_leaving();
    Orders without = rig.orders(1, "first-key-00000000");
    without.roster.epoch = 2;
    without.roster.pilots = {rig_other};
    without.roster.past = {{1, {rig_self, rig_other}, {}}};
    Orders settled = without;
    settled.settled = 2;
    const SlotFreed freed{"e", rig.service, 0};
    bool has_answered = false, is_freed = false, is_without = false, is_settled = false;
    for (std::size_t at : order) {
      if (at == 0) rig.pilot.call_ended({"e", CallKind::answered, 200, {}, {}, {}}, rig.now, out);
      if (at == 1) rig.pilot.receive({rig_other, "q", freed}, rig.now, out);
      if (at == 2) rig.pilot.receive({rig_leader, "h", without}, rig.now, out);
      if (at == 3) rig.pilot.receive({rig_leader, "h", settled}, rig.now, out);
      is_freed = is_freed || (at == 1 && has_answered);
      has_answered = has_answered || at == 0;
      is_without = is_without || at >= 2;
      is_settled = is_settled || at == 3;
      CHECK_EQUAL(has_answered && is_freed && is_without && is_settled, rig.pilot.is_quiet(rig.now));
    }
  });
}

namespace {
/// A pilot, the owner of its service, and a third pilot that passes on what it hears of the others.
struct ThreePilots {
  PilotRig rig;
  NodeId third = 3;
  std::uint64_t beat = 1;
  PilotOutput out;

  ThreePilots() {
    while (rank_nodes({rig_self, rig_other, third}, rig.service, scheduler_salt)[0] != rig_other) ++third;
    Orders orders = rig.orders(1, "first-key-00000000");
    orders.roster.epoch = 2;
    orders.roster.pilots = {rig_self, rig_other, third};
    orders.settled = 2;
    hear_third(true);
    rig.pilot.receive({rig_leader, "h", orders}, rig.now, out);
    out = {};
  }
  void hear_third(bool tells_of_owner) {
    MembershipGossip gossip;
    gossip.members.push_back(member(third, "r"));
    if (tells_of_owner) gossip.members.push_back(member(rig_other, "q"));
    ++beat;
    PilotOutput unread;
    rig.pilot.receive({third, "r", gossip}, rig.now, unread);
  }
  Member member(NodeId id, const std::string &address) const {
    Member made;
    made.id = id;
    made.address = address;
    made.role = static_cast<std::uint8_t>(Role::pilot);
    made.beat = beat;
    return made;
  }
  /// How asks for slots, that of a new errand among them, go out: 0 not at all, 1 directly, 2 through the
  /// third, 3 both ways.
  int way_of_ask(const std::string &errand) {
    out = {};
    Orders renewal;
    renewal.sent_at = rig.now;
    renewal.version = 1;
    renewal.has_roster = false;
    renewal.roster.epoch = 2;
    renewal.settled = 2;
    rig.pilot.receive({rig_leader, "h", renewal}, rig.now, out);
    rig.pilot.arrive(rig.bill(errand), rig.now, out);
    int ways = 0;
    for (const Posted &posted : out.mail) {
      const bool is_ask = std::holds_alternative<SlotAsk>(posted.signal);
      if (posted.to == rig_other && (is_ask || std::holds_alternative<PassOn>(posted.signal))) ways |= 1;
      if (posted.to == third && std::holds_alternative<PassOn>(posted.signal)) ways |= 2;
    }
    return ways;
  }
};
} // namespace

TEST(Orders, silence_of_a_pilot_that_nothing_was_sent_to_is_no_sign_of_a_cut) {
  ThreePilots pilots;
  for (int step = 0; step < 20; ++step) {
    pilots.rig.now += milliseconds(250);
    pilots.hear_third(true);
  }
  LONGS_EQUAL(1, pilots.way_of_ask("e1"));
}

TEST(Orders, a_pilot_that_does_not_answer_is_reached_through_a_third_and_tried_directly_now_and_then) {
  ThreePilots pilots;
  LONGS_EQUAL(1, pilots.way_of_ask("e1"));
  pilots.rig.now += milliseconds(800);
  pilots.hear_third(true);
  LONGS_EQUAL(3, pilots.way_of_ask("e2"));
  LONGS_EQUAL(2, pilots.way_of_ask("e3"));
  pilots.rig.now += milliseconds(750);
  pilots.hear_third(true);
  LONGS_EQUAL(3, pilots.way_of_ask("e4"));
  PilotOutput out;
  MembershipGossip gossip;
  gossip.members.push_back(pilots.member(rig_other, "q"));
  pilots.rig.pilot.receive({rig_other, "q", gossip}, pilots.rig.now, out);
  LONGS_EQUAL(1, pilots.way_of_ask("e5"));
}
