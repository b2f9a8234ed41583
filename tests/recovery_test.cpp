#include <cmath>

#include "control_rig.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
constexpr Instant start = seconds(100);

ServicePlan priced_plan() {
  ServicePlan plan;
  plan.slots = 2;
  plan.most = 50;
  plan.idle = seconds(2);
  plan.boot = milliseconds(800);
  plan.wait_well = milliseconds(120);
  plan.is_priced = plan.is_self_bounding = true;
  return plan;
}

RunnerView view(const std::string &id, const std::string &zone = "a", bool is_booting = false) {
  RunnerView made;
  made.id = id;
  made.service = "s";
  made.address = "10.0.0.1:1";
  made.zone = zone;
  made.handle = "i-" + id;
  made.is_booting = is_booting;
  return made;
}

SlotAsk slot_ask(const std::string &errand, const std::string &zone = "a", std::uint32_t attempt = 0) {
  SlotAsk ask;
  ask.errand = errand;
  ask.service = "s";
  ask.tenant = "t";
  ask.zone = zone;
  ask.attempt = attempt;
  ask.patience = seconds(3);
  return ask;
}

struct Berthed {
  Scheduler scheduler{rig_self, SchedulerOptions{}};
  Outbox out;
  explicit Berthed(std::vector<RunnerView> runners, ServicePlan plan = priced_plan()) {
    scheduler.set_fresh_until(start + seconds(1000));
    scheduler.set_plans({{"s", plan}}, start, out);
    scheduler.set_runners(runners, start, out);
    Roster roster;
    roster.epoch = 1;
    roster.pilots = {rig_self};
    roster.is_first = true;
    scheduler.set_roster(roster, 1, start, out);
    scheduler.set_runners(runners, start, out);
  }
  std::string granted_runner(const std::string &errand) const {
    std::string runner;
    for (const Posted &posted : out)
      if (const auto *say = std::get_if<SlotSay>(&posted.signal))
        if (say->errand == errand && say->state == static_cast<std::uint8_t>(SlotState::granted))
          runner = say->runner;
    return runner;
  }
  std::uint32_t wanted(Instant now) const { return scheduler.wants(now).front().runners; }
};

Orders orders_for(const PilotRig &rig, const std::string &limits) {
  Orders orders = rig.orders(2, "first-key-00000000");
  orders.manifest = R"({"tenants": {")" + rig.tenant +
                    R"(": {"keys": ["first-key-00000000"], "unbounded": true}}, "services": {")" +
                    rig.service +
                    R"(": {"image": "i", "slots": 4, "self_bounding": true}}, "rules": {"r": "GET /** to )" +
                    rig.service + R"( tries 2 repeatable", "w": "POST /** to )" + rig.service +
                    R"( tries 2"}, "limits": {)" + limits + "}}";
  return orders;
}

Waybill plan_call(PilotRig &rig, const std::string &id, const std::string &method) {
  ErrandHead head;
  head.id = id;
  head.method = method;
  head.target = "/x";
  head.key = "first-key-00000000";
  return std::get<Waybill>(rig.pilot.front(head, rig.now));
}
} // namespace

TEST_GROUP(Recovery){};

TEST(Recovery, a_successor_keeps_the_runners_it_finds_until_it_knows_better) {
  Berthed berthed({view("r1"), view("r2"), view("r3")});
  LONGS_EQUAL(3, berthed.wanted(start + milliseconds(100)));
  berthed.scheduler.tick(start + seconds(30), berthed.out);
  CHECK(berthed.wanted(start + seconds(30)) < 3);
}

TEST(Recovery, a_slot_whose_call_was_lost_frees_by_itself_and_its_runner_stays) {
  Berthed berthed({view("r1")});
  berthed.scheduler.step(9, slot_ask("e"), start, berthed.out);
  STRCMP_EQUAL("r1", berthed.granted_runner("e").c_str());
  berthed.scheduler.step(9, SlotFree{"e", "s", "r1", static_cast<std::uint8_t>(SlotEnd::lost), 0}, start,
                         berthed.out);
  LONGS_EQUAL(1, berthed.scheduler.slots_taken("r1"));
  berthed.scheduler.tick(start + seconds(1), berthed.out);
  LONGS_EQUAL(0, berthed.scheduler.slots_taken("r1"));
  CHECK(berthed.scheduler.wants(start).front().retire.empty());
}

TEST(Recovery, a_runner_that_loses_call_after_call_is_ended) {
  Berthed berthed({view("r1")});
  for (int at = 0; at < 5; ++at) {
    const Instant now = start + seconds(at);
    const std::string errand = "e" + std::to_string(at);
    berthed.scheduler.tick(now, berthed.out);
    berthed.scheduler.step(9, slot_ask(errand), now, berthed.out);
    berthed.scheduler.step(9, SlotFree{errand, "s", "r1", static_cast<std::uint8_t>(SlotEnd::lost), 0}, now,
                           berthed.out);
  }
  LONGS_EQUAL(1, berthed.scheduler.wants(start).front().retire.size());
}

