#pragma once
// Slots of runners: asks, grants, and what a new owner of a service asks for.
#include <cstdint>
#include <string>
#include <vector>

#include "signals/identity.hpp"
#include "tide/tide.hpp"

namespace wharf {

struct SlotAsk {
  std::string errand, service, tenant;
  Epoch epoch = 0;
  std::uint32_t worth = 1;
  Span patience = 0;
  std::uint32_t attempt = 0;
  bool is_second = false;
  std::string avoid, zone;
  WHARF_CARRY(errand, service, tenant, epoch, worth, patience, attempt, is_second, avoid, zone)
};
enum class SlotState : std::uint8_t { granted = 0, refused = 1, not_mine = 2 };
struct SlotSay {
  std::string errand, service, runner, address, seal_key;
  Epoch epoch = 0;
  std::uint8_t state = 0;
  std::uint32_t attempt = 0;
  Span retry_after = 0;
  std::string why, handle;
  WHARF_CARRY(errand, service, runner, address, seal_key, epoch, state, attempt, retry_after, why, handle)
};
enum class SlotEnd : std::uint8_t { answered = 0, refused = 1, unreached = 2, lost = 3, unused = 4 };
struct SlotFree {
  std::string errand, service, runner;
  std::uint8_t end = 0;
  std::uint32_t attempt = 0;
  WHARF_CARRY(errand, service, runner, end, attempt)
};
struct SlotFreed {
  std::string errand, service;
  std::uint32_t attempt = 0;
  WHARF_CARRY(errand, service, attempt)
};
struct HeldSlot {
  std::string errand, runner;
  NodeId pilot = 0;
  std::uint32_t attempt = 0;
  Span left = 0;
  WHARF_CARRY(errand, runner, pilot, attempt, left)
};
/// A new owner's question to a node: which slots of these services does it hold or know of? All services that
/// the node has not told of yet go into one question; it keeps its number when it is sent again.
struct InventoryAsk {
  std::uint64_t number = 0;
  Epoch epoch = 0;
  std::vector<std::string> services;
  WHARF_CARRY(number, epoch, services)
};

/// What a node knows of one service's slots.
struct ServiceInventory {
  std::string service;
  std::vector<HeldSlot> held;
  bool is_former_owner = false;
  std::vector<HeldSlot> granted_by_former;
  std::vector<std::string> doubtful;
  bool is_empty() const {
    return held.empty() && !is_former_owner && granted_by_former.empty() && doubtful.empty();
  }
  WHARF_CARRY(service, held, is_former_owner, granted_by_former, doubtful)
};

/// The answer; services of the question that it does not name have nothing at this node.
struct InventorySay {
  std::uint64_t number = 0;
  Epoch epoch = 0;
  std::vector<ServiceInventory> services;
  WHARF_CARRY(number, epoch, services)
};

} // namespace wharf
