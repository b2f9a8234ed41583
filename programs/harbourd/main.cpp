#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "bosun/log.hpp"
#include "bosun/machine_limits.hpp"
#include "bosun/options.hpp"
#include "bosun/storage_options.hpp"
#include "bridge/bridge.hpp"
#include "capstan/ring.hpp"
#include "control/order_permit.hpp"
#include "hawser/hawser.hpp"
#include "moorings/moorings.hpp"
#include "quay/quay.hpp"
#include "storage/disk_worker.hpp"

namespace {
using namespace wharf;

using ControlEvent = std::variant<Envelope, OperatorAsk, PlatformView, DiskEvent>;
constexpr std::size_t operator_links_most = 512;
using SayWaiter = Waiter<OperatorSay>;

/// The daemon round one control: duties for links, disk, platform, operators' door and core.
class ControlDaemon final : public ControlDesk {
public:
  ControlDaemon(const ProcessOptions &options, NodeId id, std::unique_ptr<LogStorage> storage,
                const Recovered &recovered)
      : options_(options), self_(make_self(options, id)), ring_(16384), order_ring_(4096),
        bridge_(*this, options.operator_token), memory_(client_memory_bound(memory_mb_of(options))),
        server_(mooring_options(options, memory_)),
        hawser_(options.listen.empty() ? options.address : options.listen,
                [this](Envelope &&envelope) { take(std::move(envelope)); },
                {descriptor_shares(descriptors_of(options)).inner, &memory_}) {
    build(recovered);
    disk_ = std::make_unique<DiskWorker>(std::move(storage), [this](DiskEvent &&word) {
      while (!ring_.offer(word) && !is_stopping_) std::this_thread::yield();
    });
  }

  int run() {
    set_up_door(server_, 4u << 20,
                [this](const httplib::Request &request, const httplib::Headers &original,
                       httplib::Response &response) { bridge_.serve(request, original, response); });
    std::string ip;
    int port = 0;
    split_address(options_.http, ip, port);
    if (!server_.bind_to_port(ip, port)) {
      std::cerr << "harbourd: cannot listen on " << options_.http << "\n";
      return 1;
    }
    server_.widen();
    Duty core("core", [this] { run_core(); });
    std::unique_ptr<Duty> lister, orderer;
    if (!options_.platform.empty()) {
      lister = std::make_unique<Duty>("lister", [this] { run_lister(); });
      orderer = std::make_unique<Duty>("orderer", [this] { run_orderer(); });
    }
    Duty listening("listen", [this] { server_.listen_after_bind(); });
    log_line("up, id " + std::to_string(self_.id) + ", operators at " + options_.http);
    while (stops_caught() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(20));
    log_line("draining");
    is_leaving_ = true;
    server_.stop();
    listening.join();
    const Instant until = tide_.now() + milliseconds(600);
    while (tide_.now() < until && stops_caught() < 2)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    is_stopping_ = true;
    ring_.close();
    core.join();
    disk_.reset();
    order_ring_.close();
    lister.reset();
    orderer.reset();
    log_line("down");
    return 0;
  }

  OperatorSay ask(OperatorAsk ask) override {
    auto waiter = std::make_shared<SayWaiter>();
    {
      std::lock_guard guard(says_mutex_);
      ask.ticket = ++next_ticket_;
      says_[ask.ticket] = waiter;
    }
    const std::uint64_t ticket = ask.ticket;
    OperatorSay say;
    say.status = 0;
    const bool is_in = ring_.offer(std::move(ask));
    if (!is_in)
      say = {ticket, 503, 0, "{\"outcome\": \"not-taken\", \"why\": \"too busy\"}\n", {}};
    else
      waiter->take(say, 10'000);
    std::lock_guard guard(says_mutex_);
    says_.erase(ticket);
    return say;
  }
  std::string counters_json() override {
    std::lock_guard guard(published_mutex_);
    return published_;
  }

private:
  static MooringOptions mooring_options(const ProcessOptions &options, MemoryAccount &memory) {
    MooringOptions made;
    made.memory = &memory;
    made.threads = static_cast<std::size_t>(std::min<std::int64_t>(options.threads, 32));
    made.links_most = std::min(operator_links_most, descriptor_shares(descriptors_of(options)).clients);
    return made;
  }
  static Member make_self(const ProcessOptions &options, NodeId id) {
    Member self;
    self.id = id;
    self.address = options.address;
    self.http = options.http;
    self.zone = options.zone;
    self.role = static_cast<std::uint8_t>(Role::control);
    self.is_replica = options.replica != 0;
    self.beat =
        first_beat_at(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                     std::chrono::system_clock::now().time_since_epoch())
                                                     .count()));
    return self;
  }

