#include "soak/report.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace wharf::soak {

std::string json_line(const RunReport &report) {
  nlohmann::json findings = nlohmann::json::array();
  for (const Finding &finding : report.findings)
    findings.push_back({{"rule", finding.rule}, {"what", finding.what}, {"subject", finding.subject}});
  return nlohmann::json{{"deployment", report.deployment},
                        {"seed", report.seed},
                        {"planned_only", report.is_planned_only},
                        {"processes", report.processes},
                        {"processes_bound", report.processes_bound},
                        {"troubles", report.troubles},
                        {"troubles_left_out", report.troubles_left_out},
                        {"changes", report.changes},
                        {"requests", report.requests},
                        {"served", report.served},
                        {"refused", report.refused},
                        {"runs", report.runs},
                        {"runs_refused", report.runs_refused},
                        {"latency_p50_ms", report.latency_p50_ms},
                        {"latency_p99_ms", report.latency_p99_ms},
                        {"peak_memory_kb", report.peak_memory_kb},
                        {"longest_stall_ms", report.longest_stall_ms},
                        {"failure", report.failure},
                        {"findings", findings}}
      .dump();
}

void print_table(const std::vector<RunReport> &reports, std::ostream &out) {
  struct Row {
    std::size_t runs = 0, processes = 0, troubles = 0, changes = 0, requests = 0, served = 0,
                refused_runs = 0;
    std::size_t bad = 0;
    std::uint64_t peak_kb = 0;
  };
  std::map<std::pair<std::string, bool>, Row> rows;
  for (const RunReport &report : reports) {
    Row &row = rows[{report.deployment, report.is_planned_only}];
    ++row.runs;
    row.processes = std::max(row.processes, report.processes);
    row.troubles += report.troubles;
    row.changes += report.changes;
    row.requests += report.requests;
    row.served += report.served;
    row.refused_runs += report.runs_refused;
    row.bad += report.findings.empty() && report.failure.empty() ? 0 : 1;
    row.peak_kb = std::max(row.peak_kb, report.peak_memory_kb);
  }
  out << "| deployment | schedule | runs | processes | troubles | changes | requests | served | refused by "
         "runners "
         "| peak MB a process | runs with findings |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto &[key, row] : rows)
    out << "| " << key.first << " | " << (key.second ? "planned only" : "all") << " | " << row.runs << " | "
        << row.processes << " | " << row.troubles << " | " << row.changes << " | " << row.requests << " | "
        << row.served << " | " << row.refused_runs << " | " << row.peak_kb / 1024 << " | " << row.bad
        << " |\n";
}

void print_findings(const RunReport &report, std::ostream &out) {
  if (!report.failure.empty()) out << "FAILED " << report.failure << "\n";
  for (const Finding &finding : report.findings)
    out << "FINDING " << finding.rule << " " << finding.subject << ": " << finding.what << "\n";
  if (report.findings.empty() && report.failure.empty()) return;
  out << "again: soak --replay --deployment " << report.deployment << " --seed " << report.seed
      << (report.is_planned_only ? " --planned-only" : "") << "\n";
  for (const std::string &line : report.schedule) out << "  " << line << "\n";
  for (const std::string &line : report.stories) out << line << "\n";
}

} // namespace wharf::soak
