#include "soak/troubles.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace wharf::soak {

namespace {
/// A process that was told to end is killed after that; the platform's grace time.
constexpr Span grace = seconds(6);
constexpr Span start_again_after = milliseconds(200);
/// How long a control process counts as lost after it is back.
constexpr Span catch_up = seconds(5);
constexpr Span turn_gap = milliseconds(1500);
constexpr std::size_t several = 3;
/// A group of fewer control processes bears the loss of no disk.
constexpr std::size_t controls_to_lose_a_disk = 3;
} // namespace

Troubles::Troubles(Deployment &deployment, std::vector<TroubleRecord> &records,
                   std::vector<std::string> &ended_by_themselves)
    : deployment_(deployment), records_(records), ended_by_themselves_(ended_by_themselves) {}

Node *Troubles::pick(std::vector<Node *> nodes, std::size_t target) {
  std::erase_if(nodes, [this](const Node *node) { return !is_well(*node); });
  return nodes.empty() ? nullptr : nodes[target % nodes.size()];
}

bool Troubles::is_well(const Node &node) const {
  return node.daemon->is_running() && !node.daemon->is_frozen() && node.must_end_by == 0 &&
         node.start_at == 0;
}

bool Troubles::may_lose_control(Instant now) const {
  const std::size_t budget = deployment_.controls().size() >= 5 ? 2 : 1;
  const auto impaired = std::count_if(impaired_until_.begin(), impaired_until_.end(),
                                      [now](const auto &item) { return item.second > now; });
  return static_cast<std::size_t>(impaired) < budget;
}

std::size_t Troubles::note(const std::string &kind, const std::vector<Node *> &nodes, bool is_planned,
                           Instant now) {
  TroubleRecord record;
  record.kind = kind;
  record.began = now;
  record.is_planned = is_planned;
  for (const Node *node : nodes) record.processes.push_back(node->daemon->name());
  records_.push_back(std::move(record));
  return records_.size() - 1;
}

void Troubles::end_at(std::size_t record, Instant at, std::function<void(Instant)> undo) {
  later_.push_back({at, true, [this, record, undo = std::move(undo)](Instant now) {
                      undo(now);
                      records_[record].ended = now;
                    }});
}

bool Troubles::terminate(Node &node, const std::string &kind, Instant now) {
  if (!is_well(node)) return false;
  planned_record_[node.daemon->name()] = note(kind, {&node}, true, now);
  node.is_end_expected = true;
  node.must_end_by = now + grace;
  if (node.is_control) impaired_until_[node.daemon->name()] = now + grace + catch_up;
  node.daemon->signal(SIGTERM);
  return true;
}

void Troubles::hang_up(Node &node, const std::string &kind, Instant now) {
  const std::size_t record = note(kind, {&node}, true, now);
  records_[record].ended = now;
  deployment_.rewrite_options(node);
  node.daemon->signal(SIGHUP);
}

bool Troubles::kill(const std::vector<Node *> &nodes, const std::string &kind, Span lasts, bool takes_disk,
                    Instant now) {
  if (nodes.empty()) return false;
  const std::size_t record = note(kind, nodes, false, now);
  for (Node *node : nodes) {
    node->is_end_expected = true;
    node->daemon->end_now();
    node->must_end_by = node->start_at = 0;
    if (takes_disk) deployment_.wipe_disk(*node);
    if (node->is_control) impaired_until_[node->daemon->name()] = now + lasts + catch_up;
  }
  end_at(record, now + lasts, [this, nodes](Instant) {
    for (Node *node : nodes) {
      if (node->daemon->is_running()) continue;
      deployment_.rewrite_options(*node);
      node->is_end_expected = false;
      node->daemon->start();
    }
  });
  return true;
}

bool Troubles::freeze(Node &node, Span lasts, Instant now) {
  if (node.is_control) impaired_until_[node.daemon->name()] = now + lasts + catch_up;
  const std::size_t record = note("freeze", {&node}, false, now);
  node.daemon->freeze();
  end_at(record, now + lasts, [&node](Instant) { node.daemon->thaw(); });
  return true;
}

