#pragma once
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.hpp"
#include "pilot/waybill.hpp"
#include "purse/purse.hpp"
#include "purser/purser.hpp"
#include "scheduler/scheduler.hpp"
#include "scheduler/service_prices.hpp"
#include "soundings/soundings.hpp"
#include "tide/backoff.hpp"
#include "witness/lease_extension.hpp"
#include "witness/witness.hpp"

namespace wharf {

/// An order to call a runner for an errand.
struct Carry {
  std::string errand, runner, address, seal_key, tenant, service, handle;
  Instant deadline = 0;
  bool is_repeatable = false;
};

/// One line of an errand's story: how long after its arrival, and what happened.
struct StoryLine {
  Span after = 0;
  std::string text;
};

/// The end of an errand as its caller is told it.
struct Reply {
  std::string errand, service, rule, runner;
  Fate fate = Fate::answered;
  Version version = 0;
  Span retry_after = 0;
  int status = 0;
  std::string type, body, why;
  std::vector<KeptHeader> headers;
  std::vector<StoryLine> story;
};

struct PilotOutput {
  Outbox mail;
  std::vector<Carry> carries;
  std::vector<Reply> replies;
  std::vector<Knock> knocks;
  /// Errands whose call to a runner is to be ended, as their callers have left.
  std::vector<std::string> cancels;
  std::vector<std::string> lines;
};

enum class CallKind : std::uint8_t { answered, refused, unreached, bad_seal, lost, timed_out };

/// How a call to a runner ended; `body` only for errands that hold a claim.
struct CallEnd {
  std::string errand;
  CallKind kind = CallKind::lost;
  int status = 0;
  std::string type, body;
  std::vector<KeptHeader> headers;
};

/// The largest answer, headers and all, that is kept for repeats.
constexpr std::size_t record_bytes_most = 65536;

struct PilotOptions {
  /// What this machine has, as the leader is told.
  NodeCapacity capacity;
  /// A replica of the control group runs on this machine.
  bool is_beside_control = false;
  Span pulse = milliseconds(250);
  Span pulse_least = milliseconds(30);
  /// A living pilot that has not answered directly for this long is reached through another.
  Span unheard = milliseconds(700);
  Span sound_again = seconds(1);
  std::size_t soundings_most = 300;
  /// Least time between two switches of the manifest: compiling one holds everything up, so in a storm of
  /// changes only the newest of those that arrived meanwhile is compiled.
  Span switch_gap = 0;
  Span fresh = seconds(2);
  Span duty = milliseconds(1200);
  Span leader_silence = milliseconds(600);
  /// How long no leader must have answered before the log tells of it.
  Span search_told_after = seconds(2);
  /// Waits told to callers before there is a configuration: for its delivery, and for an election before it.
  Span delivery_guess = milliseconds(300), election_guess = seconds(1);
  /// How long an ask for tokens may be unanswered before it is sent again; twice as long after each time.
  Span permit_again = milliseconds(60), permit_again_most = milliseconds(60);
  Span permit_patience = milliseconds(400);
  /// The wait for a permit of a tenant that evidently keeps within its allowance.
  Span modest_patience = milliseconds(1500);
  double modest_share = 0.7;
  Span report_again = milliseconds(100);
  /// How often a permit with errands still held is told again.
  Span held_again = seconds(1);
  /// Once an owner has been silent this long, no more than a fifth of a second's base waits for it.
  Span silent_owner = milliseconds(100);
  double silent_line_share = 0.2;
  Span fallback_after = milliseconds(300);
  /// How many seconds of the fallback share may be spent at once.
  double fallback_burst_s = 0;
  /// A node whose owner fell silent goes on as it was lately granted, this share of it, for so long, then at
  /// half.
  double fallback_as_before = 0;
  Span fallback_whole = seconds(2);
  /// First pauses before what was not answered is sent again, and the longest of them.
  Span claim_again = milliseconds(200), claim_again_most = milliseconds(800);
  Span slot_again = milliseconds(150), slot_again_most = milliseconds(600);
  Span free_again = milliseconds(200), free_again_most = milliseconds(3200);
  Span eviction_least = seconds(5);
  /// The largest answer, headers and all, that is kept for repeats.
  std::size_t record_most = record_bytes_most;
  std::size_t errands_most = 4096;
  /// The share of places that errands of any worth may take; the rest goes by worth.
  double places_floor = 0.5;
  /// How many seconds' base of the worthiest errands may wait for tokens while the allowance is spent.
  double waiting_share = 0.3;
  /// False for first come, first served: the plain way, to measure against.
  bool by_worth = true;
  std::size_t tries_most = 2;
  /// Runners that could not be reached which one errand may meet, where its rule bounds what it is sent to.
  std::size_t unreached_most = 6;
  /// What runners cost where the configuration names no prices; nothing is priced where memory costs 0.
  ServicePrices prices;
  /// Whether each call is told in a line of the log when it ends.
  bool must_trace_calls = false;
  SchedulerOptions scheduler;
  PurserOptions purser;
  MembershipOptions membership;
  WitnessOptions witness;
};

/// The manifest a pilot has in force, shared with the threads at the door.
struct InForce {
  Version version = 0;
  std::shared_ptr<const Charter> charter;
};

/// All decisions of a pilot, as a pure state machine; the purses alone are shared with the door's threads.
class Pilot {
public:
  Pilot(const Member &self, std::vector<std::string> seeds, PilotOptions options, Instant now);

