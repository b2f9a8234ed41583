#include <deque>
#include <memory>

#include "convoy/convoy.hpp"
#include "rig.hpp"
#include "signals/pack.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// Three mates joined by hand: mail waits until the test passes it on, saves until it syncs them.
struct Trio {
  struct Seat {
    std::unique_ptr<Convoy> mate;
    Recovered disk;
    std::deque<Save> saves;
  };
  std::map<NodeId, Seat> seats;
  std::deque<std::pair<NodeId, Posted>> mail;
  Instant now = seconds(10);

  Trio() {
    for (NodeId id = 1; id <= 3; ++id) {
      seats[id].disk.hard.group = 5;
      seats[id].disk.picture.mates = {{1, true, "a"}, {2, true, "b"}, {3, true, "c"}};
      start(id);
    }
  }
  void start(NodeId id) {
    seats[id].saves.clear();
    seats[id].mate = std::make_unique<Convoy>(id, ConvoyOptions{}, id, seats[id].disk, now);
  }
  void take(NodeId id, ConvoyOutput &&out) {
    for (Posted &posted : out.mail) mail.emplace_back(id, std::move(posted));
    for (Save &save : out.saves) seats[id].saves.push_back(std::move(save));
  }
  void sync(NodeId id, bool forgets_vote = false) {
    while (!seats[id].saves.empty()) {
      Save save = std::move(seats[id].saves.front());
      seats[id].saves.pop_front();
      Recovered &disk = seats[id].disk;
      if (save.hard) disk.hard = *save.hard;
      if (save.hard && forgets_vote) disk.hard.vote = 0;
      if (save.cut_from != 0)
        std::erase_if(disk.entries, [&](const Entry &entry) { return entry.index >= save.cut_from; });
      disk.entries.insert(disk.entries.end(), save.append.begin(), save.append.end());
      ConvoyOutput out;
      seats[id].mate->saved(save.ticket, now, out);
      take(id, std::move(out));
    }
  }
  void pass_on() {
    for (int round = 0; round < 400 && !mail.empty(); ++round) {
      auto [from, posted] = std::move(mail.front());
      mail.pop_front();
      ConvoyOutput out;
      seats[posted.to].mate->step(from, posted.signal, now, out);
      take(posted.to, std::move(out));
      for (NodeId id = 1; id <= 3; ++id) sync(id);
    }
  }
  NodeId elect_first() {
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(10);
      for (NodeId id = 1; id <= 3; ++id) {
        ConvoyOutput out;
        seats[id].mate->tick(now, out);
        take(id, std::move(out));
        sync(id);
      }
      pass_on();
      for (NodeId id = 1; id <= 3; ++id)
        if (seats[id].mate->is_settled()) return id;
    }
    return 0;
  }
};

/// Whether a mate that voted, was restarted and is asked by another votes again in that term.
bool votes_twice(bool forgets_vote) {
  Trio trio;
  trio.now += seconds(2);
  const VoteAsk ask{5, 7, 0, 0, false};
  ConvoyOutput out;
  trio.seats[3].mate->step(1, ask, trio.now, out);
  trio.take(3, std::move(out));
  trio.sync(3, forgets_vote);
  trio.start(3);
  trio.mail.clear();
  ConvoyOutput again;
  trio.seats[3].mate->step(2, ask, trio.now, again);
  trio.take(3, std::move(again));
  trio.sync(3);
  for (const auto &[from, posted] : trio.mail)
    if (const auto *say = std::get_if<VoteSay>(&posted.signal);
        say != nullptr && posted.to == 2 && say->is_granted)
      return true;
  return false;
}
} // namespace

TEST_GROUP(Convoy){};

TEST(Convoy, a_vote_outlives_a_restart_and_a_forgotten_one_shows) {
  CHECK(!votes_twice(false));
  CHECK(votes_twice(true));
}

TEST(Convoy, no_vote_leaves_before_it_is_synced) {
  Trio trio;
  trio.now += seconds(2);
  ConvoyOutput out;
  trio.seats[3].mate->step(1, VoteAsk{5, 7, 0, 0, false}, trio.now, out);
  LONGS_EQUAL(0, out.mail.size());
  LONGS_EQUAL(1, out.saves.size());
}

TEST(Convoy, in_every_order_of_two_candidates_asks_a_mate_votes_once) {
  every_order(4, [](const std::vector<std::size_t> &order) {
    Trio trio;
    trio.now += seconds(2);
    const std::pair<NodeId, VoteAsk> asks[] = {{1, {5, 7, 0, 0, false}},
                                               {2, {5, 7, 0, 0, false}},
                                               {1, {5, 7, 0, 0, false}},
                                               {2, {5, 6, 0, 0, false}}};
    std::set<NodeId> granted;
    for (std::size_t at : order) {
      ConvoyOutput out;
      trio.seats[3].mate->step(asks[at].first, asks[at].second, trio.now, out);
      trio.take(3, std::move(out));
      trio.sync(3);
    }
    for (const auto &[from, posted] : trio.mail)
      if (const auto *say = std::get_if<VoteSay>(&posted.signal);
          say != nullptr && say->is_granted && say->term == 7)
        granted.insert(posted.to);
    LONGS_EQUAL(1, granted.size());
  });
}

