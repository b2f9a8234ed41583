#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "control/registry.hpp"
#include "raft/raft.hpp"
#include "rollcall/rollcall.hpp"
#include "seatrial/seatrial.hpp"

namespace wharf {

enum class OperatorVerb : std::uint8_t {
  get_manifest,
  get_version,
  get_status,
  put_manifest,
  patch_manifest,
  try_manifest,
  try_patch
};

/// One call of the operators' API, already read.
struct OperatorAsk {
  std::uint64_t ticket = 0;
  OperatorVerb verb = OperatorVerb::get_status;
  std::string body, if_match, write_id;
};
struct OperatorSay {
  std::uint64_t ticket = 0;
  int status = 200;
  Version version = 0;
  std::string body;
  /// Where the leader's API is, when this replica cannot answer.
  std::string leader_http;
};

struct WorkerSeen {
  std::string id, zone;
  std::uint32_t memory_mb = 0;
  bool is_draining = false;
};
enum class RunnerPhase : std::uint8_t { booting, ready, stopping };
struct RunnerSeen {
  std::string id, service, worker, address;
  RunnerPhase phase = RunnerPhase::booting;
};
/// What the platform listed, late as it may be.
struct PlatformView {
  std::vector<WorkerSeen> workers;
  std::vector<RunnerSeen> runners;
};
/// One start or stop for the platform.
struct PlatformOrder {
  bool is_start = true;
  RunnerRecord runner;
  std::string seal_key;
  Span grace = 0;
};

enum class OrderEnd : std::uint8_t { done, refused, busy, unknown };
/// What the platform said to an order.
struct PlatformSay {
  std::string runner, worker;
  bool is_start = true;
  OrderEnd end = OrderEnd::unknown;
  /// Its own name for the runner and where that will listen, where it gives them at the start.
  std::string handle, address;
};

struct ControlOutput {
  Outbox mail;
  std::vector<WriteBatch> batches;
  std::vector<OperatorSay> answers;
  std::vector<PlatformOrder> orders;
  std::vector<std::string> lines;
};

struct ControlOptions {
  RaftOptions raft;
  RollcallOptions rollcall;
  Span fresh = seconds(2);
  /// How long a pilot may act as purser or stevedore on one permit; shorter, so that successors start sooner.
  Span duty = milliseconds(1200);
  Span drift = milliseconds(100);
  Span pilot_silence = milliseconds(1100);
  /// How long the pilots wanted must have stayed the same before they become the roster, and how long that
  /// may be put off while they come and go.
  Span enrol_gather = milliseconds(300), enrol_most = milliseconds(900);
  Span voter_silence = seconds(3);
  Span learner_silence = seconds(15);
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
  /// False only to show that a checker can fail.
  bool must_try = true;
  /// False for first come, first served and the first worker that fits: the plain way, to measure against.
  bool by_worth = true, must_spread = true;
  /// Least time between two moves of runners, over all services.
  Span move_every = seconds(5);
  double platform_pace = 80;
  /// False for a process whose group exists already, though it may know nothing of it.
  bool may_found = true;
  std::uint64_t compact_entries = 20'000;
  std::size_t compact_bytes = 16u << 20;
};

/// A replica of the control group: replicated state, permits, operators' writes and placements; pure.
class ControlNode {
public:
  ControlNode(Member self, std::vector<std::string> seeds, ControlOptions options, std::uint64_t seed,
              const Recovered &recovered, Instant now);

  void receive(const Envelope &envelope, Instant now, ControlOutput &out);
  void tick(Instant now, ControlOutput &out);
  void saved(std::uint64_t ticket, Instant now, ControlOutput &out);
  void disk_failed(Instant now, ControlOutput &out);
  void operate(OperatorAsk ask, Instant now, ControlOutput &out);
  void platform_seen(PlatformView snapshot, Instant now, ControlOutput &out);
  void platform_said(const PlatformSay &say, Instant now, ControlOutput &out);
  void set_leaving(Instant now, ControlOutput &out);

  const RaftNode &raft() const { return raft_; }
  const Registry &registry() const { return registry_; }
  Rollcall &rollcall() { return rollcall_; }
  /// True when this replica leads and its reads are of the newest state.
  bool is_leading() const { return raft_.is_settled(); }
  std::map<std::string, std::uint64_t> gauges(Instant now) const;
  std::string status_json(Instant now) const;

private:
  struct NodeSession {
    Instant permit_until = 0, duty_until = 0, last_pulse = 0, last_sent_at = 0;
    Version version = 0;
    Epoch epoch = 0;
    std::uint64_t stamp = 0;
    bool is_leaving = false;
    std::string address;
    std::map<std::string, Want> wants;
  };
  struct Proposal {
    std::uint64_t term = 0;
    std::uint64_t operator_ticket = 0;
    OperatorAsk ask;
    std::string trial;
    Trial foretold;
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
  struct WaitingRead {
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

