#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "charter/charter.hpp"
#include "control/operator_calls.hpp"
#include "control/platform_orders.hpp"
#include "control/registry.hpp"
#include "control/runner_views.hpp"
#include "membership/membership.hpp"
#include "raft/raft.hpp"
#include "seatrial/seatrial.hpp"
#include "trace/trace.hpp"
#include "witness/witness_set.hpp"

namespace wharf {

/// True for processes of the control group's role, replicas or not.
inline bool is_control_node(const Member &member) {
  return member.role == static_cast<std::uint8_t>(Role::control);
}

struct ControlOutput {
  Outbox mail;
  std::vector<WriteBatch> batches;
  std::vector<OperatorSay> answers;
  std::vector<PlatformOrder> orders;
  std::vector<std::string> lines;
};

struct ControlOptions {
  /// Whether each start and end of a runner is told in a line of the log.
  bool must_trace_runners = false;
  RaftOptions raft;
  MembershipOptions membership;
  Span fresh = seconds(2);
  /// How long a pilot may act as purser or scheduler on one permit; shorter, so that successors start sooner.
  Span duty = milliseconds(1200);
  Span drift = milliseconds(100);
  Span pilot_silence = milliseconds(1100);
  /// A node owns tenants and services unless the best link, or processor, is more than this many times its
  /// own; all nodes do where fewer than `owners_least` would be left.
  std::uint32_t owner_capacity_ratio = 8;
  std::size_t owners_least = 4;
  /// How long the pilots wanted must have stayed the same before they become the roster, and how long that
  /// may be put off while they come and go.
  Span enrol_gather = milliseconds(300), enrol_most = milliseconds(900);
  /// How long a node whose reports came too late to keep its lease owns nothing after the last such report.
  Span late_node_rest = seconds(10);
  Span voter_silence = seconds(3);
  Span learner_silence = seconds(15);
  /// How long after a manifest was sent to a node it is taken to be still on its way there: this, and the
  /// time its bytes take at the least pace of a link.
  Span manifest_retry = milliseconds(240);
  std::size_t manifest_bytes_per_s = 100'000;
  /// How long a leaving leader looks for a voter that is up to date before it gives up the lead all the same.
  Span handover_most = milliseconds(1500);
  Span settle_every = milliseconds(100);
  Span start_again = seconds(3);
  /// After an answer that says nothing, and after one that says the pace is too high.
  Span unknown_again = seconds(1), busy_again = milliseconds(250);
  /// How long a worker that refused a start is passed over.
  Span worker_rest = seconds(2);
  /// How long a runner may be listed that no record knows, and a started one not be.
  Span stray_most = seconds(4), unlisted_most = seconds(12);
  Span leave_most = seconds(35);
  Span stop_grace = seconds(5);
  Span clock_every = seconds(5);
  /// How long after a change what was foretold is set beside what came.
  Span outlook_after = seconds(30);
  /// True where a new leader waits until it may settle a roster before it changes it; else successors are
  /// named at once, and those that must wait for a settled roster do so themselves.
  bool must_wait_roster = true;
  WitnessOptions witness;
  /// False only to show that a checker can fail.
  bool must_try = true, must_wait_for_witnesses = true;
  /// False for first come, first served and the first worker that fits: the plain way, to measure against.
  bool by_worth = true, must_spread = true;
  /// Least time between two moves of runners, over all services.
  Span move_every = seconds(5);
  double platform_pace = 80;
  /// False for a process whose group exists already, though it may know nothing of it.
  bool may_found = true;
  /// How long a founder waits for seeds that do not answer before a majority of the seeds will do, and each
  /// later seed for earlier ones. 0 where all seeds must take part: a process that may found again after it
  /// lost its disk must not found beside a seed that is only down.
  Span founding_patience = 0;
  /// False for a process that keeps nothing: it is no replica and only tells operators where one is.
  bool is_replica = true;
  std::uint64_t compact_entries = 20'000;
  std::size_t compact_bytes = 16u << 20;
};

/// A replica of the control group: replicated state, permits, operators' writes and placements; pure.
class ControlNode {
public:
  ControlNode(const Member &self, std::vector<std::string> seeds, ControlOptions options, std::uint64_t seed,
              const Recovered &recovered, Instant now);

