// Which runners start, stop and move, and where; derived from wants, worth and what the platform lists.
#include "control/control_node.hpp"

#include <algorithm>

#include "seal/seal.hpp"
#include "trace/trace.hpp"

namespace wharf {

namespace {
/// How long a start may be without a worker and a listing before it is given up.
constexpr Span worker_missing_most = seconds(10);
/// How long a runner of a service that no configuration or node knows any more may take to become idle.
constexpr Span unknown_service_leave_most = seconds(6);
/// Runners planned in one entry of the log at most.
constexpr std::size_t runners_added_most = 64;
} // namespace

std::string ControlNode::seal_key_of(const std::string &runner) const {
  return hmac_hex(registry_.secret(), "runner/" + runner);
}

std::optional<std::string> ControlNode::elect_worker(const std::string &service, std::uint32_t memory_mb,
                                                     const std::vector<RunnerRecord> &planned) const {
  std::map<std::string, std::uint64_t> used;
  std::map<std::string, int> mine, zone_mine;
  std::map<std::string, std::string> zone_of;
  for (const WorkerSeen &worker : platform_.workers) zone_of[worker.id] = worker.zone;
  const auto note = [&](const RunnerRecord &record) {
    used[record.worker] += record.memory_mb;
    if (record.service != service || record.is_leaving) return;
    ++mine[record.worker];
    ++zone_mine[zone_of[record.worker]];
  };
  for (const auto &[id, record] : registry_.runners()) note(record);
  for (const RunnerRecord &record : planned) note(record);
  const WorkerSeen *best = nullptr;
  const auto rank = [&](const WorkerSeen &worker) {
    return std::make_tuple(zone_mine[worker.zone], mine[worker.id],
                           used[worker.id] * 1000 / std::max(1u, worker.memory_mb), worker.id);
  };
  for (const WorkerSeen &worker : platform_.workers) {
    const auto rest = worker_rests_.find(worker.id);
    const bool is_resting = rest != worker_rests_.end() && platform_at_ < rest->second;
    if (worker.is_draining || is_resting || used[worker.id] + memory_mb > worker.memory_mb) continue;
    if (!options_.must_spread) return worker.id;
    if (best == nullptr || rank(worker) < rank(*best)) best = &worker;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

std::string ControlNode::zone_of_worker(const std::string &id) const {
  for (const WorkerSeen &worker : platform_.workers)
    if (worker.id == id) return worker.zone;
  return {};
}

bool ControlNode::is_lopsided(const Service &service, const std::vector<const RunnerRecord *> &list) const {
  if (list.size() < 2 || !options_.must_spread) return false;
  const std::string zone = zone_of_worker(list.front()->worker);
  for (const RunnerRecord *record : list)
    if (zone_of_worker(record->worker) != zone) return false;
  const auto worker = elect_worker(service.name, static_cast<std::uint32_t>(service.memory_mb), {});
  return worker && zone_of_worker(*worker) != zone;
}

std::vector<std::string> ControlNode::elect_leaving(std::vector<const RunnerRecord *> list,
                                                    std::size_t target) const {
  std::vector<std::string> leaving;
  while (list.size() > target) {
    std::map<std::string, int> in_zone, on_worker;
    for (const RunnerRecord *record : list) {
      ++in_zone[zone_of_worker(record->worker)];
      ++on_worker[record->worker];
    }
    const auto rank = [&](const RunnerRecord *record) {
      return std::make_tuple(in_zone[zone_of_worker(record->worker)], on_worker[record->worker], record->id);
    };
    const auto most =
        std::max_element(list.begin(), list.end(), [&](const RunnerRecord *left, const RunnerRecord *right) {
          return rank(left) < rank(right);
        });
    leaving.push_back((*most)->id);
    list.erase(most);
  }
  return leaving;
}

std::vector<std::string>
ControlNode::make_memory(const Service &service,
                         std::map<std::string, std::vector<const RunnerRecord *>> &active) const {
  const Service *least_worth = nullptr;
  for (const Service &other : charter_->services) {
    const auto found = active.find(other.name);
    const auto kept = static_cast<std::size_t>(std::max<std::int64_t>(1, other.least));
    if (other.worth >= service.worth || found == active.end() || found->second.size() <= kept) continue;
    if (least_worth == nullptr || other.worth < least_worth->worth) least_worth = &other;
  }
  if (least_worth == nullptr) return {};
  auto &list = active[least_worth->name];
  auto leaving = elect_leaving(list, list.size() - 1);
  std::erase_if(list, [&](const RunnerRecord *record) { return record->id == leaving.front(); });
  return leaving;
}

void ControlNode::order_starts(std::vector<const RunnerRecord *> waiting, Instant now, ControlOutput &out) {
  const auto worth_of = [this](const RunnerRecord *record) {
    const Service *service = charter_->service_named(record->service);
    return service == nullptr ? 0 : service->worth;
  };
  std::vector<const RunnerRecord *> by_worth = waiting;
  if (options_.by_worth)
    std::stable_sort(by_worth.begin(), by_worth.end(),
                     [&](const auto *left, const auto *right) { return worth_of(left) > worth_of(right); });
  std::set<std::string> ordered;
  std::size_t at = 0, oldest = 0;
  while (pace_ >= 1 && ordered.size() < waiting.size()) {
    const bool is_oldest_turn = starts_ordered_ % 5 == 4;
    const RunnerRecord *record = is_oldest_turn ? waiting[oldest++] : by_worth[at++];
    if (!ordered.insert(record->id).second) continue;
    ++starts_ordered_;
    notes_[record->id].started_at = now;
    trace_runner(RunnerChange::started, *record, out);
    order({true, *record, seal_key_of(record->id)}, out);
  }
}

void ControlNode::order(PlatformOrder order, ControlOutput &out) {
  pace_ -= 1;
  order.term = raft_.term();
  out.orders.push_back(std::move(order));
}

bool ControlNode::may_order(Instant now, ControlOutput &out) {
  if (!raft_.may_act(now)) {
    ++order_rounds_held_back_;
    if (now < raft_.acts_from()) settle_at_ = std::min(settle_at_, raft_.acts_from());
    return false;
  }
  if (orders_since_ == 0) {
    orders_since_ = now;
    out.lines.push_back("orders starts and stops " +
                        std::to_string((now - raft_.led_since()) / milliseconds(1)) +
                        " ms after it came to lead");
  }
  return true;
}

bool ControlNode::may_send(const PlatformOrder &order, Instant now) const {
  return raft_.may_act(now) && order.term == raft_.term();
}

void ControlNode::trace_runner(RunnerChange change, const RunnerRecord &record, ControlOutput &out) const {
  if (!options_.must_trace_runners) return;
  out.lines.push_back(
      trace_line(RunnerTrace{change, record.id, record.service, record.memory_mb, record.slots}));
}

void ControlNode::platform_seen(PlatformView snapshot, Instant now, ControlOutput &out) {
  platform_ = std::move(snapshot);
  platform_at_ = now;
  listed_.clear();
  for (const RunnerSeen &runner : platform_.runners) listed_[runner.id] = &runner;
  workers_.clear();
  for (const WorkerSeen &worker : platform_.workers) workers_[worker.id] = &worker;
  if (!is_leading()) return;
  const std::uint64_t stamp = views_.stamp();
  refresh_views(now);
  push_views_since(stamp, now, out);
  maintain_runners(now, out);
}

std::string ControlNode::handle_of(const RunnerRecord &record) const {
  if (!record.handle.empty()) return record.handle;
  const auto note = notes_.find(record.id);
  return note == notes_.end() ? std::string() : note->second.handle;
}

void ControlNode::platform_said(const PlatformSay &say, Instant now, ControlOutput &out) {
  const auto found = registry_.runners().find(say.runner);
  if (!is_leading() || found == registry_.runners().end()) return;
  RunnerNote &note = notes_[say.runner];
  const Span again = say.end == OrderEnd::busy ? options_.busy_again : options_.unknown_again;
  note.retry_at = now + again;
  settle_at_ = std::min(settle_at_, note.retry_at);
  if (!say.is_start) {
    note.is_stopped = say.end == OrderEnd::done || say.end == OrderEnd::refused;
    return;
  }
  if (say.end == OrderEnd::refused) {
    worker_rests_[say.worker] = now + options_.worker_rest;
    propose(PutRunners{{}, {}, {say.runner}, {}}, now, out);
    settle_at_ = now;
    return;
  }
  if (say.end != OrderEnd::done || say.handle.empty() || !handle_of(found->second).empty()) return;
  note.handle = say.handle;
  note.address = say.address;
  named_.push_back({say.runner, say.handle, say.address});
  const std::uint64_t stamp = views_.stamp();
  views_.update(say.runner, view_of(found->second, now));
  push_views_since(stamp, now, out);
}

void ControlNode::maintain_runners(Instant now, ControlOutput &out) {
  if (platform_at_ == 0 || registry_.secret().empty() || !charter_) return;
  pace_ = std::min(options_.platform_pace / 4,
                   pace_ + options_.platform_pace * static_cast<double>(now - pace_at_) / 1e9);
  pace_at_ = now;
  PlacementRound round;
  round.has_lease = may_order(now, out);
  gather_wants(round, now);
  round.put.named = std::move(named_);
  named_.clear();
  for (const auto &[id, record] : registry_.runners()) review_runner(record, round, now, out);
  if (round.has_lease) order_starts(std::move(round.unstarted), now, out);
  stop_strays(round, now, out);
  plan_services(round, now);
  std::erase_if(notes_, [&](const auto &item) {
    return !registry_.runners().contains(item.first) && !listed_.contains(item.first);
  });
  propose_runners(std::move(round.put), now, out);
}

void ControlNode::gather_wants(PlacementRound &round, Instant now) {
  for (const auto &[pilot, session] : sessions_) {
    if (now - session.last_pulse > options_.pilot_silence) continue;
    for (const auto &[service, want] : session.wants) {
      if (owner_of_service(service) != pilot) continue;
      round.wants[service] = &want;
      round.idle.insert(want.idle.begin(), want.idle.end());
      round.retire.insert(want.retire.begin(), want.retire.end());
    }
  }
}

bool ControlNode::is_gone(const RunnerRecord &record, const RunnerNote &note, bool is_listed,
                          Instant now) const {
  const std::string handle = handle_of(record);
  if (!workers_.contains(record.worker) && !note.was_listed && note.started_at != 0 &&
      now - note.started_at > worker_missing_most)
    return true;
  if (is_listed) return false;
  const bool is_lost = note.was_listed && note.started_at < platform_at_;
  const bool is_unlisted = !note.was_listed && !handle.empty() &&
                           now - std::max(note.known_since, note.started_at) > options_.unlisted_most;
  const bool was_never_started = record.is_leaving && !note.was_listed && handle.empty();
  return is_lost || is_unlisted || was_never_started || note.is_stopped;
}

void ControlNode::review_runner(const RunnerRecord &record, PlacementRound &round, Instant now,
                                ControlOutput &out) {
  RunnerNote &note = notes_[record.id];
  if (note.known_since == 0) note.known_since = now;
  const std::string handle = handle_of(record);
  const std::string name = handle.empty() ? record.id : handle;
  round.listed_as.insert(name);
  const auto found = listed_.find(name);
  const bool is_listed = found != listed_.end();
  if (is_listed) {
    note.was_listed = true;
    note.absent = 0;
  }
  if (is_gone(record, note, is_listed, now)) {
    round.put.gone.push_back(record.id);
    trace_runner(RunnerChange::gone, record, out);
    return;
  }
  if (record.is_leaving) {
    stop_when_idle(record, note, round, now, out);
    return;
  }
  const auto worker = workers_.find(record.worker);
  const bool must_leave = round.retire.contains(record.id) ||
                          (worker != workers_.end() && worker->second->is_draining) ||
                          (is_listed && found->second->phase == RunnerPhase::stopping) ||
                          charter_->service_named(record.service) == nullptr;
  if (must_leave) {
    round.put.leaving.push_back(record.id);
    return;
  }
  round.active[record.service].push_back(&record);
  if (!is_listed && handle.empty() && is_due(note.started_at, note.retry_at, now))
    round.unstarted.push_back(&record);
}

bool ControlNode::is_due(Instant ordered_at, Instant retry_at, Instant now) const {
  return ordered_at == 0 || now - ordered_at > options_.start_again ||
         (retry_at > ordered_at && now >= retry_at);
}

void ControlNode::stop_when_idle(const RunnerRecord &record, RunnerNote &note, const PlacementRound &round,
                                 Instant now, ControlOutput &out) {
  if (note.leaving_since == 0) note.leaving_since = now;
  const Span leaving_for = now - note.leaving_since;
  const bool is_wanted_service = round.wants.contains(record.service);
  const bool is_left_behind = charter_->service_named(record.service) == nullptr && !is_wanted_service &&
                              leaving_for > unknown_service_leave_most;
  const bool may_stop = round.idle.contains(record.id) || is_left_behind || leaving_for > options_.leave_most;
  if (!may_stop || !round.has_lease || pace_ < 1 || note.is_stopped) return;
  if (!is_due(note.stopped_at, note.retry_at, now)) return;
  note.stopped_at = now;
  trace_runner(RunnerChange::stopped, record, out);
  RunnerRecord named = record;
  named.handle = handle_of(record);
  order({false, std::move(named), {}, options_.stop_grace}, out);
}

void ControlNode::stop_strays(const PlacementRound &round, Instant now, ControlOutput &out) {
  for (const RunnerSeen &runner : platform_.runners) {
    if (round.listed_as.contains(runner.id) || runner.phase == RunnerPhase::stopping) continue;
    RunnerNote &note = notes_[runner.id];
    if (note.known_since == 0) note.known_since = now;
    if (now - note.known_since < options_.stray_most || !round.has_lease || pace_ < 1 ||
        now - note.stopped_at < options_.start_again || now < floor_)
      continue;
    note.stopped_at = now;
    RunnerRecord record;
    record.id = record.handle = runner.id;
    order({false, std::move(record), {}, options_.stop_grace}, out);
  }
}

void ControlNode::plan_services(PlacementRound &round, Instant now) {
  std::vector<const Service *> services;
  for (const Service &service : charter_->services) services.push_back(&service);
  if (options_.by_worth)
    std::stable_sort(services.begin(), services.end(),
                     [](const Service *left, const Service *right) { return left->worth > right->worth; });
  std::uint64_t next = registry_.next_runner();
  for (const Service *service : services) {
    const std::size_t target = target_of(*service, round, now);
    add_runners(*service, target, next, round);
  }
}

std::size_t ControlNode::target_of(const Service &service, PlacementRound &round, Instant now) {
  const auto &list = round.active[service.name];
  const auto least = static_cast<std::size_t>(service.least), most = static_cast<std::size_t>(service.most);
  std::size_t target = std::max(least, std::min(list.size(), most));
  if (const auto want = round.wants.find(service.name); want != round.wants.end())
    target = std::clamp<std::size_t>(want->second->runners, least, most);
  const bool is_booting = std::any_of(
      list.begin(), list.end(), [this](const RunnerRecord *record) { return !views_.contains(record->id); });
  if (list.size() > target && !(list.size() == target + 1 && is_booting && target > 0)) {
    const auto leaving = elect_leaving(list, target);
    round.put.leaving.insert(round.put.leaving.end(), leaving.begin(), leaving.end());
  }
  if (list.size() == target && !is_booting && now - moved_at_ > options_.move_every &&
      is_lopsided(service, list)) {
    moved_at_ = now;
    ++target;
  }
  return target;
}

void ControlNode::add_runners(const Service &service, std::size_t target, std::uint64_t &next,
                              PlacementRound &round) {
  const auto memory_mb = static_cast<std::uint32_t>(service.memory_mb);
  for (std::size_t count = round.active[service.name].size();
       count < target && round.put.add.size() < runners_added_most; ++count) {
    const auto worker = elect_worker(service.name, memory_mb, round.put.add);
    if (!worker) {
      if (!options_.by_worth) return;
      const auto leaving = make_memory(service, round.active);
      round.put.leaving.insert(round.put.leaving.end(), leaving.begin(), leaving.end());
      return;
    }
    RunnerRecord record;
    record.id = "r" + std::to_string(raft_.term()) + "-" + std::to_string(next++);
    record.service = service.name;
    record.worker = *worker;
    record.image = service.image;
    record.memory_mb = memory_mb;
    record.slots = static_cast<std::uint32_t>(service.slots);
    round.put.add.push_back(std::move(record));
  }
}

void ControlNode::propose_runners(PutRunners put, Instant now, ControlOutput &out) {
  if (is_runners_proposed_ ||
      (put.add.empty() && put.leaving.empty() && put.gone.empty() && put.named.empty())) {
    named_ = std::move(put.named);
    return;
  }
  is_runners_proposed_ = true;
  runners_index_ = raft_.last_index() + 1;
  if (!propose(put, now, out)) is_runners_proposed_ = false;
  refresh_views(now);
}

std::string ControlNode::why_unsettled(const Service &service, std::size_t ready, std::size_t wanted,
                                       Instant now) const {
  if (ready >= wanted) return {};
  if (platform_at_ == 0 || now - platform_at_ > seconds(3)) return "the platform is away";
  std::size_t planned = 0, unordered = 0;
  for (const auto &[id, record] : registry_.runners()) {
    if (record.service != service.name || record.is_leaving) continue;
    ++planned;
    const auto note = notes_.find(id);
    unordered += note == notes_.end() || note->second.started_at == 0 ? 1 : 0;
  }
  if (planned < wanted && !elect_worker(service.name, static_cast<std::uint32_t>(service.memory_mb), {}))
    return "no worker has " + std::to_string(service.memory_mb) + " MB left";
  if (!is_leading()) return "this replica does not lead";
  if (unordered > 0 && !raft_.may_act(now)) return "starts wait until no other leader can be ordering";
  if (unordered > 0) return std::to_string(unordered) + " starts wait for the platform's pace";
  return "runners are booting";
}

} // namespace wharf
