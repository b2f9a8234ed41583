#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>

#include "bosun/flags.hpp"
#include "capstan/duty.hpp"
#include "drydock/scenarios.hpp"

namespace {
using namespace wharf;

struct Job {
  const Scenario *scenario = nullptr;
  std::uint64_t seed = 0;
};

struct Sweep {
  std::vector<Job> jobs;
  Defect defect = Defect::none;
  WorldShape shape;
  bool must_tell = false;
  std::string trace;
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::map<std::string, std::map<std::string, std::vector<std::uint64_t>>> figures;
  std::map<std::string, int> bad;

  void work() {
    for (std::size_t at = next++; at < jobs.size(); at = next++) {
      const RunResult result = run_scenario(*jobs[at].scenario, jobs[at].seed, defect, shape);
      std::lock_guard guard(mutex);
      for (const auto &[name, number] : result.audit.counts)
        figures[jobs[at].scenario->name][name].push_back(number);
      if (must_tell) {
        for (const auto &[name, number] : result.audit.counts)
          std::cout << "  " << name << " " << number << "\n";
        if (trace == "replicas") std::cout << result.story;
        if (!trace.empty()) {
          for (const VisitRecord &visit : result.visits)
            if (visit.runner == trace || visit.errand == trace || visit.service == trace)
              std::cout << visit.begun_ns / 1'000'000 << " visit " << visit.errand << " " << visit.service
                        << " " << visit.runner << " running " << visit.running
                        << (visit.has_run ? "" : " refused") << "\n";
          for (const CallRecord &call : result.calls)
            if (call.errand == trace || call.tenant == trace || call.reason == trace)
              std::cout << call.sent_ns / 1'000'000 << "-" << call.answered_ns / 1'000'000 << " call "
                        << call.errand << " " << call.target << " " << call.status << " " << call.reason
                        << "\n";
        }
        std::cout << "fingerprint " << result.fingerprint << "\n";
      }
      if (result.audit.faults.empty()) continue;
      ++bad[jobs[at].scenario->name];
      std::cout << jobs[at].scenario->name << " seed " << jobs[at].seed << ":\n";
      for (const std::string &fault : result.audit.faults) std::cout << "  FAULT " << fault << "\n";
    }
  }
};

std::uint64_t at_share(std::vector<std::uint64_t> values, double share) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0
                        : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}
} // namespace

int main(int count, char **words) {
  std::string name, deployment = "small";
  long from = 1, many = 1, threads = 8, defect = 0;
  Sweep sweep;
  Flags flags("drydock", "");
  flags.text("scenario", name, "One scenario; all when not given");
  flags.whole("seed", from, "First seed");
  flags.whole("seeds", many, "How many seeds");
  flags.whole("threads", threads, "Runs at the same time");
  flags.whole("defect", defect, "Defect put in on purpose, 1 to 21");
  flags.mark("plain", sweep.shape.is_plain, "First come, first served, and the first worker that fits");
  flags.text("deployment", deployment, "small, udruga or masa-verde");
  flags.text("trace", sweep.trace,
             "Errand, runner, service, tenant or reason whose records are printed; 'replicas' for the group");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  const bool is_plain = sweep.shape.is_plain;
  sweep.shape = shape_named(deployment);
  sweep.shape.is_plain = is_plain;
  sweep.defect = static_cast<Defect>(defect);
  for (const Scenario &scenario : all_scenarios()) {
    if (!name.empty() && scenario.name != name) continue;
    for (long seed = from; seed < from + many; ++seed)
      sweep.jobs.push_back({&scenario, static_cast<std::uint64_t>(seed)});
  }
  if (sweep.jobs.empty()) {
    std::cerr << "drydock: no such scenario\n";
    return 2;
  }
  sweep.must_tell = sweep.jobs.size() == 1;
  {
    std::vector<std::unique_ptr<Duty>> crew;
    for (long at = 0; at < threads; ++at)
      crew.push_back(std::make_unique<Duty>("drydock", [&sweep] { sweep.work(); }));
  }
  int bad = 0;
  for (const Scenario &scenario : all_scenarios()) {
    const auto found = sweep.figures.find(scenario.name);
    if (found == sweep.figures.end()) continue;
    auto &figures = found->second;
    bad += sweep.bad[scenario.name];
    std::cout << scenario.name << ": runs " << figures["calls"].size() << ", bad " << sweep.bad[scenario.name]
              << ", calls p50 " << at_share(figures["calls"], 0.5) << ", run p50 "
              << at_share(figures["verdict_run"], 0.5) << ", back s p50 "
              << at_share(figures["back_after_s"], 0.5) << " most " << at_share(figures["back_after_s"], 1.0)
              << ", wrong 429 p50 " << at_share(figures["wrongly_refused"], 0.5) << " most "
              << at_share(figures["wrongly_refused"], 1.0) << ", 5 s % admitted "
              << at_share(figures["worst_5s_admitted_percent"], 1.0) << " run "
              << at_share(figures["worst_5s_run_percent"], 1.0) << ", rare ms p95 "
              << at_share(figures["rare_p95_ms"], 0.5) << " most " << at_share(figures["rare_most_ms"], 0.5)
              << ", once run " << at_share(figures["run_once"], 0.5) << " of "
              << at_share(figures["sent_once"], 0.5) << ", worth run " << at_share(figures["run_worth"], 0.5)
              << ", bare " << at_share(figures["left_bare"], 0.5) << "/"
              << at_share(figures["zones_looked_at"], 0.5) << ", worst write ms "
              << at_share(figures["worst_write_ms"], 1.0) << "\n";
  }
  return bad == 0 ? 0 : 1;
}
