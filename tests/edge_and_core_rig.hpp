#pragma once
// Edge nodes and the control group that leads them, all with their own state machines as deployed, in virtual
// time. Machines of the core are stopped and started again; nodes are cut off, frozen and restarted.
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control_group_rig.hpp"
#include "helm/control_runtime.hpp"
#include "helm/pilot_helm.hpp"

namespace wharf {

class EdgeAndCoreRig {
public:
  static constexpr int tenants = 6;
  static constexpr Span step = milliseconds(10);
  /// What a tenant may spend a second; requests come at half of that.
  int base = 120;

  EdgeAndCoreRig(std::size_t node_count, std::uint64_t seed, bool must_wait_for_witnesses = true)
      : dice_(seed) {
    group.options = control_runtime_options(ProcessOptions{}).control;
    group.options.must_wait_for_witnesses = must_wait_for_witnesses;
    group.seeds = {"m0", "m1", "m2"};
    group.to_outside = [this](const std::string &to, const Envelope &envelope) {
      post(envelope.from_address, to, envelope);
    };
    for (const std::string &address : group.seeds) group.add(address);
    for (std::size_t at = 0; at < node_count; ++at) {
      nodes_.emplace_back();
      nodes_.back().address = "e" + std::to_string(at);
      start_node(at);
    }
    run(seconds(6));
    order_configuration();
    run(seconds(4));
    is_loaded_ = true;
  }

  /// Passes time; requests come to all nodes that run.
  void run(Span span) {
    for (const Instant until = group.now + span; group.now < until;) {
      group.pass(step);
      if (is_loaded_) arrive();
      deliver();
      for (std::size_t at = 0; at < nodes_.size(); ++at) tick(at);
      count_owners();
    }
  }

  void stop_machine(const std::string &address) {
    if (group.machines.at(address).node) group.stop(address);
  }
  void start_machine(const std::string &address) {
    if (!group.machines.at(address).node) group.start(address);
  }
  /// Two machines lose each other's messages, one way.
  void cut(const std::string &from, const std::string &to) { cuts_.insert({from, to}); }
  void cut_both(const std::string &one, const std::string &other) {
    cut(one, other);
    cut(other, one);
  }
  void heal() { cuts_.clear(); }
  /// A node does nothing until it thaws; what was sent to it waits.
  void freeze(std::size_t node, Span span) { nodes_[node].frozen_until = group.now + span; }
  /// Ends a node's process.
  void stop_node(std::size_t node) { nodes_[node].pilot.reset(); }
  /// Begins a process at the node's address, under an identity of its own.
  void start_node(std::size_t node) {
    Member self;
    self.id = next_id_++;
    self.address = self.http = nodes_[node].address;
    self.role = static_cast<std::uint8_t>(Role::pilot);
    self.beat = first_beat_at(static_cast<std::uint64_t>(group.now / milliseconds(1)));
    nodes_[node].id = self.id;
    nodes_[node].pilot =
        std::make_unique<Pilot>(self, group.seeds, pilot_helm_options(ProcessOptions{}).pilot, group.now);
  }
  bool is_up(std::size_t node) const { return nodes_[node].pilot != nullptr; }
  std::size_t size() const { return nodes_.size(); }
  const std::string &address_of(std::size_t node) const { return nodes_[node].address; }
  /// The node whose process owns a tenant's quota by the node set in force at another one.
  std::size_t owner_of(const std::string &tenant, std::size_t asked) const {
    const NodeId id = top_ranked_node(nodes_[asked].pilot->roster().owners(), tenant, purser_salt);
    for (std::size_t at = 0; at < nodes_.size(); ++at)
      if (nodes_[at].id == id) return at;
    return nodes_.size();
  }
  static std::string tenant(int which) { return "t" + std::to_string(which); }
  Dice &dice() { return dice_; }

  /// The most processes that were ready to grant one tenant's tokens at one moment.
  std::size_t owners_at_once() const { return owners_at_once_; }
  /// The least share of requests paid for, of those that came within any of the given spans since a moment.
  double worst_paid_share(Instant since, Span window) const {
    std::map<Instant, std::pair<double, double>> by_window;
    for (const auto &[id, came_at] : came_at_) {
      if (came_at < since) continue;
      auto &[came, paid] = by_window[(came_at - since) / window];
      came += 1;
      paid += paid_.contains(id) ? 1 : 0;
    }
    double worst = 1;
    for (const auto &[at, counts] : by_window)
      if (at != by_window.rbegin()->first) worst = std::min(worst, counts.second / counts.first);
    return worst;
  }

