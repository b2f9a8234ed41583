#include "witness/witness.hpp"

#include <algorithm>

namespace wharf {

WitnessResponse Witness::answer(const WitnessRequest &request, Epoch known_epoch, bool hears_leader,
                                Instant now) {
  WitnessResponse response{request.epoch, request.sent_at, !hears_leader && known_epoch <= request.epoch};
  if (!response.is_granted) return response;
  ++grants_;
  granted_until_ = now + options_.grant + options_.drift;
  return response;
}

} // namespace wharf
