#pragma once
// Who is there: gossip, and the questions before a control group is founded.
#include <cstdint>
#include <string>
#include <vector>

#include "signals/identity.hpp"

namespace wharf {

enum class Role : std::uint8_t { control = 1, pilot = 2 };

/// One process as the others know it.
struct Member {
  NodeId id = 0;
  std::uint64_t group = 0;
  std::string address, http, zone;
  std::uint8_t role = 0;
  std::uint64_t beat = 0;
  bool is_leaving = false;
  /// False for a control process that keeps nothing and so is never made a replica.
  bool is_replica = true;
  WHARF_CARRY(id, group, address, http, zone, role, beat, is_leaving, is_replica)
};

/// Of a beat so many low bits are told to those who know the rest of it.
constexpr unsigned told_beat_bits = 16;
/// The first beat of a process that starts at a time of day: no two lives share the part that is not told.
constexpr std::uint64_t first_beat_at(std::uint64_t time_of_day_ms) {
  return time_of_day_ms << told_beat_bits;
}
/// The part of a beat that is not told: it stays the same for 65,536 beats, and differs from life to life.
constexpr std::uint64_t beat_era_of(std::uint64_t beat) { return beat >> told_beat_bits; }

/// A short name for a member, or for an era of its beats, to those who know the rest.
using ShortId = std::uint32_t;
inline ShortId short_id_of(NodeId id) { return static_cast<ShortId>(id ^ (id >> 32)); }
/// Names a member together with the era of its beats: who does not know that era does not know the name.
inline ShortId short_era_of(const Member &member) {
  constexpr std::uint64_t odd_multiplier = 0x9e3779b97f4a7c15;
  return short_id_of(member.id) ^ static_cast<ShortId>((beat_era_of(member.beat) * odd_multiplier) >> 32);
}

/// That a member lives, to those who know the era of its beats: only the low part of the beat is told. Most
/// of all bytes between processes are beats, so they are kept small.
struct Beat {
  ShortId id = 0;
  std::uint16_t beat = 0;
  WHARF_CARRY(id, beat)
};
/// Membership gossip: the sender, what is new to it, the beats of all others it knows to live, and whom it
/// knows only by a beat, or by identity alone, and asks about.
struct MembershipGossip {
  std::vector<Member> members;
  std::vector<Beat> beats;
  std::vector<ShortId> asks;
  WHARF_CARRY(members, beats, asks)
};

/// Asks a seed whether any group exists.
struct FoundAsk {
  std::uint64_t nonce = 0;
  std::vector<std::string> seeds;
  WHARF_CARRY(nonce, seeds)
};
struct FoundSay {
  std::uint64_t nonce = 0, group = 0;
  NodeId id = 0;
  bool may_found = false;
  std::string zone;
  WHARF_CARRY(nonce, group, id, may_found, zone)
};

} // namespace wharf
