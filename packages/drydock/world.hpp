#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "control/control_node.hpp"
#include "pilot/pilot.hpp"

namespace wharf {

/// What kind of deployment a simulated run has.
struct WorldShape {
  int controls = 4, pilots = 4, zones = 4, workers = 6;
  int hot = 2, once = 2, rare = 6, tenants = 3;
  std::uint32_t worker_memory_mb = 4096;
  double rate = 60;
  std::int64_t base = 60, burst = 60;
  Span boot = milliseconds(400), list_late = milliseconds(300);
  double pace = 80, hot_share = 0.6, once_share = 0.25;
  /// Members told at each beat, as the deployed daemons are set: fewer than there are.
  std::size_t told_each = 4;
  /// How far monotonic clocks may run apart, as a share.
  double clock_spread = 0.001;
  /// First come, first served, and the first worker that fits: the plain ways, to measure against.
  bool is_plain = false;
};

/// The deployments of the brief: udruga, masa-verde; anything else is the small world.
WorldShape shape_named(const std::string &name);

/// Faults of the network that hold for all links at once.
struct Weather {
  double lost = 0, doubled = 0;
  Span least = microseconds(200), most = milliseconds(2);
};

enum class DiskMood : std::uint8_t { well, slow, stalled, full, no_room_for_snapshot };

/// How the platform misbehaves.
enum class PlatformMood : std::uint8_t { well, away, refusing, late, forgetting, listing_stopped };

/// A simulated disk: what is synced survives, what is under way does not.
struct SimDisk {
  NodeId identity = 0;
  Recovered durable;
  DiskMood mood = DiskMood::well;
  void commit(const WriteBatch &save);
};

/// How runners of a service misbehave, as shares of their visits.
struct RunnerMood {
  double refuse = 0, lose = 0, garbage = 0, hang = 0, crash = 0, large = 0;
  /// Added to every visit.
  Span slow = 0;
};

/// One write an operator made, as the operator saw it.
struct WriteRecord {
  int number = 0;
  /// A starving write would refuse most of what callers send.
  bool is_patch = false, is_starving = false;
  std::string bytes, if_match, write_id, outcome = "pending";
  Version version = 0;
  Instant sent = 0, answered = 0;
};

/// A defect put in on purpose, to show that a checker can fail.
enum class Defect : std::uint8_t {
  none,
  repeat_dispatch,
  stale_permit,
  forgotten_vote,
  ignore_slots,
  early_acknowledge,
  leaving_unseen,
  free_seconds,
  loose_quota,
  stale_read,
  tidied_bytes,
  hasty_drain,
  trusting_seal,
  swapped_answers,
  changed_errand,
  invented_errand,
  key_passed,
  emptied_record,
  lying_disk,
  untried,
  other_tenant,
  stingy_quota
};

/// A whole deployment in virtual time round the daemons' own state machines. One seed, one run, always.
class World {
public:
  World(std::uint64_t seed, WorldShape shape, Defect defect = Defect::none);
  ~World();

  Instant now() const { return now_; }
  Dice &dice() { return dice_; }
  const WorldShape &shape() const { return shape_; }
  /// Runs events up to a moment.
  void run_until(Instant moment);
  void at(Instant moment, std::function<void()> deed);

  /// What is done once the next write is acknowledged.
  void on_next_taken(std::function<void()> deed) { on_taken_ = std::move(deed); }
  void start_callers(Instant from, Instant until);
  void crowd(int tenant, double rate, Instant from, Instant until, int pilot = -1);
  /// A crowd of one tenant in the whole mix.
  void crowd_mixed(int tenant, double rate, Instant from, Instant until);
  /// Counts busy services that would have no runner left if the zone were lost now.
  int left_bare(int zone) const;
  void call(int tenant, int kind, const std::string &once_key, int tries_left, int pilot = -1,
            const std::string &key = {});
  /// A call to one service of a kind.
  void call_service(int tenant, int kind, int index);
  /// Repeats a once errand that a caller sent a little before.
  void repeat_once();
  /// A caller, any of those waiting at a pilot, hangs up.
  void hang_up(int pilot);
  /// Sends the newest write again, as an operator whose answer was lost would.
  void repeat_last_write(int control);
  bool has_read_back() const { return last_read_status_ == 200; }
  void write(bool is_patch, const std::string &if_match, int control);
  void write_bytes(bool is_patch, std::string bytes, const std::string &if_match, int control);
  /// A whole manifest that leads all busy rules to one runner of one slot.
  void write_starving(const std::string &if_match, int control);
  void read_back(int control);

