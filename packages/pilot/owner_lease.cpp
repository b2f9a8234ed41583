// Until when a node may act as an owner of tenants: by the leader's lease, or without a leader by its
// witnesses.
#include "pilot/pilot.hpp"

#include <algorithm>

namespace wharf {

void Pilot::renew_owner_lease(Instant now, PilotOutput &out) {
  const Instant lease_until = owner_lease_until();
  const Instant extended_until = lease_extension_.until(lease_until);
  purser_.set_fresh_until(std::max(lease_until, extended_until));
  const bool is_extended = now >= lease_until && now < extended_until;
  if (is_extended != is_extended_)
    out.lines.push_back(is_extended ? "goes on as an owner on its witnesses' word"
                                    : "acts no more on its witnesses' word");
  is_extended_ = is_extended;
}

} // namespace wharf
