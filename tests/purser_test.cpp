#include "purser/purser.hpp"
#include "rig.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Purser) {
  const Instant start = seconds(100);
  const std::map<std::string, Allowance> allowances{{"t", {100, 50}}};

  /// Three nodes named by their rank for tenant "t" in the whole roster: owner, replica, third.
  std::vector<NodeId> ranked() { return rank_nodes({1, 2, 3}, "t", purser_salt); }

  Roster roster(Epoch epoch, std::vector<std::vector<NodeId>> history) {
    Roster made;
    made.epoch = epoch;
    made.pilots = history.back();
    history.pop_back();
    Epoch past = epoch - history.size();
    for (auto &pilots : history) made.past.push_back({past++, pilots, {}});
    made.is_first = made.past.empty();
    return made;
  }

  PermitAsk ask(std::uint64_t number, std::uint32_t want) {
    PermitAsk made;
    made.tenant = "t";
    made.ask = number;
    made.want = want;
    return made;
  }

  std::uint32_t granted(const Outbox &out) {
    std::uint32_t sum = 0;
    for (const Posted &posted : out)
      if (const auto *say = std::get_if<PermitSay>(&posted.signal)) sum += say->tokens;
    return sum;
  }

  Purser owner(NodeId id, PurserOptions options = {}) {
    Purser made(id, options);
    made.set_allowances(allowances, start);
    made.set_fresh_until(start + seconds(1000));
    return made;
  }
};

TEST(Purser, a_grant_is_answered_only_after_its_replica_has_it) {
  Purser purser = owner(ranked()[0]);
  Outbox out;
  purser.set_roster(roster(1, {ranked()}), 1, start, out);
  out.clear();
  purser.step(9, ask(1, 5), start, out);
  LONGS_EQUAL(0, granted(out));
  const auto *copy = std::get_if<LedgerCopy>(&out.back().signal);
  CHECK(copy != nullptr && out.back().to == ranked()[1]);
  const LedgerAck ack{"t", 1, copy->sequence, {}, false};
  purser.step(ranked()[2], ack, start, out);
  LONGS_EQUAL(0, granted(out));
  purser.step(ranked()[1], ack, start, out);
  LONGS_EQUAL(5, granted(out));
}

TEST(Purser, an_ask_that_is_sent_again_is_granted_once) {
  Purser purser = owner(ranked()[0]);
  Outbox out;
  purser.set_roster(roster(1, {ranked()}), 1, start, out);
  out.clear();
  for (int again = 0; again < 5; ++again) purser.step(9, ask(1, 5), start + milliseconds(10) * again, out);
  LONGS_EQUAL(1, purser.granted());
  LONGS_EQUAL(0, granted(out));
  std::uint64_t sequence = 0;
  for (const Posted &posted : out)
    if (const auto *copy = std::get_if<LedgerCopy>(&posted.signal)) sequence = copy->sequence;
  purser.step(ranked()[1], LedgerAck{"t", 1, sequence, {}, false}, start + milliseconds(60), out);
  LONGS_EQUAL(5, granted(out));
  out.clear();
  purser.step(9, ask(1, 5), start + milliseconds(70), out);
  LONGS_EQUAL(5, granted(out));
  LONGS_EQUAL(1, purser.granted());
  purser.step(9, ask(2, 5), start + milliseconds(80), out);
  LONGS_EQUAL(2, purser.granted());
}

TEST(Purser, many_grants_under_way_cost_their_replica_a_few_charges_each) {
  Purser purser = owner(ranked()[0]);
  Outbox out;
  purser.set_roster(roster(1, {ranked()}), 1, start, out);
  purser.step(9, ask(1, 1), start, out);
  out.clear();
  for (std::uint64_t at = 2; at < 100; ++at) purser.step(9 + at, ask(at, 1), start, out);
  std::size_t charges = 0;
  for (const Posted &posted : out)
    if (const auto *copy = std::get_if<LedgerCopy>(&posted.signal)) charges += copy->charges.size();
  CHECK(charges >= 98 && charges <= 98 * PurserOptions{}.charges_repeated);
}

