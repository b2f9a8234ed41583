// The five troubles that control sides meet on their worst days, each brought about on a whole group in
// virtual time.
#include "control_group_rig.hpp"
#include "pilot/pilot.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
OperatorAsk order(int number, int base, const std::string &mark) {
  OperatorAsk request;
  request.verb = OperatorVerb::put_manifest;
  request.body = ControlGroupRig::manifest(number, "key-of-tenant-0000");
  request.if_match = std::to_string(base);
  request.write_id = mark;
  return request;
}

/// Edge nodes that report to the leader of a control group.
struct ReportingNodes {
  struct Node {
    NodeId id = 0;
    std::string address;
    NodeCapacity capacity;
    std::vector<NodeId> replaces;
    bool is_silent = false, has_lost_lease = false, is_beside_control = false;
    /// The node set it was told of, and whether the last answer brought a lease.
    Epoch epoch = 0;
    bool has_lease = false;
    /// The newest node set of which the last answer said that its owners may begin.
    Epoch settled = 0;
    /// How long ago all nodes of earlier node sets had ended, by the last answer.
    Span quiet = 0;
    /// For how long owners may rely on its word as a witness, as its reports say.
    Span witness_granted_for = 0;
  };
  ControlGroupRig &rig;
  std::vector<Node> nodes;

  explicit ReportingNodes(ControlGroupRig &group) : rig(group) {}
  /// As many nodes of machines that are not known, after they have become the node set.
  ReportingNodes(ControlGroupRig &group, std::size_t count) : rig(group) {
    for (NodeId id = 1; id <= count; ++id) add(500 + id, {});
    report_for(seconds(3));
    LONGS_EQUAL(count, roster().pilots.size());
  }

  static constexpr NodeCapacity wide{100'000, 320}, narrow{2'000, 120};
  void add(NodeId id, NodeCapacity capacity) {
    Node node;
    node.id = id;
    node.address = "e" + std::to_string(id);
    node.capacity = capacity;
    nodes.push_back(node);
  }
  Envelope report_of(const Node &node) const {
    Pulse pulse;
    pulse.sent_at = rig.now;
    pulse.epoch = node.epoch;
    pulse.capacity = node.capacity;
    pulse.replaces = node.replaces;
    pulse.has_lost_lease = node.has_lost_lease;
    pulse.is_beside_control = node.is_beside_control;
    pulse.witness_granted_for = node.witness_granted_for;
    return {node.id, node.address, pulse};
  }
  void report(Node &node) {
    for (const Posted &posted : rig.send_to_leader(report_of(node))) {
      const auto *orders = std::get_if<Orders>(&posted.signal);
      if (orders == nullptr || posted.to != node.id) continue;
      node.epoch = std::max(node.epoch, orders->roster.epoch);
      node.has_lease = orders->sent_at != 0;
      node.settled = orders->settled;
      node.quiet = orders->quiet;
    }
  }
  void report_for(Span span) {
    for (const Instant until = rig.now + span; rig.now < until; rig.pass(milliseconds(100)))
      for (Node &node : nodes)
        if (!node.is_silent) report(node);
  }
  const Roster &roster() const { return rig.machines.at(rig.leader()).node->registry().roster(); }
};

} // namespace

TEST_GROUP(WorstDays){};

TEST(WorstDays, a_leader_that_is_cut_off_neither_confirms_nor_refuses_nor_reads) {
  for (const int base : {1, 7}) {
    ControlGroupRig rig(3);
    LONGS_EQUAL(200, rig.put(1, 0, "first"));
    const std::string old_leader = rig.leader();
    rig.machines.at(old_leader).is_cut = true;
    const std::uint64_t write = rig.ask(old_leader, order(9, base, "cut-off"));
    OperatorAsk read;
    read.verb = OperatorVerb::get_manifest;
    const std::uint64_t reading = rig.ask(old_leader, read);
    read.verb = OperatorVerb::get_status;
    const std::uint64_t status = rig.ask(old_leader, read);
    rig.pass(seconds(20));
    for (const std::uint64_t ticket : {write, reading, status}) {
      const OperatorSay *say = rig.answer_to(ticket);
      CHECK(say != nullptr);
      LONGS_EQUAL(503, say->status);
    }
  }
}