bool Troubles::cut(Node &node, TroubleKind kind, Span lasts, Instant now) {
  const std::vector<Node *> inside = deployment_.beside(node);
  const bool is_one_way = kind == TroubleKind::cut_one_way;
  const bool is_from_all = kind == TroubleKind::isolate_machine;
  const auto set = [this, inside, is_one_way, is_from_all](bool is_cut) {
    for (const Node *in : inside)
      for (const Node &other : deployment_.nodes()) {
        if (other.machine == in->machine || (!other.is_control && !is_from_all)) continue;
        deployment_.set_cut(*in, other, is_cut);
        if (!is_one_way) deployment_.set_cut(other, *in, is_cut);
      }
  };
  for (const Node *in : inside)
    if (in->is_control) impaired_until_[in->daemon->name()] = now + lasts + catch_up;
  const std::size_t record = note(name_of(kind), inside, false, now);
  records_[record].is_cut = true;
  set(true);
  end_at(record, now + lasts, [set](Instant) { set(false); });
  return true;
}

bool Troubles::reset_connections(Node &node, Instant now) {
  const std::size_t record = note(name_of(TroubleKind::reset_connections), {&node}, false, now);
  deployment_.reset_connections(node);
  records_[record].ended = now;
  return true;
}

bool Troubles::cut_control_in_half(Span lasts, Instant now) {
  const std::vector<Node *> controls = deployment_.controls();
  const auto set = [this, controls](bool is_cut) {
    const std::size_t middle = (controls.size() + 1) / 2;
    for (std::size_t left = 0; left < middle; ++left)
      for (std::size_t right = middle; right < controls.size(); ++right) {
        deployment_.set_cut(*controls[left], *controls[right], is_cut);
        deployment_.set_cut(*controls[right], *controls[left], is_cut);
      }
  };
  const std::size_t record = note("cut-control-in-half", controls, false, now);
  set(true);
  end_at(record, now + lasts, [set](Instant) { set(false); });
  return true;
}

bool Troubles::fill_disk(Node &node, Span lasts, Instant now) {
  impaired_until_[node.daemon->name()] = now + lasts + catch_up;
  const std::size_t record = note("full-disk", {&node}, false, now);
  deployment_.set_disk_mood(node, "full");
  end_at(record, now + lasts, [this, &node](Instant) { deployment_.set_disk_mood(node, "well"); });
  return true;
}

bool Troubles::lose_disk(std::size_t target, Span lasts, Instant now) {
  if (deployment_.controls().size() < controls_to_lose_a_disk) return false;
  Node *node = pick(deployment_.controls(), target);
  return node != nullptr && may_lose_control(now) && kill({node}, "lose-disk", lasts, true, now);
}

void Troubles::restart_in_turn(std::size_t target, Instant now) {
  const std::size_t count = deployment_.nodes().size();
  for (std::size_t at = 0; at < count; ++at) {
    Node &node = deployment_.nodes()[(target + at) % count];
    later_.push_back({now + static_cast<Span>(at) * turn_gap, false, [this, &node](Instant then) {
                        if (!node.is_control || may_lose_control(then))
                          terminate(node, "restart-in-turn", then);
                      }});
  }
}

bool Troubles::lose_two_disks(const Trouble &trouble, Instant now) {
  if (!lose_disk(trouble.target, trouble.lasts, now)) return false;
  later_.push_back({now + trouble.lasts + catch_up + seconds(1), false,
                    [this, trouble](Instant then) { lose_disk(trouble.target + 1, trouble.lasts, then); }});
  return true;
}

bool Troubles::restart_several(std::size_t target, Instant now) {
  for (std::size_t at = 0; at < several; ++at)
    if (Node *node = pick(deployment_.edges(), target + at))
      terminate(*node, name_of(TroubleKind::restart_several), now);
  return true;
}

bool Troubles::kill_several_edges(Span lasts, Instant now) {
  std::vector<Node *> struck;
  for (Node *node : deployment_.edges())
    if (is_well(*node) && struck.size() < several) struck.push_back(node);
  return kill(struck, name_of(TroubleKind::kill_several_edges), lasts, false, now);
}

Node *Troubles::pick_any(std::size_t target) {
  std::vector<Node *> all;
  for (Node &node : deployment_.nodes()) all.push_back(&node);
  return pick(std::move(all), target);
}