TEST(Recovery, a_starting_runner_gets_errands_only_once_it_answers_a_knock) {
  Berthed berthed({view("r1", "a", true)});
  berthed.scheduler.step(9, slot_ask("e"), start, berthed.out);
  STRCMP_EQUAL("", berthed.granted_runner("e").c_str());
  CHECK(berthed.scheduler.knocks(start + milliseconds(100)).empty());
  const auto knocks = berthed.scheduler.knocks(start + milliseconds(400));
  LONGS_EQUAL(1, knocks.size());
  STRCMP_EQUAL("i-r1", knocks[0].handle.c_str());
  CHECK(berthed.scheduler.knocks(start + milliseconds(410)).empty());
  berthed.scheduler.is_up("s", "r1", start + milliseconds(450), berthed.out);
  STRCMP_EQUAL("r1", berthed.granted_runner("e").c_str());
  CHECK(berthed.scheduler.knocks(start + seconds(2)).empty());
}

TEST(Recovery, runners_of_the_askers_own_zone_go_first) {
  Berthed berthed({view("r1", "a"), view("r2", "b")});
  berthed.scheduler.step(9, slot_ask("e", "b"), start, berthed.out);
  berthed.scheduler.step(9, slot_ask("f", "b"), start, berthed.out);
  berthed.scheduler.step(9, slot_ask("g", "b"), start, berthed.out);
  STRCMP_EQUAL("r2", berthed.granted_runner("e").c_str());
  STRCMP_EQUAL("r2", berthed.granted_runner("f").c_str());
  STRCMP_EQUAL("r1", berthed.granted_runner("g").c_str());
}

TEST(Recovery, a_moment_of_waiting_starts_no_runner_and_a_long_line_does) {
  Berthed berthed({view("r1")});
  for (int at = 0; at < 4; ++at)
    berthed.scheduler.step(9, slot_ask("e" + std::to_string(at)), start, berthed.out);
  LONGS_EQUAL(1, berthed.wanted(start));
  for (int at = 4; at < 20; ++at)
    berthed.scheduler.step(9, slot_ask("e" + std::to_string(at)), start, berthed.out);
  CHECK(berthed.wanted(start) >= 10);
}

TEST(Recovery, a_caller_that_leaves_ends_the_call_only_where_it_may_run_twice) {
  for (const std::string method : {"GET", "POST"}) {
    PilotRig rig;
    PilotOutput out;
    rig.pilot.receive({rig_leader, "h", orders_for(rig, "")}, rig.now, out);
    rig.pilot.arrive(plan_call(rig, "e", method), rig.now, out);
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r1", 0)}, rig.now, out);
    LONGS_EQUAL(1, out.carries.size());
    rig.pilot.caller_gone("e", rig.now, out);
    LONGS_EQUAL(method == "GET" ? 1 : 0, out.cancels.size());
    rig.pilot.caller_gone("e", rig.now, out);
    LONGS_EQUAL(method == "GET" ? 1 : 0, out.cancels.size());
    rig.pilot.call_ended({"e", CallKind::lost, 0, {}, {}, {}}, rig.now, out);
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r2", 1)}, rig.now, out);
    LONGS_EQUAL(1, out.carries.size());
    LONGS_EQUAL(0, rig.pilot.afloat());
  }
}

TEST(Recovery, a_lost_call_goes_to_another_runner_only_where_it_may_run_twice) {
  for (const std::string method : {"GET", "POST"}) {
    PilotRig rig;
    PilotOutput out;
    rig.pilot.receive({rig_leader, "h", orders_for(rig, "")}, rig.now, out);
    rig.pilot.arrive(plan_call(rig, "e", method), rig.now, out);
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r1", 0)}, rig.now, out);
    LONGS_EQUAL(1, out.carries.size());
    rig.pilot.call_ended({"e", CallKind::lost, 0, {}, {}, {}}, rig.now, out);
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r2", 1)}, rig.now, out);
    if (method == "POST") {
      LONGS_EQUAL(1, out.carries.size());
      LONGS_EQUAL(1, out.replies.size());
      CHECK(outcome_of(out.replies[0].fate).verdict == Verdict::unknown);
      continue;
    }
    LONGS_EQUAL(2, out.carries.size());
    rig.pilot.call_ended({"e", CallKind::refused, 0, {}, {}, {}}, rig.now, out);
    LONGS_EQUAL(1, out.replies.size());
    CHECK(out.replies[0].fate == Fate::link_lost);
  }
}

TEST(Recovery, runners_that_were_never_reached_are_no_tries) {
  PilotRig rig;
  PilotOutput out;
  rig.pilot.receive({rig_leader, "h", orders_for(rig, "")}, rig.now, out);
  rig.pilot.arrive(plan_call(rig, "e", "POST"), rig.now, out);
  for (std::uint32_t attempt = 0; attempt < 4; ++attempt) {
    rig.pilot.receive({rig_other, "q", rig.grant("e", "r" + std::to_string(attempt), attempt)}, rig.now, out);
    LONGS_EQUAL(attempt + 1, out.carries.size());
    rig.pilot.call_ended({"e", CallKind::unreached, 0, {}, {}, {}}, rig.now, out);
    CHECK(out.replies.empty());
  }
}

