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

/// The part of a member's identity by which gossip names it to those who know the rest.
using ShortId = std::uint32_t;
inline ShortId short_id_of(NodeId id) { return static_cast<ShortId>(id ^ (id >> 32)); }

/// That a member lives, to those who know the rest of it: of its beat only the low part is told, which those
/// who know an earlier one complete. Most of all bytes between processes are beats, so they are kept small.
struct Beat {
  ShortId id = 0;
  std::uint16_t beat = 0;
  WHARF_CARRY(id, beat)
};
/// Membership gossip: the sender, what is new to it, the beats of all others it knows to live, and whom it
/// knows only by a beat and asks about.
struct Muster {
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