bool Troubles::begin(const Trouble &trouble, Instant now) {
  const bool is_any_edge_well = pick(deployment_.edges(), trouble.target) != nullptr;
  if (!is_any_edge_well) return false;
  return is_planned(trouble.kind) ? begin_planned(trouble, now) : begin_unplanned(trouble, now);
}

bool Troubles::begin_planned(const Trouble &trouble, Instant now) {
  Node &node = *pick_any(trouble.target);
  const bool may_stop = !node.is_control || may_lose_control(now);
  const std::string kind = name_of(trouble.kind);
  switch (trouble.kind) {
  case TroubleKind::restart:
    return may_stop && terminate(node, kind, now);
  case TroubleKind::hang_up:
    hang_up(node, kind, now);
    return true;
  case TroubleKind::hang_up_twice:
    hang_up(node, kind, now);
    hang_up(node, kind, now);
    return true;
  case TroubleKind::hang_up_while_draining:
    if (!may_stop || !terminate(node, kind, now)) return false;
    later_.push_back({now + milliseconds(300), false, [&node](Instant) { node.daemon->signal(SIGHUP); }});
    return true;
  case TroubleKind::restart_in_turn:
    restart_in_turn(trouble.target, now);
    return true;
  case TroubleKind::restart_several:
    return restart_several(trouble.target, now);
  default:
    return false;
  }
}

bool Troubles::begin_unplanned(const Trouble &trouble, Instant now) {
  Node &node = *pick_any(trouble.target);
  const bool may_strike = !node.is_control || may_lose_control(now);
  const bool may_cut = !deployment_.beside(node).front()->is_control || may_lose_control(now);
  switch (trouble.kind) {
  case TroubleKind::kill:
    return may_strike && kill({&node}, name_of(trouble.kind), trouble.lasts, false, now);
  case TroubleKind::freeze:
    return may_strike && freeze(node, trouble.lasts, now);
  case TroubleKind::kill_all_control:
    return kill(deployment_.controls(), name_of(trouble.kind), trouble.lasts, false, now);
  case TroubleKind::kill_several_edges:
    return kill_several_edges(trouble.lasts, now);
  case TroubleKind::lose_disk:
    return lose_disk(trouble.target, trouble.lasts, now);
  case TroubleKind::second_loss:
    return lose_two_disks(trouble, now);
  case TroubleKind::cut_machine:
  case TroubleKind::cut_one_way:
  case TroubleKind::isolate_machine:
    return may_cut && cut(node, trouble.kind, trouble.lasts, now);
  case TroubleKind::reset_connections:
    return reset_connections(node, now);
  case TroubleKind::cut_control_in_half:
    return cut_control_in_half(trouble.lasts, now);
  case TroubleKind::full_disk: {
    Node *control = pick(deployment_.controls(), trouble.target);
    return control != nullptr && may_lose_control(now) && fill_disk(*control, trouble.lasts, now);
  }
  default:
    return false;
  }
}

void Troubles::tick(Instant now) {
  for (std::size_t at = 0; at < later_.size();) {
    if (later_[at].at > now) {
      ++at;
      continue;
    }
    const Later due = std::move(later_[at]);
    later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(at));
    due.act(now);
  }
  for (Node &node : deployment_.nodes()) {
    if (node.must_end_by != 0 && now >= node.must_end_by) node.daemon->signal(SIGKILL);
    if (node.daemon->reap()) {
      if (!node.is_end_expected) ended_by_themselves_.push_back(node.daemon->name());
      node.start_at = now + start_again_after;
      node.must_end_by = 0;
      const auto planned = planned_record_.find(node.daemon->name());
      if (planned != planned_record_.end()) {
        records_[planned->second].ended = now;
        planned_record_.erase(planned);
      }
    }
    if (node.start_at != 0 && now >= node.start_at) {
      node.start_at = 0;
      node.is_end_expected = false;
      deployment_.rewrite_options(node);
      node.daemon->start();
    }
  }
}

bool Troubles::settle(Instant now) {
  for (const Later &due : std::exchange(later_, {}))
    if (due.is_end) due.act(now);
  deployment_.join_all();
  return std::all_of(deployment_.nodes().begin(), deployment_.nodes().end(),
                     [this](const Node &node) { return is_well(node); });
}

} // namespace wharf::soak
