#include "soak/deployment.hpp"

#include <csignal>
#include <filesystem>
#include <sstream>
#include <unistd.h>

#include "soak/replace_file.hpp"

namespace wharf::soak {

namespace {
constexpr std::size_t seeds_named = 3;
}

Deployment::Deployment(const Wire &wire, ShapeOptions options) : wire_(wire), options_(std::move(options)) {
  std::filesystem::create_directories(options_.folder);
  for (std::size_t machine = 0; machine < options_.edges; ++machine) {
    if (machine < options_.controls) add_node(true, machine);
    add_node(false, machine);
  }
  for (Node &node : nodes_) rewrite_options(node);
}

Deployment::~Deployment() {
  for (Node &node : nodes_) node.daemon->end_now();
}

void Deployment::add_node(bool is_control, std::size_t machine) {
  Node node;
  const std::string name = (is_control ? "control-" : "edge-") + std::to_string(machine + 1);
  node.is_control = is_control;
  node.machine = machine;
  node.zone = options_.zones[machine % options_.zones.size()];
  node.data_folder = options_.folder + "/" + name + ".data";
  node.options_file = options_.folder + "/" + name + ".options";
  node.disk_mood_file = options_.folder + "/" + name + ".disk";
  node.relay = relay_.open(node.inner.address());
  const std::string program =
      options_.binaries + "/" + (is_control ? wire_.control_program() : wire_.edge_program());
  node.daemon = std::make_unique<Daemon>(DaemonSpec{
      name, program, wire_.options_variable(), node.options_file, options_.folder + "/" + name + ".log"});
  nodes_.push_back(std::move(node));
}

std::string Deployment::seeds_for(const Node &node) const {
  std::vector<std::string> all;
  for (const Node &other : nodes_)
    if (other.is_control) all.push_back(other.relay);
  // The first files name the same seeds everywhere, later ones may differ.
  const std::size_t first = has_started_ ? node.machine + seed_turn_ : 0;
  std::string list;
  for (std::size_t at = 0; at < std::min(seeds_named, all.size()); ++at)
    list += (at == 0 ? "" : ",") + all[(first + at) % all.size()];
  return list;
}

void Deployment::rewrite_options(Node &node) {
  ++seed_turn_;
  std::ostringstream file;
  file << "address=" << node.relay << "\nlisten=" << node.inner.address() << "\nhttp=" << node.http.address()
       << "\nzone=" << node.zone << "\nname=" << node.daemon->name() << "\nseeds=" << seeds_for(node)
       << "\nfew_seeds=1\n"
       << options_.more_options;
  if (!node.is_control) {
    file << "readiness=" << node.readiness.address() << "\nlink_mbps=1000\ncpu_share=0.4\n";
  } else {
    file << "data=" << node.data_folder << "\nplatform=" << options_.platform
         << "\noperator_token=none-on-this-platform\npace=80\nmay_found=" << (has_started_ ? 0 : 1)
         << "\ndisk_trial=" << node.disk_mood_file << "\n";
  }
  replace_file(node.options_file, file.str());
}

void Deployment::start_all() {
  for (Node &node : nodes_) node.daemon->start();
  has_started_ = true;
}

std::vector<std::string> Deployment::stop_all(Span patience) {
  const SteadyTide clock;
  std::vector<std::string> late;
  for (Node &node : nodes_) {
    if (node.daemon->is_frozen()) node.daemon->thaw();
    node.daemon->signal(SIGTERM);
  }
  const Instant until = clock.now() + patience;
  const auto is_any_running = [this] {
    bool is_any = false;
    for (Node &node : nodes_) {
      node.daemon->reap();
      is_any = is_any || node.daemon->is_running();
    }
    return is_any;
  };
  while (is_any_running() && clock.now() < until) usleep(10'000);
  for (Node &node : nodes_) {
    if (!node.daemon->is_running()) continue;
    late.push_back(node.daemon->name());
    node.daemon->end_now();
  }
  return late;
}

std::vector<Node *> Deployment::edges() {
  std::vector<Node *> list;
  for (Node &node : nodes_)
    if (!node.is_control) list.push_back(&node);
  return list;
}

std::vector<Node *> Deployment::controls() {
  std::vector<Node *> list;
  for (Node &node : nodes_)
    if (node.is_control) list.push_back(&node);
  return list;
}

std::vector<Node *> Deployment::beside(const Node &node) {
  std::vector<Node *> list;
  for (Node &other : nodes_)
    if (other.machine == node.machine) list.push_back(&other);
  return list;
}

std::vector<EdgeEntry> Deployment::edge_entries() {
  std::vector<EdgeEntry> list;
  for (const Node *node : edges()) list.push_back({node->daemon->name(), node->http.address()});
  return list;
}

std::vector<std::string> Deployment::control_addresses() {
  std::vector<std::string> list;
  for (const Node *node : controls()) list.push_back(node->http.address());
  return list;
}

void Deployment::set_cut(const Node &from, const Node &to, bool is_cut) {
  relay_.set_cut(from.relay, to.relay, is_cut);
}

void Deployment::reset_connections(const Node &node) { relay_.reset(node.relay); }

void Deployment::set_disk_mood(const Node &node, const std::string &mood) {
  replace_file(node.disk_mood_file, mood + "\n");
}

void Deployment::wipe_disk(Node &node) { std::filesystem::remove_all(node.data_folder); }

} // namespace wharf::soak