  void receive(const Envelope &envelope, Instant now, PilotOutput &out);
  void tick(Instant now, PilotOutput &out);
  void arrive(Waybill bill, Instant now, PilotOutput &out);
  void call_ended(const CallEnd &end, Instant now, PilotOutput &out);
  /// A runner that a knock went to listens.
  void knock_answered(const Knock &knock, Instant now, PilotOutput &out);
  /// The caller hung up: an errand that has not gone out is given up, and so is one that may be repeated,
  /// since nobody waits for its answer. What must not run twice is let finish.
  void caller_gone(const std::string &errand, Instant now, PilotOutput &out);
  void set_leaving();
  /// True once nothing is under way here and the roster no longer counts on this pilot.
  bool is_quiet(Instant now) const;

  /// Plans an errand and pays for it from the local purse when that can; safe from any thread.
  std::variant<Waybill, Fate> front(const ErrandHead &head, Instant now);
  InForce in_force() const;
  /// When a caller that came before this node had its configuration should come again: soon where a leader is
  /// known that will send it, else not before the control group can have chosen one.
  Span retry_when_stale() const;
  bool is_fresh(Instant now) const { return now < fresh_until_; }
  /// True while errands are served: under a fresh permit, or cut off for no longer than the manifest allows.
  bool may_serve(Instant now) const;
  bool is_settled(Instant now) const;
  std::size_t afloat() const { return afloat_.size(); }
  const std::map<std::string, std::uint64_t> &counters() const { return counters_; }
  std::map<std::string, std::uint64_t> gauges(Instant now) const;
  const Roster &roster() const { return roster_; }
  /// The node that this one asks for slots of a service; 0 where there is none.
  NodeId owner_of_service(const std::string &service);
  Membership &membership() { return membership_; }
  Purser &purser() { return purser_; }
  Scheduler &scheduler() { return scheduler_; }
  /// The dense index of a tenant's name in this process.
  std::uint32_t tenant_index(const std::string &name);

private:
  struct Afloat {
    Waybill bill;
    std::size_t at = 0;
    std::string runner, avoid;
    std::size_t tries = 0, unreached = 0;
    std::uint32_t attempt = 0;
    Instant waiting_since = 0, carried_at = 0;
    /// For the ask of the step that the errand is at.
    Backoff retry;
    bool has_claimed = false, is_granted = false, is_carrying = false, has_gone = false;
    bool has_caller_left = false;
    std::optional<Fate> first_fate;
    std::vector<StoryLine> story;
  };
  static void note(Afloat &errand, Instant now, std::string text);
  /// What became of one permit here; told to the purser until all its errands have gone out or ended.
  struct Outlay {
    std::uint32_t spent = 0, gone = 0;
    bool is_final = false, has_news = true;
    Instant told_at = 0, since = 0;
  };
  /// An ask for tokens that has not been answered yet; sent again under its number.
  struct PendingAsk {
    std::uint64_t number = 0;
    /// When each attempt was sent.
    std::vector<Instant> sent_at;
    Backoff retry;
  };
  struct Till {
    std::string name;
    std::deque<std::string> line;
    std::optional<PendingAsk> pending;
    std::uint64_t recent = 0;
    Instant asked_at = 0, unanswered_since = 0, deny_until = 0, rate_at = 0;
    double rate = 0, fallback = 0;
    Instant fallback_at = 0;
    bool is_fallback = false;
    /// Errands paid from permits since the rate was last taken, and that rate; what a silent owner let this
    /// node spend.
    /// When the next of those turned away for want of tokens may well come back: each gets a moment of its
    /// own.
    Instant come_back_at = 0;
    std::uint64_t paid_recent = 0;
    double paid_rate = 0;
    std::uint64_t served = 0;
    std::map<std::uint64_t, Outlay> outlays;
    Instant reported_at = 0;
    std::deque<std::uint64_t> seen;
  };
  struct Freeing {
    SlotFree free;
    Backoff retry;
    Instant until = 0;
  };
  struct Closing {
    CloseAsk close;
    Backoff retry;
    Instant until = 0;
  };

