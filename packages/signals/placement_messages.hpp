#pragma once
// Between edge nodes and the leader of the control group: reports, orders, node sets, runners.
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

/// What a scheduler wishes for one service.
struct Want {
  std::string service;
  std::uint32_t runners = 0;
  Epoch epoch = 0;
  std::vector<std::string> retire, idle;
  std::uint32_t pending = 0, taken = 0;
  WHARF_CARRY(service, runners, epoch, retire, idle, pending, taken)
};

/// A runner as pilots and schedulers know it.
struct RunnerView {
  std::string id, service, address, worker, zone, seal_key;
  bool is_leaving = false;
  /// Started, but not known to listen yet; for how long it has been starting.
  bool is_booting = false;
  Span booting_for = 0;
  /// The name the platform gave it, where that is not ours.
  std::string handle;
  WHARF_CARRY(id, service, address, worker, zone, seal_key, is_leaving, is_booting, booting_for, handle)
};

/// What a node's machine has; 0 where that is not known.
struct NodeCapacity {
  std::uint32_t link_kbps = 0, cpu_permille = 0;
  WHARF_CARRY(link_kbps, cpu_permille)
};

/// An earlier roster, kept so that a successor can tell whether its copy is whole.
struct PastRoster {
  static constexpr unsigned carried_version = 1;
  Epoch epoch = 0;
  std::vector<NodeId> pilots;
  std::vector<std::string> addresses;
  /// When it was taken, by the group's own clock.
  std::int64_t taken_ms = 0;
  /// The pilots that own tenants and services; empty where all do.
  std::vector<NodeId> owner_candidates{};
  const std::vector<NodeId> &owners() const { return owner_candidates.empty() ? pilots : owner_candidates; }
  template <typename Archive> void serialize(Archive &archive, unsigned version) {
    wharf::carry(archive, epoch, pilots, addresses, taken_ms);
    if (version >= 1) wharf::carry(archive, owner_candidates);
  }
};

/// Who serves as purser and scheduler, by epoch.
struct Roster {
  static constexpr unsigned carried_version = 1;
  Epoch epoch = 0;
  std::vector<NodeId> pilots;
  std::vector<PastRoster> past;
  bool is_first = false;
  /// Where each pilot listens, in the order of `pilots`.
  std::vector<std::string> addresses;
  std::int64_t taken_ms = 0;
  /// The pilots that own tenants and services; empty where all do.
  std::vector<NodeId> owner_candidates;
  const std::vector<NodeId> &owners() const { return owner_candidates.empty() ? pilots : owner_candidates; }
  template <typename Archive> void serialize(Archive &archive, unsigned version) {
    wharf::carry(archive, epoch, pilots, past, is_first, addresses, taken_ms);
    if (version >= 1) wharf::carry(archive, owner_candidates);
  }
};

/// Ranks nodes for a name by highest random weight; the first is its owner, the second its replica.
std::vector<NodeId> rank_nodes(const std::vector<NodeId> &nodes, std::string_view name, std::uint64_t salt);
/// The first of that ranking, or 0 where there is no node, without ranking the others.
NodeId top_ranked_node(const std::vector<NodeId> &nodes, std::string_view name, std::uint64_t salt);

/// The owners of names in one node set, each worked out once.
class OwnerCache {
public:
  explicit OwnerCache(std::uint64_t salt) : salt_(salt) {}
  /// The owner of a name in the node set of an epoch; asked with another epoch, it forgets the one before.
  NodeId owner_of(const std::string &name, const Roster &roster);

private:
  std::uint64_t salt_;
  Epoch epoch_ = 0;
  std::unordered_map<std::string, NodeId> owners_;
};
constexpr std::uint64_t purser_salt = 11, scheduler_salt = 23;

/// What a pilot measured of one tenant's errands under one rule since it last told.
struct Sounding {
  std::string tenant, rule, service;
  std::uint32_t arrived = 0, done = 0, refused = 0, over_quota = 0;
  std::uint64_t busy_us = 0;
  /// A few calls as they came: method and target.
  std::vector<std::string> samples;
  WHARF_CARRY(tenant, rule, service, arrived, done, refused, over_quota, busy_us, samples)
};

/// A pilot's report to the leader and its ask for a freshness permit.
struct Pulse {
  Instant sent_at = 0;
  Version version = 0;
  Epoch epoch = 0;
  std::uint64_t runners_stamp = 0, runners_term = 0;
  bool is_leaving = false;
  std::vector<Want> wants;
  /// False when `wants` holds only what changed since the report before.
  bool has_all_wants = true;
  /// Pilots that once listened where this one does; they have ended before this one began.
  std::vector<NodeId> replaces;
  Span up_for = 0;
  std::vector<Sounding> soundings;
  NodeCapacity capacity;
  /// The node had a lease, and it ran out before this was sent.
  bool has_lost_lease = false;
  /// The node got a manifest as a delta from one that it does not have; what it has is of `received`.
  bool has_missed_manifest = false;
  Version received = 0;
  /// A replica of the control group runs on the node's machine, so that the two are lost together.
  bool is_beside_control = false;
  /// For how long owners may go on relying on what this node granted as a witness.
  Span witness_granted_for = 0;
  static constexpr unsigned carried_version = 2;
  template <typename Archive> void serialize(Archive &archive, unsigned carried) {
    wharf::carry(archive, sent_at, version, epoch, runners_stamp, runners_term, is_leaving, wants,
                 has_all_wants, replaces, up_for, soundings, capacity, has_lost_lease);
    if (carried >= 1) wharf::carry(archive, has_missed_manifest, received);
    if (carried >= 2) wharf::carry(archive, is_beside_control, witness_granted_for);
  }
};

/// The leader's answer: a freshness permit and whatever is newer than the pilot has.
struct Orders {
  Instant sent_at = 0;
  Span age = 0;
  std::uint64_t term = 0;
  Version version = 0;
  bool has_manifest = false;
  /// The manifest as a delta from that of version `manifest_base`, or from nothing where that is 0.
  std::string manifest;
  Roster roster;
  Epoch settled = 0;
  /// How long ago every pilot of the rosters before had provably ended; 0 when some may live.
  Span quiet = 0;
  std::uint64_t runners_stamp = 0;
  bool has_runners = false;
  std::vector<RunnerView> runners;
  /// False when the pilot has this epoch's roster already and only the epoch is told.
  bool has_roster = true;
  /// When not 0, `runners` are only those of the services that changed since this stamp, which are named in
  /// `changed_services`. Either way only services that the node owns are told.
  std::uint64_t since_stamp = 0;
  std::vector<std::string> changed_services;
  Version manifest_base = 0;
  /// The process that this is told to: another one that has taken over its address must not take it, as it
  /// owns other services. 0 is for any.
  NodeId node = 0;
  WHARF_CARRY(node, manifest_base, sent_at, age, term, version, has_manifest, manifest, roster, settled,
              quiet, runners_stamp, has_runners, runners, has_roster, since_stamp, changed_services)
};

struct NotLeader {
  NodeId leader = 0;
  WHARF_CARRY(leader)
};

} // namespace wharf
