#include "rollcall/rollcall.hpp"

#include <algorithm>

namespace wharf {

Rollcall::Rollcall(Member self, std::vector<std::string> seeds, RollcallOptions options)
    : self_(std::move(self)), seeds_(std::move(seeds)), options_(options) {}

void Rollcall::step(const Envelope &envelope, Instant now, Outbox &out) {
  const auto *muster = std::get_if<Muster>(&envelope.signal);
  if (muster == nullptr) return;
  for (const Member &member : muster->members) {
    if (member.id == self_.id) self_.beat = std::max(self_.beat, member.beat + 1);
    if (member.id == self_.id || member.id == 0) continue;
    const auto found = known_.find(member.id);
    if (found == known_.end()) {
      known_[member.id] = {member, now};
      continue;
    }
    if (member.beat <= found->second.member.beat) {
      const bool is_set_back =
          member.id == envelope.from && found->second.member.beat - member.beat > options_.beats_late;
      if (is_set_back) out.push_back({0, envelope.from_address, Muster{{found->second.member}}});
      continue;
    }
    found->second = {member, now};
  }
}

void Rollcall::tick(Instant now, Outbox &out) {
  if (now < next_at_) return;
  next_at_ = now + options_.every;
  ++self_.beat;
  Muster muster;
  muster.members.push_back(self_);
  for (auto item = known_.begin(); item != known_.end();) {
    if (now - item->second.advanced > options_.forget_after) {
      item = known_.erase(item);
      continue;
    }
    if (now - item->second.advanced <= options_.silent_after) muster.members.push_back(item->second.member);
    ++item;
  }
  for (const auto &[id, known] : known_) out.push_back({id, known.member.address, muster});
  for (const std::string &seed : seeds_) {
    const bool is_known =
        seed == self_.address || std::any_of(known_.begin(), known_.end(), [&](const auto &item) {
          return item.second.member.address == seed && now - item.second.advanced <= options_.silent_after;
        });
    if (!is_known) out.push_back({0, seed, muster});
  }
}

std::vector<Member> Rollcall::living(Instant now) const {
  std::vector<Member> list;
  for (const auto &[id, known] : known_)
    if (now - known.advanced <= options_.silent_after) list.push_back(known.member);
  return list;
}

const Member *Rollcall::find(NodeId id) const {
  if (id == self_.id) return &self_;
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second.member;
}

bool Rollcall::is_living(NodeId id, Instant now) const {
  if (id == self_.id) return true;
  const auto found = known_.find(id);
  return found != known_.end() && now - found->second.advanced <= options_.silent_after;
}

std::string Rollcall::address_of(NodeId id) const {
  const Member *member = find(id);
  return member == nullptr ? std::string() : member->address;
}

} // namespace wharf
