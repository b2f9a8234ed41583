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