  void kill_control(int which);
  /// An empty control machine at a new address; its number.
  int add_control();
  /// Takes a control machine away for good.
  void retire_control(int which);
  /// Ends a control process as an operator would.
  void leave_control(int which);
  int control_count() const { return static_cast<int>(controls_.size()); }
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  const std::vector<std::string> &seeds() const { return seeds_; }
  /// Sets every machine's wall clock forward or back.
  void jump_wall_clock(Span span) { wall_offset_ += span; }
  /// True when the group stands whole, so that one more disk may be lost.
  bool may_lose_disk() const;
  void start_control(int which, bool has_lost_disk = false);
  void kill_pilot(int which);
  void start_pilot(int which);
  void freeze(bool is_control_node, int which, Span span);
  void set_cut(const std::string &left, const std::string &right, bool is_cut, bool both_ways = true);
  void cut_off(const std::string &machine, bool is_cut);
  void heal();
  void set_disk(int control, DiskMood mood);
  void set_weather(const Weather &weather) { weather_ = weather; }
  void set_runner_mood(const std::string &service, const RunnerMood &mood) { moods_[service] = mood; }
  void drain_worker(int which, bool is_draining);
  void crash_worker(int which);
  void restore_workers();
  void set_platform(PlatformMood mood) { platform_mood_ = mood; }
  void set_zone_cut(int zone, bool is_cut);
  void kill_zone(int zone);
  void leave_pilot(int which);

  int leader() const;
  /// When a leading control came to lead, by this world's time.
  Instant led_since(int which) const;
  int owner_pilot(const std::string &name, std::uint64_t salt) const;
  bool is_control_up(int which) const;
  bool is_pilot_up(int which) const;
  std::string control_name(int which) const { return "h" + std::to_string(which); }
  std::string pilot_name(int which) const { return "p" + std::to_string(which); }
  const ControlNode *control(int which) const;
  const Pilot *pilot(int which) const;
  NodeId pilot_id(int which) const { return pilots_[static_cast<std::size_t>(which)].self.id; }
  std::string service_name(int kind, int index) const;
  std::string tenant_name(int which) const { return "t" + std::to_string(which); }

  /// The checkers' verdict over all that callers, operators, runners and platform recorded.
  Audit judge(Instant healed_at);
  /// A whole manifest; `marker` names the write, and every third one is without the roaming service.
  std::string manifest_text(int marker, int key_number) const;
  static bool has_roamer(int marker) { return marker % 3 != 2; }
  const std::vector<WriteRecord> &writes() const { return writes_; }
  const std::vector<VisitRecord> &visits() const { return visits_; }
  const std::vector<CallRecord> &calls() const { return calls_; }
  /// Proper errands that may be refused before the run counts as bad.
  void set_refusals_most(std::uint64_t most) { refusals_most_ = most; }
  std::uint64_t events() const { return events_; }
  /// The control group as its replicas see it, for finding a cause.
  std::string describe() const;
  /// A digest of everything recorded, to compare two runs of one seed.
  std::string fingerprint() const;

private:
  struct Process {
    bool is_up = false, is_frozen = false, is_leaving = false, is_retired = false;
    std::uint64_t incarnation = 0;
    double rate = 1;
    Instant offset = 0;
    std::vector<std::function<void()>> held;
  };
  struct SimulatedControl : Process {
    std::unique_ptr<ControlNode> core;
    SimDisk disk;
    std::deque<WriteBatch> batches;
    /// What a lying disk says it has and does not have yet.
    std::deque<std::pair<Instant, WriteBatch>> promised;
    bool is_writing = false;
    std::map<std::uint64_t, std::function<void(const OperatorSay &)>> asks;
  };
  struct PilotNode : Process {
    std::unique_ptr<Pilot> core;
    Member self;
    Instant leaving_at = 0;
    /// Since when it could have been led; when it last was, or could not have been.
    Instant unled_since = 0;
    std::map<std::string, std::function<void(const Reply *)>> waiting;
  };
  struct SimRunner {
    RunnerRecord record;
    std::string address;
    bool is_ready = false, is_stopping = false, is_gone = false, is_dead_listed = false;
    Instant ready_at = 0, stop_at = 0, leaving_at = 0;
    int running = 0;
    std::uint64_t serial = 0;
  };
  struct Event {
    Instant at = 0;
    std::uint64_t order = 0;
    std::function<void()> deed;
    bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct CallState {
    CallRecord record;
    std::string pilot;
    int tries_left = 0, kind = 0, tenant = 0;
    std::string key;
  };

