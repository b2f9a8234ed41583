#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "signals/signals.hpp"

namespace wharf {

/// The part of a mate's state that must be on disk before it speaks.
struct HardState {
  std::uint64_t group = 0, term = 0;
  NodeId vote = 0;
  WHARF_CARRY(group, term, vote)
  bool operator==(const HardState &) const = default;
};

/// A state picture with what the log needs to go on from it.
struct Picture {
  std::uint64_t index = 0, term = 0;
  std::vector<Mate> mates;
  std::string body;
  WHARF_CARRY(index, term, mates, body)
};

/// What a data folder held when it was opened.
struct Recovered {
  HardState hard;
  Picture picture;
  std::vector<Entry> entries;
};

/// One batch for the disk; done when all of it is synced.
struct Save {
  std::uint64_t ticket = 0;
  std::optional<HardState> hard;
  std::uint64_t cut_from = 0;
  std::vector<Entry> append;
  std::optional<Picture> picture;
};

/// What a step of the Raft machine wants done.
struct ConvoyOutput {
  Outbox mail;
  std::vector<Save> saves;
  std::optional<Picture> load;
  std::vector<Entry> committed;
  bool has_role_changed = false;
};

enum class Rank : std::uint8_t { follower, trial, candidate, leader };

struct ConvoyOptions {
  Span election_least = milliseconds(500);
  Span election_most = milliseconds(1000);
  /// How much sooner than usual the first election after a start may come, as no leader is expected then.
  Span first_sooner = milliseconds(350);
  Span heartbeat = milliseconds(75);
  Span disk_patience = milliseconds(1500);
  std::size_t batch_entries = 256;
  std::size_t batch_bytes = 1u << 20;
  std::size_t picture_part = 1u << 20;
  Span picture_again = milliseconds(500);
};

/// One mate of our Raft group, as a pure state machine: input and time in; mail and saves out.
class Convoy {
public:
  Convoy(NodeId self, ConvoyOptions options, std::uint64_t seed, const Recovered &recovered, Instant now);

  void step(NodeId from, const Signal &signal, Instant now, ConvoyOutput &out);
  void tick(Instant now, ConvoyOutput &out);
  /// Puts a command in the log; its index, or nothing when this mate does not lead.
  std::optional<std::uint64_t> propose(std::string body, Instant now, ConvoyOutput &out);
  /// Puts a new set of mates in the log; nothing when one is under way.
  std::optional<std::uint64_t> propose_mates(std::vector<Mate> mates, Instant now, ConvoyOutput &out);
  /// The batch with this ticket is synced.
  void saved(std::uint64_t ticket, Instant now, ConvoyOutput &out);
  /// The disk refused a batch: this mate neither leads nor votes until it is opened again.
  void disk_failed(Instant now, ConvoyOutput &out);
  /// Replaces the log up to `index` by a picture of the state there.
  void compact(std::uint64_t index, std::string body, ConvoyOutput &out);
  /// Founds or joins a group for the first time.
  void found(std::uint64_t group, std::vector<Mate> mates, Instant now, ConvoyOutput &out);
  /// Gives up the lead, when this mate has it.
  void step_down(Instant now, ConvoyOutput &out);

  Rank rank() const { return rank_; }
  bool is_leader() const { return rank_ == Rank::leader; }
  /// True once this leader's own term has a committed entry.
  bool is_settled() const;
  NodeId leader() const { return leader_; }
  std::uint64_t term() const { return hard_.term; }
  std::uint64_t group() const { return hard_.group; }
  std::uint64_t commit() const { return commit_; }
  std::uint64_t last_index() const { return base_.index + log_.size(); }
  std::uint64_t first_index() const { return base_.index + 1; }
  std::uint64_t term_at(std::uint64_t index) const;
  const std::vector<Mate> &mates() const { return mates_; }
  /// Everything a majority answered was sent at or after this moment; the lead was held then.
  Instant confirmed_at(Instant now) const;
  Instant led_since() const { return led_since_; }
  /// How far a mate's log is known to match.
  std::uint64_t match_of(NodeId id) const;
  /// When the mate last answered this leader.
  Instant heard_from(NodeId id) const;
  bool is_disk_well(Instant now) const;
  const std::deque<Entry> &log() const { return log_; }

private:
  struct Progress {
    std::uint64_t next = 1, match = 0;
    Instant acked = 0, heard = 0, pictured = 0, stepped_back = 0;
    std::uint64_t picture_index = 0, picture_held = 0;
  };
  struct Waiting {
    std::uint64_t ticket = 0, last_index = 0, last_term = 0;
    bool has_entries = false;
    Instant since = 0;
    HardState hard;
    Outbox mail;
  };

  void handle(NodeId from, const VoteAsk &ask, Instant now, ConvoyOutput &out);
  void handle(NodeId from, const VoteSay &say, Instant now, ConvoyOutput &out);
  void handle(NodeId from, const AppendAsk &ask, Instant now, ConvoyOutput &out);
  void handle(NodeId from, const AppendSay &say, Instant now, ConvoyOutput &out);
  void handle(NodeId from, const PictureAsk &ask, Instant now, ConvoyOutput &out);
  void handle(NodeId from, const PictureSay &say, Instant now, ConvoyOutput &out);

  void follow(std::uint64_t term, NodeId leader, Instant now, ConvoyOutput &out);
  void campaign(bool is_trial, Instant now, ConvoyOutput &out);
  void count_votes(Instant now, ConvoyOutput &out);
  void lead(Instant now, ConvoyOutput &out);
  void append(std::uint8_t kind, std::string body, ConvoyOutput &out);
  void send_append(NodeId to, Instant now, ConvoyOutput &out);
  void broadcast(Instant now, ConvoyOutput &out);
  void advance_commit(Instant now, ConvoyOutput &out);
  void deliver(ConvoyOutput &out);
  void remember_mates();
  void cut_log(std::uint64_t from);
  void set_election(Instant now);
  bool is_voter(NodeId id) const;
  std::size_t majority() const;
  Save &save(ConvoyOutput &out);
  void finish(Instant now, ConvoyOutput &out);

  NodeId self_;
  ConvoyOptions options_;
  Dice dice_;
  HardState hard_;
  Picture base_, arriving_;
  std::deque<Entry> log_;
  std::vector<Mate> mates_;
  std::uint64_t mates_index_ = 0;
  std::uint64_t commit_ = 0, delivered_ = 0, synced_ = 0, verified_ = 0;
  Rank rank_ = Rank::follower;
  NodeId leader_ = 0;
  Instant election_at_ = 0, heard_leader_ = 0, heartbeat_at_ = 0, led_since_ = 0, last_sent_at_ = 0;
  std::set<NodeId> votes_;
  std::map<NodeId, Progress> progress_;
  std::deque<Waiting> waiting_;
  std::uint64_t next_ticket_ = 1;
  bool is_disk_dead_ = false;
  std::optional<Save> building_;
  Outbox after_;
};

} // namespace wharf
