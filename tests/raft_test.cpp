#include <deque>
#include <memory>

#include "raft/raft.hpp"
#include "rig.hpp"
#include "signals/pack.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// Three replicas joined by hand: mail waits until the test passes it on, batches until it syncs them.
struct Trio {
  struct NodeSession {
    std::unique_ptr<RaftNode> replica;
    Recovered disk;
    std::deque<WriteBatch> batches;
  };
  std::map<NodeId, NodeSession> sessions;
  std::deque<std::pair<NodeId, Posted>> mail;
  Instant now = seconds(10);

  Trio() {
    for (NodeId id = 1; id <= 3; ++id) {
      sessions[id].disk.hard.group = 5;
      sessions[id].disk.snapshot.replicas = {{1, true, "a"}, {2, true, "b"}, {3, true, "c"}};
      start(id);
    }
  }
  void start(NodeId id) {
    sessions[id].batches.clear();
    sessions[id].replica = std::make_unique<RaftNode>(id, RaftOptions{}, id, sessions[id].disk, now);
  }
  void take(NodeId id, RaftOutput &&out) {
    for (Posted &posted : out.mail) mail.emplace_back(id, std::move(posted));
    for (WriteBatch &save : out.batches) sessions[id].batches.push_back(std::move(save));
  }
  void sync(NodeId id, bool forgets_vote = false) {
    while (!sessions[id].batches.empty()) {
      WriteBatch save = std::move(sessions[id].batches.front());
      sessions[id].batches.pop_front();
      Recovered &disk = sessions[id].disk;
      if (save.hard) disk.hard = *save.hard;
      if (save.hard && forgets_vote) disk.hard.vote = 0;
      if (save.cut_from != 0)
        std::erase_if(disk.entries, [&](const Entry &entry) { return entry.index >= save.cut_from; });
      disk.entries.insert(disk.entries.end(), save.append.begin(), save.append.end());
      RaftOutput out;
      sessions[id].replica->saved(save.ticket, now, out);
      take(id, std::move(out));
    }
  }
  void pass_on() {
    for (int round = 0; round < 400 && !mail.empty(); ++round) {
      auto [from, posted] = std::move(mail.front());
      mail.pop_front();
      RaftOutput out;
      sessions[posted.to].replica->step(from, posted.signal, now, out);
      take(posted.to, std::move(out));
      for (NodeId id = 1; id <= 3; ++id) sync(id);
    }
  }
  NodeId elect_first() {
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(10);
      for (NodeId id = 1; id <= 3; ++id) {
        RaftOutput out;
        sessions[id].replica->tick(now, out);
        take(id, std::move(out));
        sync(id);
      }
      pass_on();
      for (NodeId id = 1; id <= 3; ++id)
        if (sessions[id].replica->is_settled()) return id;
    }
    return 0;
  }
};

/// Whether a replica that voted, was restarted and is asked by another votes again in that term.
bool votes_twice(bool forgets_vote) {
  Trio trio;
  trio.now += seconds(2);
  const RequestVoteRequest ask{5, 7, 0, 0, false};
  RaftOutput out;
  trio.sessions[3].replica->step(1, ask, trio.now, out);
  trio.take(3, std::move(out));
  trio.sync(3, forgets_vote);
  trio.start(3);
  trio.mail.clear();
  RaftOutput again;
  trio.sessions[3].replica->step(2, ask, trio.now, again);
  trio.take(3, std::move(again));
  trio.sync(3);
  for (const auto &[from, posted] : trio.mail)
    if (const auto *say = std::get_if<RequestVoteResponse>(&posted.signal);
        say != nullptr && posted.to == 2 && say->is_granted)
      return true;
  return false;
}
} // namespace

TEST_GROUP(RaftNode){};

TEST(RaftNode, a_vote_outlives_a_restart_and_a_forgotten_one_shows) {
  CHECK(!votes_twice(false));
  CHECK(votes_twice(true));
}

