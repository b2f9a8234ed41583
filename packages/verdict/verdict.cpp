#include "verdict/verdict.hpp"

#include <algorithm>

namespace wharf {

Outcome outcome_of(Fate fate) {
  switch (fate) {
  case Fate::answered:
    return {200, Verdict::run, "answered", false};
  case Fate::malformed:
    return {400, Verdict::not_run, "malformed", false};
  case Fate::unknown_key:
    return {401, Verdict::not_run, "unknown-key", false};
  case Fate::no_rule:
    return {404, Verdict::not_run, "no-rule", false};
  case Fate::too_large:
    return {413, Verdict::not_run, "too-large", false};
  case Fate::over_quota:
    return {429, Verdict::not_run, "over-quota", true};
  case Fate::no_permit:
    return {503, Verdict::not_run, "no-permit", true};
  case Fate::refused:
    return {503, Verdict::not_run, "refused-by-runner", true};
  case Fate::no_runner:
    return {503, Verdict::not_run, "no-runner", true};
  case Fate::stale:
    return {503, Verdict::not_run, "no-fresh-manifest", true};
  case Fate::draining:
    return {503, Verdict::not_run, "draining", true};
  case Fate::waited_unsent:
    return {504, Verdict::not_run, "waited-out", true};
  case Fate::waited_sent:
    return {504, Verdict::unknown, "waited-out", true};
  case Fate::bad_seal:
    return {502, Verdict::unknown, "unsealed-answer", false};
  case Fate::link_lost:
    return {502, Verdict::unknown, "link-lost", false};
  case Fate::replayed:
    return {200, Verdict::run, "replayed", false};
  case Fate::in_flight:
    return {409, Verdict::unknown, "claimed-in-flight", true};
  case Fate::key_reused:
    return {422, Verdict::not_run, "key-reused", false};
  case Fate::not_kept:
    return {409, Verdict::run, "answer-not-kept", false};
  case Fate::caller_gone:
    return {503, Verdict::not_run, "caller-gone", true};
  }
  return {};
}

std::string_view verdict_name(Verdict verdict) {
  switch (verdict) {
  case Verdict::not_run:
    return "not-run";
  case Verdict::run:
    return "run";
  case Verdict::unknown:
    return "unknown";
  }
  return "unknown";
}

int retry_seconds(Span wait) {
  return static_cast<int>(std::max<Span>(1, (wait + seconds(1) - 1) / seconds(1)));
}

} // namespace wharf
