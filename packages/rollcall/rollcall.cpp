#include "rollcall/rollcall.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// News reaches as many members in this many rounds as the usual silence allows for.
constexpr std::size_t usual_rounds = 2;
} // namespace

Rollcall::Rollcall(Member self, std::vector<std::string> seeds, RollcallOptions options)
    : self_(std::move(self)), seeds_(std::move(seeds)), options_(options) {}

void Rollcall::learn(const Member &member, Instant now) {
  Known &known = known_[member.id];
  const Member &old = known.member;
  const bool is_news = old.id == 0 || old.address != member.address || old.http != member.http ||
                       old.group != member.group || old.is_leaving != member.is_leaving;
  if (is_news) known.learned = now;
  known.member = member;
  known.advanced = now;
}

void Rollcall::step(const Envelope &envelope, Instant now, Outbox &out) {
  const auto *muster = std::get_if<Muster>(&envelope.signal);
  if (muster == nullptr) return;
  for (const Member &member : muster->members) {
    if (member.id == self_.id) self_.beat = std::max(self_.beat, member.beat + 1);
    if (member.id == self_.id || member.id == 0) continue;
    const auto found = known_.find(member.id);
    if (found == known_.end()) {
      learn(member, now);
      if (member.id == envelope.from) out.push_back({0, envelope.from_address, whole(now)});
      continue;
    }
    if (member.beat <= found->second.member.beat) {
      const bool is_set_back =
          member.id == envelope.from && found->second.member.beat - member.beat > options_.beats_late;
      if (is_set_back) out.push_back({0, envelope.from_address, Muster{{found->second.member}, {}, {}}});
      continue;
    }
    learn(member, now);
  }
  Muster reply;
  for (const Beat &beat : muster->beats) {
    if (beat.id == self_.id) {
      self_.beat = std::max(self_.beat, beat.beat + 1);
      continue;
    }
    const auto found = known_.find(beat.id);
    if (found == known_.end()) {
      reply.asks.push_back(beat.id);
    } else if (beat.beat > found->second.member.beat) {
      found->second.member.beat = beat.beat;
      found->second.advanced = now;
    }
  }
  for (NodeId id : muster->asks)
    if (const auto found = known_.find(id); found != known_.end())
      reply.members.push_back(found->second.member);
  if (reply.asks.empty() && reply.members.empty()) return;
  reply.members.push_back(self_);
  out.push_back({0, envelope.from_address, std::move(reply)});
}

Muster Rollcall::whole(Instant now) const {
  Muster muster;
  muster.members.push_back(self_);
  for (const auto &[id, known] : known_)
    if (now - known.advanced <= silence()) muster.members.push_back(known.member);
  return muster;
}

std::size_t Rollcall::rounds() const {
  std::size_t count = 1, reached = options_.told_each + 1;
  for (; reached < known_.size() + 1; reached *= options_.told_each + 1) ++count;
  return count;
}

Span Rollcall::silence() const {
  const auto extra = static_cast<Span>(std::max(rounds(), usual_rounds) - usual_rounds);
  return options_.silent_after + extra * 2 * options_.every;
}

std::vector<const Rollcall::Known *> Rollcall::next_told() {
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

void Rollcall::tick(Instant now, Outbox &out) {
  if (now < next_at_) return;
  next_at_ = now + options_.every;
  ++self_.beat;
  std::erase_if(known_, [&](const auto &item) { return now - item.second.advanced > options_.forget_after; });
  Muster muster;
  muster.members.push_back(self_);
  for (const auto &[id, known] : known_) {
    if (now - known.advanced > silence()) continue;
    if (now - known.learned <= options_.news_for)
      muster.members.push_back(known.member);
    else
      muster.beats.push_back({id, known.member.beat});
  }
  for (const Known *known : next_told()) out.push_back({known->member.id, known->member.address, muster});
  for (const std::string &seed : seeds_) {
    const bool is_known =
        seed == self_.address || std::any_of(known_.begin(), known_.end(), [&](const auto &item) {
          return item.second.member.address == seed && now - item.second.advanced <= silence();
        });
    if (!is_known) out.push_back({0, seed, Muster{{self_}, {}, {}}});
  }
}

std::vector<Member> Rollcall::living(Instant now) const {
  std::vector<Member> list;
  for (const auto &[id, known] : known_)
    if (now - known.advanced <= silence()) list.push_back(known.member);
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
  return found != known_.end() && now - found->second.advanced <= silence();
}

bool Rollcall::is_replaced(NodeId id) const {
  const auto found = known_.find(id);
  if (found == known_.end()) return false;
  const Known &old = found->second;
  return std::any_of(known_.begin(), known_.end(), [&](const auto &item) {
    const Known &other = item.second;
    return item.first != id && other.member.address == old.member.address &&
           other.advanced > old.advanced + options_.replaced_after;
  });
}

std::string Rollcall::address_of(NodeId id) const {
  const Member *member = find(id);
  return member == nullptr ? std::string() : member->address;
}

} // namespace wharf
