#include "purse/purse.hpp"

#include <algorithm>
#include <mutex>

namespace wharf {

Purse::Purse(double capacity) : state_(State{}), capacity_(capacity) {}

std::uint64_t Purse::pay(Instant now) {
  asked_.fetch_add(1, std::memory_order_relaxed);
  last_used_.store(now, std::memory_order_relaxed);
  State seen = state_.load();
  while (true) {
    const Plan &plan = plans_[seen.generation];
    const std::uint32_t total = plan.tokens.load();
    const Span feed = plan.feed.load(), life = plan.life.load();
    const Span age = now - plan.start.load();
    if (total == 0 || age >= life || age < 0 || seen.spent >= total) {
      const State again = state_.load();
      if (again.generation == seen.generation && again.spent == seen.spent) return 0;
      seen = again;
      continue;
    }
    const Span last = static_cast<Span>(seen.last_us) * 1000;
    const Span fed = std::max<Span>(0, std::min(age, feed) - last);
    const double rate = static_cast<double>(total) / static_cast<double>(feed);
    const double refilled =
        std::min(capacity_.load(std::memory_order_relaxed), seen.tokens + static_cast<double>(fed) * rate);
    State next = seen;
    next.tokens = refilled;
    next.last_us = std::max(seen.last_us, static_cast<std::uint32_t>(std::min(age, feed) / 1000));
    if (next.last_us == seen.last_us) next.tokens = seen.tokens;
    const bool is_paid = next.tokens >= 1.0;
    if (is_paid) {
      next.tokens -= 1.0;
      next.spent = seen.spent + 1;
    }
    const std::uint64_t permit = plan.permit.load();
    if (state_.compare_exchange_weak(seen, next)) return is_paid ? permit : 0;
  }
}

Spent Purse::install(const Grant &grant, Instant) {
  State seen = state_.load();
  const std::uint32_t generation = (seen.generation + 1u) & 0xffu;
  Plan &plan = plans_[generation];
  plan.permit = grant.permit;
  plan.tokens = grant.tokens;
  plan.start = grant.start;
  plan.feed = std::max<Span>(grant.feed, 1);
  plan.life = grant.life;
  State fresh;
  fresh.tokens = grant.tokens > 0 ? 1.0 : 0.0;
  fresh.generation = generation;
  while (!state_.compare_exchange_weak(seen, fresh)) {
  }
  const Plan &old = plans_[seen.generation];
  return {old.permit.load(), seen.spent, old.tokens.load()};
}

Spent Purse::glance() const {
  const State seen = state_.load();
  const Plan &plan = plans_[seen.generation];
  return {plan.permit.load(), seen.spent, plan.tokens.load()};
}

std::uint32_t Purse::left(Instant now) const {
  const State seen = state_.load();
  const Plan &plan = plans_[seen.generation];
  const std::uint32_t total = plan.tokens.load();
  if (now - plan.start.load() >= plan.life.load() || seen.spent >= total) return 0;
  return total - seen.spent;
}

Instant Purse::dies_at() const {
  const Plan &plan = plans_[state_.load().generation];
  return plan.start.load() + plan.life.load();
}

std::shared_ptr<Purse> PurseRack::find(std::uint32_t tenant) const {
  std::shared_lock guard(mutex_);
  const auto found = purses_.find(tenant);
  return found == purses_.end() ? nullptr : found->second;
}

std::shared_ptr<Purse> PurseRack::obtain(std::uint32_t tenant, double capacity) {
  if (auto purse = find(tenant)) return purse;
  std::unique_lock guard(mutex_);
  auto &purse = purses_[tenant];
  if (!purse) purse = std::make_shared<Purse>(capacity);
  return purse;
}

void PurseRack::evict(std::uint32_t tenant) {
  std::unique_lock guard(mutex_);
  purses_.erase(tenant);
}

std::size_t PurseRack::size() const {
  std::shared_lock guard(mutex_);
  return purses_.size();
}

} // namespace wharf
