#pragma once
// The replicated log: votes, entries and snapshots.
#include <cstdint>
#include <string>
#include <vector>

#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// One member of the Raft group.
struct Replica {
  NodeId id = 0;
  bool is_voter = false;
  std::string zone;
  WHARF_CARRY(id, is_voter, zone)
  bool operator==(const Replica &) const = default;
};

/// The founder's order: the group's number and its first voters.
struct FoundOrder {
  std::uint64_t group = 0;
  std::vector<Replica> replicas;
  WHARF_CARRY(group, replicas)
};

enum class EntryKind : std::uint8_t { blank = 0, command = 1, replicas = 2 };

/// One entry of the replicated log.
struct Entry {
  std::uint64_t index = 0, term = 0;
  std::uint8_t kind = 0;
  std::string body;
  WHARF_CARRY(index, term, kind, body)
};

struct RequestVoteRequest {
  std::uint64_t group = 0, term = 0, last_index = 0, last_term = 0;
  bool is_pre_vote = false;
  /// True when the leader itself asked the candidate to stand, so that hearing from that leader is no
  /// objection.
  bool is_transfer = false;
  WHARF_CARRY(group, term, last_index, last_term, is_pre_vote, is_transfer)
};
struct RequestVoteResponse {
  static constexpr unsigned carried_version = 1;
  std::uint64_t group = 0, term = 0;
  bool is_granted = false, is_pre_vote = false;
  /// For how long the voter has heard from no leader and was none itself, as far as it can know; not more
  /// than the time since it started.
  Span unled_for = 0;
  template <typename Archive> void serialize(Archive &archive, unsigned carried) {
    wharf::carry(archive, group, term, is_granted, is_pre_vote);
    if (carried >= 1) wharf::carry(archive, unled_for);
  }
};
struct AppendEntriesRequest {
  std::uint64_t group = 0, term = 0, prev_index = 0, prev_term = 0, commit = 0;
  Instant sent_at = 0;
  std::vector<Entry> entries;
  WHARF_CARRY(group, term, prev_index, prev_term, commit, sent_at, entries)
};
struct AppendEntriesResponse {
  std::uint64_t group = 0, term = 0, match = 0;
  bool is_taken = false;
  Instant sent_at = 0;
  WHARF_CARRY(group, term, match, is_taken, sent_at)
};
/// A part of a snapshot of the state, for a replica too far behind for entries.
struct InstallSnapshotRequest {
  std::uint64_t group = 0, term = 0, index = 0, last_term = 0;
  Instant sent_at = 0;
  std::vector<Replica> replicas;
  std::string body;
  std::uint64_t offset = 0, total = 0;
  WHARF_CARRY(group, term, index, last_term, sent_at, replicas, body, offset, total)
};
/// How much of a snapshot a replica holds in one piece.
struct InstallSnapshotResponse {
  std::uint64_t group = 0, term = 0, index = 0, held = 0;
  Instant sent_at = 0;
  WHARF_CARRY(group, term, index, held, sent_at)
};

/// A leader that gives up its lead asks a voter whose log is complete to stand for election at once.
struct TimeoutNowRequest {
  static constexpr unsigned carried_version = 1;
  std::uint64_t group = 0, term = 0;
  /// How long after this arrives the successor may act outside the group; negative where that is not told.
  Span act_after = -1;
  template <typename Archive> void serialize(Archive &archive, unsigned carried) {
    wharf::carry(archive, group, term);
    if (carried >= 1) wharf::carry(archive, act_after);
  }
};

} // namespace wharf
