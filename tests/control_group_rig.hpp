#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/control_node.hpp"

namespace wharf {

/// Several control processes driven by hand in virtual time: messages pass at once unless a machine is cut
/// off or frozen, and disks sync at once and outlive their process unless they are wiped.
struct ControlGroupRig {
  struct Machine {
    std::string address;
    NodeId id = 0;
    Recovered disk;
    std::unique_ptr<ControlNode> node;
    std::vector<OperatorSay> answers;
    bool is_cut = false, is_frozen = false;
    /// Machines reach those on their own side only; operators and edge nodes reach all.
    int side = 0;
  };
  Instant now = seconds(10);
  std::vector<std::string> seeds;
  std::map<std::string, Machine> machines;
  NodeId next_id = 100;
  std::uint64_t next_ticket = 1;
  ControlOptions options;
  /// Tells that no message passes from one machine to another; nothing for none such.
  std::function<bool(const std::string &from, const std::string &to)> is_blocked;
  /// Gets the starts and stops that a machine orders at the platform.
  std::function<void(const Machine &, const PlatformOrder &)> on_order;
  /// Called before each step of the clock's ticks.
  std::function<void()> before_ticks;
  /// Gets what is sent to addresses of no machine of the group.
  std::function<void(const std::string &to, const Envelope &)> to_outside;

  ControlGroupRig() = default;
  explicit ControlGroupRig(int count) {
    for (int at = 0; at < count; ++at) {
      const std::string address = "m" + std::to_string(at);
      if (seeds.size() < 3) seeds.push_back(address);
    }
    for (int at = 0; at < count; ++at) add("m" + std::to_string(at));
    pass(seconds(6));
  }

  Machine &add(const std::string &address) {
    Machine &machine = machines[address];
    machine.address = address;
    machine.id = next_id++;
    start(address);
    return machine;
  }
  void start(const std::string &address) {
    Machine &machine = machines.at(address);
    Member self;
    self.id = machine.id;
    self.address = self.http = address;
    self.zone = "z" + address;
    self.role = static_cast<std::uint8_t>(Role::control);
    self.beat = first_beat_at(static_cast<std::uint64_t>(now / milliseconds(1)));
    machine.node = std::make_unique<ControlNode>(
        self, seeds, options, machine.id + static_cast<std::uint64_t>(now), machine.disk, now);
    machine.is_frozen = false;
  }
  /// The machine's process is told to end; it goes on until it may.
  void leave(const std::string &address) {
    Machine &machine = machines.at(address);
    ControlOutput out;
    machine.node->set_leaving(now, out);
    take(machine, std::move(out));
  }
  void stop(const std::string &address) { machines.at(address).node.reset(); }
  void restart(const std::string &address) {
    stop(address);
    start(address);
  }
  /// The machine comes back at once with an empty disk, and so under a new identity.
  void wipe(const std::string &address) {
    stop(address);
    machines.at(address).disk = {};
    machines.at(address).id = next_id++;
    options.may_found = false;
    start(address);
  }