TEST(Recovery, a_callers_wait_counts_from_the_first_byte_of_its_request) {
  PilotRig rig;
  PilotOutput out;
  rig.pilot.receive({rig_leader, "h", orders_for(rig, "")}, rig.now, out);
  ErrandHead head;
  head.id = "e";
  head.method = "GET";
  head.target = "/x";
  head.key = "first-key-00000000";
  head.wait_ms = 4000;
  const Instant quick = std::get<Waybill>(rig.pilot.front(head, rig.now)).deadline;
  head.begun_at = rig.now - milliseconds(900);
  const Instant slow = std::get<Waybill>(rig.pilot.front(head, rig.now)).deadline;
  LONGS_EQUAL(milliseconds(900), quick - slow);
}

TEST(Recovery, a_pilot_cut_off_serves_on_only_as_long_as_the_manifest_says) {
  for (const bool may_go_on : {false, true}) {
    PilotRig rig;
    PilotOutput out;
    rig.pilot.receive({rig_leader, "h", orders_for(rig, may_go_on ? R"("cut_off_s": 30)" : "")}, rig.now,
                      out);
    CHECK(rig.pilot.may_serve(rig.now));
    LONGS_EQUAL(may_go_on, rig.pilot.may_serve(rig.now + seconds(20)));
    CHECK(!rig.pilot.may_serve(rig.now + seconds(33)));
  }
}

// Guards against: a node whose membership misses the leader reports to all control processes but that one for
// good, though others name it.
TEST(Recovery, a_node_that_is_not_led_reports_to_the_leader_it_is_named_and_to_seeds_not_known_to_live) {
  PilotRig rig;
  PilotOutput out;
  const auto control = [](NodeId id, const std::string &address, std::uint64_t beat) {
    Member member;
    member.id = id;
    member.address = address;
    member.role = static_cast<std::uint8_t>(Role::control);
    member.beat = beat;
    return member;
  };
  constexpr NodeId follower = 50, named = 60;
  rig.pilot.receive(
      {follower, "f", MembershipGossip{{control(follower, "f", 1), control(named, "n", 1)}, {}, {}}}, rig.now,
      out);
  rig.now += seconds(10);
  rig.pilot.receive({follower, "f", MembershipGossip{{control(follower, "f", 2)}, {}, {}}}, rig.now, out);
  rig.pilot.receive({follower, "f", NotLeader{named}}, rig.now, out);
  out = {};
  rig.pilot.tick(rig.now, out);
  std::vector<NodeId> nodes;
  std::vector<std::string> addresses;
  for (const Posted &posted : out.mail) {
    if (!std::holds_alternative<Pulse>(posted.signal)) continue;
    if (posted.to != 0)
      nodes.push_back(posted.to);
    else
      addresses.push_back(posted.address);
  }
  CHECK(nodes == (std::vector<NodeId>{follower, named}));
  CHECK(addresses == std::vector<std::string>{"seed"});
}

// Guards against: after a loss of power a node never gets its configuration, as its manifest and its node
// set, each sent again at its own pace, never come in one message; its lease then keeps the node set from
// settling for all.
TEST(Recovery, a_manifest_and_a_node_set_that_come_apart_are_both_taken_in_either_order) {
  for (const bool is_manifest_first : {true, false}) {
    PilotRig rig;
    PilotOutput out;
    const auto receive = [&](bool has_manifest, bool has_roster) {
      Orders orders = rig.orders(2, "second-key-0000000");
      orders.roster.epoch = 2;
      orders.has_manifest = has_manifest;
      if (!has_manifest) orders.manifest.clear();
      orders.has_roster = has_roster;
      rig.pilot.receive({rig_leader, "h", orders}, rig.now, out);
    };
    if (!is_manifest_first) receive(false, true);
    receive(true, false);
    receive(false, true);
    LONGS_EQUAL(2, rig.pilot.in_force().version);
    LONGS_EQUAL(2, rig.pilot.roster().epoch);
  }
}

// Guards against: a change that waits for its moment is put in force under its number with the text of a
// later one, or an older text, late on its way, takes the place of a newer one.
TEST(Recovery, a_manifest_is_in_force_only_under_its_own_number_whatever_comes_meanwhile) {
  for (const bool is_older_last : {false, true}) {
    PilotOptions options;
    options.switch_gap = milliseconds(300);
    PilotRig rig(options);
    PilotOutput out;
    const auto key_in_force = [&] { return rig.pilot.in_force().charter->tenants.front().keys.front(); };
    const std::string first_key = key_in_force();
    Orders waiting = rig.orders(2, "second-key-0000000");
    rig.pilot.receive({rig_leader, "h", waiting}, rig.now, out);
    Orders next = rig.orders(3, "third-key-00000000");
    next.has_roster = is_older_last;
    next.roster.epoch = is_older_last ? 1 : 2;
    rig.pilot.receive({rig_leader, "h", next}, rig.now, out);
    if (is_older_last) rig.pilot.receive({rig_leader, "h", waiting}, rig.now, out);
    rig.now += milliseconds(400);
    rig.pilot.tick(rig.now, out);
    const Version version = rig.pilot.in_force().version;
    LONGS_EQUAL(is_older_last ? 3 : 1, version);
    CHECK((key_in_force() == first_key) == (version == 1));
  }
}