TEST(Purser, each_charge_is_released_by_its_own_acknowledgement) {
  PurserOptions options;
  options.charges_repeated = 1;
  Purser purser = owner(ranked()[0], options), replica = owner(ranked()[1]);
  Outbox ignored, whole, back, lost, sent, answers;
  purser.set_roster(roster(1, {ranked()}), 1, start, whole);
  replica.set_roster(roster(1, {ranked()}), 1, start, ignored);
  const auto deliver = [&](Purser &to, NodeId from, const Outbox &mail, Outbox &out) {
    for (const Posted &posted : mail)
      if (!std::holds_alternative<PermitSay>(posted.signal)) to.step(from, posted.signal, start, out);
  };
  deliver(replica, ranked()[0], whole, back);
  deliver(purser, ranked()[1], back, ignored);
  purser.step(8, ask(1, 1), start, lost);
  purser.step(7, ask(1, 2), start, sent);
  back.clear();
  deliver(replica, ranked()[0], sent, back);
  deliver(purser, ranked()[1], back, answers);
  LONGS_EQUAL(2, granted(answers));
  Outbox again;
  purser.tick(start + milliseconds(100), again);
  const auto *copy = std::get_if<LedgerCopy>(&again.back().signal);
  CHECK(copy != nullptr && copy->is_delta && copy->charges.size() == 1);
  answers.clear();
  back.clear();
  deliver(replica, ranked()[0], again, back);
  deliver(purser, ranked()[1], back, answers);
  LONGS_EQUAL(1, granted(answers));
}

TEST(Purser, a_replica_without_the_ledger_gets_it_whole) {
  Purser purser = owner(ranked()[0]), replica = owner(ranked()[1]);
  Outbox ignored, sent, back, whole, answers;
  purser.set_roster(roster(1, {ranked()}), 1, start, ignored);
  replica.set_roster(roster(1, {ranked()}), 1, start, ignored);
  const Instant now = start + milliseconds(100);
  purser.step(9, ask(1, 1), now, sent);
  for (const Posted &posted : sent) replica.step(ranked()[0], posted.signal, now, back);
  CHECK(std::get<LedgerAck>(back.back().signal).needs_whole);
  for (const Posted &posted : back) purser.step(ranked()[1], posted.signal, now, whole);
  const auto *copy = std::get_if<LedgerCopy>(&whole.back().signal);
  CHECK(copy != nullptr && !copy->is_delta && copy->charges.size() == 1);
  back.clear();
  for (const Posted &posted : whole) replica.step(ranked()[0], posted.signal, now, back);
  for (const Posted &posted : back) purser.step(ranked()[1], posted.signal, now, answers);
  LONGS_EQUAL(1, granted(answers));
}

TEST(Purser, what_a_replica_does_not_acknowledge_is_sent_again_ever_more_seldom) {
  PurserOptions options;
  options.copy_again_most = milliseconds(640);
  Purser purser = owner(ranked()[0], options);
  Outbox out;
  purser.set_roster(roster(1, {ranked()}), 1, start, out);
  purser.step(9, ask(1, 1), start, out);
  out.clear();
  for (Instant now = start; now < start + seconds(3); now += milliseconds(10)) purser.tick(now, out);
  CHECK(out.size() >= 4 && out.size() <= 8);
}

TEST(Purser, an_unanswered_ask_keeps_its_number_while_its_tokens_could_be_used) {
  const Span rig_permit_life = PurserOptions{}.life;
  PilotRig rig;
  PilotOutput out;
  Waybill bill = rig.bill("e");
  bill.is_paid = false;
  rig.pilot.arrive(bill, rig.now, out);
  for (Span later = 0; later < rig_permit_life; later += milliseconds(10))
    rig.pilot.tick(rig.now + later, out);
  std::vector<std::uint64_t> numbers;
  for (const Posted &posted : out.mail)
    if (const auto *made = std::get_if<PermitAsk>(&posted.signal); made != nullptr && made->want > 0)
      numbers.push_back(made->ask);
  CHECK(numbers.size() >= 2);
  for (std::uint64_t number : numbers) CHECK(number == numbers.front());
}

