#include "pilot/waybill.hpp"

#include <algorithm>

#include "seal/seal.hpp"

namespace wharf {

std::string_view step_name(Step step) {
  switch (step) {
  case Step::pay:
    return "pay";
  case Step::claim:
    return "claim";
  case Step::slot:
    return "slot";
  case Step::carry:
    return "carry";
  }
  return "?";
}

std::variant<Waybill, Fate> plan_errand(const Charter &charter, Version version, const ErrandHead &head,
                                        Instant now) {
  const Tenant *tenant = head.key.empty() ? nullptr : charter.find_tenant(head.key);
  std::vector<std::string> segments;
  const bool is_proper = split_path(head.target, segments);
  const Rule *rule = is_proper ? charter.compass.find(head.method, segments,
                                                      tenant == nullptr ? "" : tenant->name, head.host)
                               : nullptr;
  const bool is_open = rule == nullptr ? charter.tenants.empty() : rule->is_open;
  if (tenant == nullptr && !is_open) return Fate::unknown_key;
  if (!is_proper) return Fate::malformed;
  if (rule == nullptr) return Fate::no_rule;
  const auto limit = static_cast<std::size_t>(charter.limits.body_most_bytes);
  if (head.body_size > limit) return Fate::too_large;
  Waybill bill;
  const std::string &seed = head.idempotency_key.empty() ? head.id : head.idempotency_key;
  const Service *service =
      charter.service_named(elect_target(*rule, stable_hash(seed.data(), seed.size())).service);
  if (service == nullptr) return Fate::no_rule;
  bill.id = head.id;
  if (tenant != nullptr && !is_open) bill.tenant = tenant->name;
  bill.is_open = is_open;
  bill.is_repeatable = rule->is_repeatable;
  bill.tries = rule->tries;
  bill.service = service->name;
  bill.rule = rule->name;
  bill.call = head.method + (head.host.empty() ? " " : " //" + head.host) + head.target;
  bill.key = head.key;
  bill.version = version;
  bill.worth = rule->worth > 0 ? rule->worth : static_cast<std::uint32_t>(service->worth);
  if (tenant != nullptr && !is_open) bill.worth += static_cast<std::uint32_t>(tenant->worth);
  bill.is_once = service->once;
  const std::int64_t asked = head.wait_ms > 0 ? head.wait_ms : charter.limits.wait_default_ms;
  std::int64_t wait = std::min(asked, charter.limits.wait_most_ms);
  if (rule->within_ms > 0) wait = std::min<std::int64_t>(wait, rule->within_ms);
  bill.arrived = now;
  const Instant waits_since = head.begun_at == 0 ? now : std::min(head.begun_at, now);
  bill.deadline = waits_since + milliseconds(wait) - std::min(milliseconds(50), milliseconds(wait) / 10);
  if (!is_open && !tenant->unbounded) bill.steps.push_back(Step::pay);
  if (service->once && !head.idempotency_key.empty()) {
    bill.claim_key = bill.tenant + "/" + head.idempotency_key;
    bill.claim_digest = digest_hex(head.method + "\n" + head.target + "\n" + head.body_digest);
    bill.steps.push_back(Step::claim);
  }
  bill.steps.push_back(Step::slot);
  bill.steps.push_back(Step::carry);
  return bill;
}

bool holds_key(const Charter &charter, const Waybill &bill) {
  if (bill.is_open) return true;
  const Tenant *tenant = charter.find_tenant(bill.key);
  return tenant != nullptr && tenant->name == bill.tenant;
}

} // namespace wharf