TEST(Recovery, changed_runners_are_taken_only_on_top_of_what_they_changed) {
  PilotRig rig;
  PilotOutput out;
  const auto told = [&](std::uint64_t since, std::uint64_t stamp, std::vector<std::string> ids,
                        std::vector<std::string> changed_services) {
    Orders orders = rig.orders(1, "first-key-00000000");
    orders.has_runners = true;
    orders.since_stamp = since;
    orders.runners_stamp = stamp;
    orders.changed_services = std::move(changed_services);
    for (const std::string &id : ids) orders.runners.push_back(view(id));
    rig.pilot.receive({rig_leader, "h", orders}, rig.now, out);
    return rig.pilot.gauges(rig.now).at("runners_known");
  };
  LONGS_EQUAL(2, told(0, 5, {"r1", "r2"}, {}));
  LONGS_EQUAL(2, told(7, 8, {"r3"}, {"s"}));
  LONGS_EQUAL(1, told(5, 6, {"r3"}, {"s"}));
  LONGS_EQUAL(1, told(5, 6, {"r3", "r4"}, {"s"}));
  LONGS_EQUAL(2, told(5, 9, {"r3", "r4"}, {"s"}));
  LONGS_EQUAL(2, told(9, 10, {}, {"other"}));
  LONGS_EQUAL(0, told(10, 11, {}, {"s"}));
  LONGS_EQUAL(1, told(0, 12, {"r9"}, {}));
}

TEST(Recovery, a_node_whose_owner_falls_silent_goes_on_as_it_was_granted) {
  for (const double as_before : {0.0, 1.0}) {
    PilotOptions options;
    options.fallback_as_before = as_before;
    options.fallback_burst_s = 0.3;
    PilotRig rig;
    Pilot pilot(PilotRig::make_self(), {"seed"}, options, rig.now);
    PilotOutput out;
    pilot.receive({rig_leader, "h", rig.orders(1, "first-key-00000000")}, rig.now, out);
    int served = 0, number = 0;
    std::uint64_t permit = 1;
    const auto second = [&](bool is_owner_there) {
      served = 0;
      for (const Instant until = rig.now + seconds(1); rig.now < until; rig.now += milliseconds(20)) {
        Orders fresh = rig.orders(1, "first-key-00000000");
        fresh.has_manifest = false;
        pilot.receive({rig_leader, "h", fresh}, rig.now, out);
        ErrandHead head;
        head.id = "e" + std::to_string(++number);
        head.method = "POST";
        head.target = "/x";
        head.key = "first-key-00000000";
        const Waybill bill = std::get<Waybill>(pilot.front(head, rig.now));
        pilot.arrive(bill, rig.now, out);
        pilot.tick(rig.now, out);
        for (const Posted &posted : std::exchange(out.mail, {})) {
          if (const auto *slot = std::get_if<SlotAsk>(&posted.signal)) {
            ++served;
            SlotSay full = rig.grant(slot->errand, "", slot->attempt);
            full.state = static_cast<std::uint8_t>(SlotState::refused);
            pilot.receive({rig_other, "q", full}, rig.now, out);
          }
          const auto *ask = std::get_if<PermitAsk>(&posted.signal);
          if (ask == nullptr || ask->want == 0 || !is_owner_there) continue;
          PermitSay say;
          say.tenant = rig.tenant;
          say.ask = ask->ask;
          say.permit = permit++;
          say.tokens = ask->want;
          say.window = milliseconds(100);
          pilot.receive({rig_other, "q", say}, rig.now, out);
        }
      }
      return served;
    };
    for (int at = 0; at < 10; ++at) second(true);
    CHECK(second(true) > 40);
    second(false);
    const int silent = second(false);
    if (as_before > 0)
      CHECK(silent > 20 && silent <= 52);
    else
      CHECK(silent < 10);
  }
}

TEST(Recovery, errands_turned_away_for_want_of_tokens_come_back_one_after_another) {
  PilotRig rig;
  PilotOutput out;
  std::vector<Span> waits;
  for (int at = 0; at < 6; ++at) {
    rig.pilot.arrive(rig.bill("e" + std::to_string(at)), rig.now, out);
    Waybill unpaid = rig.bill("u" + std::to_string(at));
    unpaid.is_paid = false;
    unpaid.permit = 0;
    rig.pilot.arrive(unpaid, rig.now, out);
  }
  for (const Posted &posted : std::exchange(out.mail, {}))
    if (const auto *ask = std::get_if<PermitAsk>(&posted.signal)) {
      PermitSay say;
      say.tenant = rig.tenant;
      say.ask = ask->ask;
      say.retry_after = milliseconds(600);
      rig.pilot.receive({rig_other, "q", say}, rig.now, out);
    }
  rig.now += milliseconds(1600);
  rig.pilot.tick(rig.now, out);
  for (const Reply &reply : out.replies)
    if (reply.fate == Fate::over_quota || reply.fate == Fate::no_permit) waits.push_back(reply.retry_after);
  CHECK(waits.size() >= 3);
  std::sort(waits.begin(), waits.end());
  for (std::size_t at = 1; at < waits.size(); ++at) CHECK(waits[at] - waits[at - 1] >= milliseconds(19));
  CHECK(waits.back() <= seconds(2));
}

