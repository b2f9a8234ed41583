#pragma once
// What clients, runners and operators of a soak saw, each on its own sockets; times are of this machine's
// monotonic clock, 0 for what has not happened.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tide/tide.hpp"

namespace wharf::soak {

enum class RequestEnd : std::uint8_t {
  pending,
  answered,
  /// The connection ended before a whole answer.
  closed,
  /// The client ended the connection itself, as its kind of client does.
  given_up,
  /// No answer came until half a second past the deadline, so the client ended the connection.
  overdue
};

/// One request as its client saw it.
struct RequestRecord {
  std::string id;
  /// The edge process it was sent to.
  std::string process;
  bool is_repeatable = true;
  /// Nothing else was under way on its connection when it was sent.
  bool is_first_in_line = true;
  Instant sent_whole = 0, ended = 0;
  RequestEnd end = RequestEnd::pending;
  int status = 0;
  /// A success that bears a runner's mark, and the request that its body names.
  bool is_sealed = false;
  std::string answered_for;
  /// The version whose route it needs; 0 where any will do.
  std::int64_t needs_version = 0;
};

/// One call as a runner saw it.
struct RunRecord {
  std::string id, runner, service;
  Instant began = 0, ended = 0;
  /// When the work would have been done if nobody had broken it off.
  Instant would_end = 0;
  /// Turned away as the runner was full.
  bool is_refused = false;
};

/// A start or stop as the platform got it.
struct OrderRecord {
  Instant at = 0;
  bool is_start = true;
  std::string service, holder;
  std::uint64_t fence = 0;
};

/// A change of the configuration as its operator saw it.
struct ChangeRecord {
  std::int64_t version = 0;
  Instant sent = 0, acknowledged = 0;
  bool is_invalid = false;
  int status = 0;
  /// Changes that were sent on top of the same version at once share a number above 0.
  int race = 0;
  /// The version it builds on.
  std::int64_t base = 0;
  /// Adds `routes` to those of its base and takes out `removed`; else `routes` are all there are.
  bool is_named = false;
  std::vector<std::string> routes{}, removed{};
};

/// A reading of the configuration.
struct ReadRecord {
  Instant asked = 0, answered = 0;
  int status = 0;
  std::int64_t version = 0;
  /// Names of the routes that were read.
  std::vector<std::string> routes{};
};

/// Something done to processes; planned work counts apart from trouble.
struct TroubleRecord {
  std::string kind;
  Instant began = 0, ended = 0;
  std::vector<std::string> processes;
  bool is_planned = false;
  /// A cut that the rest of the deployment settles without while it lasts.
  bool is_cut = false;
};

/// Memory, descriptors and threads of one life of a process at one moment.
struct UsageSample {
  std::string process;
  int life = 0;
  Instant at = 0;
  std::uint64_t memory_kb = 0, descriptors = 0, threads = 0;
};

struct Records {
  std::vector<RequestRecord> requests;
  std::vector<RunRecord> runs;
  std::vector<OrderRecord> orders;
  std::vector<ChangeRecord> changes;
  std::vector<ReadRecord> reads;
  std::vector<TroubleRecord> troubles;
  std::vector<UsageSample> usage;
  Instant began = 0, troubles_over = 0, ended = 0;
  /// What the configuration read back at the end said; 0 when it could not be read.
  std::int64_t final_version = 0;
  /// Processes that ended though nothing was done to them.
  std::vector<std::string> ended_by_themselves;
  /// Data folders that do not verify.
  std::vector<std::string> damaged;
};

} // namespace wharf::soak
