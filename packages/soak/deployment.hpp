#pragma once
// The deployment under test: its machines with their daemons, ports, links and options files.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy/fault_proxy.hpp"
#include "fault_proxy/held_port.hpp"
#include "soak/clients.hpp"
#include "soak/daemon.hpp"
#include "soak/wire.hpp"

namespace wharf::soak {

struct ShapeOptions {
  std::size_t edges = 4, controls = 3;
  std::vector<std::string> zones{"a", "b", "c"};
  std::string folder, binaries, platform;
  /// Lines that every daemon's options file gets besides.
  std::string more_options;
};

/// One daemon with its ports; others reach it through a relay that can hold back what goes there.
struct Node {
  std::unique_ptr<Daemon> daemon;
  bool is_control = false;
  std::size_t machine = 0;
  std::string zone, data_folder, options_file, disk_mood_file;
  HeldPort inner, http, readiness;
  std::string relay;
  /// When it is to be started again; 0 while it runs or is to stay down.
  Instant start_at = 0;
  /// Until when it may take to end after it was asked to; 0 while it was not.
  Instant must_end_by = 0;
  /// It was told to end or killed, so that its end is no surprise.
  bool is_end_expected = false;
};

class Deployment {
public:
  Deployment(const Wire &wire, ShapeOptions options);
  ~Deployment();
  void start_all();
  /// Ends all processes in order; those that take longer than `patience` are killed and named.
  std::vector<std::string> stop_all(Span patience);
  std::vector<Node> &nodes() { return nodes_; }
  const std::vector<Node> &nodes() const { return nodes_; }
  std::vector<Node *> edges();
  std::vector<Node *> controls();
  /// All daemons on a node's machine.
  std::vector<Node *> beside(const Node &node);
  std::vector<EdgeEntry> edge_entries();
  std::vector<std::string> control_addresses();
  /// Cuts or joins what goes from one node to another.
  void set_cut(const Node &from, const Node &to, bool is_cut);
  /// Resets the connections of a process to and from all others.
  void reset_connections(const Node &node);
  void join_all() { relay_.heal(); }
  /// Writes the options file anew, with other seeds each time, as the platform does before SIGHUP.
  void rewrite_options(Node &node);
  void set_disk_mood(const Node &node, const std::string &mood);
  void wipe_disk(Node &node);
  std::size_t processes() const { return nodes_.size(); }

private:
  void add_node(bool is_control, std::size_t machine);
  std::string seeds_for(const Node &node) const;

  const Wire &wire_;
  ShapeOptions options_;
  FaultProxy relay_;
  std::vector<Node> nodes_;
  bool has_started_ = false;
  std::size_t seed_turn_ = 0;
};

} // namespace wharf::soak
