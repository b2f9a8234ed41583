#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wharf {

/// Where and why a rule does not compile.
struct RuleError {
  std::string name;
  int line = 1, column = 1;
  std::string what;
};

enum class SegmentKind : std::uint8_t { literal, one, rest };

/// One part of a path pattern.
struct Segment {
  SegmentKind kind = SegmentKind::literal;
  std::string text;
  bool operator==(const Segment &) const = default;
};

/// A service a rule leads to, with its weight in a roll-out.
struct Target {
  std::string service;
  std::uint32_t weight = 1;
};

/// One compiled rule.
struct Rule {
  std::string name;
  /// The host it is bound to, in lower case; empty for any.
  std::string host;
  std::vector<std::string> methods, tenants;
  std::vector<Segment> path;
  std::vector<Target> targets;
  std::uint64_t weight_sum = 0;
  /// An errand may be sent to another runner though the first may have run it.
  bool is_repeatable = false;
  /// No key is asked for.
  bool is_open = false;
  /// The longest an errand is held, the latency it aims at, the runners it may be sent to and its worth; 0
  /// where the manifest's limits and the service's worth hold.
  std::uint32_t within_ms = 0, aim_ms = 0, tries = 0, worth = 0;
};

/// Compiles one rule:
/// `METHOD[|METHOD] [//HOST]PATH [for TENANT[|TENANT]] to SERVICE [weight N][, ...] [OPTION ...]` with the
/// options `repeatable`, `open`, `within MS`, `aim MS`, `tries N`, `worth N`.
std::variant<Rule, RuleError> compile_rule(std::string_view name, std::string_view text);

/// All rules of a manifest, the more specific first.
class Compass {
public:
  /// Compiles every rule, and finds pairs that no order can tell apart.
  static std::variant<Compass, std::vector<RuleError>>
  compile(const std::map<std::string, std::string> &texts);
  /// The rule for an errand, or nullptr. `segments` are the decoded parts of its path.
  const Rule *find(std::string_view method, const std::vector<std::string> &segments, std::string_view tenant,
                   std::string_view host = {}) const;
  const std::vector<Rule> &rules() const { return rules_; }

private:
  std::vector<Rule> rules_;
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_first_;
  std::vector<std::uint32_t> open_first_;
};

/// The target of a rule for an errand: the same errand always gets the same one.
const Target &elect_target(const Rule &rule, std::uint64_t hash);

/// Takes `//host` off the front of a call's target; empty when there is none.
std::string_view take_host(std::string_view &target);

/// Decodes a raw request target into path parts; false when it is malformed or holds dot segments.
bool split_path(std::string_view target, std::vector<std::string> &segments);

} // namespace wharf