namespace {
struct Yarded : LoneControlNode {
  void list(std::vector<RunnerSeen> runners) {
    ControlOutput out;
    control->platform_seen({{{"w0", "a", 4096, false}, {"w1", "b", 4096, false}}, std::move(runners)}, now,
                           out);
    take(out);
    pass(milliseconds(200));
  }
  int write(const std::string &body, const std::string &base) {
    ControlOutput out;
    control->operate({1, OperatorVerb::put_manifest, body, base, body}, now, out);
    take(out);
    pass(milliseconds(300));
    return answers.back().status;
  }
  void say(const PlatformOrder &order, OrderEnd end, const std::string &handle = {}) {
    ControlOutput out;
    control->platform_said({order.runner.id, order.runner.worker, order.is_start, end, handle, "10.0.0.9:1"},
                           now, out);
    take(out);
    pass(milliseconds(200));
  }
  static std::string manifest(int number) {
    return R"({"number": )" + std::to_string(number) +
           R"(, "services": {"s": {"image": "i", "memory_mb": 100, "least": 1}}})";
  }
  const RunnerRecord &only_runner() const {
    LONGS_EQUAL(1, control->registry().runners().size());
    return control->registry().runners().begin()->second;
  }
};
} // namespace

TEST(Recovery, operators_number_versions_themselves_and_only_upwards) {
  Yarded yard;
  LONGS_EQUAL(200, yard.write(Yarded::manifest(5), "0"));
  LONGS_EQUAL(5, yard.control->registry().version());
  LONGS_EQUAL(422, yard.write(R"({"number": 5})", "5"));
  LONGS_EQUAL(412, yard.write(Yarded::manifest(9), "4"));
  LONGS_EQUAL(200, yard.write(Yarded::manifest(9), "5"));
  LONGS_EQUAL(200, yard.write(Yarded::manifest(9), "5"));
  LONGS_EQUAL(9, yard.control->registry().version());
  Registry registry;
  PutManifest behind;
  behind.bytes = "{}";
  behind.number = 3;
  CHECK(registry.apply(behind).is_taken);
  CHECK(!registry.apply(behind).is_taken);
}

TEST(Recovery, a_start_is_repeated_under_its_name_until_the_platform_has_named_the_runner) {
  Yarded yard;
  yard.list({});
  yard.write(Yarded::manifest(1), "0");
  yard.pass(milliseconds(300));
  LONGS_EQUAL(1, yard.orders.size());
  const PlatformOrder first = yard.orders.back();
  yard.say(first, OrderEnd::unknown);
  yard.pass(seconds(2));
  LONGS_EQUAL(2, yard.orders.size());
  STRCMP_EQUAL(first.runner.id.c_str(), yard.orders.back().runner.id.c_str());
  yard.say(yard.orders.back(), OrderEnd::done, "i-7");
  STRCMP_EQUAL("i-7", yard.only_runner().handle.c_str());
  STRCMP_EQUAL("10.0.0.9:1", yard.only_runner().address.c_str());
  yard.pass(seconds(5));
  LONGS_EQUAL(2, yard.orders.size());
  yard.list({{"i-7", "s", "w0", "10.0.0.9:1", RunnerPhase::ready}});
  yard.pass(seconds(5));
  LONGS_EQUAL(2, yard.orders.size());
  yard.list({});
  yard.pass(seconds(1));
  CHECK(yard.only_runner().id != first.runner.id);
}

TEST(Recovery, a_started_runner_is_told_to_the_owner_of_its_service_only) {
  Yarded yard;
  yard.list({});
  yard.write(Yarded::manifest(1), "0");
  LONGS_EQUAL(1, yard.orders.size());
  const PlatformOrder order = yard.orders.back();
  const auto report_all = [&] {
    for (NodeId id = 500; id < 520; ++id) {
      ControlOutput out;
      Pulse pulse;
      pulse.sent_at = yard.now;
      pulse.version = yard.control->registry().version();
      pulse.epoch = yard.control->registry().roster().epoch;
      yard.control->receive({id, "p" + std::to_string(id), pulse}, yard.now, out);
      yard.take(out);
    }
  };
  for (int round = 0; round < 12; ++round) {
    report_all();
    yard.pass(milliseconds(100));
  }
  LONGS_EQUAL(20, yard.control->registry().roster().pilots.size());
  ControlOutput out;
  yard.control->platform_said(
      {order.runner.id, order.runner.worker, true, OrderEnd::done, "i-1", "10.0.0.9:1"}, yard.now, out);
  std::vector<NodeId> told;
  for (const Posted &posted : out.mail)
    if (const auto *orders = std::get_if<Orders>(&posted.signal))
      if (!orders->runners.empty()) told.push_back(posted.to);
  LONGS_EQUAL(1, told.size());
  CHECK(rank_nodes(yard.control->registry().roster().pilots, "s", scheduler_salt)[0] == told[0]);
}

