#pragma once
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "pilot/pilot.hpp"

namespace wharf {

constexpr NodeId rig_self = 1, rig_other = 2, rig_leader = 100;

/// A pilot with a manifest in force and a roster of itself and one other.
struct PilotRig {
  Instant now = seconds(10);
  Pilot pilot;
  std::string service, tenant;

  explicit PilotRig(const PilotOptions &options = {}) : pilot(make_self(), {"seed"}, options, seconds(10)) {
    for (int at = 0; service.empty(); ++at) {
      const std::string name = "s" + std::to_string(at);
      if (rank_nodes({rig_self, rig_other}, name, scheduler_salt)[0] == rig_other) service = name;
    }
    for (int at = 0; tenant.empty(); ++at) {
      const std::string name = "t" + std::to_string(at);
      if (rank_nodes({rig_self, rig_other}, name, purser_salt)[0] == rig_other) tenant = name;
    }
    PilotOutput out;
    pilot.receive({rig_leader, "h", orders(1, "first-key-00000000")}, now, out);
  }

  static Member make_self() {
    Member self;
    self.id = rig_self;
    self.address = "p";
    self.role = static_cast<std::uint8_t>(Role::pilot);
    return self;
  }

  Orders orders(Version version, const std::string &key) const {
    Orders list;
    list.sent_at = now;
    list.term = 1;
    list.version = version;
    list.has_manifest = true;
    list.manifest = R"({"tenants": {")" + tenant + R"(": {"keys": [")" + key +
                    R"("], "base": 100}}, "services": {")" + service +
                    R"(": {"image": "i", "slots": 4, "once": true}}, "rules": {"r": "* /** to )" + service +
                    R"("}})";
    list.roster.epoch = 1;
    list.roster.pilots = {rig_self, rig_other};
    list.roster.is_first = true;
    list.settled = 1;
    return list;
  }

  Waybill bill(const std::string &id, const std::string &once_key = {}) {
    ErrandHead head;
    head.id = id;
    head.method = "POST";
    head.target = "/x";
    head.key = "first-key-00000000";
    head.idempotency_key = once_key;
    Waybill planned = std::get<Waybill>(pilot.front(head, now));
    planned.is_paid = true;
    return planned;
  }

  SlotSay grant(const std::string &errand, const std::string &runner, std::uint32_t attempt) const {
    SlotSay say;
    say.errand = errand;
    say.service = service;
    say.runner = runner;
    say.address = "127.0.0.1:1";
    say.epoch = 1;
    say.attempt = attempt;
    return say;
  }
};

/// Tries every order of some deeds, one by one; `count` deeds, `play` gets the order.
template <typename Play> void every_order(std::size_t count, Play play) {
  std::vector<std::size_t> order(count);
  for (std::size_t at = 0; at < count; ++at) order[at] = at;
  do play(order);
  while (std::next_permutation(order.begin(), order.end()));
}

} // namespace wharf