  void pass(Span span) {
    for (const Instant until = now + span; now < until; now += milliseconds(10)) {
      if (before_ticks) before_ticks();
      for (auto &[address, machine] : machines) {
        if (!machine.node || machine.is_frozen) continue;
        ControlOutput out;
        machine.node->tick(now, out);
        take(machine, std::move(out));
      }
      deliver();
    }
  }
  /// Asks a machine; the answers are those that came from it later.
  std::uint64_t ask(const std::string &address, OperatorAsk request) {
    request.ticket = next_ticket++;
    Machine &machine = machines.at(address);
    ControlOutput out;
    machine.node->operate(request, now, out);
    take(machine, std::move(out));
    deliver();
    return next_ticket - 1;
  }
  const OperatorSay *answer_to(std::uint64_t ticket) const {
    for (const auto &[address, machine] : machines)
      for (const OperatorSay &say : machine.answers)
        if (say.ticket == ticket) return &say;
    return nullptr;
  }
  /// Puts a manifest through the leader and waits for the answer's status; 0 when there was none in a second.
  int put(int number, int base, const std::string &mark, const std::string &key = "key-of-tenant-0000") {
    OperatorAsk request;
    request.verb = OperatorVerb::put_manifest;
    request.body = manifest(number, key);
    request.if_match = std::to_string(base);
    request.write_id = mark;
    const std::uint64_t ticket = ask(leader(), request);
    for (int round = 0; round < 40 && answer_to(ticket) == nullptr; ++round) pass(milliseconds(100));
    const OperatorSay *say = answer_to(ticket);
    return say == nullptr ? 0 : say->status;
  }
  static std::string manifest(int number, const std::string &key) {
    return R"({"number": )" + std::to_string(number) + R"(, "tenants": {"t": {"keys": [")" + key +
           R"("]}}, "services": {"s": {"image": "i"}}, "rules": {"r": "* /** to s"}})";
  }

  /// The machine that leads and is in reach of the others; empty when there is none.
  std::string leader() const {
    for (const auto &[address, machine] : machines)
      if (machine.node && !machine.is_cut && !machine.is_frozen && machine.node->is_leading()) return address;
    return {};
  }
  std::string wait_leader() {
    for (int round = 0; round < 600 && leader().empty(); ++round) pass(milliseconds(10));
    return leader();
  }
  /// Hands the leader a message from outside the group; returns what it sends at once.
  std::vector<Posted> send_to_leader(const Envelope &envelope) {
    Machine &machine = machines.at(leader());
    ControlOutput out;
    machine.node->receive(envelope, now, out);
    const std::vector<Posted> sent(out.mail.begin(), out.mail.end());
    take(machine, std::move(out));
    deliver();
    return sent;
  }
  std::size_t voters() const {
    std::size_t count = 0;
    for (const Replica &replica : machines.at(leader()).node->raft().replicas())
      count += replica.is_voter ? 1 : 0;
    return count;
  }
  bool is_voter(NodeId id) const {
    for (const Replica &replica : machines.at(leader()).node->raft().replicas())
      if (replica.id == id) return replica.is_voter;
    return false;
  }

  /// What the platform lists, as one machine reads it.
  void list(Machine &machine, const PlatformView &view) {
    ControlOutput out;
    machine.node->platform_seen(view, now, out);
    take(machine, std::move(out));
  }
  /// A message to one machine, whoever leads.
  void send_to(Machine &machine, const Envelope &envelope) {
    ControlOutput out;
    machine.node->receive(envelope, now, out);
    take(machine, std::move(out));
  }

private:
  struct Parcel {
    std::string from, to;
    Envelope envelope;
  };
  std::deque<Parcel> mail_;

  void take(Machine &machine, ControlOutput out) {
    while (true) {
      for (Posted &posted : out.mail) {
        const std::string to =
            posted.to == 0 ? posted.address : machine.node->membership().address_of(posted.to);
        if (!to.empty())
          mail_.push_back({machine.address, to, {machine.id, machine.address, std::move(posted.signal)}});
      }
      machine.answers.insert(machine.answers.end(), out.answers.begin(), out.answers.end());
      if (on_order)
        for (const PlatformOrder &order : out.orders) on_order(machine, order);
      if (out.batches.empty()) return;
      ControlOutput next;
      for (const WriteBatch &batch : out.batches) {
        write(machine.disk, batch);
        machine.node->saved(batch.ticket, now, next);
      }
      out = std::move(next);
    }
  }
  static void write(Recovered &disk, const WriteBatch &batch) {
    if (batch.hard) disk.hard = *batch.hard;
    if (batch.snapshot) {
      disk.snapshot = *batch.snapshot;
      std::erase_if(disk.entries, [&](const Entry &entry) { return entry.index <= disk.snapshot.index; });
    }
    if (batch.cut_from != 0)
      std::erase_if(disk.entries, [&](const Entry &entry) { return entry.index >= batch.cut_from; });
    for (const Entry &entry : batch.append) {
      std::erase_if(disk.entries, [&](const Entry &older) { return older.index >= entry.index; });
      if (entry.index > disk.snapshot.index) disk.entries.push_back(entry);
    }
  }
  void deliver() {
    for (std::size_t count = 0; count < 20'000 && !mail_.empty(); ++count) {
      Parcel parcel = std::move(mail_.front());
      mail_.pop_front();
      const auto to = machines.find(parcel.to);
      if (to == machines.end() && to_outside) to_outside(parcel.to, parcel.envelope);
      if (to == machines.end() || !to->second.node) continue;
      const Machine &from = machines.at(parcel.from);
      if (to->second.is_cut || to->second.is_frozen || from.is_cut || from.side != to->second.side) continue;
      if (is_blocked && is_blocked(parcel.from, parcel.to)) continue;
      ControlOutput out;
      to->second.node->receive(parcel.envelope, now, out);
      take(to->second, std::move(out));
    }
  }
};

} // namespace wharf