TEST(Purser, no_five_seconds_see_more_than_five_times_base_and_the_burst) {
  Purser purser = owner(1);
  Outbox out;
  purser.set_roster(roster(1, {{1}}), 1, start, out);
  std::vector<std::pair<Instant, std::uint32_t>> grants;
  std::uint64_t number = 0;
  for (Instant now = start; now < start + seconds(20); now += milliseconds(10)) {
    out.clear();
    purser.step(9, ask(++number, 50), now, out);
    grants.emplace_back(now, granted(out));
  }
  std::uint32_t worst = 0, all = 0;
  for (std::size_t from = 0; from < grants.size(); ++from) {
    std::uint32_t sum = 0;
    for (std::size_t at = from; at < grants.size() && grants[at].first < grants[from].first + seconds(5);
         ++at)
      sum += grants[at].second;
    worst = std::max(worst, sum);
    all += grants[from].second;
  }
  CHECK(worst <= 550);
  CHECK(all >= 1900);
}

TEST(Purser, an_owner_that_slept_through_a_roster_hands_nothing_over) {
  const auto nodes = ranked();
  const std::vector<NodeId> without_owner{nodes[1], nodes[2]}, only_third{nodes[2]};
  Purser slept = owner(nodes[0]);
  Outbox out;
  slept.set_roster(roster(1, {nodes}), 1, start, out);
  out.clear();
  slept.set_roster(roster(3, {nodes, without_owner, only_third}), 3, start + seconds(3), out);
  for (const Posted &posted : out) CHECK(!std::holds_alternative<LedgerCopy>(posted.signal));
}

TEST(Purser, a_successor_believes_only_its_direct_predecessor) {
  const auto nodes = ranked();
  const std::vector<NodeId> without_owner{nodes[1], nodes[2]}, only_third{nodes[2]};
  Purser third = owner(nodes[2]);
  Outbox out;
  third.set_roster(roster(3, {nodes, without_owner, only_third}), 3, start, out);
  LedgerCopy copy;
  copy.tenant = "t";
  copy.epoch = 3;
  copy.tokens = 150;
  copy.is_handover = true;
  third.step(nodes[0], copy, start, out);
  third.tick(start + milliseconds(10), out);
  CHECK(!third.is_granting("t", start + milliseconds(10)));
  copy.tokens = 20;
  third.step(nodes[1], copy, start + milliseconds(20), out);
  third.tick(start + milliseconds(30), out);
  out.clear();
  third.step(9, ask(1, 10), start + milliseconds(30), out);
  third.step(9, ask(2, 10), start + milliseconds(30), out);
  third.step(9, ask(3, 10), start + milliseconds(30), out);
  CHECK(granted(out) >= 20 && granted(out) <= 21);
}

TEST(Purser, a_successor_that_knows_nothing_starts_in_debt) {
  const auto nodes = ranked();
  Purser third = owner(nodes[2]);
  Outbox out;
  third.set_roster(roster(2, {{nodes[0], nodes[1]}, {nodes[2]}}), 2, start, out);
  third.tick(start + seconds(1), out);
  out.clear();
  third.step(9, ask(1, 10), start + milliseconds(1500), out);
  LONGS_EQUAL(0, granted(out));
  third.step(9, ask(2, 10), start + milliseconds(2200), out);
  CHECK(granted(out) > 0);
}