TEST(WorstDays, a_leader_that_thaws_answers_only_what_a_majority_confirms_after_the_question) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  const std::string old_leader = rig.leader();
  rig.machines.at(old_leader).is_frozen = true;
  rig.pass(seconds(5));
  LONGS_EQUAL(200, rig.put(2, 1, "second"));
  rig.machines.at(old_leader).is_frozen = false;
  OperatorAsk read;
  read.verb = OperatorVerb::get_manifest;
  const std::uint64_t reading = rig.ask(old_leader, read);
  const std::uint64_t write = rig.ask(old_leader, order(3, 1, "stale"));
  rig.pass(seconds(3));
  for (const std::uint64_t ticket : {reading, write}) {
    const OperatorSay *say = rig.answer_to(ticket);
    CHECK(say != nullptr);
    LONGS_EQUAL(503, say->status);
  }
}

TEST(WorstDays, a_leader_that_is_cut_off_sends_nodes_on_before_a_successor_takes_them_for_lost) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  ControlGroupRig::Machine &machine = rig.machines.at(rig.leader());
  const auto answers_with_orders = [&] {
    ControlOutput out;
    Pulse pulse;
    pulse.sent_at = rig.now;
    machine.node->receive({4242, "edge", pulse}, rig.now, out);
    bool has_orders = false;
    for (const Posted &posted : out.mail)
      has_orders = has_orders || (posted.to == 4242 && std::holds_alternative<Orders>(posted.signal));
    return has_orders;
  };
  CHECK(answers_with_orders());
  machine.is_cut = true;
  rig.pass(milliseconds(300));
  CHECK(answers_with_orders());
  rig.pass(milliseconds(500));
  CHECK(machine.node->raft().is_leader());
  CHECK(!answers_with_orders());
}

// Seen on a hunted day: while 117 machines were restarted in turn the leader's link was full for ten seconds
// (61 MB of Orders in 5 s on 100 Mbit/s), and no process could be told the configuration any more. Each
// change of the node set was sent whole with each answer to each report until a report told of it, which the
// full link held up: the load kept itself up.
TEST(WorstDays, a_node_set_on_its_way_is_not_sent_again_with_each_answer) {
  ControlGroupRig rig(3);
  ReportingNodes nodes(rig, 8);
  ReportingNodes::Node late;
  late.id = 900;
  late.address = "late";
  for (const Instant until = rig.now + seconds(2); rig.now < until; rig.pass(milliseconds(50)))
    rig.send_to_leader(nodes.report_of(late));
  std::size_t whole = 0;
  for (const Instant until = rig.now + seconds(1); rig.now < until; rig.pass(milliseconds(50)))
    for (const Posted &posted : rig.send_to_leader(nodes.report_of(late)))
      if (const auto *orders = std::get_if<Orders>(&posted.signal); orders != nullptr && posted.to == late.id)
        whole += orders->has_roster ? 1 : 0;
  CHECK(whole >= 2);
  CHECK(whole <= 5);
}

// Seen in plays with a leader cut off from all others: it logged a node set of its own machine alone, 1.1 s
// after the cut began. Where a cut ended before it stepped down, that node set would be committed and one
// node would own everything.
TEST(WorstDays, a_leader_that_hears_nobody_makes_no_node_set_of_itself) {
  constexpr std::size_t count = 5;
  for (Span cut = milliseconds(1000); cut <= milliseconds(2000); cut += milliseconds(50)) {
    ControlGroupRig rig;
    rig.options.pilot_silence = milliseconds(900);
    rig.options.enrol_gather = milliseconds(150);
    for (const char *address : {"m0", "m1", "m2"}) rig.seeds.push_back(address);
    for (const char *address : {"m0", "m1", "m2"}) rig.add(address);
    rig.pass(seconds(6));
    ReportingNodes nodes(rig, count);
    ControlGroupRig::Machine &leader = rig.machines.at(rig.leader());
    for (auto &[address, machine] : rig.machines)
      if (&machine != &leader) {
        machine.is_frozen = true;
        break;
      }
    leader.is_cut = true;
    for (std::size_t at = 1; at < count; ++at) nodes.nodes[at].is_silent = true;
    for (const Instant until = rig.now + cut; rig.now < until; rig.pass(milliseconds(10)))
      if (leader.node->raft().is_leader()) rig.send_to(leader, nodes.report_of(nodes.nodes[0]));
    leader.is_cut = false;
    for (ReportingNodes::Node &node : nodes.nodes) node.is_silent = false;
    rig.pass(milliseconds(50));
    for (const auto &[address, machine] : rig.machines)
      LONGS_EQUAL(count, machine.node->registry().roster().pilots.size());
  }
}

