#pragma once
// Reports of runs: a JSON line each, and a table over all.
#include <ostream>
#include <string>
#include <vector>

#include "soak/soak.hpp"

namespace wharf::soak {

/// A run as one line of JSON, without its stories.
std::string json_line(const RunReport &report);
/// A Markdown table with a row for each deployment and kind of schedule.
void print_table(const std::vector<RunReport> &reports, std::ostream &out);
/// A finding run in full: findings, schedule, stories, and how to play it again.
void print_findings(const RunReport &report, std::ostream &out);

} // namespace wharf::soak