TEST(Purser, a_doubled_grant_is_not_told_to_be_unspent) {
  PilotRig rig;
  PilotOutput out;
  Waybill bill = rig.bill("e");
  bill.is_paid = false;
  rig.pilot.arrive(bill, rig.now, out);
  std::uint64_t number = 0;
  for (const Posted &posted : out.mail)
    if (const auto *made = std::get_if<PermitAsk>(&posted.signal)) number = made->ask;
  CHECK(number != 0);
  PermitSay say;
  say.tenant = rig.tenant;
  say.ask = number;
  say.permit = 77;
  say.tokens = 3;
  say.window = milliseconds(100);
  rig.pilot.receive({rig_other, "q", say}, rig.now, out);
  out = {};
  rig.pilot.receive({rig_other, "q", say}, rig.now, out);
  rig.pilot.tick(rig.now + milliseconds(120), out);
  rig.pilot.tick(rig.now + milliseconds(400), out);
  for (const Posted &posted : out.mail)
    if (const auto *made = std::get_if<PermitAsk>(&posted.signal))
      for (const PermitReturn &item : made->returns)
        CHECK(!(item.permit == 77 && item.is_final && item.spent == 0));
}

TEST(Purser, a_handover_that_came_before_the_roster_is_not_acknowledged) {
  const auto nodes = ranked();
  Purser second = owner(nodes[1]);
  Outbox out;
  second.set_roster(roster(1, {nodes}), 1, start, out);
  LedgerCopy copy;
  copy.tenant = "t";
  copy.epoch = 2;
  copy.sequence = 4;
  copy.is_handover = true;
  out.clear();
  second.step(nodes[0], copy, start, out);
  LONGS_EQUAL(0, out.size());
  second.set_roster(roster(2, {nodes, {nodes[1], nodes[2]}}), 1, start, out);
  out.clear();
  second.step(nodes[0], copy, start, out);
  LONGS_EQUAL(1, out.size());
}

TEST(Purser, a_replica_vouches_for_an_owner_that_died_and_takes_nothing_more_from_it) {
  const auto nodes = ranked();
  Purser replica = owner(nodes[1]);
  Outbox out;
  replica.set_roster(roster(1, {{nodes[0], nodes[1]}}), 1, start, out);
  LedgerCopy copy;
  copy.tenant = "t";
  copy.epoch = 1;
  copy.sequence = 9;
  copy.tokens = 12;
  replica.step(nodes[0], copy, start, out);
  NodeId above = 0;
  for (NodeId id = 50; above == 0; ++id)
    if (rank_nodes({nodes[1], id}, "t", purser_salt)[0] == id) above = id;
  out.clear();
  replica.set_roster(roster(2, {{nodes[0], nodes[1]}, {nodes[1], above}}), 1, start, out);
  LONGS_EQUAL(1, out.size());
  const auto *handed = std::get_if<LedgerCopy>(&out[0].signal);
  CHECK(handed != nullptr && handed->is_handover && out[0].to == above);
  out.clear();
  copy.sequence = 10;
  replica.step(nodes[0], copy, start, out);
  LONGS_EQUAL(0, out.size());
}

TEST(Purser, an_errand_paid_for_and_held_counts_until_five_seconds_after_it_went_out) {
  Purser purser = owner(1);
  Outbox out;
  purser.set_roster(roster(1, {{1}}), 1, start, out);
  std::vector<PermitReturn> held;
  Instant now = start;
  std::uint64_t number = 10;
  for (; now < start + seconds(8); now += milliseconds(50)) {
    out.clear();
    PermitAsk made = ask(++number, 50);
    made.returns = held;
    purser.step(9, made, now, out);
    for (const Posted &posted : out)
      if (const auto *say = std::get_if<PermitSay>(&posted.signal); say != nullptr && say->tokens > 0)
        held.push_back({say->permit, say->tokens, 0, true});
  }
  std::uint32_t paid = 0;
  for (PermitReturn &item : held) {
    paid += item.spent;
    item.gone = item.spent;
  }
  CHECK(paid > 540 && paid <= 550);
  PermitAsk let_go = ask(2, 0);
  let_go.returns = held;
  purser.step(9, let_go, now, out);
  for (const Span later : {milliseconds(10), milliseconds(4990)}) {
    out.clear();
    purser.step(9, ask(3, 10), now + later, out);
    LONGS_EQUAL(0, granted(out));
  }
  out.clear();
  purser.step(9, ask(4, 10), now + milliseconds(5010), out);
  LONGS_EQUAL(10, granted(out));
}
