#include <algorithm>

#include "drydock/world.hpp"

namespace wharf {

void World::carry(int pilot, const Carry &carry) {
  PilotNode &node = pilots_[static_cast<std::size_t>(pilot)];
  const std::uint64_t incarnation = node.incarnation;
  const Instant deadline = now_ + (carry.deadline - local(node));
  const int visits = defect_ == Defect::repeat_dispatch && dice_.chance(0.05) ? 2 : 1;
  for (int visit_number = 0; visit_number < visits; ++visit_number) {
    at(now_ + microseconds(300) + visit_number * milliseconds(5), [this, pilot, incarnation, carry,
                                                                   deadline] {
      CallEnd end;
      end.errand = carry.errand;
      const auto found = runners_.find(carry.runner);
      tries_.push_back({carry.errand, carry.service, now_});
      if (found == runners_.end() || found->second.is_gone || found->second.address != carry.address ||
          !found->second.is_ready || is_cut(pilot_name(pilot), found->second.record.worker)) {
        end.kind = CallKind::unreached;
        at(now_ + microseconds(300), [this, pilot, incarnation, end] { end_call(pilot, incarnation, end); });
        return;
      }
      SimRunner &runner = found->second;
      const RunnerMood mood = moods_[runner.record.service];
      const auto call = calls_open_.find(carry.errand);
      VisitRecord visit;
      visit.errand = carry.errand;
      visit.tenant = carry.tenant;
      visit.service = runner.record.service;
      visit.runner = carry.runner;
      if (call != calls_open_.end()) {
        visit.method = call->second.record.method;
        visit.target = call->second.record.target;
        visit.body_digest = call->second.record.body_digest;
      }
      if (defect_ == Defect::changed_errand && dice_.chance(0.02)) visit.target += "/x";
      if (defect_ == Defect::other_tenant && dice_.chance(0.02)) visit.tenant = "t1";
      if (defect_ == Defect::key_passed && dice_.chance(0.02)) visit.has_key = true;
      if (defect_ == Defect::invented_errand && dice_.chance(0.02)) {
        VisitRecord ghost = visit;
        ghost.errand += "-ghost";
        ghost.target += "/ghost";
        visits_.push_back(ghost);
      }
      visit.begun_ns = now_;
      visit.slots = static_cast<int>(runner.record.slots);
      if (runner.is_stopping) visit.leaving_ms = (now_ - runner.leaving_at) / 1'000'000;
      visit.running = ++runner.running;
      visit.has_run = true;
      double roll = dice_.unit();
      const auto falls = [&roll](double share) {
        const bool is_hit = roll >= 0 && roll < share;
        roll -= share;
        return is_hit;
      };
      end.kind = CallKind::answered;
      end.status = 200;
      end.body = "answer to " + carry.errand;
      Span serve = milliseconds(5) + static_cast<Span>(dice_.below(milliseconds(25))) + mood.slow;
      bool has_crashed = false;
      if (falls(mood.refuse)) {
        end.kind = CallKind::refused;
        visit.has_run = false;
        serve = milliseconds(1);
      } else if (falls(mood.lose)) {
        end.kind = CallKind::lost;
      } else if (falls(mood.garbage)) {
        end.kind = defect_ == Defect::trusting_seal ? CallKind::answered : CallKind::bad_seal;
        visit.has_run = dice_.chance(0.5);
      } else if (falls(mood.large)) {
        end.body += std::string(70'000, ' ');
      } else if (falls(mood.hang)) {
        serve = seconds(12);
      } else if (falls(mood.crash)) {
        end.kind = CallKind::lost;
        has_crashed = true;
      }
      visits_.push_back(visit);
      const Instant ends = now_ + serve;
      const std::uint64_t serial = runner.serial;
      at(ends, [this, id = carry.runner, serial, has_crashed] {
        const auto running = runners_.find(id);
        if (running == runners_.end() || running->second.serial != serial) return;
        --running->second.running;
        if (has_crashed) running->second.is_gone = true;
      });
      if (ends > deadline) {
        if (defect_ == Defect::ignore_slots) {
          CallEnd freed = end;
          freed.kind = CallKind::answered;
          at(now_ + milliseconds(5),
             [this, pilot, incarnation, freed] { end_call(pilot, incarnation, freed); });
          return;
        }
        CallEnd late;
        late.errand = carry.errand;
        late.kind = CallKind::timed_out;
        at(deadline, [this, pilot, incarnation, late] { end_call(pilot, incarnation, late); });
        return;
      }
      at(ends + microseconds(300), [this, pilot, incarnation, end, id = carry.runner, serial] {
        const auto running = runners_.find(id);
        CallEnd told = end;
        if (running == runners_.end() || running->second.serial != serial || running->second.is_gone)
          told.kind = CallKind::lost;
        end_call(pilot, incarnation, told);
      });
    });
  }
}

void World::platform_tick() {
  if (platform_mood_ == PlatformMood::listing_stopped && dice_.chance(0.05) && !runners_.empty()) {
    auto stopped = std::next(runners_.begin(), static_cast<std::ptrdiff_t>(dice_.below(runners_.size())));
    if (stopped->second.is_ready) stopped->second.is_dead_listed = true;
  }
  for (auto item = runners_.begin(); item != runners_.end();) {
    SimRunner &runner = item->second;
    if ((runner.is_gone && !(runner.is_dead_listed && platform_mood_ == PlatformMood::listing_stopped)) ||
        (runner.is_stopping && now_ >= runner.stop_at)) {
      item = runners_.erase(item);
      continue;
    }
    if (now_ >= runner.ready_at) runner.is_ready = true;
    if (runner.is_dead_listed) runner.is_gone = true;
    ++item;
  }
  PlatformView snapshot;
  for (const WorkerSeen &worker : workers_)
    if (!dead_workers_.contains(worker.id)) {
      snapshot.workers.push_back(worker);
      if (defect_ == Defect::leaving_unseen) snapshot.workers.back().is_draining = false;
    }
  for (const auto &[id, runner] : runners_) {
    if (platform_mood_ == PlatformMood::forgetting && stable_hash(id.data(), id.size()) % 5 == 0) continue;
    const RunnerPhase phase = runner.is_stopping && defect_ != Defect::leaving_unseen ? RunnerPhase::stopping
                              : runner.is_ready                                       ? RunnerPhase::ready
                                                                                      : RunnerPhase::booting;
    snapshot.runners.push_back({id, runner.record.service, runner.record.worker,
                                runner.is_ready ? runner.address : std::string(), phase});
  }
  if (now_ > seconds(12) && now_ % seconds(2) == 0)
    for (int zone = 0; zone < shape_.zones; ++zone) {
      ++zones_looked_at_;
      left_bare_ += static_cast<std::uint64_t>(left_bare(zone));
    }
  listings_.emplace_back(now_, std::move(snapshot));
  const Span late = platform_mood_ == PlatformMood::late ? seconds(3) : shape_.list_late;
  while (listings_.size() > 1 && listings_[1].first <= now_ - late) listings_.pop_front();
  list_platform();
  at(now_ + milliseconds(50), [this] { platform_tick(); });
}

void World::list_platform() {
  if (platform_mood_ == PlatformMood::away) return;
  for (std::size_t which = 0; which < controls_.size(); ++which) {
    SimulatedControl &node = controls_[which];
    if (!node.is_up || node.is_frozen || !node.core->is_leading() || now_ % milliseconds(200) != 0) continue;
    ControlOutput out;
    node.core->platform_seen(listings_.front().second, local(node), out);
    flush(static_cast<int>(which), node, out);
  }
}

} // namespace wharf
