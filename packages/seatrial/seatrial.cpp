#include "seatrial/seatrial.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace wharf {

namespace {
using Json = nlohmann::json;
/// Runners are kept this full at most, as the schedulers do it.
constexpr double full_share = 0.8;
constexpr double guessed_s = 0.05;

/// The rule that a measured call would take, found by its samples.
const Rule *rule_for(const Charter &charter, const Measure &line, std::size_t which) {
  const std::string &sample = line.samples[which];
  const auto space = sample.find(' ');
  std::vector<std::string> segments;
  if (space == std::string::npos) return nullptr;
  std::string_view target = std::string_view(sample).substr(space + 1);
  const std::string_view host = take_host(target);
  if (!split_path(target, segments)) return nullptr;
  return charter.compass.find(std::string_view(sample).substr(0, space), segments, line.tenant, host);
}

struct Flow {
  std::string tenant, service;
  double per_second = 0, seconds_each = guessed_s;
};

/// Where the measured mix would go; calls without a service have an empty one.
std::vector<Flow> flows_of(const Charter &charter, const Measured &measured) {
  std::vector<Flow> flows;
  for (const Measure &line : measured.lines) {
    const Tenant *tenant = charter.tenant_named(line.tenant);
    if (tenant == nullptr || tenant->keys.empty() || line.samples.empty()) continue;
    const double each = line.seconds_each > 0 ? line.seconds_each : guessed_s;
    const double part = line.per_second / static_cast<double>(line.samples.size());
    for (std::size_t which = 0; which < line.samples.size(); ++which) {
      const Rule *rule = rule_for(charter, line, which);
      if (rule == nullptr || rule->weight_sum == 0) {
        flows.push_back({line.tenant, {}, part, each});
        continue;
      }
      for (const Target &target : rule->targets)
        flows.push_back({line.tenant, target.service,
                         part * target.weight / static_cast<double>(rule->weight_sum), each});
    }
  }
  return flows;
}

double percent_of(double part, double whole) { return whole <= 0 ? 0 : 100.0 * part / whole; }
double rounded(double figure) { return std::round(figure * 10) / 10; }
} // namespace

Forecast forecast(const Charter &charter, const Measured &measured, const Yard &yard) {
  Forecast result;
  std::vector<Flow> flows = flows_of(charter, measured);
  std::map<std::string, double> asked;
  for (const Flow &flow : flows) asked[flow.tenant] += flow.per_second;
  for (const auto &[name, per_second] : asked) {
    const Tenant &declared = *charter.tenant_named(name);
    const double base = declared.unbounded ? per_second : static_cast<double>(declared.base);
    TenantForecast &tenant = result.tenants[name];
    tenant.per_second = per_second;
    tenant.over_quota_percent = percent_of(std::max(0.0, per_second - base), per_second);
  }
  for (Flow &flow : flows) flow.per_second *= 1 - result.tenants[flow.tenant].over_quota_percent / 100;
  for (const Flow &flow : flows) {
    if (flow.service.empty()) continue;
    result.services[flow.service].per_second += flow.per_second;
    result.services[flow.service].busy += flow.per_second * flow.seconds_each;
  }
  for (const Service &service : charter.services) {
    ServiceForecast &one = result.services[service.name];
    const auto slots = static_cast<double>(service.slots), most = static_cast<double>(service.most);
    one.refused_percent = percent_of(std::max(0.0, one.busy - slots * most), one.busy);
    const double wanted = std::ceil(one.busy / (slots * full_share));
    one.runners = static_cast<std::uint32_t>(std::clamp(wanted, static_cast<double>(service.least), most));
    const auto found = yard.runners.find(service.name);
    const std::uint32_t present = found == yard.runners.end() ? 0 : found->second;
    one.started = one.runners - std::min(one.runners, present);
    result.starts += one.started;
    result.memory_mb +=
        static_cast<std::uint64_t>(one.runners) * static_cast<std::uint64_t>(service.memory_mb);
  }
  result.starts_s = yard.pace <= 0 ? 0 : result.starts / yard.pace;
  std::map<std::string, double> refused, unruled;
  for (const Flow &flow : flows)
    if (flow.service.empty())
      unruled[flow.tenant] += flow.per_second;
    else
      refused[flow.tenant] += flow.per_second * result.services[flow.service].refused_percent / 100;
  for (const auto &[name, per_second] : unruled)
    result.tenants[name].unruled_percent = percent_of(per_second, result.tenants[name].per_second);
  for (const auto &[name, per_second] : refused)
    result.tenants[name].refused_percent = percent_of(per_second, result.tenants[name].per_second);
  return result;
}

