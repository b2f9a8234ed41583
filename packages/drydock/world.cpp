#include "drydock/world.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "seal/seal.hpp"

namespace wharf {

namespace {
constexpr Span control_tick = milliseconds(10);
constexpr Span pilot_tick = milliseconds(5);
using Json = nlohmann::json;
} // namespace

void SimDisk::commit(const WriteBatch &save) {
  if (save.hard) durable.hard = *save.hard;
  if (save.snapshot) {
    durable.snapshot = *save.snapshot;
    durable.entries.clear();
  }
  if (save.cut_from != 0)
    std::erase_if(durable.entries, [&](const Entry &entry) { return entry.index >= save.cut_from; });
  for (const Entry &entry : save.append) {
    std::erase_if(durable.entries, [&](const Entry &older) { return older.index >= entry.index; });
    if (entry.index > durable.snapshot.index) durable.entries.push_back(entry);
  }
}

WorldShape shape_named(const std::string &name) {
  WorldShape shape;
  if (name != "udruga" && name != "masa-verde") return shape;
  shape.controls = name == "udruga" ? 4 : 3;
  shape.pilots = name == "udruga" ? 7 : 9;
  shape.zones = name == "udruga" ? 4 : 3;
  shape.workers = 12;
  shape.worker_memory_mb = name == "udruga" ? 6144 : 8192;
  shape.hot = shape.once = 4;
  shape.rare = 150;
  shape.tenants = 8;
  shape.rate = 300;
  shape.hot_share = 0.7;
  shape.once_share = 0.23;
  return shape;
}

World::World(std::uint64_t seed, WorldShape shape, Defect defect)
    : shape_(shape), dice_(seed), defect_(defect) {
  for (int at = 0; at < shape_.workers; ++at)
    workers_.push_back({"w" + std::to_string(at), std::string(1, static_cast<char>('a' + at % shape_.zones)),
                        shape_.worker_memory_mb, false});
  watched_.resize(static_cast<std::size_t>(shape_.controls));
  controls_.resize(static_cast<std::size_t>(shape_.controls));
  for (int at = 0; at < std::min(3, shape_.controls); ++at) seeds_.push_back(control_name(at));
  pilots_.resize(static_cast<std::size_t>(shape_.pilots));
  platform_tokens_ = shape_.pace;
  for (int at = 0; at < shape_.controls; ++at) start_control(at);
  for (int at = 0; at < shape_.pilots; ++at) start_pilot(at);
  platform_tick();
  watch_led();
}

World::~World() = default;

std::string World::service_name(int kind, int index) const {
  return std::string(kind == 0 ? "hot" : kind == 1 ? "once" : "rare") + std::to_string(index);
}

std::string World::manifest_text(int marker, int key_number) const {
  Json root;
  for (int at = 0; at < shape_.tenants; ++at)
    root["tenants"][tenant_name(at)] = {
        {"keys", {"key-" + tenant_name(at) + "-00000000"}}, {"base", shape_.base}, {"burst", shape_.burst}};
  root["tenants"]["marker"] = {{"base", marker + 1}};
  root["tenants"]["rolling"] = {
      {"keys", {"rolling-key-" + std::to_string(key_number)}}, {"base", 50}, {"burst", 50}};
  const auto service = [&](const std::string &name, int slots, int least, int most, bool is_once, int worth) {
    root["services"][name] = {{"image", "sim"}, {"memory_mb", 128}, {"slots", slots},  {"least", least},
                              {"most", most},   {"idle_s", 5},      {"once", is_once}, {"worth", worth}};
    root["rules"][name] = "* /" + name + "/** to " + name;
  };
  for (int at = 0; at < shape_.hot; ++at) service(service_name(0, at), 4, 1, 6, false, 20);
  for (int at = 0; at < shape_.once; ++at) service(service_name(1, at), 4, 1, 6, true, 100);
  for (int at = 0; at < shape_.rare; ++at) service(service_name(2, at), 2, 0, 2, false, 1);
  if (has_roamer(marker)) service("roam", 4, 1, 2, false, 5);
  root["limits"] = {{"wait_default_ms", 4000}, {"wait_most_ms", 8000}};
  return root.dump(1);
}

void World::at(Instant moment, std::function<void()> deed) {
  queue_.push({std::max(moment, now_), ++order_, std::move(deed)});
}

void World::run_until(Instant moment) {
  while (!queue_.empty() && queue_.top().at <= moment) {
    Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    ++events_;
    event.deed();
  }
  now_ = moment;
}

void World::defer(Process &process, std::function<void()> deed) {
  if (process.is_frozen)
    process.held.push_back(std::move(deed));
  else
    deed();
}

void World::start_control(int which, bool has_lost_disk) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (node.is_up || node.is_retired) return;
  if (has_lost_disk) node.disk = SimDisk{};
  if (node.disk.identity == 0) node.disk.identity = dice_.next() | 1;
  node.is_up = true;
  node.is_frozen = node.is_leaving = false;
  ++node.incarnation;
  node.offset = seconds(1 + static_cast<std::int64_t>(dice_.below(100000)));
  node.rate = 1.0 + (dice_.unit() - 0.5) * 2 * shape_.clock_spread;
  node.batches.clear();
  node.promised.clear();
  node.is_writing = false;
  node.asks.clear();
  node.held.clear();
  Member self;
  self.id = node.disk.identity;
  self.address = control_name(which);
  self.http = control_name(which);
  self.zone = std::string(1, static_cast<char>('a' + which % shape_.zones));
  self.role = static_cast<std::uint8_t>(Role::control);
  self.beat = first_beat_at(static_cast<std::uint64_t>((now_ + wall_offset_) / milliseconds(1)));
  ControlOptions options;
  options.platform_pace = shape_.pace;
  options.membership.told_each = shape_.told_each;
  options.compact_entries = 400;
  if (defect_ == Defect::early_acknowledge) options.fresh = 0;
  options.by_worth = options.must_spread = !shape_.is_plain;
  options.must_try = defect_ != Defect::untried;
  node.core =
      std::make_unique<ControlNode>(self, seeds_, options, dice_.next(), node.disk.durable, local(node));
  watched_[static_cast<std::size_t>(which)] = 0;
  at(now_ + static_cast<Span>(dice_.below(static_cast<std::uint64_t>(control_tick))),
     [this, which, incarnation = node.incarnation] { tick_control(which, incarnation); });
}