// Guards against: a node that lost one delta of the configuration gets none that it can read as long as
// changes come faster than the delta is given up for lost.
TEST(WorstDays, a_lost_delta_is_made_good_though_changes_go_on) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "mark-0"));
  PilotOptions options;
  Member self;
  self.id = 900;
  self.address = "edge";
  self.role = static_cast<std::uint8_t>(Role::pilot);
  Pilot node(self, {"m0"}, options, rig.now);
  PilotOutput out;
  bool must_lose = false;
  rig.to_outside = [&](const std::string &to, const Envelope &envelope) {
    if (to != self.address) return;
    const auto *orders = std::get_if<Orders>(&envelope.signal);
    const bool is_lost = must_lose && orders != nullptr && orders->has_manifest;
    if (is_lost) must_lose = false;
    if (!is_lost) node.receive(envelope, rig.now, out);
  };
  const auto report = [&] {
    node.tick(rig.now, out);
    Outbox sent = std::move(out.mail);
    out = {};
    for (Posted &posted : sent) {
      const std::string to = posted.to == 0 ? posted.address : node.membership().address_of(posted.to);
      const auto machine = rig.machines.find(to);
      if (machine != rig.machines.end())
        rig.send_to(machine->second, {self.id, self.address, std::move(posted.signal)});
    }
  };
  const auto change = [&](int number) {
    rig.ask(rig.leader(), order(number, number - 1, "mark-" + std::to_string(number)));
  };
  int number = 1;
  for (int step = 0; step < 100; ++step, rig.pass(milliseconds(10))) report();
  LONGS_EQUAL(1, node.in_force().version);
  must_lose = true;
  for (int step = 0; step < 300; ++step, rig.pass(milliseconds(10))) {
    if (step % 20 == 0) change(++number);
    report();
  }
  CHECK(!must_lose);
  CHECK(node.in_force().version + 3 >= static_cast<Version>(number));
}

// Guards against: a leader that takes a node for further than it says goes on sending deltas that it cannot
// read.
TEST(WorstDays, a_delta_after_a_missed_one_is_made_from_the_manifest_that_the_node_names) {
  ControlGroupRig rig(3);
  Pulse pulse;
  for (int number = 1; number <= 4; ++number)
    LONGS_EQUAL(200, rig.put(number, number - 1, "mark-" + std::to_string(number)));
  pulse.version = 1;
  pulse.received = 3;
  rig.send_to_leader({900, "edge", pulse});
  pulse.received = 2;
  pulse.has_missed_manifest = true;
  Version base = 0;
  for (const Posted &posted : rig.send_to_leader({900, "edge", pulse}))
    if (const auto *orders = std::get_if<Orders>(&posted.signal); orders != nullptr && posted.to == 900)
      base = orders->manifest_base;
  LONGS_EQUAL(2, base);
}

TEST(WorstDays, of_two_orders_under_one_number_one_is_confirmed_and_repeats_of_it_are_too) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  const std::string leader = rig.leader();
  const std::uint64_t one = rig.ask(leader, order(2, 1, "one"));
  const std::uint64_t other = rig.ask(leader, order(2, 1, "other"));
  const std::uint64_t again = rig.ask(leader, order(2, 1, "one"));
  rig.pass(seconds(3));
  LONGS_EQUAL(200, rig.answer_to(one)->status);
  LONGS_EQUAL(412, rig.answer_to(other)->status);
  LONGS_EQUAL(200, rig.answer_to(again)->status);
  rig.restart(leader);
  rig.wait_leader();
  LONGS_EQUAL(200, rig.put(2, 1, "one"));
  LONGS_EQUAL(412, rig.put(2, 1, "other"));
}

