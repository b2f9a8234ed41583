// Membership among as many members as large deployments have, in virtual time.
#include <map>
#include <memory>

#include "rollcall/rollcall.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
struct Members {
  std::map<std::string, std::unique_ptr<Rollcall>> members;
  Instant now = seconds(10);
  /// The most messages one member got at one beat.
  std::size_t received_most = 0;

  explicit Members(int count) {
    RollcallOptions options;
    options.told_each = 4;
    Dice dice(7);
    for (int at = 0; at < count; ++at) {
      Member self;
      self.id = dice.next() | 1;
      self.address = "m" + std::to_string(at);
      members[self.address] =
          std::make_unique<Rollcall>(self, std::vector<std::string>{"m0", "m1", "m2"}, options);
    }
  }
  /// One beat of all members; what they send arrives before the next.
  void beat() {
    std::vector<std::pair<std::string, Envelope>> mail;
    const auto take = [&](const Rollcall &from, Outbox &&out) {
      for (Posted &posted : out)
        mail.push_back({posted.to == 0 ? posted.address : from.address_of(posted.to),
                        {from.self().id, from.self().address, std::move(posted.signal)}});
    };
    for (auto &[address, member] : members) {
      Outbox out;
      member->tick(now, out);
      take(*member, std::move(out));
    }
    std::map<std::string, std::size_t> received;
    for (std::size_t at = 0; at < mail.size() && at < 100'000; ++at) {
      const auto [to, envelope] = mail[at];
      Outbox out;
      received_most = std::max(received_most, ++received[to]);
      members.at(to)->step(envelope, now, out);
      take(*members.at(to), std::move(out));
    }
    now += milliseconds(250);
  }
  std::size_t fewest_living() const {
    std::size_t fewest = members.size();
    for (const auto &[address, member] : members) fewest = std::min(fewest, member->living(now).size());
    return fewest;
  }
};
} // namespace

TEST_GROUP(Membership){};

TEST(Membership, a_hundred_members_all_know_all_others_to_live_at_every_beat) {
  Members members(100);
  for (int beat = 0; beat < 40; ++beat) members.beat();
  members.received_most = 0;
  for (int beat = 0; beat < 60; ++beat) {
    members.beat();
    LONGS_EQUAL(99, members.fewest_living());
  }
  CHECK(members.received_most <= 12);
}

TEST(Membership, beats_go_on_beyond_what_their_low_part_can_count) {
  Member self, other;
  self.id = 1;
  other.id = 2;
  other.beat = 0xfffe;
  Rollcall rollcall(self, {}, RollcallOptions{});
  Outbox out;
  Instant now = seconds(10);
  rollcall.step({2, "b", Muster{{other}, {}, {}}}, now, out);
  const auto beat_of_other = [&] { return rollcall.find(2)->beat; };
  for (std::uint64_t beat : {0xffffull, 0x10000ull, 0x10003ull}) {
    rollcall.step({2, "b", Muster{{}, {{2, static_cast<std::uint16_t>(beat)}}, {}}}, now += seconds(1), out);
    LONGS_EQUAL(beat, beat_of_other());
  }
  // An earlier one, late on its way, is no sign of life.
  rollcall.step({2, "b", Muster{{}, {{2, 0xffff}}, {}}}, now + seconds(5), out);
  LONGS_EQUAL(0x10003, beat_of_other());
  CHECK(!rollcall.is_living(2, now + seconds(5)));
}

TEST(Membership, seeds_are_asked_for_a_sought_member_until_it_is_known) {
  Member self, sought;
  self.id = 1;
  self.address = "a";
  sought.id = 2;
  sought.address = "b";
  Rollcall rollcall(self, {"seed"}, RollcallOptions{});
  const std::vector<Replica> replicas{{1, true, "a"}, {2, true, "b"}};
  rollcall.seek(replicas);
  Instant now = seconds(10);
  const auto questions = [&](Span span) {
    std::size_t count = 0;
    for (const Instant until = now + span; now < until; now += milliseconds(10)) {
      Outbox out;
      rollcall.tick(now, out);
      for (const Posted &posted : out)
        count += std::get<Muster>(posted.signal).asks == std::vector<ShortId>{short_id_of(2)} ? 1 : 0;
    }
    return count;
  };
  LONGS_EQUAL(3, questions(milliseconds(200)));
  CHECK(questions(seconds(20)) <= 25);
  Outbox out;
  rollcall.step({9, "seed", Muster{{sought}, {}, {}}}, now, out);
  STRCMP_EQUAL("b", rollcall.address_of(2).c_str());
  rollcall.seek(replicas);
  LONGS_EQUAL(0, questions(seconds(5)));
}

TEST(Membership, a_seed_that_is_sought_itself_answers_though_it_knows_the_asker) {
  Member self, asker;
  self.id = 2;
  self.address = "seed";
  asker.id = 1;
  asker.address = "a";
  Rollcall rollcall(self, {}, RollcallOptions{});
  Outbox out;
  rollcall.step({9, "x", Muster{{asker}, {}, {}}}, seconds(10), out);
  out.clear();
  rollcall.step({1, "a", Muster{{asker}, {}, {short_id_of(2)}}}, seconds(11), out);
  LONGS_EQUAL(1, out.size());
  LONGS_EQUAL(2, std::get<Muster>(out.front().signal).members.back().id);
}

TEST(Membership, members_with_the_same_short_identity_are_told_whole) {
  Member self, first, second;
  self.id = 1;
  first.id = 5;
  second.id = (NodeId{1} << 32) | 4;
  first.address = "f";
  second.address = "s";
  LONGS_EQUAL(short_id_of(first.id), short_id_of(second.id));
  Rollcall rollcall(self, {}, RollcallOptions{});
  Outbox out;
  const Instant now = seconds(10);
  rollcall.step({9, "x", Muster{{first, second}, {}, {}}}, now, out);
  // Nothing says which of the two lives.
  rollcall.step({9, "x", Muster{{}, {{5, 7}}, {}}}, now + seconds(2), out);
  CHECK(!rollcall.is_living(first.id, now + seconds(2)));
  CHECK(!rollcall.is_living(second.id, now + seconds(2)));
  first.beat = second.beat = 3;
  rollcall.step({9, "x", Muster{{first, second}, {}, {}}}, now + seconds(3), out);
  out.clear();
  rollcall.tick(now + seconds(4) + milliseconds(300), out);
  CHECK(!out.empty());
  const Muster &told = std::get<Muster>(out.front().signal);
  LONGS_EQUAL(0, told.beats.size());
  LONGS_EQUAL(3, told.members.size());
}

TEST(Membership, a_member_whose_address_another_answers_at_is_replaced_and_not_before) {
  Members members(5);
  for (int beat = 0; beat < 20; ++beat) members.beat();
  const NodeId old_identity = members.members.at("m3")->self().id;
  CHECK(!members.members.at("m1")->is_replaced(old_identity));
  Member fresh = members.members.at("m3")->self();
  fresh.id = 12345;
  members.members["m3"] =
      std::make_unique<Rollcall>(fresh, std::vector<std::string>{"m0", "m1", "m2"}, RollcallOptions{});
  members.beat();
  CHECK(!members.members.at("m1")->is_replaced(old_identity));
  for (int beat = 0; beat < 8; ++beat) members.beat();
  CHECK(members.members.at("m1")->is_replaced(old_identity));
  CHECK(!members.members.at("m1")->is_replaced(12345));
}