  void receive(const Envelope &envelope, Instant now, ControlOutput &out);
  void tick(Instant now, ControlOutput &out);
  void saved(std::uint64_t ticket, Instant now, ControlOutput &out);
  void disk_failed(Instant now, ControlOutput &out);
  void operate(OperatorAsk ask, Instant now, ControlOutput &out);
  void platform_seen(PlatformView snapshot, Instant now, ControlOutput &out);
  void platform_said(const PlatformSay &say, Instant now, ControlOutput &out);
  /// Begins to leave: the lead is handed over, and the vote where another replica can take it.
  void set_leaving(Instant now, ControlOutput &out);
  /// True once the group does not need this process any more, as far as it can be spared at all.
  bool may_end(Instant now) const;

  const RaftNode &raft() const { return raft_; }
  const Registry &registry() const { return registry_; }
  Membership &membership() { return membership_; }
  /// True when this replica leads and its reads are of the newest state.
  bool is_leading() const { return raft_.is_settled(); }
  /// True where an order may go to the platform now: no other leader can be ordering, and the term in which
  /// the order was decided has not ended.
  bool may_send(const PlatformOrder &order, Instant now) const;
  std::map<std::string, std::uint64_t> gauges(Instant now) const;
  /// How many edge nodes live, as membership knows, and have not reported to this leader lately.
  std::size_t living_unreported(Instant now) const;
  std::string status_json(Instant now) const;

private:
  struct NodeSession {
    Instant permit_until = 0, duty_until = 0, last_pulse = 0, last_sent_at = 0;
    Version version = 0;
    Epoch epoch = 0;
    std::uint64_t stamp = 0;
    /// The version whose manifest was last sent to the node, and until when it is taken to be on its way.
    Version offered = 0;
    /// The version whose manifest the node is known to have.
    Version received = 0;
    Instant offered_until = 0;
    /// The same of the node set: sent again with each answer, it once filled the leader's link for good.
    Epoch offered_epoch = 0;
    Instant roster_offered_until = 0;
    bool is_leaving = false;
    /// A replica of the group runs on its machine.
    bool is_beside_control = false;
    /// Until when owners may rely on what it granted as a witness.
    Instant witness_granted_until = 0;
    std::string address;
    NodeCapacity capacity;
    /// Since when its reports have said that its lease ran out; 0 when the last one did not.
    Instant lost_lease_since = 0;
    /// Until when it owns nothing, as its reports came too late for a lease.
    Instant is_late_until = 0;
    std::map<std::string, Want> wants;
  };
  struct Proposal {
    std::uint64_t term = 0;
    std::uint64_t operator_ticket = 0;
    OperatorAsk ask;
    std::string trial;
    Trial foretold;
    std::shared_ptr<const Charter> charter;
    NodeId pilot = 0;
    bool is_claim = false, is_close = false;
    std::string errand;
  };
  struct WaitingWrite {
    std::uint64_t ticket = 0;
    Version version = 0;
    std::string trial;
  };
  /// The newest change's trial, to be set beside what came of it.
  struct Outlook {
    Version version = 0;
    Instant taken_at = 0;
    bool is_judged = false;
    Trial trial;
    std::map<std::string, double> came;
    std::uint32_t runners = 0;
  };
  /// A request of an operator that waits until a majority has confirmed this leader after it was asked.
  struct UnconfirmedRequest {
    OperatorAsk ask;
    Instant asked_at = 0;
  };
  struct RunnerNote {
    Instant started_at = 0, leaving_since = 0, stopped_at = 0, known_since = 0, retry_at = 0;
    bool was_listed = false, is_stopped = false;
    int absent = 0;
    /// Answered by the platform but not committed yet.
    std::string handle, address;
  };

  /// What one round of placement has found and decided.
  struct PlacementRound {
    /// Starts and stops may be ordered.
    bool has_lease = false;
    PutRunners put;
    std::map<std::string, const Want *> wants;
    /// Runners that owners say are idle, or are to go.
    std::set<std::string> idle, retire;
    /// The platform's names of the runners that have a record.
    std::set<std::string> listed_as;
    std::vector<const RunnerRecord *> unstarted;
    std::map<std::string, std::vector<const RunnerRecord *>> active;
  };