  void build(const Recovered &recovered) {
    ControlOptions control_options;
    control_options.platform_pace = static_cast<double>(options_.pace);
    control_options.may_found = options_.may_found != 0;
    control_options.is_replica = options_.replica != 0;
    std::random_device source;
    Member self = self_;
    if (control_) self.beat = control_->membership().self().beat + 1;
    control_ = std::make_unique<ControlNode>(self, options_.seed_list(), control_options,
                                             (static_cast<std::uint64_t>(source()) << 32) | source(),
                                             recovered, tide_.now());
  }

  void take(Envelope &&envelope) {
    if (!ring_.offer(std::move(envelope))) ++ring_full_;
  }

  void run_core() {
    std::deque<ControlEvent> events;
    Instant tick_at = 0;
    while (!is_stopping_) {
      ring_.drain(events, milliseconds(5));
      ControlOutput out;
      for (ControlEvent &event : events) {
        const Instant now = tide_.now();
        if (auto *envelope = std::get_if<Envelope>(&event))
          control_->receive(*envelope, now, out);
        else if (auto *operator_ask = std::get_if<OperatorAsk>(&event))
          control_->operate(std::move(*operator_ask), now, out);
        else if (auto *snapshot = std::get_if<PlatformView>(&event))
          control_->platform_seen(std::move(*snapshot), now, out);
        else if (auto *word = std::get_if<DiskEvent>(&event))
          disk_said(*word, now, out);
      }
      const Instant now = tide_.now();
      if (is_leaving_ && !has_left_) {
        has_left_ = true;
        control_->set_leaving(now, out);
      }
      if (now >= tick_at) {
        control_->tick(now, out);
        tick_at = now + milliseconds(5);
      }
      permit_.set(control_->raft().term(), control_->raft().may_act_until(now));
      carry_out(out);
      is_leading_ = control_->is_leading();
      if (now >= publish_at_) publish(now);
    }
  }

  void disk_said(DiskEvent &word, Instant now, ControlOutput &out) {
    if (const auto *done = std::get_if<DiskDone>(&word)) {
      control_->saved(done->ticket, now, out);
    } else if (const auto *refused = std::get_if<DiskRefused>(&word)) {
      log_warning(refused->what);
      control_->disk_failed(now, out);
    } else if (const auto *opened = std::get_if<DiskOpened>(&word)) {
      carry_out(out);
      out = {};
      build(opened->recovered);
      log_line("the disk is open again");
    }
  }

  void carry_out(ControlOutput &out) {
    for (WriteBatch &save : out.batches) disk_->give(std::move(save));
    for (Posted &posted : out.mail) {
      const std::string address =
          posted.to == 0 ? posted.address : control_->membership().address_of(posted.to);
      if (!address.empty()) hawser_.send(address, frame({self_.id, self_.address, std::move(posted.signal)}));
    }
    for (PlatformOrder &order : out.orders) order_ring_.offer(std::move(order));
    for (OperatorSay &say : out.answers) {
      std::lock_guard guard(says_mutex_);
      const auto found = says_.find(say.ticket);
      if (found != says_.end()) found->second->give(std::move(say));
    }
    for (const std::string &line : out.lines) log_line(line);
  }

