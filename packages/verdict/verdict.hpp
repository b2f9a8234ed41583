#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "tide/tide.hpp"

namespace wharf {

/// Whether an errand may have run.
enum class Verdict : std::uint8_t { not_run, run, unknown };

/// How an errand ended, before it is put into HTTP.
enum class Fate : std::uint8_t {
  answered,
  malformed,
  unknown_key,
  no_rule,
  too_large,
  over_quota,
  no_permit,
  refused,
  no_runner,
  stale,
  draining,
  waited_unsent,
  waited_sent,
  bad_seal,
  link_lost,
  replayed,
  in_flight,
  key_reused,
  not_kept,
  caller_gone,
};

/// Status, verdict and reason; the one place where a fate becomes an answer.
struct Outcome {
  int status = 500;
  Verdict verdict = Verdict::unknown;
  std::string_view reason;
  bool has_retry_after = false;
};

Outcome outcome_of(Fate fate);
std::string_view verdict_name(Verdict verdict);
/// Whole seconds for Retry-After, at least one.
int retry_seconds(Span wait);

} // namespace wharf
