#include "witness/lease_extension.hpp"

#include <algorithm>

namespace wharf {

void LeaseExtension::set_node_set(Epoch epoch, const std::vector<NodeId> &owners) {
  if (epoch == epoch_) return;
  epoch_ = epoch;
  granted_at_.clear();
  witnesses_ = witnesses_of(owners);
  const bool is_owner = std::find(owners.begin(), owners.end(), self_) != owners.end();
  if (!is_owner) witnesses_.clear();
}

void LeaseExtension::tick(Instant lease_until, Instant now, Outbox &out) {
  const bool had_lease = lease_until > 0;
  const bool is_due = now >= lease_until - options_.ask_ahead && now < lease_until + options_.extension_most;
  if (!had_lease || !is_due || witnesses_.empty() || now - asked_at_ < options_.ask_every) return;
  asked_at_ = now;
  for (NodeId witness : witnesses_) out.push_back({witness, {}, WitnessRequest{epoch_, now}});
}

void LeaseExtension::take(NodeId from, const WitnessResponse &response) {
  const bool is_witness = std::find(witnesses_.begin(), witnesses_.end(), from) != witnesses_.end();
  if (!is_witness || !response.is_granted || response.epoch != epoch_) return;
  Instant &granted_at = granted_at_[from];
  granted_at = std::max(granted_at, response.sent_at);
}

Instant LeaseExtension::until(Instant lease_until) const {
  const std::size_t majority = witness_majority(witnesses_.size());
  if (lease_until <= 0 || witnesses_.empty() || granted_at_.size() < majority) return 0;
  std::vector<Instant> moments;
  for (const auto &[witness, moment] : granted_at_) moments.push_back(moment);
  std::sort(moments.rbegin(), moments.rend());
  return std::min(moments[majority - 1] + options_.grant, lease_until + options_.extension_most);
}

} // namespace wharf