TEST(Recovery, an_owner_whose_runners_are_told_to_its_successor_still_hands_over_the_slots_it_granted) {
  PilotRig rig;
  PilotOutput out;
  Orders owned = rig.orders(2, "first-key-00000000");
  owned.roster.epoch = 2;
  owned.roster.pilots = {rig_self};
  owned.roster.past = {{1, {rig_self, rig_other}, {}}};
  owned.settled = 2;
  owned.has_runners = true;
  owned.runners_stamp = 1;
  RunnerView runner = view("r1");
  runner.service = rig.service;
  owned.runners = {runner};
  rig.pilot.receive({rig_leader, "h", owned}, rig.now, out);
  rig.now += seconds(1);
  owned.sent_at = rig.now;
  rig.pilot.receive({rig_leader, "h", owned}, rig.now, out);
  SlotAsk ask = slot_ask("e");
  ask.service = rig.service;
  rig.pilot.receive({rig_other, "q", ask}, rig.now, out);
  Orders lost = rig.orders(2, "first-key-00000000");
  lost.roster.epoch = 3;
  lost.roster.pilots = {rig_self, rig_other};
  lost.roster.past = {{2, {rig_self}, {}}};
  lost.settled = 3;
  lost.has_runners = true;
  lost.runners_stamp = 2;
  rig.pilot.receive({rig_leader, "h", lost}, rig.now, out);
  out = {};
  rig.pilot.receive({rig_other, "q", InventoryAsk{1, 3, {rig.service}}}, rig.now, out);
  const ServiceInventory *told = nullptr;
  for (const Posted &posted : out.mail)
    if (const auto *say = std::get_if<InventorySay>(&posted.signal);
        say != nullptr && say->services.size() == 1)
      told = &say->services.front();
  CHECK(told != nullptr);
  STRCMP_EQUAL(rig.service.c_str(), told->service.c_str());
  CHECK(told->is_former_owner);
  LONGS_EQUAL(1, told->granted_by_former.size());
  STRCMP_EQUAL("e", told->granted_by_former[0].errand.c_str());
  STRCMP_EQUAL("r1", told->granted_by_former[0].runner.c_str());
}

TEST(Recovery, machines_with_far_less_than_the_best_own_nothing_while_enough_others_do) {
  struct Case {
    std::size_t wide, narrow, candidates;
  };
  for (const Case &one : {Case{5, 20, 5}, Case{20, 0, 0}, Case{3, 20, 0}, Case{0, 9, 0}}) {
    Yarded yard;
    for (int round = 0; round < 12; ++round) {
      for (std::size_t at = 0; at < one.wide + one.narrow; ++at) {
        const NodeId id = 500 + at;
        Pulse pulse;
        pulse.sent_at = yard.now;
        pulse.epoch = yard.control->registry().roster().epoch;
        pulse.capacity = at < one.wide ? NodeCapacity{100'000, 260} : NodeCapacity{2'000, 62};
        ControlOutput out;
        yard.control->receive({id, "p" + std::to_string(id), pulse}, yard.now, out);
        yard.take(out);
      }
      yard.pass(milliseconds(100));
    }
    const Roster &roster = yard.control->registry().roster();
    LONGS_EQUAL(one.wide + one.narrow, roster.pilots.size());
    LONGS_EQUAL(one.candidates, roster.owner_candidates.size());
    LONGS_EQUAL(one.candidates == 0 ? roster.pilots.size() : one.candidates, roster.owners().size());
    for (NodeId id : roster.owner_candidates) CHECK(id < 500 + one.wide);
  }
}

TEST(Recovery, mail_for_a_process_that_ended_at_this_address_does_not_come_back_to_it) {
  PilotRig rig;
  PilotOutput out;
  Member ended;
  ended.id = 77;
  ended.address = PilotRig::make_self().address;
  ended.role = static_cast<std::uint8_t>(Role::pilot);
  Member other = ended;
  other.id = 78;
  other.address = "elsewhere";
  rig.pilot.receive({rig_other, "q", MembershipGossip{{ended, other}, {}, {}}}, rig.now, out);
  const auto passed_on = [&](NodeId to) {
    out = {};
    rig.pilot.receive({rig_other, "q", PassOn{to, "frame"}}, rig.now, out);
    return std::count_if(out.mail.begin(), out.mail.end(),
                         [](const Posted &posted) { return std::holds_alternative<PassOn>(posted.signal); });
  };
  LONGS_EQUAL(0, passed_on(ended.id));
  LONGS_EQUAL(1, passed_on(other.id));
}