  void run_lister() {
    Quay quay(options_.platform);
    while (!is_stopping_) {
      if (is_leading_) {
        if (auto snapshot = quay.list())
          ring_.offer(std::move(*snapshot));
        else
          ++platform_away_;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  void run_orderer() {
    Quay quay(options_.platform);
    std::deque<PlatformOrder> orders;
    while (order_ring_.drain(orders, milliseconds(500)))
      for (const PlatformOrder &order : orders) {
        if (is_stopping_) return;
        if (!permit_.allows(order, tide_.now())) {
          ++orders_too_late_;
          continue;
        }
        if (!quay.order(order)) ++orders_refused_;
        ++orders_sent_;
      }
  }

  void publish(Instant now) {
    publish_at_ = now + milliseconds(100);
    nlohmann::json root;
    for (const auto &[name, value] : control_->gauges(now)) root[name] = value;
    root["frames_dropped"] = hawser_.dropped();
    root["ring_full"] = ring_full_.load();
    root["disk_writes"] = disk_->writes();
    root["disk_us"] = disk_->microseconds();
    root["platform_away"] = platform_away_.load();
    root["platform_orders"] = orders_sent_.load();
    root["platform_orders_refused"] = orders_refused_.load();
    root["platform_orders_too_late"] = orders_too_late_.load();
    std::lock_guard guard(published_mutex_);
    published_ = root.dump(2) + "\n";
  }

  ProcessOptions options_;
  SteadyTide tide_;
  Member self_;
  std::unique_ptr<ControlNode> control_;
  Ring<ControlEvent> ring_;
  Ring<PlatformOrder> order_ring_;
  OrderPermit permit_;
  Bridge bridge_;
  /// All that callers make this process hold.
  MemoryAccount memory_;
  Moorings server_;
  std::mutex says_mutex_, published_mutex_;
  std::map<std::uint64_t, std::shared_ptr<SayWaiter>> says_;
  std::uint64_t next_ticket_ = 0;
  std::string published_ = "{}\n";
  Instant publish_at_ = 0;
  bool has_left_ = false;
  std::atomic<bool> is_stopping_{false}, is_leaving_{false}, is_leading_{false};
  std::atomic<std::uint64_t> ring_full_{0}, platform_away_{0}, orders_sent_{0}, orders_refused_{0},
      orders_too_late_{0};
  Hawser hawser_;
  std::unique_ptr<DiskWorker> disk_;
};
} // namespace

namespace {
/// Reads a data folder and says what it holds; changes nothing.
int verify_folder(const std::string &folder) {
  auto verified = DiskStorage::verify(folder);
  if (const auto *error = std::get_if<StorageError>(&verified)) {
    std::cerr << "harbourd: " << error->what << "\n";
    return 1;
  }
  const auto &findings = std::get<DiskStorage::Findings>(verified);
  const Recovered &recovered = findings.recovered;
  Registry registry;
  if (!registry.load(recovered.snapshot.body)) {
    std::cerr << "harbourd: " << folder << ": the snapshot's state cannot be read\n";
    return 1;
  }
  std::size_t commands = 0;
  for (const Entry &entry : recovered.entries) {
    Command command;
    if (entry.kind != static_cast<std::uint8_t>(EntryKind::command)) continue;
    if (!unpack_command(entry.body, command)) {
      std::cerr << "harbourd: " << folder << ": entry " << entry.index << " holds no command\n";
      return 1;
    }
    ++commands;
  }
  std::cout << folder << ": sound\n  identity " << findings.identity << ", group " << recovered.hard.group
            << ", term " << recovered.hard.term << "\n  snapshot at entry " << recovered.snapshot.index
            << " (" << recovered.snapshot.body.size() << " bytes: manifest " << registry.version()
            << ", claims " << registry.claims().size() << ", runners " << registry.runners().size() << ")\n  "
            << recovered.entries.size() << " entries after it, " << commands << " of them commands, in "
            << findings.segments << " segments; " << findings.bytes << " bytes in all\n";
  if (findings.torn_bytes > 0)
    std::cout << "  the last record is torn (" << findings.torn_bytes
              << " bytes); it was never acknowledged and is cut off at the next start\n";
  return 0;
}
} // namespace

int main(int count, char **words) {
  if (count == 3 && std::string_view(words[1]) == "--verify") return verify_folder(words[2]);
  auto read = read_launch(ProgramKind::harbourd, count, words);
  if (const auto *end = std::get_if<EndNow>(&read)) return end->say();
  const ProcessOptions options = std::get<Launch>(read).options;
  start_log("harbourd", options.log_level);
  catch_stops();
  return_freed_memory_at_once();
  auto started = wait_for_storage(options);
  if (const auto *error = std::get_if<StorageError>(&started)) {
    std::cerr << "harbourd: " << error->what << "\n";
    return 1;
  }
  auto &[storage, opened] = std::get<StartedStorage>(started);
  ProcessOptions used = options;
  if (!opened.set_aside_because.empty()) {
    log_warning("the data folder is set aside: " + opened.set_aside_because);
    used.may_found = 0;
  }
  try {
    if (!options.disk_trial.empty())
      storage = std::make_unique<FaultyStorage>(std::move(storage), options.disk_trial);
    ControlDaemon daemon(used, opened.identity, std::move(storage), opened.recovered);
    return daemon.run();
  } catch (const std::exception &error) {
    std::cerr << "harbourd: " << error.what() << "\n";
    return 1;
  }
}