void World::start_pilot(int which) {
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  if (node.is_up) return;
  node.is_up = true;
  node.is_frozen = node.is_leaving = false;
  ++node.incarnation;
  node.offset = seconds(1 + static_cast<std::int64_t>(dice_.below(100000)));
  node.rate = 1.0 + (dice_.unit() - 0.5) * 2 * shape_.clock_spread;
  node.held.clear();
  node.self = Member{};
  node.self.id = dice_.next() | 1;
  node.self.address = node.self.http = pilot_name(which);
  node.self.zone = std::string(1, static_cast<char>('a' + which % shape_.zones));
  node.self.role = static_cast<std::uint8_t>(Role::pilot);
  PilotOptions options;
  options.by_worth = !shape_.is_plain;
  options.membership.told_each = shape_.told_each;
  if (defect_ == Defect::stale_permit) options.fresh = seconds(30);
  if (defect_ == Defect::free_seconds) options.scheduler.second_share = options.scheduler.second_most = 1000;
  if (defect_ == Defect::loose_quota) options.purser.slack = 1.5;
  if (defect_ == Defect::stingy_quota) options.purser.slack = 0.2;
  node.core = std::make_unique<Pilot>(node.self, seeds_, options, local(node));
  at(now_ + static_cast<Span>(dice_.below(static_cast<std::uint64_t>(pilot_tick))),
     [this, which, incarnation = node.incarnation] { tick_pilot(which, incarnation); });
}

bool World::is_control_up(int which) const { return controls_[static_cast<std::size_t>(which)].is_up; }
bool World::is_pilot_up(int which) const { return pilots_[static_cast<std::size_t>(which)].is_up; }
const ControlNode *World::control(int which) const {
  return controls_[static_cast<std::size_t>(which)].core.get();
}
const Pilot *World::pilot(int which) const { return pilots_[static_cast<std::size_t>(which)].core.get(); }

int World::leader() const {
  int found = -1;
  std::uint64_t term = 0;
  for (int at = 0; at < control_count(); ++at) {
    const ControlNode *core = control(at);
    if (core == nullptr || !core->is_leading() || core->raft().term() < term) continue;
    term = core->raft().term();
    found = at;
  }
  return found;
}

