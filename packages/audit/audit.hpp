#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "charter/charter.hpp"

namespace wharf {

/// One call as a caller recorded it.
struct CallRecord {
  std::string errand, tenant, method, target, body_digest, verdict, reason, answer_errand, once_key;
  int status = 0;
  std::int64_t sent_ns = 0, answered_ns = 0;
  bool is_answer_sealed_right = true;
};

/// One visit of an errand as a runner recorded it.
struct VisitRecord {
  std::string errand, tenant, service, runner, method, target, body_digest;
  std::int64_t begun_ns = 0, ended_ns = 0;
  int running = 0, slots = 1;
  /// How long the platform had been taking the runner away when the visit began; 0 when it was not.
  std::int64_t leaving_ms = 0;
  bool has_run = false, has_key = false;
};

/// One call to a runner as whoever stood between recorded it, whether it arrived or not.
struct TryRecord {
  std::string errand, service;
  std::int64_t sent_ns = 0;
};

/// What an audit found; every list empty means clean.
struct Audit {
  std::map<std::string, std::uint64_t> counts;
  std::vector<std::string> faults;
  /// Counts a fault of a kind and lists it.
  void add(const std::string &kind, const std::string &what) {
    ++counts["fault_" + kind];
    faults.push_back(kind + ": " + what);
  }
};

std::vector<CallRecord> read_calls(const std::string &lines);
std::vector<VisitRecord> read_visits(const std::string &lines);

/// Compares callers' and runners' records against what must never happen; reads no claim of the system's own.
/// Without `tries`, the runners' own visits stand for them.
Audit audit(const Charter &charter, const std::vector<CallRecord> &calls,
            const std::vector<VisitRecord> &visits, const std::vector<TryRecord> &tries = {});

} // namespace wharf
