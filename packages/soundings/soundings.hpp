#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "signals/signals.hpp"

namespace wharf {

/// What one pilot measured since it last told; bounded by rule and tenant.
class Soundings {
public:
  void arrived(const std::string &tenant, const std::string &rule, const std::string &service,
               const std::string &call);
  void done(const std::string &tenant, const std::string &rule, Span busy);
  void refused(const std::string &tenant, const std::string &rule, bool is_over_quota);
  /// At most `most` summaries; what is left over is told later.
  std::vector<Sounding> take(std::size_t most);
  std::size_t size() const { return lines_.size(); }

private:
  using Key = std::pair<std::string, std::string>;
  Sounding *line(const std::string &tenant, const std::string &rule);
  std::map<Key, Sounding> lines_;
};

/// Behaviour by rule and tenant over the last minute, as rates.
struct Measure {
  std::string tenant, rule, service;
  double per_second = 0, seconds_each = 0, refused_per_second = 0, over_quota_per_second = 0;
  std::vector<std::string> samples;
};
struct Measured {
  std::uint64_t errands = 0;
  Span over = 0;
  std::vector<Measure> lines;
};

/// The last minutes of what all pilots measured, kept by the leader of the control group.
class Almanac {
public:
  void add(const std::vector<Sounding> &soundings, Instant now);
  /// Rates over the time since `from`, at most the last minute.
  Measured measured(Instant now, Instant from = 0) const;
  void clear() { hours_.clear(); }
  std::size_t size() const;

private:
  struct Hour {
    Instant from = 0;
    std::map<std::pair<std::string, std::string>, Sounding> lines;
  };
  std::deque<Hour> hours_;
};

} // namespace wharf