TEST(RaftNode, no_vote_leaves_before_it_is_synced) {
  Trio trio;
  trio.now += seconds(2);
  RaftOutput out;
  trio.sessions[3].replica->step(1, RequestVoteRequest{5, 7, 0, 0, false}, trio.now, out);
  LONGS_EQUAL(0, out.mail.size());
  LONGS_EQUAL(1, out.batches.size());
}

TEST(RaftNode, in_every_order_of_two_candidates_asks_a_mate_votes_once) {
  every_order(4, [](const std::vector<std::size_t> &order) {
    Trio trio;
    trio.now += seconds(2);
    const std::pair<NodeId, RequestVoteRequest> asks[] = {{1, {5, 7, 0, 0, false}},
                                                          {2, {5, 7, 0, 0, false}},
                                                          {1, {5, 7, 0, 0, false}},
                                                          {2, {5, 6, 0, 0, false}}};
    std::set<NodeId> granted;
    for (std::size_t at : order) {
      RaftOutput out;
      trio.sessions[3].replica->step(asks[at].first, asks[at].second, trio.now, out);
      trio.take(3, std::move(out));
      trio.sync(3);
    }
    for (const auto &[from, posted] : trio.mail)
      if (const auto *say = std::get_if<RequestVoteResponse>(&posted.signal);
          say != nullptr && say->is_granted && say->term == 7)
        granted.insert(posted.to);
    LONGS_EQUAL(1, granted.size());
  });
}

TEST(RaftNode, an_entry_commits_only_when_a_majority_has_synced_it) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  CHECK(leader != 0);
  const std::uint64_t before = trio.sessions[leader].replica->commit();
  RaftOutput out;
  CHECK(trio.sessions[leader].replica->propose("x", trio.now, out).has_value());
  trio.take(leader, std::move(out));
  const auto mail = trio.mail;
  trio.mail.clear();
  for (const auto &[from, posted] : mail) {
    RaftOutput step;
    trio.sessions[posted.to].replica->step(from, posted.signal, trio.now, step);
    trio.take(posted.to, std::move(step));
  }
  const auto replies = trio.mail;
  trio.mail.clear();
  for (const auto &[from, posted] : replies) {
    RaftOutput step;
    trio.sessions[posted.to].replica->step(from, posted.signal, trio.now, step);
    trio.take(posted.to, std::move(step));
  }
  LONGS_EQUAL(before, trio.sessions[leader].replica->commit());
  for (NodeId id = 1; id <= 3; ++id) trio.sync(id);
  trio.pass_on();
  CHECK(trio.sessions[leader].replica->commit() > before);
}

TEST(RaftNode, a_voter_that_comes_up_is_asked_long_before_the_next_election_timeout) {
  Trio trio;
  const auto tick = [&](NodeId id) {
    RaftOutput out;
    trio.sessions[id].replica->tick(trio.now, out);
    trio.take(id, std::move(out));
  };
  // Replica 1 stands alone: its questions reach nobody.
  while (trio.sessions[1].replica->role() != RaftRole::pre_candidate) {
    trio.now += milliseconds(5);
    tick(1);
  }
  trio.mail.clear();
  const Instant up_at = trio.now + milliseconds(20);
  trio.now = up_at;
  for (int step = 0; step < 50 && !trio.sessions[1].replica->is_leader(); ++step) {
    trio.now += milliseconds(5);
    tick(1);
    trio.pass_on();
    trio.sync(1);
    trio.sync(2);
    trio.pass_on();
  }
  CHECK(trio.sessions[1].replica->is_leader());
  CHECK(trio.now - up_at <= RaftOptions{}.pre_vote_again_most + milliseconds(20));
}

TEST(RaftNode, a_leader_whose_disk_stalls_steps_down) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  RaftOutput out;
  trio.sessions[leader].replica->propose("x", trio.now, out);
  trio.now += seconds(2);
  RaftOutput late;
  trio.sessions[leader].replica->tick(trio.now, late);
  CHECK(!trio.sessions[leader].replica->is_leader());
}