  void absorb(RaftOutput &&step, Instant now, ControlOutput &out);
  void apply(const Entry &entry, Instant now, ControlOutput &out);
  std::optional<std::uint64_t> propose(const Command &command, Instant now, ControlOutput &out);
  void lead_changed(Instant now, ControlOutput &out);
  void answer_pulse(const Envelope &envelope, const Pulse &pulse, Instant now, ControlOutput &out);
  /// How long ago all pilots of earlier rosters had provably ended; 0 when some may still act.
  Span quiet_for(Instant now) const;
  /// The rosters whose owners may still act: the newest and those it took the place of a short while ago, by
  /// the group's own clock. With every permit goes the newest roster, so older ones have ended with their
  /// permits.
  std::vector<const std::vector<NodeId> *> rosters_at_risk() const;
  /// True when no pilot of any roster could act on a permit that this leader does not know of.
  bool is_all_known() const;
  std::string address_of_pilot(NodeId pilot) const;
  Orders orders_for(const NodeSession &session, Instant now) const;
  void push_orders(Instant now, ControlOutput &out);
  Version settled_version(Instant now) const;
  Epoch settled_epoch(Instant now) const;
  void settle_writes(Instant now, ControlOutput &out);
  void settle_reads(Instant now, ControlOutput &out);
  void write_manifest(OperatorAsk ask, Instant now, ControlOutput &out);
  Yard yard() const;
  /// Sets what was foretold of the newest change beside what was measured since.
  void judge_outlook(Instant now);
  void refuse_operator(std::uint64_t ticket, int status, std::string outcome, std::string why,
                       ControlOutput &out);
  void maintain_founding(Instant now, ControlOutput &out);
  void maintain_replicas(Instant now, ControlOutput &out);
  void maintain_roster(Instant now, ControlOutput &out);
  void maintain_runners(Instant now, ControlOutput &out);
  void refresh_views(Instant now);
  /// Puts the views that a pilot does not have yet into its orders.
  void add_views(const NodeSession &session, Orders &orders) const;
  /// The platform's name for a runner, as committed or as just answered.
  std::string handle_of(const RunnerRecord &record) const;
  void compact_if_due(ControlOutput &out);
  /// Starts what is planned but not listed, worthier services first, every fifth the one that waited longest.
  void order_starts(std::vector<const RunnerRecord *> waiting, Instant now, ControlOutput &out);
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
  std::string leader_http() const;
  /// Why a service has fewer ready runners than wanted; empty when it has them.
  std::string why_unsettled(const Service &service, std::size_t ready, std::size_t wanted, Instant now) const;
  /// Why the newest manifest does not hold everywhere yet; empty when it does.
  std::string why_unheld(Instant now) const;

  Member self_;
  ControlOptions options_;
  Rollcall rollcall_;
  RaftNode raft_;
  Registry registry_;
  Dice dice_;
  std::shared_ptr<const Charter> charter_;
  Version charter_version_ = 0;
  std::uint64_t applied_ = 0;

  bool was_leader_ = false;
  /// Until when permits, and duties, of leaders before may run.
  Instant floor_ = 0, duty_floor_ = 0;
  std::map<NodeId, NodeSession> sessions_;
  /// Pilots that ended before another began at their address, and when at the latest.
  std::map<NodeId, Instant> ended_;
  std::map<std::uint64_t, Proposal> proposals_;
  std::vector<WaitingWrite> writes_;
  std::vector<WaitingRead> reads_;
  bool is_roster_proposed_ = false, is_runners_proposed_ = false, is_secret_proposed_ = false;
  std::uint64_t roster_index_ = 0, runners_index_ = 0;
  std::vector<NodeId> roster_wanted_;
  Instant roster_steady_since_ = 0;
  Instant roster_differs_since_ = 0, settle_at_ = 0, clock_at_ = 0, found_at_ = 0;
  PlatformView platform_;
  Instant platform_at_ = 0;
  Almanac almanac_;
  Outlook outlook_;
  std::map<std::string, RunnerNote> notes_;
  std::map<std::string, Instant> worker_rests_;
  std::vector<RunnerName> named_;
  std::vector<RunnerView> views_;
  std::uint64_t views_stamp_ = 0;
  /// The stamp at which a view was last changed, and runners that went with the stamp of that.
  std::map<std::string, std::uint64_t> view_stamps_;
  std::deque<std::pair<std::uint64_t, std::string>> views_gone_;
  std::uint64_t views_whole_ = 0;
  Instant moved_at_ = 0;
  std::uint64_t starts_ordered_ = 0;
  double pace_ = 0;
  Instant pace_at_ = 0;
  std::size_t bytes_since_snapshot_ = 0;

  std::uint64_t found_nonce_ = 0;
  struct SeedSay {
    FoundSay say;
    Instant at = 0;
  };
  std::map<std::string, SeedSay> seed_says_;
  std::vector<Replica> founding_replicas_;
};

} // namespace wharf
