#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/cut_off_share.hpp"
#include "scheduler/refusal_pacing.hpp"
#include "scheduler/service_scaler.hpp"
#include "scheduler/slot_counters.hpp"
#include "signals/signals.hpp"
#include "tide/backoff.hpp"

namespace wharf {

struct SchedulerOptions {
  Span inventory_patience = milliseconds(500);
  /// The same for self-bounding services, whose runners refuse what is too much; long enough to ask twice.
  Span inventory_brief = milliseconds(120);
  /// How long after it began to grant an owner goes on asking nodes that have not answered.
  Span inventory_late = seconds(5);
  /// How long a node may take to answer before it is asked again; twice as long after each time, up to the
  /// longest.
  Span inventory_again = milliseconds(100), inventory_again_most = milliseconds(800);
  /// Services that one question names at most.
  std::size_t inventory_services = 500;
  Span free_grace = seconds(1);
  Span unreached_rest = milliseconds(500);
  double second_share = 0.15;
  double second_most = 3;
  Span boot_guess = milliseconds(1500);
  /// How often a starting runner is asked whether it listens yet.
  Span knock_again = milliseconds(40);
  ScalerOptions scaler;
  /// Calls in a row that a self-bounding runner may lose before it is ended.
  std::uint32_t lost_most = 5;
};

/// Whether a starting runner listens yet is to be found out.
struct Knock {
  std::string service, runner, address, handle;
};

/// Sole owner of services' pending errands, runner slots, second-try budget and scaling; a pure state
/// machine.
class Scheduler {
public:
  Scheduler(NodeId self, SchedulerOptions options);
  void set_plans(std::map<std::string, ServicePlan> plans, Instant now, Outbox &out);
  void set_roster(const Roster &roster, Epoch settled, Instant now, Outbox &out);
  void set_runners(const std::vector<RunnerView> &runners, Instant now, Outbox &out);
  /// Takes a node set and the runners that were told with it. Runners are told to owners only, so the ones of
  /// a service that goes to another node are missing from the list: what this node granted of them is kept
  /// for its successor first.
  void set_roster_and_runners(const Roster &roster, Epoch settled, const std::vector<RunnerView> &runners,
                              Instant now, Outbox &out);
  void set_fresh_until(Instant until) { fresh_until_ = until; }
  /// Nothing is heard of any other process, so that another node may have taken this one's place.
  void set_isolated(bool is_isolated, Instant now);
  void step(NodeId from, const Signal &signal, Instant now, Outbox &out);
  void tick(Instant now, Outbox &out);
  /// Starting runners that errands wait for and that should be asked now whether they listen.
  std::vector<Knock> knocks(Instant now);
  /// A starting runner answered a knock.
  void is_up(const std::string &service, const std::string &runner, Instant now, Outbox &out);
  /// What the leader should settle for the services owned here.
  std::vector<Want> wants(Instant now) const;