bool World::could_be_led(int pilot, int leads) const {
  const PilotNode &node = pilots_[static_cast<std::size_t>(pilot)];
  if (!node.is_up || node.is_frozen || node.is_leaving) return false;
  const std::string name = pilot_name(pilot), leader_name = control_name(leads);
  const bool is_calm = weather_.lost == 0 && weather_.doubled == 0;
  return is_calm && !is_cut(name, leader_name) && !is_cut(leader_name, name) &&
         controls_[static_cast<std::size_t>(leads)].disk.mood == DiskMood::well;
}

void World::watch_led() {
  constexpr Span watch_every = milliseconds(250);
  at(now_ + watch_every, [this] { watch_led(); });
  const int leads = leader();
  const bool is_leader_steady = leads >= 0 && leads == watched_leader_;
  watched_leader_ = leads;
  for (int which = 0; which < shape_.pilots; ++which) {
    PilotNode &node = pilots_[static_cast<std::size_t>(which)];
    if (!is_leader_steady || !could_be_led(which, leads) || node.core->is_fresh(local(node)))
      node.unled_since = now_;
    if (now_ - node.unled_since <= longest_unled_) continue;
    longest_unled_ = now_ - node.unled_since;
    longest_unled_node_ = pilot_name(which) + " at " + std::to_string(now_ / milliseconds(1)) + " ms";
  }
}

Instant World::led_since(int which) const {
  const SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  return now_ - (local(node) - node.core->raft().led_since());
}

int World::owner_pilot(const std::string &name, std::uint64_t salt) const {
  const int leads = leader();
  if (leads < 0) return -1;
  const auto ranked = rank_nodes(control(leads)->registry().roster().pilots, name, salt);
  for (int at = 0; at < shape_.pilots; ++at)
    if (!ranked.empty() && is_pilot_up(at) && pilots_[static_cast<std::size_t>(at)].self.id == ranked[0])
      return at;
  return -1;
}

void World::send(const std::string &from, const std::string &to, Envelope envelope) {
  if (to.empty() || is_cut(from, to) || dice_.chance(weather_.lost)) return;
  const int copies = dice_.chance(weather_.doubled) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Span delay =
        weather_.least +
        static_cast<Span>(dice_.below(static_cast<std::uint64_t>(weather_.most - weather_.least + 1)));
    at(now_ + delay, [this, from, to, envelope] {
      if (!is_cut(from, to)) deliver(to, envelope);
    });
  }
}

void World::deliver(const std::string &to, const Envelope &envelope) {
  const auto which = static_cast<std::size_t>(std::stoi(to.substr(1)));
  if (to[0] == 'h') {
    SimulatedControl &node = controls_[which];
    if (!node.is_up) return;
    defer(node, [this, which, envelope, incarnation = node.incarnation] {
      SimulatedControl &target = controls_[which];
      if (target.incarnation != incarnation) return;
      ControlOutput out;
      target.core->receive(envelope, local(target), out);
      flush(static_cast<int>(which), target, out);
    });
    return;
  }
  PilotNode &node = pilots_[which];
  if (!node.is_up) return;
  defer(node, [this, which, envelope, incarnation = node.incarnation] {
    PilotNode &target = pilots_[which];
    if (target.incarnation != incarnation) return;
    PilotOutput out;
    target.core->receive(envelope, local(target), out);
    flush(static_cast<int>(which), target, out);
  });
}

void World::tick_control(int which, std::uint64_t incarnation) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (!node.is_up || node.incarnation != incarnation) return;
  if (!node.is_frozen) {
    ControlOutput out;
    node.core->tick(local(node), out);
    flush(which, node, out);
  }
  at(now_ + control_tick, [this, which, incarnation] { tick_control(which, incarnation); });
}

void World::tick_pilot(int which, std::uint64_t incarnation) {
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  if (!node.is_up || node.incarnation != incarnation) return;
  if (!node.is_frozen) {
    PilotOutput out;
    node.core->tick(local(node), out);
    flush(which, node, out);
    const Span drained_for = node.is_leaving ? now_ - node.leaving_at : 0;
    const bool is_drained = node.is_leaving && node.core->is_quiet(local(node)) && node.waiting.empty();
    const bool is_hasty = defect_ == Defect::hasty_drain && drained_for > milliseconds(10);
    if (is_drained || is_hasty || drained_for > seconds(6)) {
      dropped_in_drain_ += node.waiting.size();
      longest_drain_ = std::max(longest_drain_, drained_for);
      kill_pilot(which);
      return;
    }
  }
  at(now_ + pilot_tick, [this, which, incarnation] { tick_pilot(which, incarnation); });
}