  void handle(NodeId from, const Orders &orders, Instant now, PilotOutput &out);
  void handle(const PermitSay &say, NodeId from, Instant now, PilotOutput &out);
  void handle(const ClaimSay &say, Instant now, PilotOutput &out);
  void handle(NodeId from, const SlotSay &say, Instant now, PilotOutput &out);
  void handle(NodeId from, const InventoryAsk &ask, Instant now, PilotOutput &out);
  /// A node asks as the owner of services by a node set that this node has not been told of: from now on it
  /// is their owner here too, and no other one's grants count.
  void follow_newer_owner(NodeId owner, const InventoryAsk &ask, Instant now, PilotOutput &out);
  /// Forgets newer owners that the node set in force names itself, or that have ended.
  void forget_newer_owners(Instant now);
  void dispatch(const Envelope &envelope, Instant now, PilotOutput &out);
  void loop_back(Instant now, PilotOutput &out);
  /// Sends what is for pilots that only others reach through one of these.
  void go_round(Instant now, PilotOutput &out);
  /// True for a living pilot that was sent something and then not heard from directly for `unheard`. Not
  /// hearing from one that nothing was sent to says nothing: among many pilots most never have a reason to
  /// speak to each other.
  bool is_out_of_reach(NodeId pilot, Instant now) const;
  /// In the node set, or in one before it that is still known.
  bool is_or_was_counted(NodeId pilot) const;
  /// No other process has been heard of for `unheard`.
  bool is_isolated(Instant now) const;
  /// Until when the leader's lease lets this node act as an owner.
  Instant owner_lease_until() const { return fresh_until_ - options_.fresh + options_.duty; }
  /// Lets the owner of tenants act on the leader's lease, or on the word of witnesses where there is none.
  void renew_owner_lease(Instant now, PilotOutput &out);
  /// Takes what orders hold beside the manifest.
  void follow_orders(NodeId from, const Orders &orders, bool is_switched, Instant now, PilotOutput &out);
  /// Puts the manifest's text together from the orders' delta; false when this node lacks the base.
  bool take_manifest_text(const Orders &orders);
  void keep_manifest_text(std::string text, Version version);
  /// Switches to the newest manifest that was put off.
  void switch_staged(Instant now, PilotOutput &out);
  void switch_manifest(Version version, Instant now, PilotOutput &out);

  void go_on(const std::string &errand, Instant now, PilotOutput &out);
  void next_step(const std::string &errand, Instant now, PilotOutput &out);
  void ask_claim(Afloat &errand, Instant now, PilotOutput &out);
  void ask_slot(Afloat &errand, Instant now, PilotOutput &out);
  void finish(const std::string &errand, Fate fate, Span retry_after, Instant now, PilotOutput &out,
              const CallEnd *end = nullptr, std::string why = {});
  void free_slot(const Afloat &errand, SlotEnd end, Instant now, PilotOutput &out);
  void close_claim(const Afloat &errand, ClosedAs as, const CallEnd *end, Instant now, PilotOutput &out);
  /// Places that errands of a worth may take here.
  std::size_t places_for(std::uint32_t worth) const;
  /// Takes the place of a waiting errand of less worth for a new one; false when there is none.
  bool displace(std::uint32_t worth, Instant now, PilotOutput &out);
  /// Puts an errand in its tenant's line, the worthier before the less worthy.
  void line_up(Till &till, const std::string &id, std::uint32_t worth);
  std::string first_of_least_worth(const Till &till) const;
  /// Ends those in line whom the tokens to come will not reach.
  void thin_line(Till &till, Instant now, PilotOutput &out);
  /// When an errand turned away for want of tokens should come again: not before the owner has some, and one
  /// after another at this node's even share of the tenant's base.
  Span come_back(Till &till, Instant now);
  /// True when the tenant's allowance was denied a moment ago.
  bool is_denied(const Afloat &errand, Instant now);
  /// How many seconds of a node's use one permit is asked to last.
  double permit_reach() const { return 0.6 * static_cast<double>(options_.purser.life) / 1e9; }
  Span patience_of(const Afloat &errand);
  bool may_try_again(const Afloat &errand, Instant now) const;
  std::optional<Fate> recheck(const Afloat &errand, Instant now) const;
  /// How many tokens to ask for: one for each request that waits, and those that will surely be used before
  /// they die; more would only be kept from other nodes.
  std::uint32_t tokens_wanted(const Till &till) const;
  void ask_permit(std::uint32_t tenant, Instant now, PilotOutput &out);
  void serve_line(std::uint32_t tenant, Instant now, PilotOutput &out);
  void maintain_till(std::uint32_t tenant, Instant now, PilotOutput &out);
  /// True when all nodes together, sending as much as this one, would stay below the tenant's base.
  bool is_modest(const Till &till, const Tenant &tenant) const;
  bool spend_fallback(Till &till, Instant now);
  /// Notes that a paid errand went out or ended, so that its charge begins to age.
  void note_gone(Afloat &errand, Instant now);
  void end_permit(Till &till, const Spent &old, Instant now);
  std::vector<PermitReturn> take_report(Till &till, std::uint32_t tenant, Instant now);
  const Tenant *declared(const std::string &tenant) const;
  double capacity_of(const std::string &tenant) const;
  NodeId owner_of_tenant(const std::string &tenant);
  /// Reports to the leader; between the regular reports only the wants that changed.
  void send_pulse(Instant now, PilotOutput &out);
  std::vector<Want> wants_to_report(bool has_all, Instant now);
  void send_leader(const Signal &signal, PilotOutput &out);
  /// True while the leader has answered lately, so that reports go to it alone.
  bool hears_leader(Instant now) const;
  /// Notes that a leader's orders were taken.
  void note_leader_heard(NodeId leader, Instant now, PilotOutput &out);
  /// Reports to all control processes that live, as one of them may lead; a regular report goes to the leader
  /// that others named and to the seeds, too, though they are not known to live.
  void search_leader(const Pulse &pulse, bool is_regular, Instant now, PilotOutput &out);
  /// Tells in the log, once a search, that no leader has answered for long, and whom this node reports to.
  void tell_of_search(std::size_t asked, Instant now, PilotOutput &out);
  void count(const std::string &name) { ++counters_[name]; }

