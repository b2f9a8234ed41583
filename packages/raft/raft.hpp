#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "signals/signals.hpp"

namespace wharf {

/// The part of a replica's state that must be on disk before it speaks.
struct HardState {
  std::uint64_t group = 0, term = 0;
  NodeId vote = 0;
  WHARF_CARRY(group, term, vote)
  bool operator==(const HardState &) const = default;
};

/// A state snapshot with what the log needs to go on from it.
struct Snapshot {
  std::uint64_t index = 0, term = 0;
  std::vector<Replica> replicas;
  std::string body;
  WHARF_CARRY(index, term, replicas, body)
};

/// What a data folder held when it was opened.
struct Recovered {
  HardState hard;
  Snapshot snapshot;
  std::vector<Entry> entries;
};

/// One batch for the disk; done when all of it is synced.
struct WriteBatch {
  std::uint64_t ticket = 0;
  std::optional<HardState> hard;
  std::uint64_t cut_from = 0;
  std::vector<Entry> append;
  std::optional<Snapshot> snapshot;
};

/// What a step of the Raft machine wants done.
struct RaftOutput {
  Outbox mail;
  std::vector<WriteBatch> batches;
  std::optional<Snapshot> load;
  std::vector<Entry> committed;
  bool has_role_changed = false;
};

enum class RaftRole : std::uint8_t { follower, pre_candidate, candidate, leader };

struct RaftOptions {
  Span election_least = milliseconds(500);
  Span election_most = milliseconds(1000);
  /// How much sooner than usual the first election after a start may come, as no leader is expected then.
  Span first_sooner = milliseconds(350);
  Span heartbeat = milliseconds(75);
  /// How long after a majority last confirmed it a leader may act outside the group.
  Span leader_lease = milliseconds(450);
  /// How long what it did there may take to arrive; a successor acts no sooner than so long after the lease.
  Span act_delivery_most = milliseconds(250);
  /// How soon a pre-candidate asks those again that have not granted it their pre-vote, which may have been
  /// on their way up; drawn between the two, so that of several pre-candidates one is ahead.
  Span pre_vote_again_least = milliseconds(50), pre_vote_again_most = milliseconds(200);
  Span disk_patience = milliseconds(1500);
  std::size_t batch_entries = 256;
  std::size_t batch_bytes = 1u << 20;
  std::size_t snapshot_chunk_bytes = 1u << 20;
  Span snapshot_retry = milliseconds(500);
};

/// One replica of our Raft group, as a pure state machine: input and time in; mail and batches out.
class RaftNode {
public:
  RaftNode(NodeId self, RaftOptions options, std::uint64_t seed, const Recovered &recovered, Instant now);

  void step(NodeId from, const Signal &signal, Instant now, RaftOutput &out);
  void tick(Instant now, RaftOutput &out);
  /// Puts a command in the log; its index, or nothing when this replica does not lead.
  std::optional<std::uint64_t> propose(std::string body, Instant now, RaftOutput &out);
  /// Puts a new set of replicas in the log; nothing when one is under way.
  std::optional<std::uint64_t> propose_replicas(std::vector<Replica> replicas, Instant now, RaftOutput &out);
  /// The batch with this ticket is synced.
  void saved(std::uint64_t ticket, Instant now, RaftOutput &out);
  /// The disk refused a batch: this replica neither leads nor votes until it is opened again.
  void disk_failed(Instant now, RaftOutput &out);
  /// Replaces the log up to `index` by a snapshot of the state there.
  void compact(std::uint64_t index, std::string body, RaftOutput &out);
  /// Founds or joins a group for the first time.
  void found(std::uint64_t group, std::vector<Replica> replicas, Instant now, RaftOutput &out);
  /// Forgets a group whose log is empty here, so that another can be joined.
  void abandon_empty_group(RaftOutput &out);
  /// Gives up the lead, when this replica has it.
  void step_down(Instant now, RaftOutput &out);
  /// Asks the voter whose log is known to reach furthest to stand for election at once. True once a voter
  /// whose log is complete has been asked; false when there is none yet, or this replica does not lead.
  bool transfer_leadership(const std::set<NodeId> &excluded, Instant now, RaftOutput &out);
  /// True while this replica may act outside the group, where no other does: it is a settled leader whose
  /// lease runs, what its predecessors did has arrived, and it has not asked another replica to take the
  /// lead.
  bool may_act(Instant now) const { return now < may_act_until(now); }
  /// Until when it may, as far as it is confirmed by now; 0 where it may not now.
  Instant may_act_until(Instant now) const;
  /// The moment before which this leader must not act outside the group, for its predecessors' sake.
  Instant acts_from() const { return acts_from_; }

