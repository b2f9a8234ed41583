#include "soak/checks.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace wharf::soak {

namespace {
using RunsById = std::map<std::string, std::vector<const RunRecord *>>;

/// Calls that ran, by the request they came from.
RunsById runs_by_id(const Records &records) {
  RunsById found;
  for (const RunRecord &run : records.runs)
    if (!run.is_refused) found[run.id].push_back(&run);
  return found;
}

bool is_success(const RequestRecord &request) {
  return request.end == RequestEnd::answered && request.status / 100 == 2;
}

bool touches(const TroubleRecord &trouble, const std::string &process) {
  return process.empty() ||
         std::find(trouble.processes.begin(), trouble.processes.end(), process) != trouble.processes.end();
}

/// The newest version acknowledged before a moment.
std::int64_t acknowledged_before(const Records &records, Instant moment) {
  std::int64_t newest = 0;
  for (const ChangeRecord &change : records.changes)
    if (change.acknowledged != 0 && change.acknowledged < moment) newest = std::max(newest, change.version);
  return newest;
}

void append(std::vector<Finding> &all, std::vector<Finding> more) {
  all.insert(all.end(), more.begin(), more.end());
}
} // namespace

bool is_calm(const Records &records, const std::string &process, Instant from, Instant until,
             const Bounds &bounds) {
  return std::none_of(records.troubles.begin(), records.troubles.end(), [&](const TroubleRecord &trouble) {
    if (trouble.is_planned || !touches(trouble, process)) return false;
    const Instant over = trouble.ended == 0 ? until : trouble.ended + bounds.in_touch;
    return trouble.began <= until && over >= from;
  });
}

std::vector<Finding> check_runs_once(const Records &records) {
  std::vector<Finding> findings;
  const RunsById runs = runs_by_id(records);
  for (const RequestRecord &request : records.requests) {
    const auto found = runs.find(request.id);
    if (request.is_repeatable || found == runs.end() || found->second.size() <= 1) continue;
    findings.push_back({"once", "ran " + std::to_string(found->second.size()) + " times", request.id});
  }
  return findings;
}

std::vector<Finding> check_answers_belong(const Records &records) {
  std::vector<Finding> findings;
  for (const RequestRecord &request : records.requests) {
    if (!is_success(request)) continue;
    if (!request.is_sealed)
      findings.push_back({"answers", "a success that no runner gave", request.id});
    else if (request.answered_for != request.id)
      findings.push_back({"answers", "got the answer of " + request.answered_for, request.id});
  }
  return findings;
}

std::vector<Finding> check_promises(const Records &records) {
  std::vector<Finding> findings;
  const RunsById runs = runs_by_id(records);
  for (const RequestRecord &request : records.requests) {
    const bool is_promise = request.status == 429 || request.status == 503;
    if (request.is_repeatable || request.end != RequestEnd::answered || !is_promise) continue;
    if (runs.contains(request.id))
      findings.push_back({"promises", "got " + std::to_string(request.status) + " but ran", request.id});
  }
  return findings;
}

std::vector<Finding> check_nothing_lost(const Records &records, const Bounds &bounds) {
  std::vector<Finding> findings;
  const RunsById runs = runs_by_id(records);
  for (const RequestRecord &request : records.requests) {
    if (request.end != RequestEnd::closed || request.sent_whole == 0) continue;
    if (!is_calm(records, {}, request.sent_whole, request.ended, bounds)) continue;
    const bool has_run = runs.contains(request.id);
    const bool is_late = request.is_first_in_line && request.ended - request.sent_whole > bounds.loss_slack;
    if (!has_run && !is_late) continue;
    findings.push_back({"lost",
                        std::string("closed without an answer by ") + request.process +
                            (has_run ? " after it ran" : " late, without having run"),
                        request.id});
  }
  return findings;
}

std::vector<Finding> check_final_answers(const Records &records, const Bounds &bounds) {
  std::vector<Finding> findings;
  for (const RequestRecord &request : records.requests)
    if (request.end == RequestEnd::overdue && request.is_first_in_line &&
        is_calm(records, {}, request.sent_whole, request.ended, bounds))
      findings.push_back(
          {"final answers", request.process + " gave none until past its deadline", request.id});
  return findings;
}

std::vector<Finding> check_work_ends_with_client(const Records &records, const Bounds &bounds) {
  std::map<std::string, const RequestRecord *> left;
  for (const RequestRecord &request : records.requests)
    if (request.end == RequestEnd::given_up && request.is_repeatable) left[request.id] = &request;
  std::size_t would_last = 0, still_works = 0, comes_late = 0;
  std::string example;
  for (const RunRecord &run : records.runs) {
    const auto found = left.find(run.id);
    if (found == left.end()) continue;
    const Instant gone = found->second->ended;
    if (!is_calm(records, {}, gone, gone + bounds.gone_within, bounds)) continue;
    comes_late += run.began > gone + bounds.gone_within ? 1 : 0;
    if (run.is_refused || run.began > gone || run.would_end <= gone + bounds.gone_within) continue;
    ++would_last;
    if (run.ended <= gone + bounds.gone_within) continue;
    ++still_works;
    example = run.id;
  }
  std::vector<Finding> findings;
  if (comes_late > 3)
    findings.push_back({"gone", std::to_string(comes_late) + " calls came after their client had left", {}});
  if (still_works > 3 && still_works * 4 > would_last)
    findings.push_back({"gone",
                        std::to_string(still_works) + " of " + std::to_string(would_last) +
                            " runs went on after their client had left",
                        example});
  return findings;
}

