// What an owner learns from calls that a runner turned away though it counted a slot for them.
#include <algorithm>
#include <sstream>

#include "scheduler/scheduler.hpp"

namespace wharf {

namespace {
/// Refusals of one runner this close to each other count as repeated; a call takes some ten times less.
constexpr Span refused_again_within = milliseconds(200);
/// How long an owner counts as new.
constexpr Span new_owner_for = seconds(1);
/// Refusals noted between two times that the notes are taken.
constexpr std::size_t refusal_notes_most = 50;
} // namespace

void Scheduler::count_refusal(const OwnedService &owned, const RunnerState &runner_state, Instant now) {
  ++counters_.refused_by_runner;
  if (runner_state.refused_at != 0 && now - runner_state.refused_at < refused_again_within)
    ++counters_.refused_again;
  if (owned.learned_at != 0 && now - owned.learned_at < new_owner_for) ++counters_.refused_after_takeover;
}

void Scheduler::note_refusal(NodeId node, const SlotFree &free, const OwnedService &owned,
                             const RunnerState &runner_state, Instant now) {
  if (refusal_notes_.size() >= refusal_notes_most) return;
  Instant oldest = now;
  std::size_t doubtful = 0;
  for (const auto &[errand, slot] : runner_state.taken) {
    oldest = std::min(oldest, slot.since);
    doubtful += slot.is_doubtful ? 1 : 0;
  }
  std::ostringstream line;
  line << "refused by runner " << free.runner << " request " << free.errand << " service " << free.service
       << " node " << node << " epoch " << roster_.epoch << " owner_since " << owned.since << " taken "
       << runner_state.taken.size() << " oldest_ms " << (now - oldest) / milliseconds(1) << " doubtful "
       << doubtful << " unseen " << runner_state.unseen << " reserved " << runner_state.reserved
       << " cut_off_owners " << owned.cut_off_owners.size() << " leaving " << runner_state.is_leaving
       << " isolated " << (isolated_since_ != 0);
  refusal_notes_.push_back(line.str());
}

void Scheduler::learn_from_refusal(OwnedService &owned, RunnerState &runner_state, const ServicePlan &plan,
                                   Instant now) {
  const auto known =
      static_cast<std::uint32_t>(runner_state.taken.size() + runner_state.unknown) + runner_state.reserved;
  const std::uint32_t others = known < plan.slots ? plan.slots - known : 1;
  runner_state.unseen = std::max(runner_state.unseen, others);
  runner_state.refused_at = now;
  owned.refusals.refused(now);
}

void Scheduler::probe_unseen(OwnedService &owned, Instant now) {
  for (auto &[id, runner_state] : owned.runner_states) {
    // A call that was under way when the runner refused another one takes that long on average.
    if (runner_state.unseen == 0 || now - runner_state.refused_at < owned.serve_guess) continue;
    if (!owned.refusals.may_probe(now)) return;
    --runner_state.unseen;
  }
}

} // namespace wharf
