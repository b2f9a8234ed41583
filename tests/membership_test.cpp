// Membership among as many members as large deployments have, in virtual time.
#include <map>
#include <memory>

#include "membership/membership.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// As long past zero as the time of day is, so that a process may also begin behind its last beat.
constexpr std::uint64_t usual_first_beat = 1'000'000'000;

struct Members {
  std::map<std::string, std::unique_ptr<Membership>> members;
  Instant now = seconds(10);
  /// The most messages one member got at one beat.
  std::size_t received_most = 0;
  const std::vector<std::string> seeds{"m0", "m1", "m2"};
  MembershipOptions options;

  explicit Members(int count, std::uint64_t seed = 7, std::uint64_t first_beat = usual_first_beat) {
    options.told_each = 4;
    Dice dice(seed);
    for (int at = 0; at < count; ++at) {
      Member self;
      self.id = dice.next() | 1;
      self.address = "m" + std::to_string(at);
      self.beat = first_beat;
      members[self.address] = std::make_unique<Membership>(self, seeds, options);
    }
  }
  /// One beat of all members; what they send arrives before the next.
  void beat() {
    std::vector<std::pair<std::string, Envelope>> mail;
    const auto take = [&](const Membership &from, Outbox &&out) {
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
      const auto target = members.find(to);
      if (target == members.end()) continue;
      target->second->step(envelope, now, out);
      take(*target->second, std::move(out));
    }
    now += milliseconds(250);
  }
  /// Ends a process and starts it again, the same one as far as others can tell, with a first beat so far
  /// beyond its last one, after a pause in which it says nothing.
  void restart(const std::string &address, std::int64_t beats_ahead, Span pause) {
    Member self = members.at(address)->self();
    members.erase(address);
    const Instant until = now + pause;
    while (now < until) beat();
    self.beat = static_cast<std::uint64_t>(static_cast<std::int64_t>(self.beat) + beats_ahead);
    members[address] = std::make_unique<Membership>(self, seeds, options);
  }
  /// How many others know a member to live.
  std::size_t knowing(const std::string &address) const {
    const NodeId id = members.at(address)->self().id;
    std::size_t count = 0;
    for (const auto &[other, member] : members)
      count += other != address && member->is_living(id, now) ? 1 : 0;
    return count;
  }
  std::size_t fewest_living() const {
    std::size_t fewest = members.size();
    for (const auto &[address, member] : members) fewest = std::min(fewest, member->living(now).size());
    return fewest;
  }
};

/// Restarts a member of each of several groups, whose first beat is so far beyond its last one.
void check_restarts(std::int64_t beats_ahead) {
  constexpr std::uint64_t groups = 8;
  for (std::uint64_t seed = 1; seed <= groups; ++seed) {
    Members members(15, seed);
    for (int beat = 0; beat < 40; ++beat) members.beat();
    const std::string address = "m" + std::to_string(seed);
    members.restart(address, beats_ahead, seconds(5));
    for (int beat = 0; beat < 8; ++beat) members.beat();
    LONGS_EQUAL_TEXT(14, members.knowing(address), std::to_string(beats_ahead).c_str());
  }
}
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
  Members members(15, 7, 0xfff0);
  for (int beat = 0; beat < 8; ++beat) members.beat();
  for (int beat = 0; beat < 40; ++beat) {
    members.beat();
    LONGS_EQUAL(14, members.fewest_living());
  }
  CHECK(members.members.at("m0")->self().beat > 0x10000);
  CHECK(members.members.at("m1")->find(members.members.at("m0")->self().id)->beat > 0x10000);
}

TEST(Membership, an_earlier_beat_late_on_its_way_is_no_sign_of_life) {
  Member self, other;
  self.id = 1;
  other.id = 2;
  other.beat = 0xfffe;
  Membership membership(self, {}, MembershipOptions{});
  Outbox out;
  Instant now = seconds(10);
  const MembershipGossip earlier{{}, {{short_era_of(other), 0xffff}}, {}};
  membership.step({2, "b", MembershipGossip{{other}, {}, {}}}, now, out);
  membership.step({3, "c", earlier}, now += seconds(1), out);
  LONGS_EQUAL(0xffff, membership.find(2)->beat);
  other.beat = 0x10003;
  membership.step({2, "b", MembershipGossip{{other}, {}, {}}}, now += seconds(1), out);
  for (const MembershipGossip &late : {earlier, MembershipGossip{{}, {{short_era_of(other), 2}}, {}}}) {
    membership.step({3, "c", late}, now + seconds(5), out);
    LONGS_EQUAL(0x10003, membership.find(2)->beat);
    CHECK(!membership.is_living(2, now + seconds(5)));
  }
}

