#include "membership/membership.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// News reaches as many members in this many rounds as the usual silence allows for.
constexpr std::size_t usual_rounds = 2;

/// The beat of the same era as a known one that ends in these low bits.
std::uint64_t completed_beat(std::uint64_t known, std::uint16_t low) {
  return first_beat_at(beat_era_of(known)) | low;
}
} // namespace

Membership::Membership(Member self, std::vector<std::string> seeds, MembershipOptions options)
    : self_(std::move(self)), seeds_(std::move(seeds)), options_(options),
      seek_retry_(options.seek_again, options.seek_again_most) {}

void Membership::seek(const std::vector<Replica> &replicas) {
  std::vector<NodeId> unknown;
  for (const Replica &replica : replicas)
    if (replica.id != self_.id && !known_.contains(replica.id)) unknown.push_back(replica.id);
  const bool is_same = unknown == sought_;
  sought_ = std::move(unknown);
  if (!is_same) seek_retry_.restart();
}

void Membership::ask_for_sought(Instant now, Outbox &out) {
  if (sought_.empty() || !seek_retry_.is_due(now)) return;
  seek_retry_.sent(now);
  MembershipGossip question;
  question.members.push_back(self_);
  for (NodeId id : sought_) question.asks.push_back(short_id_of(id));
  for (const std::string &seed : seeds_)
    if (seed != self_.address) out.push_back({0, seed, question});
}

void Membership::learn(const Member &member, Instant now) {
  Known &known = known_[member.id];
  const Member &old = known.member;
  const bool is_other_era = old.id == 0 || beat_era_of(old.beat) != beat_era_of(member.beat);
  const bool is_news = is_other_era || old.address != member.address || old.http != member.http ||
                       old.group != member.group || old.is_leaving != member.is_leaving;
  if (is_news) known.learned = now;
  if (is_other_era) {
    forget_short_era(old);
    short_eras_.emplace(short_era_of(member), member.id);
  }
  known.member = member;
  known.advanced = now;
}

void Membership::forget_short_era(const Member &member) {
  const auto [first, last] = short_eras_.equal_range(short_era_of(member));
  const auto found = std::find_if(first, last, [&](const auto &item) { return item.second == member.id; });
  if (found != last) short_eras_.erase(found);
}

Membership::Known *Membership::find_short(ShortId era) {
  if (short_eras_.count(era) != 1) return nullptr;
  return &known_.at(short_eras_.find(era)->second);
}

bool Membership::is_ambiguous(const Member &member) const {
  const ShortId era = short_era_of(member);
  return short_eras_.count(era) > 1 || era == short_era_of(self_);
}

bool Membership::is_behind(const Known &known, const Member &told, bool is_told_by_itself,
                           Instant now) const {
  if (beat_era_of(told.beat) != beat_era_of(known.member.beat)) return true;
  const bool is_far = known.member.beat - told.beat > options_.beats_late;
  return is_told_by_itself && (is_far || now - known.advanced > silence());
}

std::vector<Member> Membership::members_named(ShortId name) const {
  std::vector<Member> named;
  for (const auto &[id, known] : known_)
    if (short_era_of(known.member) == name || short_id_of(id) == name) named.push_back(known.member);
  return named;
}

void Membership::step(const Envelope &envelope, Instant now, Outbox &out) {
  const auto *gossip = std::get_if<MembershipGossip>(&envelope.signal);
  if (gossip == nullptr) return;
  for (const Member &member : gossip->members) {
    if (member.id == self_.id) self_.beat = std::max(self_.beat, member.beat + 1);
    if (member.id == self_.id || member.id == 0) continue;
    const auto found = known_.find(member.id);
    if (found == known_.end()) {
      learn(member, now);
      if (member.id == envelope.from) out.push_back({0, envelope.from_address, whole(now)});
      continue;
    }
    if (member.beat <= found->second.member.beat) {
      if (is_behind(found->second, member, member.id == envelope.from, now))
        out.push_back({0, envelope.from_address, MembershipGossip{{found->second.member}, {}, {}}});
      continue;
    }
    learn(member, now);
  }
  MembershipGossip reply;
  for (const Beat &beat : gossip->beats) {
    if (beat.id == short_era_of(self_)) {
      // Beyond any beat that others know.
      self_.beat = std::max(self_.beat, completed_beat(self_.beat, beat.beat) + 1);
      continue;
    }
    Known *known = find_short(beat.id);
    if (known == nullptr) {
      if (!short_eras_.contains(beat.id)) reply.asks.push_back(beat.id);
      continue;
    }
    const std::uint64_t told = completed_beat(known->member.beat, beat.beat);
    if (told <= known->member.beat) {
      beats_passed_over_ += told < known->member.beat ? 1 : 0;
      continue;
    }
    known->member.beat = told;
    known->advanced = now;
  }
  bool is_sought = false;
  for (ShortId name : gossip->asks) {
    is_sought = is_sought || name == short_id_of(self_.id) || name == short_era_of(self_);
    for (Member &member : members_named(name)) reply.members.push_back(std::move(member));
  }
  if (reply.asks.empty() && reply.members.empty() && !is_sought) return;
  reply.members.push_back(self_);
  out.push_back({0, envelope.from_address, std::move(reply)});
}