void World::watch_raft(int which) {
  const ControlNode *core = control(which);
  const RaftNode &raft = core->raft();
  if (raft.group() == 0) return;
  if (groups_.insert(raft.group()).second && groups_.size() > 1)
    raft_faults_.push_back("two-groups: " + control_name(which));
  if (raft.is_leader()) {
    const auto [found, is_new] =
        leader_of_term_.emplace(raft.term(), controls_[static_cast<std::size_t>(which)].disk.identity);
    if (!is_new && found->second != controls_[static_cast<std::size_t>(which)].disk.identity)
      raft_faults_.push_back("two-leaders: term " + std::to_string(raft.term()));
  }
  std::uint64_t &watched = watched_[static_cast<std::size_t>(which)];
  watched = std::max(watched, raft.first_index() - 1);
  while (watched < raft.commit()) {
    const Entry &entry = raft.log()[++watched - raft.first_index()];
    const std::string text = std::to_string(entry.term) + "/" + entry.body;
    const auto [found, is_new] = committed_.emplace(entry.index, text);
    if (!is_new && found->second != text)
      raft_faults_.push_back("committed-differs: entry " + std::to_string(entry.index));
  }
}

void World::watch_order(const PlatformOrder &order) {
  if (order.term < highest_order_term_)
    raft_faults_.push_back("ordered-beside: an order of term " + std::to_string(order.term) +
                           " comes after one of term " + std::to_string(highest_order_term_));
  highest_order_term_ = std::max(highest_order_term_, order.term);
}

void World::flush(int which, SimulatedControl &node, ControlOutput &out) {
  watch_raft(which);
  for (Posted &posted : out.mail) {
    const std::string to = posted.to == 0 ? posted.address : node.core->membership().address_of(posted.to);
    send(control_name(which), to, {node.disk.identity, control_name(which), std::move(posted.signal)});
  }
  for (WriteBatch &save : out.batches) node.batches.push_back(std::move(save));
  if (!node.is_writing) write_next(which);
  for (const OperatorSay &say : out.answers) {
    const auto found = node.asks.find(say.ticket);
    if (found == node.asks.end()) continue;
    auto then = std::move(found->second);
    node.asks.erase(found);
    at(now_ + milliseconds(1), [then, say] { then(say); });
  }
  for (const PlatformOrder &order : out.orders) {
    if (platform_mood_ == PlatformMood::away) continue;
    at(now_ + milliseconds(2), [this, order] {
      watch_order(order);
      const double elapsed = static_cast<double>(now_ - platform_token_at_) / 1e9;
      platform_tokens_ = std::min(shape_.pace, platform_tokens_ + elapsed * shape_.pace);
      platform_token_at_ = now_;
      if (platform_tokens_ < 1 || platform_mood_ == PlatformMood::away) return;
      if (platform_mood_ == PlatformMood::refusing && dice_.chance(0.7)) return;
      platform_tokens_ -= 1;
      const auto found = runners_.find(order.runner.id);
      if (!order.is_start) {
        if (found == runners_.end() || found->second.is_stopping) return;
        found->second.is_stopping = true;
        found->second.leaving_at = now_;
        found->second.stop_at = now_ + order.grace;
        return;
      }
      if (found != runners_.end() || dead_workers_.contains(order.runner.worker)) return;
      SimRunner runner;
      runner.record = order.runner;
      runner.serial = next_serial_++;
      runner.address = "r" + std::to_string(runner.serial);
      runner.ready_at = now_ + shape_.boot;
      runners_[order.runner.id] = runner;
    });
  }
}