TEST(Recovery, a_node_takes_no_runners_that_were_told_to_the_process_before_it_at_its_address) {
  Yarded yard;
  yard.list({});
  yard.write(Yarded::manifest(1), "0");
  const PlatformOrder order = yard.orders.back();
  ControlOutput out;
  yard.control->platform_said(
      {order.runner.id, order.runner.worker, true, OrderEnd::done, "i-1", "10.0.0.9:1"}, yard.now, out);
  yard.take(out);
  Member self = PilotRig::make_self();
  Pilot successor(self, {"seed"}, PilotOptions{}, yard.now);
  // Two processes stood at the successor's address before it. The last was told to leave as it came, so that
  // no node set ever named it; the leader does not know that it has ended and goes on telling it.
  constexpr NodeId first = 500, short_lived = 999, leader = 7;
  const auto report = [&](NodeId id, const Pulse &pulse) {
    ControlOutput told;
    yard.control->receive({id, self.address, pulse}, yard.now, told);
    yard.take(told);
  };
  Pulse pulse;
  pulse.sent_at = yard.now;
  pulse.version = yard.control->registry().version();
  report(first, pulse);
  yard.pass(seconds(1));
  pulse.is_leaving = true;
  pulse.epoch = yard.control->registry().roster().epoch;
  pulse.replaces = {first};
  report(short_lived, pulse);
  yard.mail.clear();
  report(self.id, Pulse{});
  for (int round = 0; round < 100; ++round) {
    // Each change of the configuration is told to all whom the leader heard not long ago.
    if (round == 60) yard.write(Yarded::manifest(2), "1");
    PilotOutput said;
    for (const Posted &posted : yard.mail)
      if (posted.to == short_lived || posted.to == self.id)
        successor.receive({leader, "h", posted.signal}, yard.now, said);
    yard.mail.clear();
    yard.pass(milliseconds(20));
    successor.tick(yard.now, said);
    for (const Posted &posted : said.mail)
      if (const auto *own = std::get_if<Pulse>(&posted.signal)) report(self.id, *own);
  }
  LONGS_EQUAL(1, yard.control->registry().roster().pilots.size());
  CHECK(self.id == yard.control->registry().roster().pilots[0]);
  LONGS_EQUAL(1, successor.gauges(yard.now).at("runners_known"));
}

TEST(Recovery, a_node_set_follows_processes_that_came_back_before_they_have_been_told_of_it) {
  Yarded yard;
  const auto report = [&](NodeId id, Span up_for) {
    ControlOutput out;
    Pulse pulse;
    pulse.sent_at = yard.now;
    pulse.up_for = up_for;
    yard.control->receive({id, "p", pulse}, yard.now, out);
    yard.take(out);
  };
  const auto pilots = [&] { return yard.control->registry().roster().pilots; };
  report(500, seconds(1));
  yard.pass(seconds(1));
  CHECK(pilots() == std::vector<NodeId>{500});
  for (int round = 0; round < 40; ++round) {
    report(500, seconds(1) + round * milliseconds(200));
    yard.pass(milliseconds(200));
  }
  // Another process reports at its address: the old one is out of the node set long before its silence would
  // say so. A report of the old one that comes late changes nothing.
  report(501, milliseconds(300));
  yard.pass(milliseconds(600));
  CHECK(pilots() == std::vector<NodeId>{501});
  report(500, seconds(9));
  yard.pass(milliseconds(600));
  CHECK(pilots() == std::vector<NodeId>{501});
}

TEST(Recovery, views_are_told_by_service_and_whole_once_changes_are_forgotten) {
  RunnerViews views;
  CHECK(views.update("r1", view("r1")));
  CHECK(!views.update("r1", view("r1")));
  const std::uint64_t stamp = views.stamp();
  RunnerView other = view("r2");
  other.service = "t";
  CHECK(views.update("r2", other));
  LONGS_EQUAL(1, views.changed_since(stamp).size());
  STRCMP_EQUAL("t", views.changed_since(stamp)[0].c_str());
  CHECK(views.update("r1", std::nullopt));
  CHECK(!views.contains("r1"));
  LONGS_EQUAL(2, views.changed_since(stamp).size());
  std::vector<RunnerView> list;
  views.append("s", list);
  LONGS_EQUAL(0, list.size());
  CHECK(!views.has_forgotten_since(stamp));
  for (std::size_t at = 0; at < RunnerViews::changes_kept; ++at) {
    other.is_leaving = at % 2 == 0;
    views.update("r2", other);
  }
  CHECK(views.has_forgotten_since(stamp));
  views.clear();
  CHECK(views.has_forgotten_since(0) && views.size() == 0);
}

TEST(Recovery, a_worker_that_refuses_a_start_is_passed_over) {
  Yarded yard;
  yard.list({});
  yard.write(Yarded::manifest(1), "0");
  yard.pass(milliseconds(300));
  const PlatformOrder first = yard.orders.back();
  yard.say(first, OrderEnd::refused);
  yard.pass(milliseconds(300));
  CHECK(yard.orders.back().runner.id != first.runner.id);
  CHECK(yard.orders.back().runner.worker != first.runner.worker);
}

