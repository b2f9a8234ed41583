#pragma once
#include <map>
#include <string>
#include <vector>

#include "signals/signals.hpp"
#include "tide/backoff.hpp"

namespace wharf {

struct MembershipOptions {
  Span every = milliseconds(250);
  Span silent_after = milliseconds(1500);
  Span forget_after = seconds(30);
  /// Members told at each beat.
  std::size_t told_each = 8;
  /// How long what was learned of a member is passed on whole; later only its beat is.
  Span news_for = seconds(1);
  /// How soon seeds are asked again for a member that is sought, at first and at most.
  Span seek_again = milliseconds(50), seek_again_most = seconds(1);
  /// How long a member's successor at its address must have been heard of after it.
  Span replaced_after = milliseconds(600);
  /// A member that tells of itself, this many beats behind what it once said, is told so.
  std::uint64_t beats_late = 40;
};

/// Membership by gossip: any one living seed suffices to learn of all others.
class Membership {
public:
  Membership(Member self, std::vector<std::string> seeds, MembershipOptions options);
  void step(const Envelope &envelope, Instant now, Outbox &out);
  void tick(Instant now, Outbox &out);
  void set_group(std::uint64_t group) { self_.group = group; }
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// Replicas that are needed now: the seeds are asked for those that are not known, without waiting for
  /// gossip to bring them.
  void seek(const std::vector<Replica> &replicas);
  void set_leaving() { self_.is_leaving = true; }

  /// Members heard of lately, without this one.
  std::vector<Member> living(Instant now) const;
  const Member *find(NodeId id) const;
  bool is_living(NodeId id, Instant now) const;
  /// True when another process answers at the member's address and has gone on doing so after the member was
  /// last heard of: two cannot listen there, so the member has ended.
  bool is_replaced(NodeId id) const;
  /// The address signals for a node go to; empty when it is not known.
  std::string address_of(NodeId id) const;
  const Member &self() const { return self_; }
  const std::vector<std::string> &seeds() const { return seeds_; }
  /// Beats of known members that were passed over as older than the known one.
  std::uint64_t beats_passed_over() const { return beats_passed_over_; }

private:
  struct Known {
    Member member;
    Instant advanced = 0, learned = 0;
  };
  MembershipGossip whole(Instant now) const;
  /// How many beats news takes to reach everybody when all tell on what they hear.
  std::size_t rounds() const;
  /// How long a member may be unheard before it counts as silent; longer where news takes more rounds.
  Span silence() const;
  /// Whom to tell at this beat. Members stand in a ring by identity; in turn each tells those 1, 2, ...
  /// places behind itself, then those `told_each + 1`, 2 (`told_each` + 1), ... places behind, and so on, so
  /// that news reaches all in as few rounds as can be, and all members are told equally often.
  std::vector<const Known *> next_told();
  void learn(const Member &member, Instant now);
  void forget_silent(Instant now);
  void ask_for_sought(Instant now, Outbox &out);
  /// The known member whose era of beats has this short name; null where there is none, or more than one.
  Known *find_short(ShortId era);
  void forget_short_era(const Member &member);
  /// True where another known member has the same short name, so that a beat would not name it.
  bool is_ambiguous(const Member &member) const;
  /// True when a member that is told with an older beat than the known one has to be told of that: it is of
  /// an earlier life, or tells of itself and has begun behind its last beat. Beats overtake each other else,
  /// too.
  bool is_behind(const Known &known, const Member &told, bool is_told_by_itself, Instant now) const;
  /// The known members of a short name, be it that of an identity or of an era of beats.
  std::vector<Member> members_named(ShortId name) const;
  Member self_;
  std::vector<std::string> seeds_;
  MembershipOptions options_;
  std::map<NodeId, Known> known_;
  std::multimap<ShortId, NodeId> short_eras_;
  std::vector<NodeId> sought_;
  Backoff seek_retry_;
  Instant next_at_ = 0;
  std::uint64_t beats_told_ = 0, beats_passed_over_ = 0;
};

} // namespace wharf