namespace {
/// True where calls of a process at a moment count towards the bound of refusals: nothing unplanned within
/// `in_touch` before, but for cuts of other processes that have lasted longer than that.
bool counts_for_limit(const Records &records, const std::string &process, Instant moment,
                      const Bounds &bounds) {
  return std::none_of(records.troubles.begin(), records.troubles.end(), [&](const TroubleRecord &trouble) {
    if (trouble.is_planned || trouble.began > moment) return false;
    const bool is_over = trouble.ended != 0 && trouble.ended + bounds.in_touch < moment;
    const bool has_ended = trouble.ended != 0 && trouble.ended <= moment;
    const bool is_settled = trouble.is_cut && !has_ended && moment - trouble.began > bounds.in_touch;
    return !is_over && !(is_settled && !touches(trouble, process));
  });
}
} // namespace

std::vector<Finding> check_runner_limit(const Records &records, const Bounds &bounds) {
  std::map<std::string, const RequestRecord *> requests;
  for (const RequestRecord &request : records.requests) requests[request.id] = &request;
  std::map<std::string, std::vector<Instant>> refused;
  for (const RunRecord &run : records.runs) {
    if (!run.is_refused) continue;
    const auto request = requests.find(run.id);
    const std::string process = request == requests.end() ? std::string() : request->second->process;
    if (counts_for_limit(records, process, run.began, bounds)) refused[run.service].push_back(run.began);
  }
  std::vector<Finding> findings;
  for (auto &[service, times] : refused) {
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= bounds.refused_over) ++first;
      most = std::max(most, last - first + 1);
    }
    if (most > bounds.refused_most)
      findings.push_back({"limit", std::to_string(most) + " calls turned away within five seconds", service});
  }
  return findings;
}

namespace {
/// The routes of each version that was sent, as its operator meant them.
std::map<std::int64_t, std::set<std::string>> routes_by_version(const Records &records) {
  std::vector<const ChangeRecord *> changes;
  for (const ChangeRecord &change : records.changes)
    if (!change.is_invalid) changes.push_back(&change);
  std::sort(changes.begin(), changes.end(),
            [](const ChangeRecord *one, const ChangeRecord *other) { return one->version < other->version; });
  std::map<std::int64_t, std::set<std::string>> routes;
  for (const ChangeRecord *change : changes) {
    std::set<std::string> held = change->is_named ? routes[change->base] : std::set<std::string>();
    for (const std::string &name : change->removed) held.erase(name);
    held.insert(change->routes.begin(), change->routes.end());
    routes[change->version] = std::move(held);
  }
  return routes;
}
} // namespace

std::vector<Finding> check_content(const Records &records) {
  std::vector<Finding> findings;
  const auto sent = routes_by_version(records);
  for (const ReadRecord &read : records.reads) {
    const auto found = sent.find(read.version);
    if (read.status != 200 || found == sent.end()) continue;
    const std::set<std::string> held(read.routes.begin(), read.routes.end());
    if (held == found->second) continue;
    std::string told;
    for (const std::string &name : found->second)
      if (!held.contains(name)) told += " without " + name;
    for (const std::string &name : held)
      if (!found->second.contains(name)) told += " with " + name;
    findings.push_back({"configuration", "version " + std::to_string(read.version) + " was read" + told,
                        std::to_string(read.version)});
  }
  return findings;
}

std::vector<Finding> check_configuration(const Records &records, const Bounds &) {
  std::vector<Finding> findings;
  std::map<int, int> taken_by_race;
  for (const ChangeRecord &change : records.changes) {
    if (change.is_invalid && change.acknowledged != 0)
      findings.push_back({"configuration", "an invalid one was taken", std::to_string(change.version)});
    if (change.race > 0 && change.acknowledged != 0 && ++taken_by_race[change.race] > 1)
      findings.push_back(
          {"configuration", "two on top of one version were taken", std::to_string(change.version)});
  }
  for (const ReadRecord &read : records.reads) {
    const std::int64_t newest = acknowledged_before(records, read.asked);
    if (read.status == 200 && read.version < newest)
      findings.push_back(
          {"configuration",
           "read " + std::to_string(read.version) + " after " + std::to_string(newest) + " was acknowledged",
           std::to_string(newest)});
  }
  const std::int64_t newest = acknowledged_before(records, records.ended);
  if (records.final_version < newest)
    findings.push_back({"configuration",
                        "at the end " + std::to_string(records.final_version) + " was read, " +
                            std::to_string(newest) + " was acknowledged",
                        std::to_string(newest)});
  return findings;
}