// Guards against: a process that restarted stays silent to all whom it does not tell itself, as the low parts
// of its beats look older than those of its life before.
TEST(Membership, a_restarted_member_lives_for_all_others_within_two_seconds_whatever_its_first_beat) {
  for (std::int64_t beats_ahead : {100, 20'000, 33'000, 40'000, 60'000, 65'536, 100'000, 10'000'000})
    check_restarts(beats_ahead);
}

// Guards against: a process whose time of day was set back before it restarted stays silent to all others
// until its beats have overtaken those of its life before.
TEST(Membership, a_member_that_begins_behind_its_last_beat_lives_for_all_others_within_two_seconds) {
  for (std::int64_t beats_ahead : {-5, -30, -60, -5'000, -33'000, -70'000}) check_restarts(beats_ahead);
}

TEST(Membership, seeds_are_asked_for_a_sought_member_until_it_is_known) {
  Member self, sought;
  self.id = 1;
  self.address = "a";
  sought.id = 2;
  sought.address = "b";
  Membership membership(self, {"seed"}, MembershipOptions{});
  const std::vector<Replica> replicas{{1, true, "a"}, {2, true, "b"}};
  membership.seek(replicas);
  Instant now = seconds(10);
  const auto questions = [&](Span span) {
    std::size_t count = 0;
    for (const Instant until = now + span; now < until; now += milliseconds(10)) {
      Outbox out;
      membership.tick(now, out);
      for (const Posted &posted : out)
        count +=
            std::get<MembershipGossip>(posted.signal).asks == std::vector<ShortId>{short_id_of(2)} ? 1 : 0;
    }
    return count;
  };
  LONGS_EQUAL(3, questions(milliseconds(200)));
  CHECK(questions(seconds(20)) <= 25);
  Outbox out;
  membership.step({9, "seed", MembershipGossip{{sought}, {}, {}}}, now, out);
  STRCMP_EQUAL("b", membership.address_of(2).c_str());
  membership.seek(replicas);
  LONGS_EQUAL(0, questions(seconds(5)));
}

TEST(Membership, a_seed_that_is_sought_itself_answers_though_it_knows_the_asker) {
  Member self, asker;
  self.id = 2;
  self.address = "seed";
  asker.id = 1;
  asker.address = "a";
  Membership membership(self, {}, MembershipOptions{});
  Outbox out;
  membership.step({9, "x", MembershipGossip{{asker}, {}, {}}}, seconds(10), out);
  out.clear();
  membership.step({1, "a", MembershipGossip{{asker}, {}, {short_id_of(2)}}}, seconds(11), out);
  LONGS_EQUAL(1, out.size());
  LONGS_EQUAL(2, std::get<MembershipGossip>(out.front().signal).members.back().id);
}

TEST(Membership, members_with_the_same_short_identity_are_told_whole) {
  Member self, first, second;
  self.id = 1;
  first.id = 5;
  second.id = (NodeId{1} << 32) | 4;
  first.address = "f";
  second.address = "s";
  LONGS_EQUAL(short_id_of(first.id), short_id_of(second.id));
  Membership membership(self, {}, MembershipOptions{});
  Outbox out;
  const Instant now = seconds(10);
  membership.step({9, "x", MembershipGossip{{first, second}, {}, {}}}, now, out);
  // Nothing says which of the two lives.
  membership.step({9, "x", MembershipGossip{{}, {{5, 7}}, {}}}, now + seconds(2), out);
  CHECK(!membership.is_living(first.id, now + seconds(2)));
  CHECK(!membership.is_living(second.id, now + seconds(2)));
  first.beat = second.beat = 3;
  membership.step({9, "x", MembershipGossip{{first, second}, {}, {}}}, now + seconds(3), out);
  out.clear();
  membership.tick(now + seconds(4) + milliseconds(300), out);
  CHECK(!out.empty());
  const MembershipGossip &told = std::get<MembershipGossip>(out.front().signal);
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
      std::make_unique<Membership>(fresh, std::vector<std::string>{"m0", "m1", "m2"}, MembershipOptions{});
  members.beat();
  CHECK(!members.members.at("m1")->is_replaced(old_identity));
  for (int beat = 0; beat < 8; ++beat) members.beat();
  CHECK(members.members.at("m1")->is_replaced(old_identity));
  CHECK(!members.members.at("m1")->is_replaced(12345));
}
