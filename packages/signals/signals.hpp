#pragma once
#include <boost/serialization/version.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tide/tide.hpp"

namespace wharf {

using NodeId = std::uint64_t;
using Epoch = std::uint64_t;
using Version = std::uint64_t;

#define WHARF_CARRY(...)                                                                                     \
  template <typename Archive> void serialize(Archive &archive, unsigned) {                                   \
    wharf::carry(archive, __VA_ARGS__);                                                                      \
  }

template <typename Archive, typename... Parts> void carry(Archive &archive, Parts &...parts) {
  (void)(archive & ... & parts);
}

enum class Role : std::uint8_t { control = 1, pilot = 2 };

/// One process as the others know it.
struct Member {
  NodeId id = 0;
  std::uint64_t group = 0;
  std::string address, http, zone;
  std::uint8_t role = 0;
  std::uint64_t beat = 0;
  bool is_leaving = false;
  /// False for a control process that keeps nothing and so is never made a replica.
  bool is_replica = true;
  WHARF_CARRY(id, group, address, http, zone, role, beat, is_leaving, is_replica)
};

/// The part of a member's identity by which gossip names it to those who know the rest.
using ShortId = std::uint32_t;
inline ShortId short_id_of(NodeId id) { return static_cast<ShortId>(id ^ (id >> 32)); }

/// That a member lives, to those who know the rest of it: of its beat only the low part is told, which those
/// who know an earlier one complete. Most of all bytes between processes are beats, so they are kept small.
struct Beat {
  ShortId id = 0;
  std::uint16_t beat = 0;
  WHARF_CARRY(id, beat)
};
/// Membership gossip: the sender, what is new to it, the beats of all others it knows to live, and whom it
/// knows only by a beat and asks about.
struct Muster {
  std::vector<Member> members;
  std::vector<Beat> beats;
  std::vector<ShortId> asks;
  WHARF_CARRY(members, beats, asks)
};

/// Asks a seed whether any group exists.
struct FoundAsk {
  std::uint64_t nonce = 0;
  std::vector<std::string> seeds;
  WHARF_CARRY(nonce, seeds)
};
struct FoundSay {
  std::uint64_t nonce = 0, group = 0;
  NodeId id = 0;
  bool may_found = false;
  std::string zone;
  WHARF_CARRY(nonce, group, id, may_found, zone)
};

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
  std::uint64_t group = 0, term = 0;
  bool is_granted = false, is_pre_vote = false;
  WHARF_CARRY(group, term, is_granted, is_pre_vote)
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
  std::uint64_t group = 0, term = 0;
  WHARF_CARRY(group, term)
};

/// What a stevedore wishes for one service.
struct Want {
  std::string service;
  std::uint32_t runners = 0;
  Epoch epoch = 0;
  std::vector<std::string> retire, idle;
  std::uint32_t pending = 0, taken = 0;
  WHARF_CARRY(service, runners, epoch, retire, idle, pending, taken)
};

/// A runner as pilots and stevedores know it.
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

