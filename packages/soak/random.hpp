#pragma once
// The random numbers of a soak: one sequence a seed, the same on every machine.
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

#include "tide/tide.hpp"

namespace wharf::soak {

/// Draws from Boost's Mersenne Twister by Boost's distributions, which unlike those of the standard library
/// are the same everywhere.
class Random {
public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  /// A whole number from `least` to `most`, both included.
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return boost::random::uniform_int_distribution<std::int64_t>(least, most)(engine_);
  }
  /// An index below `count`, which must not be 0.
  std::size_t index(std::size_t count) {
    return static_cast<std::size_t>(between(0, static_cast<std::int64_t>(count) - 1));
  }
  bool percent(int share) { return between(1, 100) <= share; }
  /// A span in whole milliseconds.
  Span span(Span least, Span most) { return milliseconds(between(least / 1'000'000, most / 1'000'000)); }

private:
  boost::random::mt19937_64 engine_;
};

} // namespace wharf::soak