TEST(Recovery, a_listed_runner_that_no_record_knows_is_stopped_but_not_at_once) {
  Yarded yard;
  yard.write(R"({"number": 1})", "0");
  yard.list({{"i-9", "s", "w0", "10.0.0.9:1", RunnerPhase::ready}});
  yard.pass(seconds(2));
  LONGS_EQUAL(0, yard.orders.size());
  yard.pass(seconds(4));
  LONGS_EQUAL(1, yard.orders.size());
  CHECK(!yard.orders[0].is_start);
  STRCMP_EQUAL("i-9", yard.orders[0].runner.listed_as().c_str());
}

TEST(Recovery, a_member_known_by_its_beat_alone_is_asked_about) {
  Member self, other;
  self.id = 1;
  self.address = "a";
  other.id = 2;
  other.address = "b";
  Membership membership(self, {}, MembershipOptions{});
  Outbox out;
  membership.step({2, "b", MembershipGossip{{other}, {{3, 7}}, {}}}, start, out);
  CHECK(membership.is_living(2, start));
  CHECK(!membership.is_living(3, start));
  const auto asks = std::any_of(out.begin(), out.end(), [](const Posted &posted) {
    const auto *gossip = std::get_if<MembershipGossip>(&posted.signal);
    return gossip != nullptr && gossip->asks == std::vector<ShortId>{3};
  });
  CHECK(asks);
  out.clear();
  membership.step({4, "d", MembershipGossip{{}, {}, {2}}}, start, out);
  CHECK(!out.empty() && std::get<MembershipGossip>(out.back().signal).members.front().id == 2);
  membership.step({2, "b", MembershipGossip{{}, {{2, 9}}, {}}}, start + seconds(1), out);
  CHECK(membership.is_living(2, start + seconds(2)));
}

TEST(Recovery, a_replica_takes_single_charges_on_top_of_a_whole_ledger_and_names_just_these) {
  const std::vector<NodeId> ranked = rank_nodes({1, 2, 3}, "t", purser_salt);
  Purser replica(ranked[1], PurserOptions{});
  replica.set_allowances({{"t", {100, 50}}}, start);
  Roster roster;
  roster.epoch = 1;
  roster.pilots = ranked;
  roster.is_first = true;
  Outbox out;
  replica.set_roster(roster, 1, start, out);
  const auto acknowledged = [&](std::uint64_t sequence, bool is_delta) {
    out.clear();
    LedgerCopy copy;
    copy.tenant = "t";
    copy.epoch = 1;
    copy.sequence = sequence;
    copy.is_delta = is_delta;
    copy.charges.push_back({sequence, 9, 1, 1, 0, seconds(5), true, false, sequence});
    replica.step(ranked[0], copy, start, out);
    LONGS_EQUAL(1, out.size());
    return std::get<LedgerAck>(out.back().signal);
  };
  CHECK(acknowledged(1, true).needs_whole);
  CHECK(acknowledged(1, true).charges.empty());
  const LedgerAck whole = acknowledged(1, false);
  CHECK(!whole.needs_whole && whole.sequence == 1);
  // The second charge is under way: neither the third nor the fourth may be taken to include it.
  for (std::uint64_t sequence : {3, 4, 3}) {
    const LedgerAck ack = acknowledged(sequence, true);
    CHECK(!ack.needs_whole && ack.sequence == 0);
    CHECK(ack.charges == std::vector<std::uint64_t>{sequence});
  }
  CHECK(acknowledged(2, true).charges == std::vector<std::uint64_t>{2});
  // Two epochs later it hands on what it holds: each of the four charges once.
  Roster next;
  next.epoch = 2;
  next.past = {{1, ranked, {}}};
  next.pilots = {ranked[1]};
  replica.set_fresh_until(start + seconds(100));
  out.clear();
  replica.set_roster(next, 2, start, out);
  CHECK(replica.is_granting("t", start + milliseconds(1)));
  out.clear();
  Roster last;
  last.epoch = 3;
  last.past = {{1, ranked, {}}, {2, {ranked[1]}, {}}};
  last.pilots = {ranked[2]};
  replica.set_roster(last, 3, start, out);
  const auto *handed = std::get_if<LedgerCopy>(&out.back().signal);
  CHECK(handed != nullptr && handed->is_handover);
  LONGS_EQUAL(4, handed->charges.size());
}

TEST(Recovery, pilots_that_come_one_after_another_make_one_roster) {
  Yarded yard;
  yard.pass(seconds(3));
  const Epoch before = yard.control->registry().roster().epoch;
  for (NodeId id = 100; id < 105; ++id) {
    ControlOutput out;
    Pulse pulse;
    pulse.sent_at = yard.now;
    yard.control->receive({id, "p" + std::to_string(id), pulse}, yard.now, out);
    yard.take(out);
    yard.pass(milliseconds(120));
  }
  yard.pass(milliseconds(400));
  LONGS_EQUAL(5, yard.control->registry().roster().pilots.size());
  LONGS_EQUAL(before + 1, yard.control->registry().roster().epoch);
}
