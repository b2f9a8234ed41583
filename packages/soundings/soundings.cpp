#include "soundings/soundings.hpp"

#include <algorithm>

namespace wharf {

namespace {
constexpr std::size_t lines_most = 2048, samples_most = 3, call_most = 200;
constexpr Span hour_span = seconds(5), kept_span = seconds(180), measured_span = seconds(60);

void merge(Sounding &into, const Sounding &from) {
  into.service = from.service.empty() ? into.service : from.service;
  into.arrived += from.arrived;
  into.done += from.done;
  into.refused += from.refused;
  into.over_quota += from.over_quota;
  into.busy_us += from.busy_us;
  for (const std::string &sample : from.samples)
    if (into.samples.size() < samples_most &&
        std::find(into.samples.begin(), into.samples.end(), sample) == into.samples.end())
      into.samples.push_back(sample);
}
} // namespace

Sounding *Soundings::line(const std::string &tenant, const std::string &rule) {
  const auto found = lines_.find({tenant, rule});
  if (found != lines_.end()) return &found->second;
  if (lines_.size() >= lines_most) return nullptr;
  Sounding &made = lines_[{tenant, rule}];
  made.tenant = tenant;
  made.rule = rule;
  return &made;
}

void Soundings::arrived(const std::string &tenant, const std::string &rule, const std::string &service,
                        const std::string &call) {
  Sounding *one = line(tenant, rule);
  if (one == nullptr) return;
  ++one->arrived;
  one->service = service;
  if (one->samples.size() < samples_most && call.size() <= call_most) one->samples.push_back(call);
}

void Soundings::done(const std::string &tenant, const std::string &rule, Span busy) {
  Sounding *one = line(tenant, rule);
  if (one == nullptr) return;
  ++one->done;
  one->busy_us += static_cast<std::uint64_t>(std::max<Span>(0, busy) / 1000);
}

void Soundings::refused(const std::string &tenant, const std::string &rule, bool is_over_quota) {
  Sounding *one = line(tenant, rule);
  if (one == nullptr) return;
  ++(is_over_quota ? one->over_quota : one->refused);
}

std::vector<Sounding> Soundings::take(std::size_t most) {
  std::vector<Sounding> taken;
  for (auto item = lines_.begin(); item != lines_.end() && taken.size() < most; item = lines_.erase(item))
    taken.push_back(std::move(item->second));
  return taken;
}

void Almanac::add(const std::vector<Sounding> &soundings, Instant now) {
  if (soundings.empty()) return;
  if (hours_.empty() || now - hours_.back().from >= hour_span) hours_.push_back({now, {}});
  while (now - hours_.front().from > kept_span) hours_.pop_front();
  auto &lines = hours_.back().lines;
  for (const Sounding &one : soundings) {
    const std::pair<std::string, std::string> key{one.tenant, one.rule};
    const auto found = lines.find(key);
    if (found != lines.end())
      merge(found->second, one);
    else if (lines.size() < lines_most * 4)
      lines.emplace(key, one);
  }
}

std::size_t Almanac::size() const {
  std::size_t count = 0;
  for (const Hour &hour : hours_) count += hour.lines.size();
  return count;
}

Measured Almanac::measured(Instant now, Instant from) const {
  Measured result;
  std::map<std::pair<std::string, std::string>, Sounding> sums;
  Instant first = now;
  for (const Hour &hour : hours_) {
    if (now - hour.from > measured_span || hour.from < from) continue;
    first = std::min(first, hour.from);
    for (const auto &[key, one] : hour.lines) {
      const auto found = sums.find(key);
      if (found == sums.end())
        sums.emplace(key, one);
      else
        merge(found->second, one);
    }
  }
  result.over = std::max(seconds(1), now - first);
  const double span_s = static_cast<double>(result.over) / 1e9;
  for (auto &[key, one] : sums) {
    result.errands += one.arrived;
    Measure line;
    line.tenant = one.tenant;
    line.rule = one.rule;
    line.service = one.service;
    line.per_second = static_cast<double>(one.arrived) / span_s;
    line.refused_per_second = static_cast<double>(one.refused) / span_s;
    line.over_quota_per_second = static_cast<double>(one.over_quota) / span_s;
    if (one.done > 0) line.seconds_each = static_cast<double>(one.busy_us) / 1e6 / one.done;
    line.samples = std::move(one.samples);
    result.lines.push_back(std::move(line));
  }
  return result;
}

} // namespace wharf
