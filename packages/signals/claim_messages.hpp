#pragma once
// Claims of requests that run once, kept by the control group.
#include <cstdint>
#include <string>
#include <vector>

#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

enum class ClaimState : std::uint8_t {
  first = 0,
  in_flight = 1,
  recorded = 2,
  unknown = 3,
  mismatch = 4,
  refused = 5,
  /// It ran, and its answer was too large to keep.
  not_kept = 6
};

/// One header of an answer that is kept.
struct KeptHeader {
  std::string name, value;
  WHARF_CARRY(name, value)
  bool operator==(const KeptHeader &) const = default;
};

struct ClaimAsk {
  std::string key, errand, digest;
  WHARF_CARRY(key, errand, digest)
};
struct ClaimSay {
  std::string errand;
  std::uint8_t state = 0;
  std::int32_t status = 0;
  std::string type, body, first_errand;
  std::vector<KeptHeader> headers;
  WHARF_CARRY(errand, state, status, type, body, first_errand, headers)
};
enum class ClosedAs : std::uint8_t { not_run = 0, run = 1, unknown = 2 };
struct CloseAsk {
  std::string key, errand;
  std::uint8_t closed_as = 0;
  std::int32_t status = 0;
  std::string type, body;
  std::vector<KeptHeader> headers;
  /// False when the answer was too large to be kept whole; then nothing of it is here.
  bool is_whole = true;
  WHARF_CARRY(key, errand, closed_as, status, type, body, headers, is_whole)
};
struct CloseSay {
  std::string errand;
  WHARF_CARRY(errand)
};

} // namespace wharf