TEST(WorstDays, an_order_sent_again_after_hundreds_of_changes_and_restarts_is_never_refused) {
  ControlGroupRig rig(3);
  rig.options.compact_entries = 100;
  for (const std::string &seed : rig.seeds) rig.restart(seed);
  rig.wait_leader();
  const int changes = 600;
  for (int number = 1; number <= changes; ++number)
    LONGS_EQUAL(200, rig.put(number, number - 1, "w" + std::to_string(number),
                             "key-of-tenant-" + std::to_string(number)));
  for (const std::string &seed : rig.seeds) rig.restart(seed);
  rig.wait_leader();
  for (const int number : {1, 2, 300, changes - 1, changes})
    LONGS_EQUAL(200, rig.put(number, number - 1, "w" + std::to_string(number),
                             "key-of-tenant-" + std::to_string(number)));
  LONGS_EQUAL(412, rig.put(5, 4, "never sent before"));
}

TEST(WorstDays, a_member_that_missed_hundreds_of_changes_catches_up_and_never_leads_with_old_state) {
  ControlGroupRig rig(3);
  rig.options.compact_entries = 50;
  for (const std::string &seed : rig.seeds) rig.restart(seed);
  rig.wait_leader();
  const std::string absent = rig.leader() == "m2" ? "m1" : "m2";
  rig.stop(absent);
  for (int number = 1; number <= 300; ++number)
    LONGS_EQUAL(200, rig.put(number, number - 1, "w" + std::to_string(number)));
  rig.start(absent);
  rig.pass(seconds(4));
  LONGS_EQUAL(300, rig.machines.at(absent).node->registry().version());
  const std::string old_leader = rig.leader();
  rig.stop(old_leader);
  CHECK(!rig.wait_leader().empty());
  LONGS_EQUAL(300, rig.machines.at(rig.leader()).node->registry().version());
}

TEST(WorstDays, a_leaving_leader_hands_the_lead_over_without_an_election_timeout) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  const std::string old_leader = rig.leader();
  ControlNode &leaving = *rig.machines.at(old_leader).node;
  ControlOutput out;
  leaving.set_leaving(rig.now, out);
  CHECK(!leaving.may_end(rig.now));
  rig.pass(milliseconds(200));
  CHECK(!leaving.raft().is_leader());
  CHECK(!rig.leader().empty());
  CHECK(rig.leader() != old_leader);
  CHECK(leaving.may_end(rig.now));
}

TEST(WorstDays, processes_that_leave_together_do_not_hand_the_lead_to_each_other) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  const std::uint64_t before = rig.machines.at(rig.leader()).node->raft().term();
  for (auto &[address, machine] : rig.machines) rig.leave(address);
  rig.pass(milliseconds(300));
  std::uint64_t after = before;
  for (const auto &[address, machine] : rig.machines) after = std::max(after, machine.node->raft().term());
  CHECK(after <= before + 1);
}

TEST(WorstDays, a_leaving_voter_is_replaced_while_it_still_runs_and_a_second_loss_is_borne) {
  for (const bool leader_leaves : {true, false}) {
    ControlGroupRig rig(4);
    LONGS_EQUAL(3, rig.voters());
    LONGS_EQUAL(200, rig.put(1, 0, "first"));
    std::string leaver;
    for (const auto &[address, machine] : rig.machines)
      if (rig.is_voter(machine.id) && (address == rig.leader()) == leader_leaves) leaver = address;
    ControlNode &leaving = *rig.machines.at(leaver).node;
    ControlOutput out;
    leaving.set_leaving(rig.now, out);
    const Instant began = rig.now;
    while (!leaving.may_end(rig.now) && rig.now - began < seconds(3)) rig.pass(milliseconds(20));
    CHECK(leaving.may_end(rig.now));
    rig.stop(leaver);
    rig.wait_leader();
    LONGS_EQUAL(3, rig.voters());
    CHECK(!rig.is_voter(rig.machines.at(leaver).id));
    rig.stop(rig.leader());
    CHECK(!rig.wait_leader().empty());
    LONGS_EQUAL(200, rig.put(2, 1, "second"));
  }
}

