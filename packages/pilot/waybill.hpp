#pragma once
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "charter/charter.hpp"
#include "signals/signals.hpp"
#include "verdict/verdict.hpp"

namespace wharf {

/// What the door read of an errand, before anything is decided.
struct ErrandHead {
  std::string id, method, target, host, key, idempotency_key, body_digest;
  std::int64_t wait_ms = 0;
  std::size_t body_size = 0;
  /// When its first byte arrived, from which the caller's wait counts; 0 when that is not known.
  Instant begun_at = 0;
};

/// The steps an errand may go through.
enum class Step : std::uint8_t { pay, claim, slot, carry };
std::string_view step_name(Step step);

/// The plan of an errand: data only, made before anything is done.
struct Waybill {
  std::string id, tenant, service, rule, key, claim_key, claim_digest;
  /// Method and target as they came.
  std::string call;
  Version version = 0;
  std::uint32_t worth = 1;
  bool is_once = false, is_paid = false;
  /// It may run more than once; it asked for no key.
  bool is_repeatable = false, is_open = false;
  /// The most runners it may be sent to; 0 where the pilot's own bound holds.
  std::uint32_t tries = 0;
  /// The permit the errand was paid from; 0 when it was not, or from the fallback share.
  std::uint64_t permit = 0;
  Instant arrived = 0, deadline = 0;
  std::vector<Step> steps;
};

/// Plans an errand against a manifest, or says at once why it goes nowhere.
std::variant<Waybill, Fate> plan_errand(const Charter &charter, Version version, const ErrandHead &head,
                                        Instant now);

/// True while the key a request came with is still its tenant's.
bool holds_key(const Charter &charter, const Waybill &bill);

} // namespace wharf