  Member self_;
  PilotOptions options_;
  Membership membership_;
  Purser purser_;
  Scheduler scheduler_;
  Witness witness_;
  LeaseExtension lease_extension_;
  /// This node acts as an owner on its witnesses' word.
  bool is_extended_ = false;
  std::map<NodeId, Instant> heard_;
  /// Pilots sent to since they were last heard from: since when, and when the direct way was last tried
  /// again.
  struct Unanswered {
    Instant since = 0, probed_at = 0;
  };
  std::map<NodeId, Unanswered> unanswered_;
  std::uint64_t went_round_ = 0;
  Soundings soundings_;
  Instant sounded_at_ = 0;
  PurseRack rack_;
  mutable std::mutex in_force_mutex_;
  InForce in_force_;
  /// The newest manifest received, in force or staged, and its version.
  std::string manifest_text_;
  Version manifest_text_version_ = 0;
  /// A delta from another manifest came, and the leader has not been told so yet.
  bool has_missed_manifest_ = false;
  /// Orders with a newer manifest that are put off, as the last switch was a moment ago.
  std::optional<std::pair<NodeId, Orders>> staged_;
  Instant switched_at_ = 0;
  std::map<std::string, std::uint32_t> tenant_index_;
  std::map<std::uint32_t, Till> tills_;
  std::map<std::string, Afloat> afloat_;
  std::vector<Freeing> freeing_;
  std::vector<Closing> closing_;
  struct LostSlot {
    std::string errand, service, runner;
    std::uint32_t attempt = 0;
    Instant until = 0;
  };
  std::vector<LostSlot> lost_;
  Roster roster_;
  /// Owners of services by node sets newer than the one in force.
  struct NewerOwner {
    NodeId node = 0;
    Epoch epoch = 0;
  };
  std::unordered_map<std::string, NewerOwner> newer_owners_;
  OwnerCache service_owners_{scheduler_salt}, tenant_owners_{purser_salt};
  Epoch settled_ = 0;
  /// Runners of the services that this node owns.
  std::map<std::string, RunnerView> runners_;
  std::uint64_t runners_stamp_ = 0, runners_term_ = 0;
  NodeId leader_ = 0;
  std::atomic<Instant> fresh_until_{0};
  std::atomic<Span> cut_off_{0};
  Instant born_ = 0, pulse_at_ = 0, heard_leader_at_ = 0;
  Instant pulsed_at_ = 0;
  /// The log tells that this node looks for a leader.
  bool is_search_told_ = false;
  std::uint64_t told_wants_ = 0;
  /// What was reported last of each service: runners wanted and runners to retire.
  std::map<std::string, std::pair<std::uint32_t, std::size_t>> reported_wants_;
  bool is_leaving_ = false;
  std::uint64_t next_ask_ = 1;
  std::map<std::string, std::uint64_t> counters_;
};

} // namespace wharf
