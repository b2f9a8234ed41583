#include "signals/signals.hpp"

#include <algorithm>
#include <array>
#include <cstring>

#include "signals/pack.hpp"

namespace wharf {

namespace {
constexpr std::uint32_t frame_mark = 0x57484A31;
constexpr std::size_t frame_head = 12;

std::array<std::uint32_t, 256> make_table() {
  std::array<std::uint32_t, 256> table{};
  for (std::uint32_t at = 0; at < 256; ++at) {
    std::uint32_t word = at;
    for (int bit = 0; bit < 8; ++bit) word = (word & 1) ? 0x82F63B78u ^ (word >> 1) : word >> 1;
    table[at] = word;
  }
  return table;
}

void put32(std::string &into, std::uint32_t word) {
  char bytes[4];
  std::memcpy(bytes, &word, 4);
  into.append(bytes, 4);
}

std::uint32_t get32(std::string_view bytes, std::size_t at) {
  std::uint32_t word = 0;
  std::memcpy(&word, bytes.data() + at, 4);
  return word;
}

struct PackBody {
  template <typename Value> std::string operator()(const Value &value) const { return pack(value); }
};
} // namespace

std::uint32_t checksum(std::string_view bytes, std::uint32_t seed) {
  static const auto table = make_table();
  std::uint32_t word = ~seed;
  for (unsigned char byte : bytes) word = table[(word ^ byte) & 0xff] ^ (word >> 8);
  return ~word;
}

std::vector<NodeId> rank_nodes(const std::vector<NodeId> &nodes, std::string_view name, std::uint64_t salt) {
  std::vector<std::pair<std::uint64_t, NodeId>> scored;
  for (NodeId node : nodes)
    scored.emplace_back(stable_hash(name.data(), name.size(), node ^ (salt << 56)), node);
  std::sort(scored.rbegin(), scored.rend());
  std::vector<NodeId> ranked;
  for (const auto &[score, node] : scored) ranked.push_back(node);
  return ranked;
}

NodeId top_ranked_node(const std::vector<NodeId> &nodes, std::string_view name, std::uint64_t salt) {
  std::pair<std::uint64_t, NodeId> best;
  for (NodeId node : nodes)
    best = std::max(best, {stable_hash(name.data(), name.size(), node ^ (salt << 56)), node});
  return best.second;
}

NodeId OwnerCache::owner_of(const std::string &name, const Roster &roster) {
  if (roster.epoch != epoch_) owners_.clear();
  epoch_ = roster.epoch;
  const auto [found, is_new] = owners_.try_emplace(name, 0);
  if (is_new) found->second = top_ranked_node(roster.owners(), name, salt_);
  return found->second;
}

std::string_view signal_name_at(std::size_t kind) {
  static constexpr std::array<std::string_view, std::variant_size_v<Signal>> names{"MembershipGossip",
                                                                                   "FoundAsk",
                                                                                   "FoundSay",
                                                                                   "FoundOrder",
                                                                                   "RequestVoteRequest",
                                                                                   "RequestVoteResponse",
                                                                                   "AppendEntriesRequest",
                                                                                   "AppendEntriesResponse",
                                                                                   "InstallSnapshotRequest",
                                                                                   "Pulse",
                                                                                   "Orders",
                                                                                   "NotLeader",
                                                                                   "ClaimAsk",
                                                                                   "ClaimSay",
                                                                                   "CloseAsk",
                                                                                   "CloseSay",
                                                                                   "PermitAsk",
                                                                                   "PermitSay",
                                                                                   "LedgerCopy",
                                                                                   "LedgerAck",
                                                                                   "SlotAsk",
                                                                                   "SlotSay",
                                                                                   "SlotFree",
                                                                                   "SlotFreed",
                                                                                   "InventoryAsk",
                                                                                   "InventorySay",
                                                                                   "InstallSnapshotResponse",
                                                                                   "PassOn",
                                                                                   "TimeoutNowRequest",
                                                                                   "WitnessRequest",
                                                                                   "WitnessResponse"};
  return names[kind];
}

std::string frame(const Envelope &envelope) {
  std::string body;
  body.append(reinterpret_cast<const char *>(&envelope.from), sizeof envelope.from);
  body.push_back(static_cast<char>(envelope.signal.index()));
  body.push_back(static_cast<char>(envelope.from_address.size()));
  body.append(envelope.from_address.substr(0, 255));
  body += std::visit(PackBody{}, envelope.signal);
  std::string whole;
  whole.reserve(body.size() + frame_head);
  put32(whole, frame_mark);
  put32(whole, static_cast<std::uint32_t>(body.size()));
  put32(whole, checksum(body));
  return whole + body;
}

FrameState unframe(std::string_view bytes, Envelope &envelope, std::size_t &used) {
  used = 0;
  if (bytes.size() < frame_head) return FrameState::partial;
  if (get32(bytes, 0) != frame_mark) return FrameState::broken;
  const std::size_t size = get32(bytes, 4);
  if (size > frame_limit || size < 10) return FrameState::broken;
  if (bytes.size() < frame_head + size) return FrameState::partial;
  const std::string_view body = bytes.substr(frame_head, size);
  if (checksum(body) != get32(bytes, 8)) return FrameState::broken;
  std::memcpy(&envelope.from, body.data(), 8);
  const auto kind = static_cast<unsigned char>(body[8]);
  const std::size_t address_size = static_cast<unsigned char>(body[9]);
  if (body.size() < 10 + address_size) return FrameState::broken;
  envelope.from_address.assign(body.substr(10, address_size));
  if (!unpack_choice(kind, body.substr(10 + address_size), envelope.signal)) return FrameState::broken;
  used = frame_head + size;
  return FrameState::whole;
}

} // namespace wharf