/// Who serves as purser and stevedore, by epoch.
struct Roster {
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
constexpr std::uint64_t purser_salt = 11, stevedore_salt = 23;

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
  WHARF_CARRY(sent_at, version, epoch, runners_stamp, runners_term, is_leaving, wants, has_all_wants,
              replaces, up_for, soundings, capacity, has_lost_lease)
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

enum class ClaimState : std::uint8_t {
  first = 0,
  in_flight = 1,
  recorded = 2,
  unknown = 3,
  mismatch = 4,
  refused = 5,
  /// It ran, and its answer was too large to keep.
  not_kept = 6
};

/// One header of an answer that is kept.
struct KeptHeader {
  std::string name, value;
  WHARF_CARRY(name, value)
  bool operator==(const KeptHeader &) const = default;
};

struct ClaimAsk {
  std::string key, errand, digest;
  WHARF_CARRY(key, errand, digest)
};
struct ClaimSay {
  std::string errand;
  std::uint8_t state = 0;
  std::int32_t status = 0;
  std::string type, body, first_errand;
  std::vector<KeptHeader> headers;
  WHARF_CARRY(errand, state, status, type, body, first_errand, headers)
};
enum class ClosedAs : std::uint8_t { not_run = 0, run = 1, unknown = 2 };
struct CloseAsk {
  std::string key, errand;
  std::uint8_t closed_as = 0;
  std::int32_t status = 0;
  std::string type, body;
  std::vector<KeptHeader> headers;
  /// False when the answer was too large to be kept whole; then nothing of it is here.
  bool is_whole = true;
  WHARF_CARRY(key, errand, closed_as, status, type, body, headers, is_whole)
};
struct CloseSay {
  std::string errand;
  WHARF_CARRY(errand)
};

/// What a node says of one permit: tokens spent, and of these the errands that went out or ended.
struct PermitReturn {
  std::uint64_t permit = 0;
  std::uint32_t spent = 0, gone = 0;
  bool is_final = false;
  WHARF_CARRY(permit, spent, gone, is_final)
};
/// Asks a tenant's owner for tokens. Sent again with the same number until it is answered, it is granted
/// once.
struct PermitAsk {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t ask = 0;
  /// How often this ask was sent before.
  std::uint32_t attempt = 0;
  std::uint32_t want = 0;
  std::vector<PermitReturn> returns;
  WHARF_CARRY(tenant, epoch, ask, attempt, want, returns)
};
struct PermitSay {
  std::string tenant;
  std::uint64_t ask = 0, permit = 0;
  std::uint32_t tokens = 0;
  Span window = 0, retry_after = 0;
  bool is_owner = true;
  /// The attempt that was granted: the tokens' life begins when that was sent.
  std::uint32_t attempt = 0;
  WHARF_CARRY(tenant, ask, permit, tokens, window, retry_after, is_owner, attempt)
};

/// One charge a purser keeps until it is older than the quota window.
struct Charge {
  std::uint64_t permit = 0;
  NodeId node = 0;
  std::uint32_t tokens = 0, granted = 0, gone = 0;
  Span age = 0;
  bool is_open = true, is_final = false;
  /// The ledger's sequence number of the grant it comes from; 0 where several were put together.
  std::uint64_t sequence = 0;
  WHARF_CARRY(permit, node, tokens, granted, gone, age, is_open, is_final, sequence)
};
/// A tenant's ledger as it goes to a replica or a successor.
struct LedgerCopy {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t sequence = 0, next_permit = 0;
  double tokens = 0;
  std::vector<Charge> charges;
  bool is_handover = false;
  /// True when `charges` holds single charges to be added to the ledger that was sent whole before, in any
  /// order.
  bool is_delta = false;
  WHARF_CARRY(tenant, epoch, sequence, next_permit, tokens, charges, is_handover, is_delta)
};
/// What a replica holds of a ledger: of a whole one all up to `sequence`, else just the charges named.
struct LedgerAck {
  std::string tenant;
  Epoch epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> charges;
  /// True when the replica has no ledger to add charges to.
  bool needs_whole = false;
  WHARF_CARRY(tenant, epoch, sequence, charges, needs_whole)
};

struct SlotAsk {
  std::string errand, service, tenant;
  Epoch epoch = 0;
  std::uint32_t worth = 1;
  Span patience = 0;
  std::uint32_t attempt = 0;
  bool is_second = false;
  std::string avoid, zone;
  WHARF_CARRY(errand, service, tenant, epoch, worth, patience, attempt, is_second, avoid, zone)
};
enum class SlotState : std::uint8_t { granted = 0, refused = 1, not_mine = 2 };
struct SlotSay {
  std::string errand, service, runner, address, seal_key;
  Epoch epoch = 0;
  std::uint8_t state = 0;
  std::uint32_t attempt = 0;
  Span retry_after = 0;
  std::string why, handle;
  WHARF_CARRY(errand, service, runner, address, seal_key, epoch, state, attempt, retry_after, why, handle)
};
enum class SlotEnd : std::uint8_t { answered = 0, refused = 1, unreached = 2, lost = 3, unused = 4 };
struct SlotFree {
  std::string errand, service, runner;
  std::uint8_t end = 0;
  std::uint32_t attempt = 0;
  WHARF_CARRY(errand, service, runner, end, attempt)
};
struct SlotFreed {
  std::string errand, service;
  std::uint32_t attempt = 0;
  WHARF_CARRY(errand, service, attempt)
};
struct HeldSlot {
  std::string errand, runner;
  NodeId pilot = 0;
  std::uint32_t attempt = 0;
  Span left = 0;
  WHARF_CARRY(errand, runner, pilot, attempt, left)
};
/// A new owner's question to a node: which slots of these services does it hold or know of? All services that
/// the node has not told of yet go into one question; it keeps its number when it is sent again.
struct InventoryAsk {
  std::uint64_t number = 0;
  Epoch epoch = 0;
  std::vector<std::string> services;
  WHARF_CARRY(number, epoch, services)
};

/// What a node knows of one service's slots.
struct ServiceInventory {
  std::string service;
  std::vector<HeldSlot> held;
  bool is_former_owner = false;
  std::vector<HeldSlot> berth_held;
  std::vector<std::string> doubtful;
  bool is_empty() const { return held.empty() && !is_former_owner && berth_held.empty() && doubtful.empty(); }
  WHARF_CARRY(service, held, is_former_owner, berth_held, doubtful)
};

/// The answer; services of the question that it does not name have nothing at this node.
struct InventorySay {
  std::uint64_t number = 0;
  Epoch epoch = 0;
  std::vector<ServiceInventory> services;
  WHARF_CARRY(number, epoch, services)
};

/// A whole frame for another pilot that its sender cannot reach itself; passed on once.
struct PassOn {
  NodeId to = 0;
  std::string frame;
  WHARF_CARRY(to, frame)
};

/// Everything our processes say to each other.
using Signal = std::variant<Muster, FoundAsk, FoundSay, FoundOrder, RequestVoteRequest, RequestVoteResponse,
                            AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, Pulse,
                            Orders, NotLeader, ClaimAsk, ClaimSay, CloseAsk, CloseSay, PermitAsk, PermitSay,
                            LedgerCopy, LedgerAck, SlotAsk, SlotSay, SlotFree, SlotFreed, InventoryAsk,
                            InventorySay, InstallSnapshotResponse, PassOn, TimeoutNowRequest>;

/// The name of the signal at a place in the list, for counters.
std::string_view signal_name_at(std::size_t kind);

/// A signal with its sender.
struct Envelope {
  NodeId from = 0;
  std::string from_address;
  Signal signal;
};

/// Signals a state machine wants sent, by node or, before a node is known, by address.
struct Posted {
  NodeId to = 0;
  std::string address;
  Signal signal;
};
using Outbox = std::vector<Posted>;

/// The largest frame our processes accept.
constexpr std::size_t frame_limit = 32u << 20;

/// Bytes of one value, by Boost.Serialization.
template <typename Value> std::string pack(const Value &value);
/// The value of bytes; false when they do not hold one.
template <typename Value> bool unpack(std::string_view bytes, Value &value);

/// A whole frame: mark, length, checksum, body.
std::string frame(const Envelope &envelope);

enum class FrameState { whole, partial, broken };
/// Reads one frame from the front of `bytes`; `used` tells how many bytes it took.
FrameState unframe(std::string_view bytes, Envelope &envelope, std::size_t &used);

/// CRC-32C of bytes.
std::uint32_t checksum(std::string_view bytes, std::uint32_t seed = 0);

} // namespace wharf

BOOST_CLASS_VERSION(wharf::PastRoster, 1)
BOOST_CLASS_VERSION(wharf::Roster, 1)