TEST(WorstDays, a_wiped_voter_is_replaced_at_once_and_a_second_loss_right_after_is_borne) {
  ControlGroupRig rig(3);
  LONGS_EQUAL(200, rig.put(1, 0, "first"));
  const std::string wiped = rig.leader() == "m1" ? "m2" : "m1";
  const NodeId old_identity = rig.machines.at(wiped).id;
  rig.wipe(wiped);
  rig.pass(seconds(2));
  CHECK(!rig.is_voter(old_identity));
  CHECK(rig.is_voter(rig.machines.at(wiped).id));
  LONGS_EQUAL(3, rig.voters());
  rig.stop(rig.leader());
  CHECK(!rig.wait_leader().empty());
  LONGS_EQUAL(200, rig.put(2, 1, "second"));
}

TEST(WorstDays, what_was_acknowledged_outlives_the_loss_of_two_disks_while_all_others_lose_power) {
  constexpr int count = 5;
  for (int first = 0; first < count; ++first)
    for (int second = first + 1; second < count; ++second) {
      ControlGroupRig rig(count);
      rig.pass(seconds(2));
      LONGS_EQUAL(count, rig.voters());
      LONGS_EQUAL(200, rig.put(1, 0, "first"));
      LONGS_EQUAL(200, rig.put(2, 1, "second"));
      // Right after the acknowledgement nothing runs any more, and nobody remembers where the others were.
      for (auto &[address, machine] : rig.machines) rig.stop(address);
      rig.options.may_found = false;
      for (auto &[address, machine] : rig.machines) {
        const bool is_wiped =
            address == "m" + std::to_string(first) || address == "m" + std::to_string(second);
        is_wiped ? rig.wipe(address) : rig.start(address);
      }
      CHECK(!rig.wait_leader().empty());
      LONGS_EQUAL(2, rig.machines.at(rig.leader()).node->registry().version());
      rig.pass(seconds(6));
      LONGS_EQUAL(200, rig.put(3, 2, "third"));
      LONGS_EQUAL(count, rig.voters());
    }
}

TEST(WorstDays, a_process_without_a_disk_is_no_replica_and_names_one) {
  ControlGroupRig rig(3);
  rig.options.is_replica = false;
  Member self;
  self.id = 77;
  self.address = self.http = "diskless";
  self.role = static_cast<std::uint8_t>(Role::control);
  self.is_replica = false;
  ControlGroupRig::Machine &machine = rig.machines["diskless"];
  machine.address = "diskless";
  machine.id = self.id;
  machine.node = std::make_unique<ControlNode>(self, rig.seeds, rig.options, 5, Recovered{}, rig.now);
  rig.pass(seconds(4));
  LONGS_EQUAL(3, rig.machines.at(rig.leader()).node->raft().replicas().size());
  const std::uint64_t ticket = rig.ask("diskless", order(1, 0, "first"));
  const OperatorSay *say = rig.answer_to(ticket);
  CHECK(say != nullptr);
  LONGS_EQUAL(503, say->status);
  CHECK(rig.machines.contains(say->leader_http) && say->leader_http != "diskless");
}

TEST(WorstDays, narrow_machines_own_nothing_though_a_new_leader_has_not_heard_all_nodes) {
  ControlGroupRig rig;
  rig.options.must_wait_roster = false;
  for (int at = 0; at < 3; ++at) rig.seeds.push_back("m" + std::to_string(at));
  for (const std::string &seed : rig.seeds) rig.add(seed);
  rig.pass(seconds(6));
  ReportingNodes edge(rig);
  for (NodeId id = 1; id <= 25; ++id)
    edge.add(500 + id, id <= 5 ? ReportingNodes::wide : ReportingNodes::narrow);
  edge.report_for(seconds(3));
  LONGS_EQUAL(25, edge.roster().pilots.size());
  LONGS_EQUAL(5, edge.roster().owner_candidates.size());
  for (const std::string &seed : rig.seeds) rig.restart(seed);
  rig.wait_leader();
  for (std::size_t at = 0; at < 5; ++at) {
    edge.nodes[at].replaces = {edge.nodes[at].id};
    edge.nodes[at].id += 100;
  }
  edge.nodes.back().is_silent = true;
  const Epoch before = edge.roster().epoch;
  edge.report_for(milliseconds(800));
  CHECK(edge.roster().epoch > before);
  LONGS_EQUAL(5, edge.roster().owner_candidates.size());
  for (NodeId id : edge.roster().owner_candidates) CHECK(id > 600);
}

