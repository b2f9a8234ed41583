// A node's reports to the leader of the control group.
#include "pilot/pilot.hpp"

#include <algorithm>

namespace wharf {

std::vector<Want> Pilot::wants_to_report(bool has_all, Instant now) {
  std::vector<Want> wants = scheduler_.wants(now);
  if (has_all) reported_wants_.clear();
  std::erase_if(wants, [&](const Want &want) {
    const std::pair<std::uint32_t, std::size_t> newest(want.runners, want.retire.size());
    const auto [reported, is_new] = reported_wants_.try_emplace(want.service, newest);
    if (is_new) return false;
    const bool is_known = reported->second == newest;
    reported->second = newest;
    return is_known;
  });
  return wants;
}

void Pilot::send_pulse(Instant now, PilotOutput &out) {
  const bool has_all_wants = now >= pulse_at_;
  pulse_at_ = has_all_wants ? now + options_.pulse : pulse_at_;
  pulsed_at_ = now;
  told_wants_ = scheduler_.wants_mark();
  Pulse pulse;
  pulse.sent_at = now;
  pulse.version = in_force().version;
  pulse.epoch = roster_.epoch;
  pulse.runners_stamp = runners_stamp_;
  pulse.runners_term = runners_term_;
  pulse.is_leaving = is_leaving_;
  pulse.capacity = options_.capacity;
  pulse.has_lost_lease = fresh_until_ != 0 && !is_fresh(now);
  pulse.has_all_wants = has_all_wants;
  pulse.wants = wants_to_report(has_all_wants, now);
  pulse.up_for = now - born_;
  pulse.has_missed_manifest = has_missed_manifest_;
  pulse.received = manifest_text_version_;
  pulse.is_beside_control = options_.is_beside_control;
  pulse.witness_granted_for = witness_.granted_for(now);
  has_missed_manifest_ = false;
  const auto note_replaced = [&](const std::vector<NodeId> &pilots,
                                 const std::vector<std::string> &addresses) {
    for (std::size_t at = 0; at < pilots.size() && at < addresses.size(); ++at)
      if (pilots[at] != self_.id && addresses[at] == self_.address) pulse.replaces.push_back(pilots[at]);
  };
  note_replaced(roster_.pilots, roster_.addresses);
  for (const PastRoster &past : roster_.past) note_replaced(past.pilots, past.addresses);
  if (hears_leader(now)) {
    if (now - sounded_at_ >= options_.sound_again) {
      sounded_at_ = now;
      pulse.soundings = soundings_.take(options_.soundings_most);
    }
    send_leader(pulse, out);
    return;
  }
  count("reports_while_searching");
  search_leader(pulse, has_all_wants, now, out);
}

void Pilot::search_leader(const Pulse &pulse, bool is_regular, Instant now, PilotOutput &out) {
  std::set<std::string> asked;
  for (const Member &member : membership_.living(now)) {
    if (member.role != static_cast<std::uint8_t>(Role::control)) continue;
    out.mail.push_back({member.id, {}, pulse});
    asked.insert(member.address);
  }
  tell_of_search(asked.size(), now, out);
  if (!is_regular) return;
  // Membership may be wrong about the one process that matters.
  const std::string named = membership_.address_of(leader_);
  if (!named.empty() && asked.insert(named).second) out.mail.push_back({leader_, {}, pulse});
  for (const std::string &seed : membership_.seeds())
    if (seed != self_.address && asked.insert(seed).second) out.mail.push_back({0, seed, pulse});
}

bool Pilot::hears_leader(Instant now) const {
  return leader_ != 0 && now - heard_leader_at_ < options_.leader_silence;
}

void Pilot::note_leader_heard(NodeId leader, Instant now, PilotOutput &out) {
  if (is_search_told_)
    out.lines.push_back("hears a leader again, " + std::to_string(leader) + ", after " +
                        std::to_string((now - heard_leader_at_) / milliseconds(1)) + " ms");
  is_search_told_ = false;
  leader_ = leader;
  heard_leader_at_ = now;
}

void Pilot::tell_of_search(std::size_t asked, Instant now, PilotOutput &out) {
  if (is_search_told_ || now - std::max(heard_leader_at_, born_) < options_.search_told_after) return;
  is_search_told_ = true;
  std::string line = "hears no leader, reports to " + std::to_string(asked) + " control processes";
  if (leader_ != 0)
    line += ", the last one named is " + std::to_string(leader_) +
            (membership_.is_living(leader_, now) ? " and lives" : " and is not known to live");
  out.lines.push_back(line);
}

} // namespace wharf
