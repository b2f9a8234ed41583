// What edge nodes are told: the configuration, the node set and the runners, each only as far as it is new to
// them.
#include "control/control_node.hpp"

#include <algorithm>

#include "delta/delta.hpp"

namespace wharf {

namespace {
/// About what a node set takes in a message: an identity and an address with its length for each node.
std::size_t roster_bytes(const Roster &roster) {
  constexpr std::size_t node_bytes = 2 * sizeof(NodeId) + sizeof(std::size_t);
  std::size_t nodes = roster.pilots.size();
  std::size_t text = 0;
  for (const std::string &address : roster.addresses) text += address.size();
  for (const PastRoster &past : roster.past) {
    nodes += past.pilots.size();
    for (const std::string &address : past.addresses) text += address.size();
  }
  return nodes * node_bytes + text;
}
} // namespace

Orders ControlNode::orders_for(NodeId node, NodeSession &session, Instant now) {
  Orders orders;
  orders.node = node;
  orders.age = now - std::min(now, raft_.confirmed_at(now));
  orders.term = raft_.term();
  orders.version = registry_.version();
  if (session.version < orders.version) add_manifest(session, orders, now);
  const bool is_behind = session.epoch < registry_.roster().epoch;
  orders.has_roster = is_behind && may_send_roster(session, now);
  if (orders.has_roster)
    orders.roster = registry_.roster();
  else
    orders.roster.epoch = registry_.roster().epoch;
  orders.settled = settled_epoch(now);
  orders.quiet = quiet_for(now);
  if (platform_at_ != 0 && (is_behind || session.stamp != views_.stamp()))
    add_views(node, session, is_behind, orders);
  return orders;
}

bool ControlNode::may_send_roster(NodeSession &session, Instant now) {
  const Epoch epoch = registry_.roster().epoch;
  if (session.offered_epoch == epoch && now < session.roster_offered_until) return false;
  if (roster_bytes_epoch_ != epoch) roster_bytes_ = roster_bytes(registry_.roster());
  roster_bytes_epoch_ = epoch;
  session.offered_epoch = epoch;
  session.roster_offered_until = now + on_its_way_for(roster_bytes_);
  return true;
}

Span ControlNode::on_its_way_for(std::size_t bytes) const {
  return options_.manifest_retry +
         seconds(static_cast<std::int64_t>(bytes)) / static_cast<Span>(options_.manifest_bytes_per_s);
}

void ControlNode::add_manifest(NodeSession &session, Orders &orders, Instant now) {
  const bool is_under_way = now < session.offered_until;
  if (is_under_way && session.offered == orders.version) return;
  const Version had = is_under_way ? std::max(session.offered, session.received) : session.received;
  orders.manifest_base = registry_.manifest_at(had) == nullptr ? 0 : had;
  orders.has_manifest = true;
  orders.manifest = delta_from(orders.manifest_base);
  session.offered = orders.version;
  session.offered_until = now + on_its_way_for(orders.manifest.size());
}

const std::string &ControlNode::delta_from(Version base) {
  if (deltas_version_ != registry_.version()) deltas_.clear();
  deltas_version_ = registry_.version();
  const auto [found, is_new] = deltas_.try_emplace(base);
  if (!is_new) return found->second;
  const std::string *earlier = registry_.manifest_at(base);
  found->second = encode_delta(earlier == nullptr ? std::string_view() : *earlier, registry_.manifest());
  return found->second;
}

void ControlNode::add_views(NodeId node, const NodeSession &session, bool is_behind, Orders &orders) {
  orders.has_runners = true;
  orders.runners_stamp = views_.stamp();
  // A node that does not know the newest node set yet may own other services than it thinks.
  const bool is_whole = is_behind || session.stamp == 0 || views_.has_forgotten_since(session.stamp);
  if (!is_whole) orders.since_stamp = session.stamp;
  for (const std::string &service : is_whole ? views_.services() : views_.changed_since(session.stamp)) {
    if (owner_of_service(service) != node) continue;
    views_.append(service, orders.runners);
    if (!is_whole) orders.changed_services.push_back(service);
  }
}

void ControlNode::push_orders(Instant now, ControlOutput &out) {
  if (!is_leading()) return;
  for (auto &[pilot, session] : sessions_) {
    if (now - session.last_pulse > options_.fresh * 2) continue;
    out.mail.push_back({pilot, {}, orders_for(pilot, session, now)});
    session.stamp = views_.stamp();
  }
}

void ControlNode::push_views_since(std::uint64_t stamp, Instant now, ControlOutput &out) {
  if (!is_leading()) return;
  std::set<NodeId> owners;
  for (const std::string &service : views_.changed_since(stamp)) owners.insert(owner_of_service(service));
  for (NodeId owner : owners) {
    const auto session = sessions_.find(owner);
    if (session == sessions_.end() || now - session->second.last_pulse > options_.fresh * 2) continue;
    out.mail.push_back({owner, {}, orders_for(owner, session->second, now)});
    session->second.stamp = views_.stamp();
  }
}

std::optional<RunnerView> ControlNode::view_of(const RunnerRecord &record, Instant now) const {
  const std::string handle = handle_of(record);
  const auto found = listed_.find(handle.empty() ? record.id : handle);
  const RunnerSeen *seen = found == listed_.end() ? nullptr : found->second;
  const bool is_listed = seen != nullptr && seen->phase != RunnerPhase::booting && !seen->address.empty();
  const auto note = notes_.find(record.id);
  const bool was_listed = note != notes_.end() && note->second.was_listed;
  if (!is_listed && (handle.empty() || was_listed || record.is_leaving)) return std::nullopt;
  const auto worker = workers_.find(record.worker);
  RunnerView view;
  view.id = record.id;
  view.service = record.service;
  view.handle = handle;
  view.is_booting = !is_listed;
  view.address = is_listed ? seen->address : record.address.empty() ? note->second.address : record.address;
  if (!is_listed && note != notes_.end() && note->second.started_at != 0)
    view.booting_for = now - note->second.started_at;
  view.worker = record.worker;
  view.zone = worker == workers_.end() ? std::string() : worker->second->zone;
  if (handle.empty()) view.seal_key = seal_key_of(record.id);
  view.is_leaving = record.is_leaving || (is_listed && seen->phase == RunnerPhase::stopping) ||
                    (worker != workers_.end() && worker->second->is_draining);
  return view;
}

void ControlNode::refresh_views(Instant now) {
  for (const auto &[id, record] : registry_.runners()) views_.update(id, view_of(record, now));
  views_.retain([this](const std::string &id) { return registry_.runners().contains(id); });
}

} // namespace wharf
