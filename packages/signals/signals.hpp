#pragma once
// Everything our processes say to each other, and how it is framed.
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "signals/claim_messages.hpp"
#include "signals/membership_messages.hpp"
#include "signals/placement_messages.hpp"
#include "signals/quota_messages.hpp"
#include "signals/raft_messages.hpp"
#include "signals/slot_messages.hpp"
#include "signals/witness_messages.hpp"

namespace wharf {

/// A whole frame for another pilot that its sender cannot reach itself; passed on once.
struct PassOn {
  NodeId to = 0;
  std::string frame;
  WHARF_CARRY(to, frame)
};

/// Everything our processes say to each other.
using Signal =
    std::variant<MembershipGossip, FoundAsk, FoundSay, FoundOrder, RequestVoteRequest, RequestVoteResponse,
                 AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, Pulse, Orders,
                 NotLeader, ClaimAsk, ClaimSay, CloseAsk, CloseSay, PermitAsk, PermitSay, LedgerCopy,
                 LedgerAck, SlotAsk, SlotSay, SlotFree, SlotFreed, InventoryAsk, InventorySay,
                 InstallSnapshotResponse, PassOn, TimeoutNowRequest, WitnessRequest, WitnessResponse>;

/// The name of the signal at a place in the list, for counters.
std::string_view signal_name_at(std::size_t kind);

/// A signal with its sender.
struct Envelope {
  NodeId from = 0;
  std::string from_address;
  Signal signal;
};

/// Signals a state machine wants sent, by node or, before a node is known, by address.
struct Posted {
  NodeId to = 0;
  std::string address;
  Signal signal;
};
using Outbox = std::vector<Posted>;

/// The largest frame our processes accept.
constexpr std::size_t frame_limit = 32u << 20;

/// Bytes of one value, by Boost.Serialization.
template <typename Value> std::string pack(const Value &value);
/// The value of bytes; false when they do not hold one.
template <typename Value> bool unpack(std::string_view bytes, Value &value);

/// A whole frame: mark, length, checksum, body.
std::string frame(const Envelope &envelope);

enum class FrameState { whole, partial, broken };
/// Reads one frame from the front of `bytes`; `used` tells how many bytes it took.
FrameState unframe(std::string_view bytes, Envelope &envelope, std::size_t &used);

/// CRC-32C of bytes.
std::uint32_t checksum(std::string_view bytes, std::uint32_t seed = 0);

} // namespace wharf