TEST(WorstDays, owners_are_chosen_anew_once_all_nodes_have_told_what_their_machines_have) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 25);
  LONGS_EQUAL(0, edge.roster().owner_candidates.size());
  for (std::size_t at = 0; at < edge.nodes.size(); ++at)
    edge.nodes[at].capacity = at < 5 ? ReportingNodes::wide : ReportingNodes::narrow;
  edge.report_for(seconds(3));
  LONGS_EQUAL(5, edge.roster().owner_candidates.size());
  const Epoch chosen = edge.roster().epoch;
  edge.report_for(seconds(3));
  LONGS_EQUAL(chosen, edge.roster().epoch);
}

// Guards against: the loss of the control group's machines takes owners of tenants and services along.
TEST(WorstDays, machines_of_the_control_group_own_nothing_while_enough_others_are_there) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 9);
  for (std::size_t at = 0; at < 3; ++at) edge.nodes[at].is_beside_control = true;
  edge.report_for(seconds(3));
  LONGS_EQUAL(9, edge.roster().pilots.size());
  LONGS_EQUAL(6, edge.roster().owner_candidates.size());
  for (const NodeId id : edge.roster().owner_candidates) CHECK(id > edge.nodes[2].id);
  for (ReportingNodes::Node &node : edge.nodes) node.is_beside_control = true;
  edge.report_for(seconds(3));
  LONGS_EQUAL(0, edge.roster().owner_candidates.size());
}

// Guards against: a successor begins while witnesses have vouched for the owner before it, as a report that
// came late said that they had not.
TEST(WorstDays, a_late_report_takes_nothing_back_of_what_a_witness_vouched_for) {
  for (const bool has_vouched : {false, true}) {
    ControlGroupRig rig(3);
    ReportingNodes edge(rig, 9);
    edge.nodes.front().is_silent = true;
    for (ReportingNodes::Node &node : edge.nodes) node.witness_granted_for = has_vouched ? seconds(9) : 0;
    edge.report_for(milliseconds(100));
    for (ReportingNodes::Node &node : edge.nodes) node.witness_granted_for = 0;
    edge.report_for(seconds(5));
    LONGS_EQUAL(8, edge.roster().pilots.size());
    CHECK_EQUAL(!has_vouched, edge.nodes.back().settled == edge.roster().epoch);
    edge.report_for(seconds(5));
    LONGS_EQUAL(edge.roster().epoch, edge.nodes.back().settled);
  }
}

// Guards against: a successor begins beside an owner that still relies on what witnesses granted just before
// they ended.
TEST(WorstDays, what_a_witness_granted_holds_for_its_span_though_the_witness_has_ended) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 9);
  // None hears the leader; meanwhile each may have vouched for the first node, which stays cut off.
  rig.pass(seconds(4));
  edge.nodes.front().is_silent = true;
  for (std::size_t at = 1; at <= 5; ++at) {
    edge.nodes[at].replaces = {edge.nodes[at].id};
    edge.nodes[at].id += 100;
  }
  const Epoch before = edge.roster().epoch;
  edge.report_for(milliseconds(900));
  CHECK(edge.roster().epoch > before);
  CHECK(edge.nodes.back().settled < edge.roster().epoch);
  edge.report_for(seconds(4));
  LONGS_EQUAL(edge.roster().epoch, edge.nodes.back().settled);
}

// Guards against: quotas are strict for a second longer after the loss of all nodes, as a node that owned
// nothing had left before.
TEST(WorstDays, owners_that_have_ended_are_not_waited_for_whatever_left_before) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 9);
  for (std::size_t at = 0; at < 3; ++at) edge.nodes[at].is_beside_control = true;
  edge.report_for(seconds(30));
  edge.nodes.front().is_silent = true;
  edge.report_for(seconds(8));
  for (ReportingNodes::Node &node : edge.nodes) {
    if (node.is_silent) continue;
    node.replaces = {node.id};
    node.id += 100;
  }
  edge.report_for(seconds(1));
  CHECK(edge.nodes.back().quiet >= milliseconds(800));
}