std::vector<Finding> check_order_fences(const Records &records, const Bounds &bounds) {
  const auto may_be_late = [&](const OrderRecord &order) {
    return std::any_of(records.troubles.begin(), records.troubles.end(), [&](const TroubleRecord &trouble) {
      return touches(trouble, order.holder) && trouble.ended != 0 && order.at >= trouble.ended &&
             order.at < trouble.ended + bounds.thaw_slack;
    });
  };
  std::vector<Finding> findings;
  std::map<std::pair<bool, std::string>, const OrderRecord *> newest;
  for (const OrderRecord &order : records.orders) {
    if (may_be_late(order)) continue;
    const OrderRecord *&before = newest[{order.is_start, order.service}];
    const bool is_older = before != nullptr && order.fence < before->fence;
    const bool is_shared =
        before != nullptr && order.fence == before->fence && order.holder != before->holder;
    if (is_older || is_shared)
      findings.push_back({"one holder",
                          order.holder + " orders with fence " + std::to_string(order.fence) + " after " +
                              before->holder + " with " + std::to_string(before->fence),
                          order.service});
    if (!is_older) before = &order;
  }
  return findings;
}

std::vector<Finding> check_in_force(const Records &records, const Bounds &bounds) {
  std::vector<Finding> findings;
  std::map<std::int64_t, Instant> acknowledged;
  for (const ChangeRecord &change : records.changes)
    if (change.acknowledged != 0) acknowledged[change.version] = change.acknowledged;
  for (const RequestRecord &request : records.requests) {
    const auto found = acknowledged.find(request.needs_version);
    if (request.needs_version == 0 || found == acknowledged.end() || request.status != 404) continue;
    const bool is_due = request.sent_whole > found->second + bounds.config_apply;
    if (!is_due || !is_calm(records, {}, request.sent_whole - bounds.config_apply, request.ended, bounds))
      continue;
    findings.push_back(
        {"in force",
         request.process + " did not know version " + std::to_string(request.needs_version) + " in time",
         request.id});
  }
  return findings;
}

std::vector<Finding> check_recovery(const Records &records, const Bounds &bounds) {
  std::size_t sent = 0, served = 0;
  for (const RequestRecord &request : records.requests) {
    if (request.sent_whole < records.troubles_over + bounds.recover || request.end == RequestEnd::given_up ||
        request.end == RequestEnd::pending || request.needs_version != 0)
      continue;
    ++sent;
    served += is_success(request) ? 1 : 0;
  }
  // A quarter is what the users ask for; with nothing wrong any more, nine in ten is what we do.
  if (sent < 20 || served * 10 >= sent * 9) return {};
  return {{"recovery",
           std::to_string(served) + " of " + std::to_string(sent) + " served after the troubles",
           {}}};
}

std::vector<Finding> check_processes(const Records &records, const Bounds &bounds) {
  std::vector<Finding> findings;
  for (const std::string &process : records.ended_by_themselves)
    findings.push_back({"processes", "ended by itself", process});
  for (const std::string &folder : records.damaged)
    findings.push_back({"processes", "its data folder does not verify", folder});
  const Instant third = records.began + (records.ended - records.began) / 3;
  std::map<std::pair<std::string, int>, std::pair<const UsageSample *, const UsageSample *>> lives;
  for (const UsageSample &sample : records.usage) {
    auto &[first, last] = lives[{sample.process, sample.life}];
    if (first == nullptr && sample.at >= third) first = &sample;
    last = &sample;
  }
  for (const auto &[life, samples] : lives) {
    const auto &[first, last] = samples;
    if (first == nullptr || last == nullptr) continue;
    const auto memory_most =
        static_cast<std::uint64_t>(static_cast<double>(first->memory_kb) * bounds.memory_share) +
        bounds.memory_kb;
    if (last->memory_kb > memory_most)
      findings.push_back({"processes",
                          "memory grew from " + std::to_string(first->memory_kb) + " to " +
                              std::to_string(last->memory_kb) + " KB",
                          life.first});
    if (last->descriptors > first->descriptors + bounds.descriptors)
      findings.push_back(
          {"processes", "descriptors grew to " + std::to_string(last->descriptors), life.first});
    if (last->threads > first->threads + bounds.threads)
      findings.push_back({"processes", "threads grew to " + std::to_string(last->threads), life.first});
  }
  return findings;
}

std::vector<Finding> check_all(const Records &records, const Bounds &bounds) {
  std::vector<Finding> all = check_runs_once(records);
  append(all, check_answers_belong(records));
  append(all, check_promises(records));
  append(all, check_nothing_lost(records, bounds));
  append(all, check_final_answers(records, bounds));
  append(all, check_work_ends_with_client(records, bounds));
  append(all, check_runner_limit(records, bounds));
  append(all, check_configuration(records, bounds));
  append(all, check_content(records));
  append(all, check_order_fences(records, bounds));
  append(all, check_in_force(records, bounds));
  append(all, check_recovery(records, bounds));
  append(all, check_processes(records, bounds));
  return all;
}

} // namespace wharf::soak