  RaftRole role() const { return role_; }
  bool is_leader() const { return role_ == RaftRole::leader; }
  /// True once this leader's own term has a committed entry.
  bool is_settled() const;
  NodeId leader() const { return leader_; }
  std::uint64_t term() const { return hard_.term; }
  std::uint64_t group() const { return hard_.group; }
  std::uint64_t commit() const { return commit_; }
  std::uint64_t last_index() const { return base_.index + log_.size(); }
  std::uint64_t first_index() const { return base_.index + 1; }
  std::uint64_t term_at(std::uint64_t index) const;
  const std::vector<Replica> &replicas() const { return replicas_; }
  /// Everything a majority answered was sent at or after this moment; the lead was held then.
  Instant confirmed_at(Instant now) const;
  Instant led_since() const { return led_since_; }
  /// How far a replica's log is known to match.
  std::uint64_t match_of(NodeId id) const;
  /// When the replica last answered this leader.
  Instant heard_from(NodeId id) const;
  /// True when a replica's last catch-up round, from the end of this leader's log at the round's start until
  /// the replica's log reached it, took no longer than the shortest election timeout: promoting it now delays
  /// no commit.
  bool is_caught_up(NodeId id) const;
  /// True while a snapshot is on its way to some replica, so that the log behind it is better kept.
  bool is_sending_snapshot() const;
  bool is_disk_well(Instant now) const;
  const std::deque<Entry> &log() const { return log_; }

private:
  struct Progress {
    std::uint64_t next = 1, match = 0;
    Instant acked = 0, heard = 0, snapshot_sent_at = 0, stepped_back = 0;
    /// The snapshot being sent; kept until it has arrived, though a newer one may have been taken meanwhile.
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t snapshot_received = 0;
    /// The end of the catch-up round under way, when it began, and how long the last complete one took.
    std::uint64_t round_end = 0;
    Instant round_began = 0;
    std::optional<Span> last_round;
  };
  struct Waiting {
    std::uint64_t ticket = 0, last_index = 0, last_term = 0;
    bool has_entries = false;
    Instant since = 0;
    HardState hard;
    Outbox mail;
  };

  void handle(NodeId from, const RequestVoteRequest &ask, Instant now, RaftOutput &out);
  void handle(NodeId from, const RequestVoteResponse &say, Instant now, RaftOutput &out);
  void handle(NodeId from, const AppendEntriesRequest &ask, Instant now, RaftOutput &out);
  void handle(NodeId from, const AppendEntriesResponse &say, Instant now, RaftOutput &out);
  void handle(NodeId from, const InstallSnapshotRequest &ask, Instant now, RaftOutput &out);
  void handle(NodeId from, const InstallSnapshotResponse &say, Instant now, RaftOutput &out);
  void handle(NodeId from, const TimeoutNowRequest &ask, Instant now, RaftOutput &out);

  void follow(std::uint64_t term, NodeId leader, Instant now, RaftOutput &out);
  /// Asks all voters that have not granted their vote, or pre-vote, in this election.
  void ask_votes(bool is_pre_vote, bool is_transfer);
  void set_pre_vote_again(Instant now);
  void campaign(bool is_pre_vote, bool is_transfer, Instant now, RaftOutput &out);
  /// Forgets how far the log was compared with a leader's; due whenever the term rises.
  void forget_verified();
  /// When this replica last heard from a leader, or may have done so before it started.
  Span unled_for(Instant now) const { return now - heard_leader_; }
  static Progress new_progress(std::uint64_t next, Instant now);
  void note_round(Progress &progress, Instant now);
  void send_snapshot(NodeId to, Progress &progress, Instant now, RaftOutput &out);
  void count_votes(Instant now, RaftOutput &out);
  void lead(Instant now, RaftOutput &out);
  void append(std::uint8_t kind, std::string body, RaftOutput &out);
  void send_append(NodeId to, Instant now, RaftOutput &out);
  void broadcast(Instant now, RaftOutput &out);
  void advance_commit(Instant now, RaftOutput &out);
  void deliver(RaftOutput &out);
  void refresh_replicas();
  void cut_log(std::uint64_t from);
  /// A span between two others, drawn evenly.
  Span draw(Span least, Span most);
  void set_election(Instant now);
  bool is_voter(NodeId id) const;
  std::size_t majority() const;
  WriteBatch &save(RaftOutput &out);
  void finish(Instant now, RaftOutput &out);

  NodeId self_;
  RaftOptions options_;
  Dice dice_;
  HardState hard_;
  Snapshot base_, incoming_snapshot_;
  std::deque<Entry> log_;
  std::vector<Replica> replicas_;
  std::uint64_t replicas_index_ = 0;
  std::uint64_t commit_ = 0, delivered_ = 0, synced_ = 0, verified_ = 0;
  RaftRole role_ = RaftRole::follower;
  NodeId leader_ = 0;
  Instant election_at_ = 0, pre_vote_again_at_ = 0, heard_leader_ = 0, heartbeat_at_ = 0, led_since_ = 0,
          last_sent_at_ = 0;
  /// When one of those that voted for this replica, itself included, last heard from a leader, at the latest.
  Instant voters_led_until_ = 0;
  /// From when on this replica may act outside the group, when a leader that gave up its lead said so.
  std::optional<Instant> transferred_acts_from_;
  Instant acts_from_ = 0;
  /// Another replica was asked to take the lead; it may have it without this one hearing of it.
  bool has_transferred_ = false;
  std::set<NodeId> votes_;
  std::map<NodeId, Progress> progress_;
  std::deque<Waiting> waiting_;
  std::uint64_t next_ticket_ = 1;
  bool is_disk_dead_ = false;
  std::optional<WriteBatch> building_;
  Outbox after_;
};

} // namespace wharf