MembershipGossip Membership::whole(Instant now) const {
  MembershipGossip gossip;
  gossip.members.push_back(self_);
  for (const auto &[id, known] : known_)
    if (now - known.advanced <= silence()) gossip.members.push_back(known.member);
  return gossip;
}

std::size_t Membership::rounds() const {
  std::size_t count = 1, reached = options_.told_each + 1;
  for (; reached < known_.size() + 1; reached *= options_.told_each + 1) ++count;
  return count;
}

Span Membership::silence() const {
  const auto extra = static_cast<Span>(std::max(rounds(), usual_rounds) - usual_rounds);
  return options_.silent_after + extra * 2 * options_.every;
}

std::vector<const Membership::Known *> Membership::next_told() {
  std::vector<const Known *> told;
  if (known_.empty()) return told;
  std::size_t stride = 1;
  for (std::size_t round = beats_told_++ % rounds(); round > 0; --round) stride *= options_.told_each + 1;
  std::vector<const Known *> ring;
  const auto behind = known_.upper_bound(self_.id);
  for (auto at = behind; at != known_.end(); ++at) ring.push_back(&at->second);
  for (auto at = known_.begin(); at != behind; ++at) ring.push_back(&at->second);
  for (std::size_t step = 1; step <= std::min(options_.told_each, ring.size()); ++step) {
    const Known *next = ring[(step * stride - 1) % ring.size()];
    if (std::find(told.begin(), told.end(), next) == told.end()) told.push_back(next);
  }
  return told;
}

void Membership::forget_silent(Instant now) {
  const auto is_over = [&](const Known &known) { return now - known.advanced > options_.forget_after; };
  std::erase_if(short_eras_, [&](const auto &item) { return is_over(known_.at(item.second)); });
  std::erase_if(known_, [&](const auto &item) { return is_over(item.second); });
}

void Membership::tick(Instant now, Outbox &out) {
  ask_for_sought(now, out);
  if (now < next_at_) return;
  next_at_ = now + options_.every;
  ++self_.beat;
  forget_silent(now);
  MembershipGossip gossip;
  gossip.members.push_back(self_);
  for (const auto &[id, known] : known_) {
    if (now - known.advanced > silence()) continue;
    if (now - known.learned <= options_.news_for || is_ambiguous(known.member))
      gossip.members.push_back(known.member);
    else
      gossip.beats.push_back({short_era_of(known.member), static_cast<std::uint16_t>(known.member.beat)});
  }
  for (const Known *known : next_told()) out.push_back({known->member.id, known->member.address, gossip});
  for (const std::string &seed : seeds_) {
    const bool is_known =
        seed == self_.address || std::any_of(known_.begin(), known_.end(), [&](const auto &item) {
          return item.second.member.address == seed && now - item.second.advanced <= silence();
        });
    if (!is_known) out.push_back({0, seed, MembershipGossip{{self_}, {}, {}}});
  }
}

std::vector<Member> Membership::living(Instant now) const {
  std::vector<Member> list;
  for (const auto &[id, known] : known_)
    if (now - known.advanced <= silence()) list.push_back(known.member);
  return list;
}

const Member *Membership::find(NodeId id) const {
  if (id == self_.id) return &self_;
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second.member;
}

bool Membership::is_living(NodeId id, Instant now) const {
  if (id == self_.id) return true;
  const auto found = known_.find(id);
  return found != known_.end() && now - found->second.advanced <= silence();
}

bool Membership::is_replaced(NodeId id) const {
  const auto found = known_.find(id);
  if (found == known_.end()) return false;
  const Known &old = found->second;
  return std::any_of(known_.begin(), known_.end(), [&](const auto &item) {
    const Known &other = item.second;
    return item.first != id && other.member.address == old.member.address &&
           other.advanced > old.advanced + options_.replaced_after;
  });
}

std::string Membership::address_of(NodeId id) const {
  const Member *member = find(id);
  return member == nullptr ? std::string() : member->address;
}

} // namespace wharf