TEST(RaftNode, a_late_snapshot_never_takes_a_mate_back) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId other = leader == 1 ? 2 : 1;
  const std::uint64_t commit = trio.sessions[other].replica->commit();
  RaftOutput out;
  trio.sessions[other].replica->step(
      leader,
      InstallSnapshotRequest{5, trio.sessions[leader].replica->term(), 0, 0, trio.now, {}, "old", 0, 3},
      trio.now, out);
  CHECK(!out.load.has_value());
  CHECK(trio.sessions[other].replica->commit() >= commit);
}

TEST(RaftNode, doubled_refusals_do_not_echo) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId other = leader == 1 ? 2 : 1;
  const AppendEntriesResponse refusal{5, trio.sessions[leader].replica->term(), 0, false, trio.now};
  std::size_t sent = 0;
  for (int copy = 0; copy < 50; ++copy) {
    RaftOutput out;
    trio.sessions[leader].replica->step(other, refusal, trio.now, out);
    sent += out.mail.size();
  }
  CHECK(sent <= 1);
}

TEST(RaftNode, a_snapshot_comes_in_parts_and_again_from_the_start_after_a_restart_in_its_middle) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId behind = leader == 1 ? 2 : 1;
  RaftOutput out;
  trio.sessions[leader].replica->propose("x", trio.now, out);
  trio.take(leader, std::move(out));
  std::erase_if(trio.mail, [&](const auto &item) { return item.second.to == behind; });
  for (int round = 0; round < 4; ++round) {
    std::erase_if(trio.mail, [&](const auto &item) { return item.second.to == behind; });
    trio.sync(leader);
    trio.sync(6 - leader - behind);
    trio.pass_on();
  }
  const std::string body(2'500'000, 'p');
  RaftOutput compacted;
  trio.sessions[leader].replica->compact(trio.sessions[leader].replica->commit(), body, compacted);
  LONGS_EQUAL(1, compacted.batches.size());
  trio.take(leader, std::move(compacted));
  trio.sync(leader);
  trio.start(behind);
  std::size_t parts = 0, largest = 0;
  bool has_restarted = false;
  std::optional<Snapshot> loaded;
  for (int round = 0; round < 200 && !loaded; ++round) {
    trio.now += milliseconds(80);
    RaftOutput tick;
    trio.sessions[leader].replica->tick(trio.now, tick);
    trio.take(leader, std::move(tick));
    for (int hop = 0; hop < 12 && !trio.mail.empty() && !loaded; ++hop) {
      auto mail = std::move(trio.mail);
      trio.mail.clear();
      for (auto &[from, posted] : mail) {
        if (const auto *part = std::get_if<InstallSnapshotRequest>(&posted.signal)) {
          ++parts;
          largest = std::max(largest, part->body.size());
        }
        RaftOutput step;
        trio.sessions[posted.to].replica->step(from, posted.signal, trio.now, step);
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

TEST(RaftNode, an_older_snapshot_takes_no_entry_that_was_answered_for) {
  Trio trio;
  RaftNode &replica = *trio.sessions[2].replica;
  AppendEntriesRequest ask{5, 1, 0, 0, 0, trio.now, {}};
  for (std::uint64_t index = 1; index <= 5; ++index) ask.entries.push_back({index, 1, 1, "body"});
  RaftOutput out;
  replica.step(1, ask, trio.now, out);
  trio.take(2, std::move(out));
  trio.sync(2);
  trio.mail.clear();
  RaftOutput snapshot_sent_at;
  replica.step(
      1, InstallSnapshotRequest{5, 1, 3, 1, trio.now, trio.sessions[2].disk.snapshot.replicas, "state", 0, 5},
      trio.now, snapshot_sent_at);
  LONGS_EQUAL(5, replica.last_index());
  LONGS_EQUAL(3, replica.commit());
  CHECK(!snapshot_sent_at.load.has_value());
  for (const WriteBatch &save : snapshot_sent_at.batches) CHECK(save.cut_from == 0 && !save.snapshot);
  LONGS_EQUAL(3, snapshot_sent_at.committed.size());
}

namespace {
/// A follower of leader 1 in term 1 that holds entries up to `last`, all synced and acknowledged.
RaftNode &follower_with_entries(Trio &trio, std::uint64_t last) {
  RaftNode &replica = *trio.sessions[2].replica;
  AppendEntriesRequest ask{5, 1, 0, 0, 0, trio.now, {}};
  for (std::uint64_t index = 1; index <= last; ++index) ask.entries.push_back({index, 1, 1, "old"});
  RaftOutput out;
  replica.step(1, ask, trio.now, out);
  trio.take(2, std::move(out));
  trio.sync(2);
  trio.mail.clear();
  return replica;
}
} // namespace

TEST(RaftNode, what_was_compared_with_an_earlier_leader_is_not_acknowledged_to_a_later_one) {
  // The follower stands for election itself before the later leader is heard, which raises its term.
  for (const bool stands_itself : {true, false}) {
    Trio trio;
    RaftNode &replica = follower_with_entries(trio, 5);
    std::uint64_t term = 2;
    if (stands_itself) {
      trio.now += seconds(3);
      RaftOutput tick;
      replica.tick(trio.now, tick);
      RaftOutput vote;
      replica.step(3, RequestVoteResponse{5, 2, true, true}, trio.now, vote);
      LONGS_EQUAL(2, replica.term());
      trio.take(2, std::move(vote));
      trio.sync(2);
      trio.mail.clear();
    }
    RaftOutput out;
    replica.step(3, AppendEntriesRequest{5, term, 2, 1, 0, trio.now, {}}, trio.now, out);
    trio.take(2, std::move(out));
    trio.sync(2);
    CHECK(!trio.mail.empty());
    for (const auto &[from, posted] : trio.mail)
      if (const auto *say = std::get_if<AppendEntriesResponse>(&posted.signal)) CHECK(say->match <= 2);
  }
}

TEST(RaftNode, a_lead_passed_on_by_name_is_taken_without_waiting_for_silence) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  trio.pass_on();
  RaftOutput out;
  CHECK(trio.sessions[leader].replica->transfer_leadership({}, trio.now, out));
  trio.take(leader, std::move(out));
  trio.pass_on();
  CHECK(!trio.sessions[leader].replica->is_leader());
  NodeId successor = 0;
  for (NodeId id = 1; id <= 3; ++id)
    if (trio.sessions[id].replica->is_settled()) successor = id;
  CHECK(successor != 0 && successor != leader);
}

TEST(RaftNode, a_snapshot_under_way_is_finished_though_a_newer_one_was_taken) {
  Trio trio;
  const NodeId leader = trio.elect_first();
  const NodeId behind = leader == 3 ? 2 : 3;
  RaftNode &leading = *trio.sessions[leader].replica;
  // The follower comes back with an empty log, and one part of a snapshot reaches it between two new
  // snapshots, as on a slow link in a storm of changes.
  trio.sessions[behind].disk.entries.clear();
  trio.start(behind);
  std::optional<Snapshot> loaded;
  for (int round = 0; round < 60 && !loaded; ++round) {
    RaftOutput put;
    leading.propose(std::string(1000, 'x'), trio.now, put);
    trio.take(leader, std::move(put));
    bool has_had_part = false;
    for (int hop = 0; hop < 50 && !trio.mail.empty(); ++hop) {
      auto [from, posted] = std::move(trio.mail.front());
      trio.mail.pop_front();
      const bool is_part = std::holds_alternative<InstallSnapshotRequest>(posted.signal);
      if (is_part && has_had_part) continue;
      has_had_part = has_had_part || is_part;
      RaftOutput step;
      trio.sessions[posted.to].replica->step(from, posted.signal, trio.now, step);
      if (step.load) loaded = step.load;
      trio.take(posted.to, std::move(step));
      for (NodeId id = 1; id <= 3; ++id) trio.sync(id);
    }
    if (leading.commit() > leading.first_index() + 1) {
      RaftOutput compacted;
      leading.compact(leading.commit(), std::string(5u << 20, 'a'), compacted);
      trio.take(leader, std::move(compacted));
      trio.sync(leader);
    }
    trio.now += milliseconds(600);
    RaftOutput tick;
    leading.tick(trio.now, tick);
    trio.take(leader, std::move(tick));
  }
  CHECK(loaded.has_value());
  CHECK(loaded->body.size() == 5u << 20);
}
