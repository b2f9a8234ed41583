#pragma once
#include <chrono>
#include <cstdint>

namespace wharf {

/// Nanoseconds on a monotonic clock; never a wall-clock time.
using Instant = std::int64_t;
/// A length of time in nanoseconds.
using Span = std::int64_t;

constexpr Span microseconds(std::int64_t count) { return count * 1'000; }
constexpr Span milliseconds(std::int64_t count) { return count * 1'000'000; }
constexpr Span seconds(std::int64_t count) { return count * 1'000'000'000; }

/// The seam through which every duty learns the time.
class Tide {
public:
  virtual ~Tide() = default;
  virtual Instant now() const = 0;
};

/// The machine's own monotonic clock.
class SteadyTide final : public Tide {
public:
  Instant now() const override {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
};

/// A seeded 64-bit generator, the same on every machine.
class Dice {
public:
  explicit Dice(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    state_ += 0x9E3779B97F4A7C15ull;
    std::uint64_t word = state_;
    word = (word ^ (word >> 30)) * 0xBF58476D1CE4E5B9ull;
    word = (word ^ (word >> 27)) * 0x94D049BB133111EBull;
    return word ^ (word >> 31);
  }
  std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : next() % limit; }
  double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }
  bool chance(double share) { return unit() < share; }

private:
  std::uint64_t state_;
};

/// A stable hash of bytes, equal on every machine and build.
inline std::uint64_t stable_hash(const char *bytes, std::size_t size, std::uint64_t salt = 0) {
  std::uint64_t word = 0xcbf29ce484222325ull ^ (salt * 0x9E3779B97F4A7C15ull);
  for (std::size_t at = 0; at < size; ++at) {
    word ^= static_cast<unsigned char>(bytes[at]);
    word *= 0x100000001b3ull;
  }
  return Dice(word).next();
}

} // namespace wharf
