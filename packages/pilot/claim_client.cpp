// A node's part in claims: what runs once is claimed at the control group before it goes to a runner, and
// closed after.
#include "pilot/pilot.hpp"

namespace wharf {

void Pilot::ask_claim(Afloat &errand, Instant now, PilotOutput &out) {
  errand.retry.sent(now);
  errand.has_claimed = true;
  note(errand, now, "asks the control group for its claim");
  send_leader(ClaimAsk{errand.bill.claim_key, errand.bill.id, errand.bill.claim_digest}, out);
}

void Pilot::handle(const ClaimSay &say, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(say.errand);
  if (found == afloat_.end() || found->second.bill.steps[found->second.at] != Step::claim) return;
  Afloat &errand = found->second;
  static constexpr const char *names[] = {"first",    "in flight", "recorded", "unknown",
                                          "mismatch", "refused",   "not kept"};
  note(errand, now,
       std::string("claim answered: ") + (say.state < std::size(names) ? names[say.state] : "?"));
  switch (static_cast<ClaimState>(say.state)) {
  case ClaimState::first:
    next_step(say.errand, now, out);
    return;
  case ClaimState::recorded: {
    errand.has_claimed = false;
    CallEnd end;
    end.status = say.status;
    end.type = say.type;
    end.body = say.body;
    end.headers = say.headers;
    finish(say.errand, Fate::replayed, 0, now, out, &end, say.first_errand);
    return;
  }
  case ClaimState::in_flight:
  case ClaimState::unknown:
    errand.has_claimed = false;
    finish(say.errand, Fate::in_flight, seconds(1), now, out, nullptr, say.first_errand);
    return;
  case ClaimState::mismatch:
    errand.has_claimed = false;
    finish(say.errand, Fate::key_reused, 0, now, out);
    return;
  case ClaimState::not_kept:
    errand.has_claimed = false;
    finish(say.errand, Fate::not_kept, 0, now, out, nullptr, say.first_errand);
    return;
  case ClaimState::refused:
    finish(say.errand, Fate::no_runner, seconds(1), now, out, nullptr, "claims-full");
    return;
  }
}

void Pilot::close_claim(const Afloat &errand, ClosedAs as, const CallEnd *end, Instant now,
                        PilotOutput &out) {
  CloseAsk close;
  close.key = errand.bill.claim_key;
  close.errand = errand.bill.id;
  close.closed_as = static_cast<std::uint8_t>(as);
  if (as == ClosedAs::run && end != nullptr) {
    close.status = end->status;
    std::size_t bytes = end->type.size() + end->body.size();
    for (const KeptHeader &header : end->headers) bytes += header.name.size() + header.value.size();
    close.is_whole = bytes <= options_.record_most;
    if (close.is_whole) {
      close.type = end->type;
      close.body = end->body;
      close.headers = end->headers;
    }
  }
  send_leader(close, out);
  Backoff retry(options_.claim_again, options_.claim_again_most);
  retry.sent(now);
  closing_.push_back({std::move(close), retry, now + seconds(120)});
}

} // namespace wharf