void World::write_next(int which) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (node.batches.empty() || node.is_writing || !node.is_up) return;
  if (node.disk.mood == DiskMood::stalled) return;
  node.is_writing = true;
  const Span span = node.disk.mood == DiskMood::slow
                        ? milliseconds(60) + static_cast<Span>(dice_.below(milliseconds(240)))
                        : microseconds(300) + static_cast<Span>(dice_.below(milliseconds(3)));
  at(now_ + span, [this, which, incarnation = node.incarnation] {
    SimulatedControl &writer = controls_[static_cast<std::size_t>(which)];
    if (writer.incarnation != incarnation) return;
    defer(writer, [this, which, incarnation] {
      SimulatedControl &target = controls_[static_cast<std::size_t>(which)];
      if (target.incarnation != incarnation) return;
      target.is_writing = false;
      ControlOutput out;
      const bool has_snapshot = std::any_of(target.batches.begin(), target.batches.end(),
                                            [](const WriteBatch &save) { return save.snapshot.has_value(); });
      if (target.disk.mood == DiskMood::full ||
          (target.disk.mood == DiskMood::no_room_for_snapshot && has_snapshot)) {
        target.batches.clear();
        target.core->disk_failed(local(target), out);
        flush(which, target, out);
        at(now_ + seconds(1), [this, which, incarnation] {
          SimulatedControl &again = controls_[static_cast<std::size_t>(which)];
          if (again.incarnation != incarnation) return;
          kill_control(which);
          start_control(which);
        });
        return;
      }
      if (target.batches.empty()) return;
      std::uint64_t ticket = 0;
      while (!target.batches.empty()) {
        if (defect_ == Defect::forgotten_vote && target.batches.front().hard)
          target.batches.front().hard->vote = 0;
        if (defect_ == Defect::lying_disk)
          target.promised.emplace_back(now_, target.batches.front());
        else
          target.disk.commit(target.batches.front());
        while (!target.promised.empty() && target.promised.front().first < now_ - milliseconds(800)) {
          target.disk.commit(target.promised.front().second);
          target.promised.pop_front();
        }
        ticket = target.batches.front().ticket;
        target.batches.pop_front();
      }
      target.core->saved(ticket, local(target), out);
      flush(which, target, out);
      write_next(which);
    });
  });
}

void World::flush(int which, PilotNode &node, PilotOutput &out) {
  for (Posted &posted : out.mail) {
    const std::string to = posted.to == 0 ? posted.address : node.core->membership().address_of(posted.to);
    send(pilot_name(which), to, {node.self.id, pilot_name(which), std::move(posted.signal)});
  }
  for (const Carry &item : out.carries) carry(which, item);
  for (const Reply &reply : out.replies) {
    const auto found = node.waiting.find(reply.errand);
    if (found == node.waiting.end()) continue;
    auto then = std::move(found->second);
    node.waiting.erase(found);
    at(now_ + microseconds(200), [then, reply] { then(&reply); });
  }
}

void World::end_call(int pilot, std::uint64_t incarnation, CallEnd end) {
  PilotNode &node = pilots_[static_cast<std::size_t>(pilot)];
  if (!node.is_up || node.incarnation != incarnation) return;
  defer(node, [this, pilot, incarnation, end] {
    PilotNode &target = pilots_[static_cast<std::size_t>(pilot)];
    if (target.incarnation != incarnation) return;
    PilotOutput out;
    target.core->call_ended(end, local(target), out);
    flush(pilot, target, out);
  });
}

std::string World::describe() const {
  std::string text;
  for (int at = 0; at < control_count(); ++at) {
    const ControlNode *core = control(at);
    text += std::to_string(now_ / 1'000'000) + " " + control_name(at);
    if (core == nullptr) {
      text += " down\n";
      continue;
    }
    const RaftNode &raft = core->raft();
    text += " id " + std::to_string(controls_[static_cast<std::size_t>(at)].disk.identity % 10000) +
            " group " + std::to_string(raft.group() % 10000) + " rank " +
            std::to_string(static_cast<int>(raft.role())) + " term " + std::to_string(raft.term()) +
            " last " + std::to_string(raft.last_index()) + " commit " + std::to_string(raft.commit()) +
            " leader " + std::to_string(raft.leader() % 10000) + " disk " +
            std::to_string(raft.is_disk_well(local(controls_[static_cast<std::size_t>(at)]))) + " replicas";
    for (const Replica &replica : raft.replicas())
      text += " " + std::to_string(replica.id % 10000) + (replica.is_voter ? "v" : "l");
    text += "\n";
  }
  return text;
}

std::string World::fingerprint() const {
  std::string text;
  for (const CallRecord &call : calls_)
    text += call.errand + call.verdict + call.reason + std::to_string(call.answered_ns) + ";";
  for (const VisitRecord &visit : visits_)
    text += visit.errand + visit.runner + std::to_string(visit.begun_ns) + ";";
  text += std::to_string(events_);
  return digest_hex(text);
}

} // namespace wharf
