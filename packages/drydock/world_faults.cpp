// What happens to the machines of a simulated deployment: kills, freezes, cuts, lost disks, workers that go.
#include "drydock/world.hpp"

#include <algorithm>

namespace wharf {

bool World::may_lose_disk() const {
  const int leads = leader();
  if (leads < 0) return false;
  for (int at = 0; at < control_count(); ++at)
    if (controls_[static_cast<std::size_t>(at)].is_retired)
      continue;
    else if (!is_control_up(at) || controls_[static_cast<std::size_t>(at)].disk.mood != DiskMood::well)
      return false;
  const RaftNode &raft = control(leads)->raft();
  for (const Replica &replica : raft.replicas())
    if (replica.is_voter && raft.match_of(replica.id) + 50 < raft.last_index()) return false;
  return true;
}

void World::kill_control(int which) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (!node.is_up) return;
  node.is_up = false;
  ++node.incarnation;
  const auto asks = std::move(node.asks);
  node.asks.clear();
  node.core.reset();
  for (const auto &[ticket, then] : asks) then({ticket, 0, 0, {}, {}});
}

int World::add_control() {
  controls_.emplace_back();
  watched_.push_back(0);
  start_control(control_count() - 1);
  return control_count() - 1;
}

void World::retire_control(int which) {
  kill_control(which);
  controls_[static_cast<std::size_t>(which)].is_retired = true;
}

void World::leave_control(int which) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (!node.is_up || node.is_leaving || node.is_frozen) return;
  node.is_leaving = true;
  ControlOutput out;
  node.core->set_leaving(local(node), out);
  flush(which, node, out);
  at(now_ + milliseconds(600), [this, which, incarnation = node.incarnation] {
    if (controls_[static_cast<std::size_t>(which)].incarnation == incarnation) kill_control(which);
  });
}

void World::set_zone_cut(int zone, bool is_cut) {
  std::vector<std::pair<std::string, bool>> machines;
  for (int at = 0; at < control_count(); ++at)
    machines.emplace_back(control_name(at), at % shape_.zones == zone);
  for (int at = 0; at < shape_.pilots; ++at) machines.emplace_back(pilot_name(at), at % shape_.zones == zone);
  for (int at = 0; at < shape_.workers; ++at)
    machines.emplace_back("w" + std::to_string(at), at % shape_.zones == zone);
  for (const auto &[left, is_left_in] : machines)
    for (const auto &[right, is_right_in] : machines)
      if (is_left_in && !is_right_in) set_cut(left, right, is_cut);
}

void World::kill_zone(int zone) {
  for (int at = 0; at < control_count(); ++at)
    if (at % shape_.zones == zone) kill_control(at);
  for (int at = 0; at < shape_.pilots; ++at)
    if (at % shape_.zones == zone) kill_pilot(at);
  for (int at = 0; at < shape_.workers; ++at)
    if (at % shape_.zones == zone) crash_worker(at);
}

void World::kill_pilot(int which) {
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  if (!node.is_up) return;
  node.is_up = false;
  ++node.incarnation;
  const auto waiting = std::move(node.waiting);
  node.waiting.clear();
  node.core.reset();
  for (const auto &[id, then] : waiting) then(nullptr);
}

void World::leave_pilot(int which) {
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  if (!node.is_up || node.is_leaving) return;
  node.is_leaving = true;
  node.leaving_at = now_;
  node.core->set_leaving();
}

void World::freeze(bool is_control_node, int which, Span span) {
  Process &process = is_control_node ? static_cast<Process &>(controls_[static_cast<std::size_t>(which)])
                                     : pilots_[static_cast<std::size_t>(which)];
  if (!process.is_up || process.is_frozen) return;
  process.is_frozen = true;
  at(now_ + span, [this, is_control_node, which, incarnation = process.incarnation] {
    Process &thawed = is_control_node ? static_cast<Process &>(controls_[static_cast<std::size_t>(which)])
                                      : pilots_[static_cast<std::size_t>(which)];
    if (thawed.incarnation != incarnation) return;
    thawed.is_frozen = false;
    auto held = std::move(thawed.held);
    thawed.held.clear();
    for (auto &deed : held) deed();
  });
}

void World::set_cut(const std::string &left, const std::string &right, bool is_cut, bool both_ways) {
  const auto set = [&](const std::string &from, const std::string &to) {
    if (is_cut)
      cuts_.insert({from, to});
    else
      cuts_.erase({from, to});
  };
  set(left, right);
  if (both_ways) set(right, left);
}

void World::cut_off(const std::string &machine, bool is_cut) {
  for (int at = 0; at < control_count(); ++at)
    if (control_name(at) != machine) set_cut(machine, control_name(at), is_cut);
  for (int at = 0; at < shape_.pilots; ++at)
    if (pilot_name(at) != machine) set_cut(machine, pilot_name(at), is_cut);
}

void World::heal() {
  cuts_.clear();
  weather_ = Weather{};
  moods_.clear();
  platform_mood_ = PlatformMood::well;
  restore_workers();
  for (int at = 0; at < control_count(); ++at) {
    set_disk(at, DiskMood::well);
    start_control(at);
  }
  for (int at = 0; at < shape_.pilots; ++at) start_pilot(at);
}

void World::set_disk(int control, DiskMood mood) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(control)];
  node.disk.mood = mood;
  if (mood != DiskMood::stalled && node.is_up && !node.is_writing) write_next(control);
}

void World::drain_worker(int which, bool is_draining) {
  WorkerSeen &worker = workers_[static_cast<std::size_t>(which)];
  worker.is_draining = is_draining;
  if (!is_draining) return;
  for (auto &[id, runner] : runners_) {
    if (runner.record.worker != worker.id || runner.is_stopping) continue;
    runner.is_stopping = true;
    runner.leaving_at = now_;
    runner.stop_at = now_ + seconds(6);
  }
}

void World::crash_worker(int which) {
  dead_workers_.insert(workers_[static_cast<std::size_t>(which)].id);
  for (auto &[id, runner] : runners_)
    if (runner.record.worker == workers_[static_cast<std::size_t>(which)].id) runner.is_gone = true;
}

void World::restore_workers() {
  dead_workers_.clear();
  for (WorkerSeen &worker : workers_) worker.is_draining = false;
}

} // namespace wharf
