// What edge nodes are told: the configuration, the node set and the runners, each only as far as it is new to
// them.
#include "control/control_node.hpp"

#include <algorithm>

#include "delta/delta.hpp"

namespace wharf {

Orders ControlNode::orders_for(NodeSession &session, Instant now) {
  Orders orders;
  orders.age = now - std::min(now, raft_.confirmed_at(now));
  orders.term = raft_.term();
  orders.version = registry_.version();
  if (session.version < orders.version) add_manifest(session, orders, now);
  orders.has_roster = session.epoch < registry_.roster().epoch;
  if (orders.has_roster)
    orders.roster = registry_.roster();
  else
    orders.roster.epoch = registry_.roster().epoch;
  orders.settled = settled_epoch(now);
  orders.quiet = quiet_for(now);
  if (platform_at_ != 0 && session.stamp != views_stamp_) add_views(session, orders);
  return orders;
}

void ControlNode::add_manifest(NodeSession &session, Orders &orders, Instant now) {
  const bool is_under_way = now < session.offered_until;
  if (is_under_way && session.offered == orders.version) return;
  const Version had = is_under_way ? std::max(session.offered, session.version) : session.version;
  orders.manifest_base = registry_.manifest_at(had) == nullptr ? 0 : had;
  orders.has_manifest = true;
  orders.manifest = delta_from(orders.manifest_base);
  session.offered = orders.version;
  session.offered_until = now + options_.manifest_retry +
                          seconds(static_cast<std::int64_t>(orders.manifest.size())) /
                              static_cast<Span>(options_.manifest_bytes_per_s);
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

void ControlNode::add_views(const NodeSession &session, Orders &orders) const {
  orders.has_runners = true;
  orders.runners_stamp = views_stamp_;
  if (session.stamp <= views_whole_) {
    orders.runners = views_;
    return;
  }
  orders.since_stamp = session.stamp;
  for (const RunnerView &view : views_)
    if (const auto found = view_stamps_.find(view.id);
        found != view_stamps_.end() && found->second > session.stamp)
      orders.runners.push_back(view);
  for (const auto &[stamp, runner] : views_gone_)
    if (stamp > session.stamp) orders.gone.push_back(runner);
}

void ControlNode::push_orders(Instant now, ControlOutput &out) {
  if (!is_leading()) return;
  for (auto &[pilot, session] : sessions_) {
    if (now - session.last_pulse > options_.fresh * 2) continue;
    out.mail.push_back({pilot, {}, orders_for(session, now)});
    session.stamp = views_stamp_;
  }
}

void ControlNode::refresh_views(Instant now) {
  std::map<std::string, const RunnerSeen *> seen;
  for (const RunnerSeen &runner : platform_.runners) seen[runner.id] = &runner;
  std::map<std::string, const WorkerSeen *> workers;
  for (const WorkerSeen &worker : platform_.workers) workers[worker.id] = &worker;
  std::vector<RunnerView> views;
  for (const auto &[id, record] : registry_.runners()) {
    const std::string handle = handle_of(record);
    const auto found = seen.find(handle.empty() ? id : handle);
    const bool is_listed = found != seen.end() && found->second->phase != RunnerPhase::booting &&
                           !found->second->address.empty();
    const auto note = notes_.find(id);
    const bool was_listed = note != notes_.end() && note->second.was_listed;
    if (!is_listed && (handle.empty() || was_listed || record.is_leaving)) continue;
    const auto worker = workers.find(record.worker);
    RunnerView view;
    view.id = id;
    view.service = record.service;
    view.handle = handle;
    view.is_booting = !is_listed;
    view.address = is_listed                ? found->second->address
                   : record.address.empty() ? note->second.address
                                            : record.address;
    if (!is_listed && note != notes_.end() && note->second.started_at != 0)
      view.booting_for = now - note->second.started_at;
    view.worker = record.worker;
    view.zone = worker == workers.end() ? std::string() : worker->second->zone;
    if (handle.empty()) view.seal_key = seal_key_of(id);
    view.is_leaving = record.is_leaving || (is_listed && found->second->phase == RunnerPhase::stopping) ||
                      (worker != workers.end() && worker->second->is_draining);
    views.push_back(std::move(view));
  }
  const auto is_same = [](const RunnerView &left, const RunnerView &right) {
    return left.id == right.id && left.address == right.address && left.is_leaving == right.is_leaving &&
           left.is_booting == right.is_booting;
  };
  if (std::equal(views.begin(), views.end(), views_.begin(), views_.end(), is_same)) return;
  ++views_stamp_;
  constexpr std::size_t gone_most = 4096;
  std::map<std::string, const RunnerView *> before;
  for (const RunnerView &view : views_) before[view.id] = &view;
  for (const RunnerView &view : views) {
    const auto old = before.find(view.id);
    if (old == before.end() || !is_same(*old->second, view)) view_stamps_[view.id] = views_stamp_;
    if (old != before.end()) before.erase(old);
  }
  for (const auto &[id, view] : before) {
    view_stamps_.erase(id);
    views_gone_.emplace_back(views_stamp_, id);
  }
  while (views_gone_.size() > gone_most) {
    views_whole_ = std::max(views_whole_, views_gone_.front().first);
    views_gone_.pop_front();
  }
  views_ = std::move(views);
}

} // namespace wharf