  void absorb(RaftOutput &&step, Instant now, ControlOutput &out);
  void apply(const Entry &entry, Instant now, ControlOutput &out);
  std::optional<std::uint64_t> propose(const Command &command, Instant now, ControlOutput &out);
  void lead_changed(Instant now, ControlOutput &out);
  /// True once no majority has confirmed this leader for so long that another may have been elected. It gives
  /// no more leases then, so that nodes look for the other at once and are not taken for lost by it.
  bool is_in_doubt(Instant now) const;
  /// A node is proven to have ended, at this moment at the latest.
  void note_ended(NodeId ended, Instant moment, Instant now);
  /// Nodes of the node set at whose address another process now reports: two cannot listen there. A node
  /// tells the same in its report once it has the node set, which after a fault of the core comes behind all
  /// other nodes' configurations.
  std::vector<NodeId> replaced_by(const Envelope &envelope, const Pulse &pulse) const;
  void answer_pulse(const Envelope &envelope, const Pulse &pulse, Instant now, ControlOutput &out);
  /// Notes whether a node's reports come too late for it to keep its lease.
  void note_lateness(NodeSession &session, const Pulse &pulse, Instant now) const;
  /// True when late nodes are the fewer; else it is rather this leader that is late.
  bool are_few_late(Instant now) const;
  /// How long ago all pilots of earlier rosters had provably ended; 0 when some may still act.
  Span quiet_for(Instant now) const;
  /// The rosters whose owners may still act: the newest and those it took the place of a short while ago, by
  /// the group's own clock. With every permit goes the newest roster, so older ones have ended with their
  /// permits.
  std::vector<const std::vector<NodeId> *> rosters_at_risk() const;
  /// Node sets that the newest one took the place of within a span, by the group's own clock, which may be
  /// late by its own step; newest first.
  std::vector<const PastRoster *> rosters_replaced_within(Span span) const;
  /// When the last of some nodes ended; nothing where one may live.
  std::optional<Instant> all_ended_at(const std::vector<NodeId> &nodes) const;
  /// When the last owner of an older node set can have acted, as its witnesses have ended; nothing where it
  /// may act on their word still.
  std::optional<Instant> extensions_ended_at(const PastRoster &past) const;
  /// How long after it was given a lease may be acted on, by the node's clock.
  Span longest_lease() const;
  /// How long after its last lease was given an owner may still act, on its witnesses' word included.
  Span longest_ownership() const;
  /// Notes once no owner of an earlier node set can act on its witnesses' word any more. Once it is so it
  /// stays so: only the newest node set can be vouched for then.
  void note_taken_over(Instant now);
  /// True where an owner of any earlier node set may act on its witnesses' word.
  bool may_former_owners_act(Instant now) const;
  /// The same for the owners of one earlier node set.
  bool may_owners_act(const PastRoster &past, Instant now) const;
  /// The owner has ended, knows the newest node set, or has been without a lease for too long.
  bool is_owner_over(NodeId owner, Instant now) const;
  /// The witness can't vouch for any node set but the newest, and what it granted has run out.
  bool is_witness_over(NodeId witness, Instant now) const;
  /// True when no pilot of any roster could act on a permit that this leader does not know of.
  bool is_all_known() const;
  std::string address_of_pilot(NodeId pilot) const;
  Orders orders_for(NodeId node, NodeSession &session, Instant now);
  /// Adds the manifest in force to a node's orders, as what differs from the one the node has.
  /// True where the node set is not on its way to the node already; it then counts as being so.
  bool may_send_roster(NodeSession &session, Instant now);
  /// How long a message of that size may be on its way before it is taken for lost.
  Span on_its_way_for(std::size_t bytes) const;
  void add_manifest(NodeSession &session, Orders &orders, Instant now);
  /// The manifest in force as a delta from an earlier version's; made once for each such version.
  const std::string &delta_from(Version base);
  /// Compiles the manifest in force unless that was done already.
  void refresh_charter();
  /// Sends all nodes what is new to them.
  void push_orders(Instant now, ControlOutput &out);
  /// Sends the owners of services whose runners changed since a stamp what is new to them.
  void push_views_since(std::uint64_t stamp, Instant now, ControlOutput &out);
  NodeId owner_of_service(const std::string &service) {
    return service_owners_.owner_of(service, registry_.roster());
  }
  Version settled_version(Instant now) const;
  Epoch settled_epoch(Instant now) const;
  void settle_writes(Instant now, ControlOutput &out);
  /// Carries out the requests that were asked before the moment at which a majority last confirmed this
  /// leader; one write at a time, so that each is decided on what the one before it came to.
  void carry_out_confirmed(Instant now, ControlOutput &out);
  /// Takes the first of these requests out of the line; nothing when none may be carried out now.
  std::optional<OperatorAsk> next_confirmed(Instant now);
  void carry_out(OperatorAsk ask, Instant now, ControlOutput &out);
  void read_manifest(const OperatorAsk &ask, ControlOutput &out);
  void refuse_version(std::uint64_t ticket, ControlOutput &out);
  /// Answers a write that was taken before as it was answered then; false when it was not.
  bool acknowledge_again(const OperatorAsk &ask, Instant now, ControlOutput &out);
  /// True when an order so old may have been taken without its mark being kept until now.
  bool may_be_forgotten(Version number) const;
  void write_manifest(OperatorAsk ask, Instant now, ControlOutput &out);
  /// Refuses a write that builds on another version than the one in force; true when it was refused.
  bool refuse_other_base(const OperatorAsk &ask, ControlOutput &out);
  /// What a write would put in force: its own text, or the one in force with the change merged into it.
  std::variant<ConfigurationText, CharterErrors> next_configuration(const OperatorAsk &ask) const;
  void refuse_faulty(std::uint64_t ticket, const CharterErrors &errors, ControlOutput &out);
  void refuse_forgotten(std::uint64_t ticket, ControlOutput &out);
  /// Answers with what was foretold of a change that is not taken, or was only to be tried.
  void tell_trial(const OperatorAsk &ask, const Trial &trial, const std::string &figures, ControlOutput &out);
  void propose_write(Proposal proposal, const PutConfiguration &configuration, Instant now,
                     ControlOutput &out);
  PutConfiguration configuration_of(PutManifest put, const std::string &origin, const Charter &charter) const;
  Yard yard() const;
  /// Sets what was foretold of the newest change beside what was measured since.
  void judge_outlook(Instant now);
  void refuse_operator(std::uint64_t ticket, int status, std::string outcome, std::string why,
                       ControlOutput &out);
  void maintain_founding(Instant now, ControlOutput &out);
  /// Sends a new group's replicas their part in it until all are known to have it.
  void tell_founded(Instant now, ControlOutput &out);
  void enter_group(std::uint64_t group, std::vector<Replica> replicas, const std::string &how, Instant now,
                   ControlOutput &out);
  bool join_known_group(Instant now, ControlOutput &out);
  bool knows_group(Instant now) const;
  void try_to_found(Instant now, ControlOutput &out);
  void answer_founder(const Envelope &envelope, const FoundAsk &ask, Instant now, ControlOutput &out);
  /// Leaves a group that was founded but never decided anything, once its majority is in another.
  void leave_orphaned_group(Instant now, ControlOutput &out);
  /// The group to join instead of this one where that never decided anything and never will; else 0.
  std::uint64_t group_beside_orphaned(Instant now) const;
  void maintain_replicas(Instant now, ControlOutput &out);
  /// One step at a time; each returns true when it proposed a change.
  bool add_learner(Instant now, ControlOutput &out);
  bool promote_learner(Instant now, ControlOutput &out);
  bool remove_replica(Instant now, ControlOutput &out);
  bool propose_replicas(std::vector<Replica> replicas, const std::string &why, Instant now,
                        ControlOutput &out);
  /// True when a replica has been silent for so long, or another process has taken over its address.
  bool is_lost(const Replica &replica, Span patience, Instant now) const;
  bool is_departing(NodeId id) const;
  /// True for replicas that can be counted on: neither lost nor about to leave.
  bool is_staying(const Replica &replica, Instant now) const;
  std::size_t voters_wanted(Instant now) const;
  std::size_t staying_voters(Instant now) const;
  /// Hands the lead to a voter that stays, once this process is leaving.
  void maintain_handover(Instant now, ControlOutput &out);
  void maintain_roster(Instant now, ControlOutput &out);
  /// Those of a node set that are to own tenants and services; empty for all of them. An owner is a hub: what
  /// it sends grows with the whole deployment, so a machine that has but a fraction of the best ones' link or
  /// processor is left out while enough others are there.
  std::vector<NodeId> owner_candidates(const std::vector<NodeId> &pilots) const;
  /// Those whose machines are not far below the best; nodes that have not reported to this leader yet keep
  /// the part that they had.
  std::vector<NodeId> nodes_of_capacity(const std::vector<NodeId> &pilots) const;
  /// Those of some nodes whose machines run no replica of this group, so that owners outlive the loss of the
  /// group's machines; all of them where too few would be left.
  std::vector<NodeId> apart_from_control(const std::vector<NodeId> &nodes) const;
  /// The best link and the best processor among those that have reported.
  NodeCapacity best_capacity(const std::vector<NodeId> &pilots) const;
  bool is_all_reported(const std::vector<NodeId> &pilots) const;
  /// True when all have reported and others than those of the node set in force are to own tenants and
  /// services.
  bool has_better_owners(const std::vector<NodeId> &pilots) const;
  void maintain_runners(Instant now, ControlOutput &out);
  /// Takes the wants of those nodes that own the services.
  void gather_wants(PlacementRound &round, Instant now);
  /// Decides on one runner: gone, to be stopped, to leave, or to be kept and, if need be, started.
  void review_runner(const RunnerRecord &record, PlacementRound &round, Instant now, ControlOutput &out);
  /// True where the platform has the runner no more, or never will.
  bool is_gone(const RunnerRecord &record, const RunnerNote &note, bool is_listed, Instant now) const;
  /// True where an order that was last given at a moment is to be given again.
  bool is_due(Instant ordered_at, Instant retry_at, Instant now) const;
  /// Orders the stop of a leaving runner once its work is done, or it has taken too long.
  void stop_when_idle(const RunnerRecord &record, RunnerNote &note, const PlacementRound &round, Instant now,
                      ControlOutput &out);
  /// Orders the stop of runners that are listed and have no record.
  void stop_strays(const PlacementRound &round, Instant now, ControlOutput &out);
  /// Plans which services get more runners and which fewer, worthier services first.
  void plan_services(PlacementRound &round, Instant now);
  /// How many runners a service is to have; those above it are told to leave.
  std::size_t target_of(const Service &service, PlacementRound &round, Instant now);
  void add_runners(const Service &service, std::size_t target, std::uint64_t &next, PlacementRound &round);
  void propose_runners(PutRunners put, Instant now, ControlOutput &out);
  void refresh_views(Instant now);
  /// What nodes are to be told of a runner, or nothing when they are not to know of it.
  std::optional<RunnerView> view_of(const RunnerRecord &record, Instant now) const;
  /// Puts the views of a node's own services that it does not have yet into its orders.
  void add_views(NodeId node, const NodeSession &session, bool is_behind, Orders &orders);
  /// The platform's name for a runner, as committed or as just answered.
  std::string handle_of(const RunnerRecord &record) const;
  void compact_if_due(ControlOutput &out);
  /// Orders a start or a stop; it counts towards the platform's pace.
  void order(PlatformOrder order, ControlOutput &out);
  /// True where starts and stops may be ordered now; counts the times when they may not be.
  bool may_order(Instant now, ControlOutput &out);
  /// Starts what is planned but not listed, worthier services first, every fifth the one that waited longest.
  void order_starts(std::vector<const RunnerRecord *> waiting, Instant now, ControlOutput &out);
  /// Tells of a runner in the log, where that is wanted.
  void trace_runner(RunnerChange change, const RunnerRecord &record, ControlOutput &out) const;
  /// Runners of less worthy services that must leave so that one of `service` finds memory.
  std::vector<std::string>
  make_memory(const Service &service, std::map<std::string, std::vector<const RunnerRecord *>> &active) const;
  /// Which runners of a service go when it has too many: from the fullest zone, then the fullest worker.
  std::vector<std::string> elect_leaving(std::vector<const RunnerRecord *> list, std::size_t target) const;
  /// True when all runners of a service would be lost with one zone and another has room.
  bool is_lopsided(const Service &service, const std::vector<const RunnerRecord *> &list) const;
  std::string zone_of_worker(const std::string &worker) const;
  std::optional<std::string> elect_worker(const std::string &service, std::uint32_t memory_mb,
                                          const std::vector<RunnerRecord> &planned) const;
  std::string seal_key_of(const std::string &runner) const;
  std::string leader_http(Instant now) const;
  /// The API of some replica, for a process that is none itself.
  std::string replica_http(Instant now) const;
  /// Why a service has fewer ready runners than wanted; empty when it has them.
  std::string why_unsettled(const Service &service, std::size_t ready, std::size_t wanted, Instant now) const;
  /// Why the newest manifest does not hold everywhere yet; empty when it does.
  std::string why_unheld(Instant now) const;

