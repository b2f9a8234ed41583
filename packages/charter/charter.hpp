#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "charter/options.hpp"
#include "compass/compass.hpp"

namespace wharf {

#define WHARF_FIELD_NUMBER(name, start, least, most, meaning) std::int64_t name = start;
#define WHARF_FIELD_FLAG(name, start, meaning) bool name = start;
#define WHARF_FIELD_TEXT(name, start, least, most, meaning) std::string name = start;

/// A tenant as an operator declares it.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  WHARF_TENANT_OPTIONS(WHARF_FIELD_NUMBER, WHARF_FIELD_FLAG, WHARF_FIELD_TEXT)
};

/// A service as an operator declares it.
struct Service {
  std::string name;
  WHARF_SERVICE_OPTIONS(WHARF_FIELD_NUMBER, WHARF_FIELD_FLAG, WHARF_FIELD_TEXT)
};

/// Limits that hold for all errands.
struct Limits {
  WHARF_LIMIT_OPTIONS(WHARF_FIELD_NUMBER, WHARF_FIELD_FLAG, WHARF_FIELD_TEXT)
};

/// What a change may come to by its trial; the bounds that hold are those of the new manifest.
struct TrialBounds {
  WHARF_TRIAL_OPTIONS(WHARF_FIELD_NUMBER, WHARF_FIELD_FLAG, WHARF_FIELD_TEXT)
};

/// One fault in a manifest, by JSON path.
struct Fault {
  std::string path, what;
};

/// A manifest, checked and compiled.
struct Charter {
  std::vector<Tenant> tenants;
  std::vector<Service> services;
  Limits limits;
  TrialBounds trial;
  /// The number operators gave this version themselves; 0 when they leave that to the group.
  std::uint64_t number = 0;
  /// The worth of the worthiest service.
  std::uint32_t top_worth = 1;
  Compass compass;
  std::unordered_map<std::string, std::uint32_t> tenant_of_key, tenant_index, service_index;

  /// The tenant a key belongs to, or nullptr.
  const Tenant *find_tenant(std::string_view key) const;
  const Tenant *tenant_named(std::string_view name) const;
  const Service *service_named(std::string_view name) const;
};

/// What is wrong with a document: its syntax (400) or its meaning (422).
struct CharterErrors {
  bool is_syntax = false;
  std::vector<Fault> faults;
};

/// Reads, checks and compiles a manifest; refuses it whole when anything is wrong.
std::variant<std::shared_ptr<const Charter>, CharterErrors> read_charter(std::string_view bytes);

/// What the manifest's `origin` holds, as JSON: a text its writer keeps with it; empty when there is none.
std::string origin_of(std::string_view bytes);

/// Merges a JSON Merge Patch into a manifest; the merged document's bytes.
std::variant<std::string, CharterErrors> merge_charter(std::string_view bytes, std::string_view patch);

/// The operators' page about all options, from the declarations above.
std::string describe_options();

} // namespace wharf
