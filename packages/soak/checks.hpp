#pragma once
// What must hold in a soak, judged from records alone; pure, so that tests can show each check to fail.
#include <string>
#include <vector>

#include "soak/records.hpp"

namespace wharf::soak {

/// Bounds that the users set; the ones of their small deployments.
struct Bounds {
  Span in_touch = seconds(4), config_apply = seconds(3), loss_slack = milliseconds(200),
       recover = seconds(12);
  /// An order that arrives so soon after a thaw of its sender, or the end of a cut, may be an old one.
  Span thaw_slack = milliseconds(300);
  Span gone_within = milliseconds(500);
  std::size_t refused_most = 11;
  Span refused_over = seconds(5);
  /// Growth of a surviving process after a third of the run: this share and this much more.
  double memory_share = 1.5;
  std::uint64_t memory_kb = 16384, descriptors = 200, threads = 4;
};

/// Something that must not be: which rule, what happened, and the request or version concerned.
struct Finding {
  std::string rule, what, subject;
};

/// True where nothing unplanned was done to a process from `in_touch` before `from` until `until`; an empty
/// process asks for all of them.
bool is_calm(const Records &records, const std::string &process, Instant from, Instant until,
             const Bounds &bounds);

std::vector<Finding> check_runs_once(const Records &records);
std::vector<Finding> check_answers_belong(const Records &records);
std::vector<Finding> check_promises(const Records &records);
std::vector<Finding> check_nothing_lost(const Records &records, const Bounds &bounds);
std::vector<Finding> check_final_answers(const Records &records, const Bounds &bounds);
std::vector<Finding> check_work_ends_with_client(const Records &records, const Bounds &bounds);
std::vector<Finding> check_runner_limit(const Records &records, const Bounds &bounds);
std::vector<Finding> check_configuration(const Records &records, const Bounds &bounds);
/// A configuration is read back with just the routes that were sent under its version.
std::vector<Finding> check_content(const Records &records);
/// Of starts, and of stops, of one service none comes under a lower fencing token than one before, nor two
/// senders' under one token.
std::vector<Finding> check_order_fences(const Records &records, const Bounds &bounds);
std::vector<Finding> check_in_force(const Records &records, const Bounds &bounds);
std::vector<Finding> check_recovery(const Records &records, const Bounds &bounds);
std::vector<Finding> check_processes(const Records &records, const Bounds &bounds);

/// All checks, one after another.
std::vector<Finding> check_all(const Records &records, const Bounds &bounds);

} // namespace wharf::soak
