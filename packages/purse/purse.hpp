#pragma once
#include <array>
#include <atomic>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>

#include "tide/tide.hpp"

namespace wharf {

/// A permit as a node may spend it: `tokens`, fed evenly over `feed`, dead after `life`.
struct Grant {
  std::uint64_t permit = 0;
  std::uint32_t tokens = 0;
  Instant start = 0;
  Span feed = 0, life = 0;
};

/// What became of a permit that is no longer in the purse.
struct Spent {
  std::uint64_t permit = 0;
  std::uint32_t spent = 0, tokens = 0;
};

/// One tenant's bucket on one node: an immutable (tokens, last refill) pair swapped by compare-and-set.
/// It starts empty, is fed only by permits, and what a permit left unspent dies with its window.
class Purse {
public:
  explicit Purse(double capacity);
  /// Spends one token if there is one at `now`; the permit it came from, or 0.
  std::uint64_t pay(Instant now);
  bool spend(Instant now) { return pay(now) != 0; }
  /// Puts a new permit in place of the old; what the old one came to.
  Spent install(const Grant &grant, Instant now);
  /// What the permit in force has come to so far.
  Spent glance() const;
  /// Tokens the permit in force can still give before its life ends.
  std::uint32_t left(Instant now) const;
  /// When the permit in force dies.
  Instant dies_at() const;
  /// Notes that the owner had nothing left; for a second after that tokens go by worth.
  void set_short(Instant until) { short_until_.store(until, std::memory_order_relaxed); }
  bool is_short(Instant now) const { return now < short_until_.load(std::memory_order_relaxed); }
  void set_capacity(double capacity) { capacity_.store(capacity, std::memory_order_relaxed); }
  Instant last_used() const { return last_used_.load(std::memory_order_relaxed); }
  /// Errands that asked since the last call.
  std::uint32_t take_asked() { return asked_.exchange(0, std::memory_order_relaxed); }

private:
  struct State {
    double tokens = 0;
    std::uint32_t last_us = 0;
    std::uint32_t generation : 8 = 0;
    std::uint32_t spent : 24 = 0;
  };
  static_assert(sizeof(State) == 16);
  struct Plan {
    std::atomic<std::uint64_t> permit{0};
    std::atomic<std::uint32_t> tokens{0};
    std::atomic<Instant> start{0};
    std::atomic<Span> feed{0}, life{0};
  };

  std::atomic<State> state_;
  std::array<Plan, 256> plans_;
  std::atomic<double> capacity_;
  std::atomic<Instant> last_used_{0}, short_until_{0};
  std::atomic<std::uint32_t> asked_{0};
};

/// All purses of a node, by dense tenant index.
class PurseRack {
public:
  /// The tenant's purse, or null when it has none now.
  std::shared_ptr<Purse> find(std::uint32_t tenant) const;
  std::shared_ptr<Purse> obtain(std::uint32_t tenant, double capacity);
  void evict(std::uint32_t tenant);
  std::size_t size() const;

private:
  mutable std::shared_mutex mutex_;
  std::unordered_map<std::uint32_t, std::shared_ptr<Purse>> purses_;
};

} // namespace wharf