  /// Adds what this node knew of an inventory's service as its owner before `epoch`, when that is whole.
  void describe_former(Epoch epoch, Instant now, ServiceInventory &inventory) const;
  /// Changes whenever what should be settled for the services owned here changes.
  std::uint64_t wants_mark() const;
  std::size_t pending(const std::string &service) const;
  std::size_t slots_taken(const std::string &runner) const;
  const SlotCounters &counters() const { return counters_; }
  /// One line for each call that a runner turned away since this was last asked: what this owner counted.
  std::vector<std::string> take_refusal_notes() { return std::exchange(refusal_notes_, {}); }
  /// Another node asked for the slots of these services as their owner by a node set newer than ours: keeps
  /// them for it and grants none of them any more (its epoch is a fencing token).
  void hand_over_superseded(const std::vector<std::string> &services, Epoch epoch, Instant now, Outbox &out);

private:
  struct Slot {
    NodeId pilot = 0;
    Instant deadline = 0, since = 0;
    std::uint32_t attempt = 0;
    bool is_doubtful = false;
  };
  struct RunnerState {
    bool is_leaving = false, must_retire = false;
    std::string address, seal_key, zone, handle;
    bool is_booting = false;
    Instant boots_since = 0, knock_at = 0;
    std::map<std::string, Slot> taken;
    std::uint32_t unknown = 0;
    /// Slots that calls unknown to this owner are taken to hold, as the runner refused one that should have
    /// had room, or as a node did not answer when the service was taken over; tried again one by one.
    std::uint32_t unseen = 0;
    /// Slots left to former owners that may be cut off and go on granting them.
    std::uint32_t reserved = 0;
    Instant rests_until = 0;
    std::uint32_t strikes = 0;
    Instant refused_at = 0;
    std::size_t load() const { return taken.size() + unknown + unseen + reserved; }
  };
  struct Waiting {
    SlotAsk ask;
    NodeId pilot = 0;
    Instant deadline = 0;
  };
  struct OwnedService {
    Epoch since = 0;
    bool is_learning = true;
    Instant settled_at = 0, learned_at = 0;
    /// Nodes that have not told yet which slots they hold: those that are waited for, and all that are asked.
    std::set<NodeId> unheard, untold;
    /// Former owners that have neither answered nor provably ended, with the size of the node set in which
    /// they owned the service.
    std::map<NodeId, std::size_t> cut_off_owners;
    RefusalPacing refusals;
    bool is_inherited = false;
    std::map<std::string, RunnerState> runner_states;
    std::map<std::string, std::string> granted;
    std::map<std::string, std::deque<Waiting>> pending;
    std::deque<std::string> turns;
    std::size_t pending_count = 0;
    double seconds_budget = 1;
    ServiceScaler scaler;
    Span serve_guess = milliseconds(50), boot_guess = 0;
  };

