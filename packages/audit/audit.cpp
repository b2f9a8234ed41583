#include "audit/audit.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace wharf {

namespace {
using Json = nlohmann::json;
constexpr std::int64_t second_ns = 1'000'000'000;

template <typename Take> void each_line(const std::string &lines, Take take) {
  std::istringstream stream(lines);
  std::string line;
  while (std::getline(stream, line)) {
    const Json item = Json::parse(line, nullptr, false);
    if (item.is_object()) take(item);
  }
}

/// The most of `moments` (sorted) that fall in any window of `width`.
std::size_t most_in_window(const std::vector<std::int64_t> &moments, std::int64_t width) {
  std::size_t most = 0, from = 0;
  for (std::size_t at = 0; at < moments.size(); ++at) {
    while (moments[at] - moments[from] >= width) ++from;
    most = std::max(most, at - from + 1);
  }
  return most;
}

struct Found {
  Audit &audit;
  std::map<std::string, int> listed;
  void operator()(const std::string &kind, const std::string &what) {
    ++audit.counts["fault_" + kind];
    if (++listed[kind] <= 10) audit.faults.push_back(kind + ": " + what);
  }
};

void check_quota(const Charter &charter, const std::vector<CallRecord> &calls,
                 const std::vector<VisitRecord> &visits, Found &found) {
  std::map<std::string, std::int64_t> sent_at;
  for (const CallRecord &call : calls) sent_at.emplace(call.errand, call.sent_ns);
  std::map<std::string, std::vector<std::int64_t>> admitted, visited;
  std::set<std::string> counted;
  for (const VisitRecord &visit : visits) {
    if (!counted.insert(visit.errand).second) continue;
    visited[visit.tenant].push_back(visit.begun_ns);
    const auto sent = sent_at.find(visit.errand);
    admitted[visit.tenant].push_back(sent == sent_at.end() ? visit.begun_ns : sent->second);
  }
  for (auto &[tenant, moments] : admitted) {
    std::sort(moments.begin(), moments.end());
    std::sort(visited[tenant].begin(), visited[tenant].end());
    const Tenant *declared = charter.tenant_named(tenant);
    if (declared == nullptr) {
      found("unknown-tenant", tenant);
      continue;
    }
    const std::size_t most = most_in_window(moments, 5 * second_ns);
    const double allowed = static_cast<double>(5 * declared->base + declared->burst);
    const auto share = [allowed](std::size_t number) {
      return static_cast<std::uint64_t>(100.0 * static_cast<double>(number) / allowed);
    };
    auto &worst = found.audit.counts["worst_5s_admitted_percent"];
    worst = std::max(worst, share(most));
    auto &worst_run = found.audit.counts["worst_5s_run_percent"];
    const std::size_t most_run = most_in_window(visited[tenant], 5 * second_ns);
    worst_run = std::max(worst_run, share(most_run));
    if (static_cast<double>(std::max(most, most_run)) > allowed * 1.1 + 5)
      found("over-allowance", tenant + " sent " + std::to_string(most) + ", ran " + std::to_string(most_run) +
                                  " in 5 s, allowed " + std::to_string(allowed));
  }
  std::map<std::string, std::vector<const CallRecord *>> by_tenant;
  for (const CallRecord &call : calls)
    if (!call.tenant.empty()) by_tenant[call.tenant].push_back(&call);
  for (auto &[tenant, list] : by_tenant) {
    const Tenant *declared = charter.tenant_named(tenant);
    if (declared == nullptr) continue;
    std::sort(list.begin(), list.end(),
              [](const auto *left, const auto *right) { return left->sent_ns < right->sent_ns; });
    double tokens = static_cast<double>(declared->base + declared->burst);
    const double capacity = tokens;
    std::int64_t last = list.empty() ? 0 : list.front()->sent_ns;
    std::int64_t proper = 0, passed = 0, proper_refused = 0;
    for (const CallRecord *call : list) {
      tokens = std::min(capacity, tokens + static_cast<double>(call->sent_ns - last) / 1e9 *
                                               static_cast<double>(declared->base));
      last = call->sent_ns;
      const bool is_proper = tokens >= 1.0;
      if (is_proper) tokens -= 1.0;
      const bool is_refused = call->status == 429 || call->reason == "no-permit";
      proper += is_proper ? 1 : 0;
      passed += is_refused ? 0 : 1;
      proper_refused += is_proper && is_refused ? 1 : 0;
      ++found.audit.counts[is_proper ? "proper_calls" : "excess_calls"];
      if (call->status == 429) ++found.audit.counts[is_proper ? "proper_429" : "excess_429"];
    }
    const std::int64_t short_of = std::max<std::int64_t>(0, std::min(proper_refused, proper - passed));
    found.audit.counts["wrongly_refused"] += static_cast<std::uint64_t>(short_of);
  }
}

void check_second_tries(const std::vector<TryRecord> &tries, Found &found) {
  std::map<std::string, std::vector<const TryRecord *>> by_service;
  for (const TryRecord &one : tries) by_service[one.service].push_back(&one);
  for (auto &[service, list] : by_service) {
    std::stable_sort(list.begin(), list.end(),
                     [](const auto *left, const auto *right) { return left->sent_ns < right->sent_ns; });
    std::set<std::string> seen;
    std::vector<std::pair<std::int64_t, bool>> events;
    for (const TryRecord *one : list) events.emplace_back(one->sent_ns, !seen.insert(one->errand).second);
    std::size_t from = 0, firsts = 0, seconds_count = 0;
    for (const auto &[moment, is_second] : events) {
      (is_second ? seconds_count : firsts) += 1;
      found.audit.counts["second_tries"] += is_second ? 1 : 0;
      while (moment - events[from].first >= 10 * second_ns) {
        (events[from].second ? seconds_count : firsts) -= 1;
        ++from;
      }
      if (static_cast<double>(seconds_count) > 0.2 * static_cast<double>(firsts) + 4) {
        found("second-tries",
              service + " " + std::to_string(seconds_count) + " of " + std::to_string(firsts) + " in 10 s");
        break;
      }
    }
  }
}
} // namespace