  ControlGroupRig group;

private:
  struct Node {
    std::string address;
    NodeId id = 0;
    std::unique_ptr<Pilot> pilot;
    Instant frozen_until = 0;
  };
  struct Message {
    std::string to;
    Envelope envelope;
  };

  void order_configuration() {
    std::string tenants_text;
    for (int which = 0; which < tenants; ++which)
      tenants_text += (which == 0 ? "" : ", ") + ("\"" + tenant(which)) + R"(": {"keys": [")" + key(which) +
                      R"("], "base": )" + std::to_string(base) + R"(, "burst": )" + std::to_string(base) +
                      "}";
    OperatorAsk request;
    request.verb = OperatorVerb::put_manifest;
    request.body = R"({"number": 1, "tenants": {)" + tenants_text +
                   R"(}, "services": {"s": {"image": "i", "slots": 4}}, "rules": {"r": "* /** to s"}, )" +
                   R"("limits": {"cut_off_s": 3600}})";
    request.if_match = "0";
    request.write_id = "first";
    group.ask(group.leader(), request);
  }
  static std::string key(int which) { return "key-of-tenant-000" + std::to_string(which); }

  void arrive() {
    const double each_step = base * tenants * 0.5 * static_cast<double>(step) / 1e9;
    for (due_ += each_step; due_ >= 1; due_ -= 1) {
      const std::size_t node = dice_.below(nodes_.size());
      if (!nodes_[node].pilot || is_frozen(node)) continue;
      ErrandHead head;
      head.id = "r" + std::to_string(came_at_.size());
      head.method = "GET";
      head.target = "/x";
      head.key = key(static_cast<int>(dice_.below(tenants)));
      head.wait_ms = 1000;
      came_at_[head.id] = group.now;
      PilotOutput out;
      auto planned = nodes_[node].pilot->front(head, group.now);
      if (auto *bill = std::get_if<Waybill>(&planned))
        nodes_[node].pilot->arrive(std::move(*bill), group.now, out);
      send(node, out);
    }
  }

  bool is_frozen(std::size_t node) const { return group.now < nodes_[node].frozen_until; }

  void tick(std::size_t node) {
    if (!nodes_[node].pilot || is_frozen(node)) return;
    PilotOutput out;
    nodes_[node].pilot->tick(group.now, out);
    send(node, out);
  }

  void send(std::size_t node, PilotOutput &out) {
    const Node &from = nodes_[node];
    for (Posted &posted : out.mail) {
      // A request for a slot shows that its request has been paid for; nothing after that matters here.
      if (const auto *slot = std::get_if<SlotAsk>(&posted.signal)) {
        paid_.insert(slot->errand);
        continue;
      }
      const std::string to = posted.to == 0 ? posted.address : from.pilot->membership().address_of(posted.to);
      if (!to.empty()) post(from.address, to, {from.id, from.address, std::move(posted.signal)});
    }
  }

  void post(const std::string &from, const std::string &to, Envelope envelope) {
    if (!cuts_.contains({from, to})) under_way_.emplace(group.now + step, Message{to, std::move(envelope)});
  }

  void deliver() {
    while (!under_way_.empty() && under_way_.begin()->first <= group.now) {
      const Message message = std::move(under_way_.begin()->second);
      under_way_.erase(under_way_.begin());
      const auto machine = group.machines.find(message.to);
      if (machine != group.machines.end()) {
        if (machine->second.node) group.send_to(machine->second, message.envelope);
        continue;
      }
      const auto at = static_cast<std::size_t>(std::stoul(message.to.substr(1)));
      if (!nodes_[at].pilot) continue;
      if (is_frozen(at)) {
        under_way_.emplace(nodes_[at].frozen_until, message);
        continue;
      }
      PilotOutput out;
      nodes_[at].pilot->receive(message.envelope, group.now, out);
      send(at, out);
    }
  }

  void count_owners() {
    for (int which = 0; which < tenants; ++which) {
      std::size_t owners = 0;
      for (std::size_t at = 0; at < nodes_.size(); ++at)
        if (nodes_[at].pilot && !is_frozen(at) &&
            nodes_[at].pilot->purser().is_granting(tenant(which), group.now))
          ++owners;
      owners_at_once_ = std::max(owners_at_once_, owners);
    }
  }

  Dice dice_;
  std::vector<Node> nodes_;
  std::multimap<Instant, Message> under_way_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, Instant> came_at_;
  std::set<std::string> paid_;
  NodeId next_id_ = 1001;
  double due_ = 0;
  bool is_loaded_ = false;
  std::size_t owners_at_once_ = 0;
};

} // namespace wharf