TEST(WorstDays, a_node_whose_reports_come_too_late_for_a_lease_owns_nothing_and_holds_up_no_successor) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 9);
  ReportingNodes::Node &late = edge.nodes.front();
  late.has_lost_lease = true;
  edge.report_for(milliseconds(500));
  LONGS_EQUAL(9, edge.roster().pilots.size());
  const Epoch old_epoch = late.epoch;
  edge.report_for(seconds(2));
  LONGS_EQUAL(8, edge.roster().pilots.size());
  late.epoch = old_epoch;
  edge.report(late);
  CHECK(!late.has_lease);
  edge.report(late);
  CHECK(late.has_lease);
  late.has_lost_lease = false;
  edge.report_for(seconds(5));
  LONGS_EQUAL(8, edge.roster().pilots.size());
  edge.report_for(seconds(8));
  LONGS_EQUAL(9, edge.roster().pilots.size());
}

TEST(WorstDays, when_most_nodes_are_late_none_of_them_is_passed_over) {
  ControlGroupRig rig(3);
  ReportingNodes edge(rig, 9);
  for (std::size_t at = 0; at < 5; ++at) edge.nodes[at].has_lost_lease = true;
  edge.report_for(seconds(3));
  LONGS_EQUAL(9, edge.roster().pilots.size());
}

TEST(WorstDays, of_two_halves_of_the_core_one_at_most_confirms_and_neither_shows_an_older_state) {
  for (int cut_with_leader = 1; cut_with_leader <= 4; ++cut_with_leader) {
    ControlGroupRig rig(5);
    LONGS_EQUAL(200, rig.put(1, 0, "first"));
    rig.wait_leader();
    const std::string old_leader = rig.leader();
    rig.machines.at(old_leader).side = 1;
    int joined = 1;
    for (auto &[address, machine] : rig.machines) {
      if (address == old_leader || joined == cut_with_leader) continue;
      machine.side = 1;
      ++joined;
    }
    const std::uint64_t early = rig.ask(old_leader, order(2, 1, "in the cut"));
    rig.pass(seconds(4));
    // Operators reach both halves: each machine is asked to write and to read.
    std::vector<std::uint64_t> writes{early}, reads;
    OperatorAsk read;
    read.verb = OperatorVerb::get_manifest;
    const OperatorSay *early_say = rig.answer_to(early);
    const bool is_early_confirmed = early_say != nullptr && early_say->status == 200;
    for (const auto &[address, machine] : rig.machines) {
      writes.push_back(rig.ask(address, order(3, 1, "to " + address)));
      reads.push_back(rig.ask(address, read));
    }
    rig.pass(seconds(8));
    int confirmed = 0;
    for (const std::uint64_t ticket : writes) {
      const OperatorSay *say = rig.answer_to(ticket);
      confirmed += say != nullptr && say->status == 200 ? 1 : 0;
    }
    CHECK(confirmed <= 1);
    const Version newest = confirmed == 0 ? 1 : 2;
    std::vector<std::uint64_t> late_reads;
    for (const auto &[address, machine] : rig.machines) late_reads.push_back(rig.ask(address, read));
    rig.pass(seconds(3));
    const auto check_not_older = [&rig](std::uint64_t ticket, Version least) {
      const OperatorSay *say = rig.answer_to(ticket);
      if (say != nullptr && say->status == 200) CHECK(say->version >= least);
    };
    for (const std::uint64_t ticket : reads) check_not_older(ticket, is_early_confirmed ? 2 : 1);
    for (const std::uint64_t ticket : late_reads) check_not_older(ticket, newest);
    // A machine of the larger half is killed before the halves meet again: losses overlap.
    const std::string lost = rig.leader();
    if (!lost.empty()) rig.restart(lost);
    for (auto &[address, machine] : rig.machines) machine.side = 0;
    rig.pass(seconds(6));
    rig.wait_leader();
    CHECK(rig.machines.at(rig.leader()).node->registry().version() >= newest);
    rig.pass(seconds(3));
    const auto version = rig.machines.at(rig.leader()).node->registry().version();
    for (const auto &[address, machine] : rig.machines)
      LONGS_EQUAL(version, machine.node->registry().version());
  }
}