TEST(Convoy, an_entry_commits_only_when_a_majority_has_synced_it) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  CHECK(leader != 0);
  const std::uint64_t before = trio.seats[leader].mate->commit();
  ConvoyOutput out;
  CHECK(trio.seats[leader].mate->propose("x", trio.now, out).has_value());
  trio.take(leader, std::move(out));
  const auto mail = trio.mail;
  trio.mail.clear();
  for (const auto &[from, posted] : mail) {
    ConvoyOutput step;
    trio.seats[posted.to].mate->step(from, posted.signal, trio.now, step);
    trio.take(posted.to, std::move(step));
  }
  const auto replies = trio.mail;
  trio.mail.clear();
  for (const auto &[from, posted] : replies) {
    ConvoyOutput step;
    trio.seats[posted.to].mate->step(from, posted.signal, trio.now, step);
    trio.take(posted.to, std::move(step));
  }
  LONGS_EQUAL(before, trio.seats[leader].mate->commit());
  for (NodeId id = 1; id <= 3; ++id) trio.sync(id);
  trio.pass_on();
  CHECK(trio.seats[leader].mate->commit() > before);
}

TEST(Convoy, a_leader_whose_disk_stalls_steps_down) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  ConvoyOutput out;
  trio.seats[leader].mate->propose("x", trio.now, out);
  trio.now += seconds(2);
  ConvoyOutput late;
  trio.seats[leader].mate->tick(trio.now, late);
  CHECK(!trio.seats[leader].mate->is_leader());
}

TEST(Convoy, a_late_picture_never_takes_a_mate_back) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId other = leader == 1 ? 2 : 1;
  const std::uint64_t commit = trio.seats[other].mate->commit();
  ConvoyOutput out;
  trio.seats[other].mate->step(
      leader, PictureAsk{5, trio.seats[leader].mate->term(), 0, 0, trio.now, {}, "old", 0, 3}, trio.now, out);
  CHECK(!out.load.has_value());
  CHECK(trio.seats[other].mate->commit() >= commit);
}

TEST(Convoy, doubled_refusals_do_not_echo) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId other = leader == 1 ? 2 : 1;
  const AppendSay refusal{5, trio.seats[leader].mate->term(), 0, false, trio.now};
  std::size_t sent = 0;
  for (int copy = 0; copy < 50; ++copy) {
    ConvoyOutput out;
    trio.seats[leader].mate->step(other, refusal, trio.now, out);
    sent += out.mail.size();
  }
  CHECK(sent <= 1);
}

TEST(Convoy, a_picture_comes_in_parts_and_again_from_the_start_after_a_restart_in_its_middle) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId behind = leader == 1 ? 2 : 1;
  ConvoyOutput out;
  trio.seats[leader].mate->propose("x", trio.now, out);
  trio.take(leader, std::move(out));
  std::erase_if(trio.mail, [&](const auto &item) { return item.second.to == behind; });
  for (int round = 0; round < 4; ++round) {
    std::erase_if(trio.mail, [&](const auto &item) { return item.second.to == behind; });
    trio.sync(leader);
    trio.sync(6 - leader - behind);
    trio.pass_on();
  }
  const std::string body(2'500'000, 'p');
  ConvoyOutput compacted;
  trio.seats[leader].mate->compact(trio.seats[leader].mate->commit(), body, compacted);
  LONGS_EQUAL(1, compacted.saves.size());
  trio.take(leader, std::move(compacted));
  trio.sync(leader);
  trio.start(behind);
  std::size_t parts = 0, largest = 0;
  bool has_restarted = false;
  std::optional<Picture> loaded;
  for (int round = 0; round < 200 && !loaded; ++round) {
    trio.now += milliseconds(80);
    ConvoyOutput tick;
    trio.seats[leader].mate->tick(trio.now, tick);
    trio.take(leader, std::move(tick));
    for (int hop = 0; hop < 12 && !trio.mail.empty() && !loaded; ++hop) {
      auto mail = std::move(trio.mail);
      trio.mail.clear();
      for (auto &[from, posted] : mail) {
        if (const auto *part = std::get_if<PictureAsk>(&posted.signal)) {
          ++parts;
          largest = std::max(largest, part->body.size());
        }
        ConvoyOutput step;
        trio.seats[posted.to].mate->step(from, posted.signal, trio.now, step);
        if (step.load) loaded = step.load;
        trio.take(posted.to, std::move(step));
        trio.sync(posted.to);
        if (parts == 2 && !has_restarted) {
          has_restarted = true;
          trio.start(behind);
        }
      }
    }
  }
  CHECK(loaded.has_value());
  LONGS_EQUAL(body.size(), loaded->body.size());
  CHECK(largest <= 1u << 20);
  CHECK(parts >= 5 && parts <= 12);
}

TEST(Convoy, an_older_picture_takes_no_entry_that_was_answered_for) {
  Trio trio;
  Convoy &mate = *trio.seats[2].mate;
  AppendAsk ask{5, 1, 0, 0, 0, trio.now, {}};
  for (std::uint64_t index = 1; index <= 5; ++index) ask.entries.push_back({index, 1, 1, "body"});
  ConvoyOutput out;
  mate.step(1, ask, trio.now, out);
  trio.take(2, std::move(out));
  trio.sync(2);
  trio.mail.clear();
  ConvoyOutput pictured;
  mate.step(1, PictureAsk{5, 1, 3, 1, trio.now, trio.seats[2].disk.picture.mates, "state", 0, 5}, trio.now,
            pictured);
  LONGS_EQUAL(5, mate.last_index());
  LONGS_EQUAL(3, mate.commit());
  CHECK(!pictured.load.has_value());
  for (const Save &save : pictured.saves) CHECK(save.cut_from == 0 && !save.picture);
  LONGS_EQUAL(3, pictured.committed.size());
}