Trial try_change(const Charter *now, const Charter &next, const Measured &measured, const Yard &yard) {
  Trial trial;
  const TrialBounds &bounds = next.trial;
  trial.errands = measured.errands;
  trial.has_yard = yard.is_known;
  trial.is_measured = measured.errands >= static_cast<std::uint64_t>(bounds.measured_least);
  const Measured mix = trial.is_measured ? measured : Measured{};
  trial.next = forecast(next, mix, yard);
  if (now != nullptr) trial.now = forecast(*now, mix, yard);
  for (const auto &[name, tenant] : trial.next.tenants) {
    const auto found = trial.now.tenants.find(name);
    const TenantForecast before = found == trial.now.tenants.end() ? TenantForecast{} : found->second;
    const auto judge = [&](const char *what, double figure, double already, std::int64_t bound) {
      if (figure > already + static_cast<double>(bound))
        trial.breaches.push_back(
            {"tenants." + name + "." + what, figure, already + static_cast<double>(bound)});
    };
    judge("refused_percent", tenant.refused_percent, before.refused_percent, bounds.refused_most_percent);
    judge("unruled_percent", tenant.unruled_percent, before.unruled_percent, bounds.unruled_most_percent);
  }
  if (!yard.is_known) return trial;
  const double memory_bound =
      static_cast<double>(yard.memory_mb) * static_cast<double>(bounds.memory_most_percent) / 100;
  const bool needs_more = now == nullptr || trial.next.memory_mb > trial.now.memory_mb;
  if (needs_more && static_cast<double>(trial.next.memory_mb) > memory_bound)
    trial.breaches.push_back({"memory_mb", static_cast<double>(trial.next.memory_mb), memory_bound});
  for (const Service &service : next.services) {
    const auto memory = static_cast<std::uint64_t>(service.memory_mb);
    const Service *before = now == nullptr ? nullptr : now->service_named(service.name);
    const bool is_new = before == nullptr || before->memory_mb != service.memory_mb;
    if (is_new && memory > yard.largest_worker_mb)
      trial.breaches.push_back({"services." + service.name + ".memory_mb", static_cast<double>(memory),
                                static_cast<double>(yard.largest_worker_mb)});
  }
  const auto starts_bound = static_cast<double>(bounds.starts_most_s);
  if (trial.next.starts_s > starts_bound && trial.next.starts > trial.now.starts)
    trial.breaches.push_back({"starts_s", trial.next.starts_s, starts_bound});
  return trial;
}

std::string trial_json(const Trial &trial) {
  Json root;
  root["measured_errands"] = trial.errands;
  root["is_measured"] = trial.is_measured;
  if (!trial.is_measured) root["note"] = "too few errands were measured; only the static checks counted";
  if (!trial.has_yard) root["memory_note"] = "no workers are known yet; memory and starts were not judged";
  const auto tell = [](const Forecast &one) {
    Json item{{"memory_mb", one.memory_mb}, {"starts", one.starts}, {"starts_s", rounded(one.starts_s)}};
    std::uint32_t runners = 0;
    for (const auto &[name, service] : one.services) {
      runners += service.runners;
      if (service.per_second <= 0) continue;
      item["services"][name] = {{"per_second", rounded(service.per_second)},
                                {"runners", service.runners},
                                {"refused_percent", rounded(service.refused_percent)}};
    }
    item["runners"] = runners;
    for (const auto &[name, tenant] : one.tenants)
      item["tenants"][name] = {{"per_second", rounded(tenant.per_second)},
                               {"refused_percent", rounded(tenant.refused_percent)},
                               {"unruled_percent", rounded(tenant.unruled_percent)},
                               {"over_quota_percent", rounded(tenant.over_quota_percent)}};
    return item;
  };
  root["foretold"] = tell(trial.next);
  root["now"] = tell(trial.now);
  root["breaches"] = Json::array();
  for (const Breach &breach : trial.breaches)
    root["breaches"].push_back(
        {{"what", breach.what}, {"figure", rounded(breach.figure)}, {"bound", rounded(breach.bound)}});
  return root.dump();
}

} // namespace wharf