  Instant local(const Process &process) const {
    return process.offset + static_cast<Instant>(static_cast<double>(now_) * process.rate);
  }
  void defer(Process &process, std::function<void()> deed);
  void tick_control(int which, std::uint64_t incarnation);
  void tick_pilot(int which, std::uint64_t incarnation);
  void flush(int which, SimulatedControl &node, ControlOutput &out);
  void flush(int which, PilotNode &node, PilotOutput &out);
  void send(const std::string &from, const std::string &to, Envelope envelope);
  void deliver(const std::string &to, const Envelope &envelope);
  void write_next(int which);
  void carry(int pilot, const Carry &carry);
  void end_call(int pilot, std::uint64_t incarnation, CallEnd end);
  void settle_call(const std::string &id, const Reply *reply);
  void list_platform();
  void platform_tick();
  void send_write(std::size_t number, int control);
  void operate(int which, OperatorAsk ask, int hops, std::function<void(const OperatorSay &)> then);
  bool is_cut(const std::string &from, const std::string &to) const { return cuts_.contains({from, to}); }
  void watch_raft(int which);
  /// The platform never sees an order of an earlier leader after one of a later.
  void watch_order(const PlatformOrder &order);
  void judge_writes(Audit &audit) const;
  void judge_recovery(Audit &audit, Instant healed_at) const;
  void judge_keys(Audit &audit) const;
  void judge_held(Audit &audit) const;
  void judge_refusals(Audit &audit, Instant healed_at) const;
  /// Looks whether each node that serves and can reach a settled leader is led.
  void watch_led();
  bool could_be_led(int pilot, int leads) const;

  WorldShape shape_;
  Dice dice_;
  Instant now_ = 0;
  std::uint64_t order_ = 0, events_ = 0;
  std::priority_queue<Event> queue_;
  std::deque<SimulatedControl> controls_;
  std::vector<std::string> seeds_;
  Span wall_offset_ = seconds(1'000'000);
  std::vector<PilotNode> pilots_;
  std::set<std::pair<std::string, std::string>> cuts_;
  Weather weather_;
  std::map<std::string, RunnerMood> moods_;
  std::vector<WorkerSeen> workers_;
  std::set<std::string> dead_workers_;
  std::map<std::string, SimRunner> runners_;
  std::deque<std::pair<Instant, PlatformView>> listings_;
  PlatformMood platform_mood_ = PlatformMood::well;
  std::vector<TryRecord> tries_;
  std::function<void()> on_taken_;
  std::uint64_t zones_looked_at_ = 0, left_bare_ = 0;
  double platform_tokens_ = 0;
  Instant platform_token_at_ = 0;
  std::uint64_t next_serial_ = 1, next_errand_ = 1, next_ticket_ = 1;
  std::map<std::string, CallState> calls_open_;
  std::deque<std::string> once_sent_;
  int forced_index_ = -1;
  std::vector<CallRecord> calls_;
  std::vector<VisitRecord> visits_;
  std::map<std::string, std::string> key_of_errand_;
  std::vector<WriteRecord> writes_;
  std::string last_read_;
  Version last_read_version_ = 0;
  int last_read_status_ = 0;
  int key_number_ = 0;
  Defect defect_ = Defect::none;
  std::map<std::uint64_t, NodeId> leader_of_term_;
  std::uint64_t highest_order_term_ = 0;
  std::map<std::uint64_t, std::string> committed_;
  std::vector<std::uint64_t> watched_;
  std::set<std::uint64_t> groups_;
  std::uint64_t refusals_most_ = ~0ull;
  std::vector<std::string> raft_faults_;
  std::uint64_t dropped_in_drain_ = 0;
  Span longest_drain_ = 0;
  int watched_leader_ = -1;
  Span longest_unled_ = 0;
  std::string longest_unled_node_;
};

} // namespace wharf