  Member self_;
  ControlOptions options_;
  Membership membership_;
  RaftNode raft_;
  Registry registry_;
  Dice dice_;
  std::shared_ptr<const Charter> charter_;
  Version charter_version_ = 0;
  Version deltas_version_ = 0;
  std::map<Version, std::string> deltas_;
  std::uint64_t applied_ = 0;

  bool was_leader_ = false;
  /// Until when permits, and duties, of leaders before may run.
  Instant floor_ = 0, duty_floor_ = 0;
  /// The newest node set of which it was found that no owner of an earlier one acts any more.
  Epoch taken_over_epoch_ = 0;
  /// When this process began to leave; 0 while it stays.
  Instant leaving_since_ = 0;
  std::map<NodeId, NodeSession> sessions_;
  /// Pilots that ended before another began at their address, and when at the latest.
  std::map<NodeId, Instant> ended_;
  /// Reports of such pilots since this process came to lead.
  std::uint64_t reports_of_ended_ = 0;
  std::map<std::uint64_t, Proposal> proposals_;
  std::vector<WaitingWrite> writes_;
  std::vector<UnconfirmedRequest> unconfirmed_;
  bool is_roster_proposed_ = false, is_runners_proposed_ = false, is_secret_proposed_ = false;
  std::uint64_t roster_index_ = 0, runners_index_ = 0;
  /// The log index of the operator's write that is not decided yet; 0 when there is none.
  std::uint64_t write_index_ = 0;
  std::vector<NodeId> roster_wanted_;
  Instant roster_steady_since_ = 0;
  /// When this leader was last without a majority that confirms it.
  Instant doubtful_until_ = 0;
  /// The size of the node set's message, and the epoch that it was worked out for.
  std::size_t roster_bytes_ = 0;
  Epoch roster_bytes_epoch_ = 0;
  Instant roster_differs_since_ = 0, settle_at_ = 0, clock_at_ = 0, found_at_ = 0;
  PlatformView platform_;
  Instant platform_at_ = 0;
  Almanac almanac_;
  Outlook outlook_;
  std::map<std::string, RunnerNote> notes_;
  std::map<std::string, Instant> worker_rests_;
  std::vector<RunnerName> named_;
  /// What the platform listed last, by its own names.
  std::unordered_map<std::string, const RunnerSeen *> listed_;
  std::unordered_map<std::string, const WorkerSeen *> workers_;
  RunnerViews views_;
  OwnerCache service_owners_{scheduler_salt};
  Instant moved_at_ = 0;
  std::uint64_t starts_ordered_ = 0;
  /// Times at which this leader ordered nothing, as another one might still be doing so, or already.
  std::uint64_t order_rounds_held_back_ = 0;
  /// When this leader began to order; 0 before that.
  Instant orders_since_ = 0;
  double pace_ = 0;
  Instant pace_at_ = 0;
  std::size_t bytes_since_snapshot_ = 0;

  Instant began_at_ = 0;
  std::uint64_t found_nonce_ = 0;
  /// The founder this seed leaves the founding to, and until when.
  std::string promised_to_;
  Instant promised_until_ = 0;
  struct SeedSay {
    FoundSay say;
    Instant at = 0;
  };
  std::map<std::string, SeedSay> seed_says_;
  std::vector<Replica> founding_replicas_;
};

} // namespace wharf
