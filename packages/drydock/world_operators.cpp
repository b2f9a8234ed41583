// What the operators of a simulated deployment do: changes of the configuration, repeats of them, reads.
#include "drydock/world.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wharf {

namespace {
using Json = nlohmann::json;
} // namespace

void World::operate(int which, OperatorAsk ask, int hops, std::function<void(const OperatorSay &)> then) {
  SimulatedControl &node = controls_[static_cast<std::size_t>(which)];
  if (!node.is_up) {
    then({0, -1, 0, {}, {}});
    return;
  }
  ask.ticket = next_ticket_++;
  const std::uint64_t ticket = ask.ticket;
  node.asks[ticket] = [this, ask, hops, then](const OperatorSay &say) {
    if (!say.leader_http.empty() && hops > 0)
      operate(std::stoi(say.leader_http.substr(1)), ask, hops - 1, then);
    else
      then(say);
  };
  at(now_ + seconds(10), [this, which, ticket] {
    auto &asks = controls_[static_cast<std::size_t>(which)].asks;
    const auto found = asks.find(ticket);
    if (found == asks.end()) return;
    const auto late = std::move(found->second);
    asks.erase(found);
    late({ticket, 0, 0, {}, {}});
  });
  defer(node, [this, which, ask, incarnation = node.incarnation] {
    SimulatedControl &target = controls_[static_cast<std::size_t>(which)];
    if (target.incarnation != incarnation) return;
    ControlOutput out;
    target.core->operate(ask, local(target), out);
    flush(which, target, out);
  });
}

void World::write(bool is_patch, const std::string &if_match, int control) {
  const int number = static_cast<int>(writes_.size());
  if (is_patch) {
    write_bytes(true, Json{{"tenants", {{"marker", {{"base", number + 1}}}}}}.dump(), if_match, control);
    return;
  }
  ++key_number_;
  write_bytes(false, manifest_text(number, key_number_), if_match, control);
}

void World::write_bytes(bool is_patch, std::string bytes, const std::string &if_match, int control) {
  const auto number = writes_.size();
  WriteRecord record;
  record.number = static_cast<int>(number);
  record.is_patch = is_patch;
  record.bytes = bytes;
  record.if_match = if_match;
  record.write_id = "w" + std::to_string(number);
  record.sent = now_;
  writes_.push_back(record);
  send_write(number, control);
}

void World::repeat_last_write(int control) {
  if (!writes_.empty()) send_write(writes_.size() - 1, control);
}

void World::send_write(std::size_t number, int control) {
  const WriteRecord &record = writes_[number];
  OperatorAsk ask;
  ask.verb = record.is_patch ? OperatorVerb::patch_manifest : OperatorVerb::put_manifest;
  ask.body = record.bytes;
  ask.if_match = record.if_match;
  ask.write_id = record.write_id;
  operate(control, ask, 2, [this, number](const OperatorSay &say) {
    WriteRecord &answered = writes_[number];
    const bool may_hold = answered.outcome == "unknown";
    if (answered.outcome == "taken") return;
    answered.answered = now_;
    answered.version = say.version;
    if (say.status == 200) {
      answered.outcome = "taken";
      if (on_taken_) std::exchange(on_taken_, nullptr)();
    } else if (say.status == 412 || say.status == 422 || say.status == 400 || say.status == -1)
      answered.outcome = "not-taken";
    else if (say.status == 503 && say.body.find("not-taken") != std::string::npos)
      answered.outcome = "not-taken";
    else
      answered.outcome = "unknown";
    if (may_hold && answered.outcome != "taken") answered.outcome = "unknown";
  });
}

void World::write_starving(const std::string &if_match, int control) {
  const int number = static_cast<int>(writes_.size());
  Json root = Json::parse(manifest_text(number, ++key_number_));
  const std::string narrow = service_name(0, 0);
  root["services"][narrow]["slots"] = root["services"][narrow]["most"] = 1;
  for (int at = 0; at < shape_.hot; ++at)
    root["rules"][service_name(0, at)] = "* /" + service_name(0, at) + "/** to " + narrow;
  write_bytes(false, root.dump(1), if_match, control);
  writes_.back().is_starving = true;
}

void World::read_back(int control) {
  OperatorAsk ask;
  ask.verb = OperatorVerb::get_manifest;
  if (defect_ == Defect::stale_read) {
    for (int at = 0; at < control_count(); ++at) {
      const ControlNode *core = this->control(at);
      if (core == nullptr || (last_read_status_ == 200 && core->registry().version() >= last_read_version_))
        continue;
      last_read_status_ = 200;
      last_read_ = core->registry().manifest();
      last_read_version_ = core->registry().version();
    }
    return;
  }
  operate(control, ask, 2, [this](const OperatorSay &say) {
    last_read_status_ = say.status;
    if (say.status != 200) return;
    last_read_ = defect_ == Defect::tidied_bytes ? Json::parse(say.body).dump() : say.body;
    last_read_version_ = say.version;
  });
}

} // namespace wharf