std::vector<CallRecord> read_calls(const std::string &lines) {
  std::vector<CallRecord> calls;
  each_line(lines, [&](const Json &item) {
    CallRecord call;
    call.errand = item.value("errand", "");
    call.tenant = item.value("tenant", "");
    call.method = item.value("method", "");
    call.target = item.value("target", "");
    call.body_digest = item.value("body_digest", "");
    call.verdict = item.value("verdict", "");
    call.reason = item.value("reason", "");
    call.answer_errand = item.value("answer_errand", "");
    call.once_key = item.value("once_key", "");
    call.status = item.value("status", 0);
    call.sent_ns = item.value("sent_ns", std::int64_t{0});
    call.answered_ns = item.value("answered_ns", std::int64_t{0});
    calls.push_back(std::move(call));
  });
  return calls;
}

std::vector<VisitRecord> read_visits(const std::string &lines) {
  std::vector<VisitRecord> visits;
  each_line(lines, [&](const Json &item) {
    VisitRecord visit;
    visit.errand = item.value("errand", "");
    visit.tenant = item.value("tenant", "");
    visit.service = item.value("service", "");
    visit.runner = item.value("runner", "");
    visit.method = item.value("method", "");
    visit.target = item.value("target", "");
    visit.body_digest = item.value("body_digest", "");
    visit.begun_ns = item.value("begun_ns", std::int64_t{0});
    visit.ended_ns = item.value("ended_ns", std::int64_t{0});
    visit.running = item.value("running", 0);
    visit.slots = item.value("slots", 1);
    visit.leaving_ms = item.value("leaving_ms", std::int64_t{0});
    visit.has_run = item.value("has_run", false);
    visit.has_key = item.value("has_key", false);
    visits.push_back(std::move(visit));
  });
  return visits;
}