  void handle(NodeId from, const SlotAsk &ask, Instant now, Outbox &out);
  void handle(NodeId from, const SlotFree &free, Instant now, Outbox &out);
  void handle(NodeId from, const InventorySay &say, Instant now, Outbox &out);
  void count_refusal(const OwnedService &owned, const RunnerState &runner_state, Instant now);
  void note_refusal(NodeId node, const SlotFree &free, const OwnedService &owned,
                    const RunnerState &runner_state, Instant now);
  /// Takes a refusal as a sign of calls that this owner does not know of.
  static void learn_from_refusal(OwnedService &owned, RunnerState &runner_state, const ServicePlan &plan,
                                 Instant now);
  /// Gives slots in doubt free, one at a time and ever more seldom while runners refuse calls.
  static void probe_unseen(OwnedService &owned, Instant now);
  /// Former owners that do not answer may be cut off and go on granting to their own clients.
  void find_cut_off_owners(const std::string &service, OwnedService &owned) const;
  /// Another process at its address is in the node set, so that the former owner has ended.
  bool is_replaced(const PastRoster &past, NodeId node) const;
  void forget_ended_owners();
  /// Leaves each former owner that may be cut off its share of the runners' slots.
  static void update_reserves(OwnedService &owned, const ServicePlan &plan);
  /// Slots of a runner that this owner may grant, by the runner's place in the order of names.
  std::uint32_t slots_to_grant(const OwnedService &owned, const ServicePlan &plan, std::size_t place) const;
  std::uint32_t slots_to_grant(const OwnedService &owned, const ServicePlan &plan) const;
  /// Requests for a service of which a node that is cut off for good has no share can't be served here.
  bool has_no_share(const OwnedService &owned, const ServicePlan &plan, Instant now) const;
  void refuse_pending(OwnedService &owned, Span retry_after, const std::string &why, Outbox &out);
  bool must_ask(const OwnedService &owned, Instant now) const;
  /// False while another node has asked as the owner by a newer node set.
  bool may_begin(const std::string &service) const;
  void begin(const std::string &service, Instant now);
  /// Takes a newer node set; services that it gives to other nodes are kept aside for their new owners.
  void hand_over_lost_services(const Roster &roster, Instant now, Outbox &out);
  void send_waiting_elsewhere(const std::string &service, const OwnedService &owned, Outbox &out) const;
  void begin_owned_services(Instant now);
  void replace_runners(const std::vector<RunnerView> &runners, Instant now);
  /// Ends the learning once enough nodes have answered or patience is over.
  void learn(const std::string &service, OwnedService &owned, const ServicePlan &plan, Instant now);
  /// Asks each node, in one message, for all services that it has not told of yet.
  void ask_inventories(Instant now, Outbox &out);
  void begin_inventory_rounds(Instant now);
  /// Services of which a node has not told yet.
  std::map<NodeId, std::vector<std::string>> untold_services(Instant now) const;
  /// Takes what a node told of one service into account.
  void take_inventory(NodeId from, const ServiceInventory &inventory, Instant now);
  void finish_learning(const std::string &service, OwnedService &owned, Instant now);
  void serve(const std::string &service, OwnedService &owned, Instant now, Outbox &out);
  RunnerState *free_runner(OwnedService &owned, const ServicePlan &plan, const SlotAsk &ask, Instant now,
                           std::string &id);
  /// Takes the runners that are there as needed a moment ago, as a successor does not know how many are.
  static void keep_found(OwnedService &owned, const ServicePlan &plan, Instant now);
  void take_view(RunnerState &runner_state, const RunnerView &runner, Instant now);
  SlotSay held_say(const SlotAsk &ask, OwnedService &owned, const std::string &runner) const;
  void refuse(const SlotAsk &ask, NodeId pilot, Span retry_after, std::string why, Outbox &out);
  void grant(OwnedService &owned, const Waiting &waiting, const std::string &runner, Instant now,
             Outbox &out);
  void make_room(OwnedService &owned, const ServicePlan &plan, const std::string &tenant, Outbox &out);
  static void rescale(OwnedService &owned, const ServicePlan &plan, Instant now);
  static ServiceLoad load_of(const OwnedService &owned);
  Span hopeless_for(const OwnedService &owned, const ServicePlan &plan, const SlotAsk &ask,
                    Instant now) const;
  static std::uint32_t taken(const OwnedService &owned);
  /// Slots that others than this owner's requests are taken to hold.
  static std::uint32_t unavailable(const OwnedService &owned);
  static std::uint32_t usable_runners(const OwnedService &owned);
  NodeId owner_in(const std::vector<NodeId> &pilots, const std::string &service) const;
  bool is_in_node_set(NodeId node) const;
  bool was_owner_since(Epoch epoch, const std::string &service) const;

  NodeId self_;
  SchedulerOptions options_;
  std::map<std::string, ServicePlan> plans_;
  std::map<std::string, OwnedService> services_;
  struct Former {
    Epoch until = 0;
    Instant lost_at = 0;
    OwnedService owned;
  };
  std::map<std::string, Former> former_;
  /// Services that another node asked for as their owner, with the epoch of its node set.
  std::map<std::string, Epoch> superseded_;
  /// A question to a node that it has not answered yet.
  struct InventoryRound {
    std::uint64_t number = 0;
    std::vector<std::string> services;
    Backoff retry;
  };
  std::map<NodeId, InventoryRound> inventory_rounds_;
  std::uint64_t inventory_number_ = 0;
  /// A service was taken over or a node has answered, so that new questions may be due.
  bool has_new_questions_ = false;
  std::vector<RunnerView> runners_;
  Roster roster_;
  Epoch settled_ = 0;
  Instant fresh_until_ = 0;
  /// Since when nothing was heard of any other process; 0 while something is.
  Instant isolated_since_ = 0;
  SlotCounters counters_;
  std::vector<std::string> refusal_notes_;
};

} // namespace wharf