Audit audit(const Charter &charter, const std::vector<CallRecord> &calls,
            const std::vector<VisitRecord> &visits, const std::vector<TryRecord> &tries) {
  Audit result;
  Found found{result, {}};
  std::map<std::string, const CallRecord *> call_of;
  std::map<std::string, std::vector<const VisitRecord *>> visits_of;
  std::map<std::string, std::set<std::string>> runs_of_key;
  for (const CallRecord &call : calls) {
    ++result.counts["calls"];
    ++result.counts["status_" + std::to_string(call.status)];
    ++result.counts["verdict_" + (call.verdict.empty() ? "none" : call.verdict)];
    if (!call.errand.empty()) call_of[call.errand] = &call;
  }
  for (const VisitRecord &visit : visits) {
    ++result.counts["visits"];
    if (visit.has_run) ++result.counts["runs"];
    visits_of[visit.errand].push_back(&visit);
    if (visit.running > visit.slots)
      found("slots",
            visit.runner + " ran " + std::to_string(visit.running) + " of " + std::to_string(visit.slots));
    if (visit.leaving_ms > 3500)
      found("leaving-got-work", visit.runner + " after " + std::to_string(visit.leaving_ms) + " ms");
    auto &leaving = result.counts["worst_leaving_ms"];
    leaving = std::max(leaving, static_cast<std::uint64_t>(visit.leaving_ms));
    if (visit.has_key) found("key-leaked", visit.runner + " saw a key");
    if (charter.service_named(visit.service) == nullptr) found("unknown-service", visit.service);
    const auto call = call_of.find(visit.errand);
    if (call == call_of.end()) continue;
    const CallRecord &sent = *call->second;
    if (sent.tenant != visit.tenant) found("wrong-tenant", visit.errand);
    if (sent.method != visit.method || sent.target != visit.target || sent.body_digest != visit.body_digest)
      found("changed", visit.errand);
  }
  std::set<std::string> known_targets;
  for (const CallRecord &call : calls)
    known_targets.insert(call.method + " " + call.target + " " + call.body_digest);
  for (const auto &[errand, list] : visits_of) {
    const auto ran =
        std::count_if(list.begin(), list.end(), [](const VisitRecord *visit) { return visit->has_run; });
    if (ran > 1) found("ran-twice", errand);
    const auto call = call_of.find(errand);
    if (call == call_of.end()) {
      const VisitRecord &visit = *list.front();
      if (!known_targets.contains(visit.method + " " + visit.target + " " + visit.body_digest))
        found("nobody-sent", errand);
      ++result.counts["visits_without_answer"];
      continue;
    }
    if (ran > 0 && call->second->verdict == "not-run") found("not-run-but-ran", errand);
    if (ran > 0 && !call->second->once_key.empty())
      runs_of_key[call->second->tenant + "/" + call->second->once_key].insert(errand);
  }
  for (const auto &[key, errands] : runs_of_key)
    if (errands.size() > 1) found("once-ran-twice", key);
  for (const CallRecord &call : calls) {
    const bool is_success = call.status >= 200 && call.status < 300 && call.verdict == "run";
    if (!is_success) continue;
    const auto visited = visits_of.find(call.errand);
    const bool has_run =
        visited != visits_of.end() && std::any_of(visited->second.begin(), visited->second.end(),
                                                  [](const VisitRecord *visit) { return visit->has_run; });
    if (!has_run) found("success-without-run", call.errand);
    if (!call.answer_errand.empty() && call.answer_errand != call.errand)
      found("foreign-answer", call.errand);
  }
  check_quota(charter, calls, visits, found);
  if (!tries.empty()) {
    check_second_tries(tries, found);
    return result;
  }
  std::vector<TryRecord> arrived;
  for (const VisitRecord &visit : visits) arrived.push_back({visit.errand, visit.service, visit.begun_ns});
  check_second_tries(arrived, found);
  return result;
}

} // namespace wharf
