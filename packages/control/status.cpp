// The status page and the counters of a control process.
#include "control/control_node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wharf {

using Json = nlohmann::json;

std::map<std::string, std::uint64_t> ControlNode::gauges(Instant now) const {
  std::map<std::string, std::uint64_t> values;
  values["term"] = raft_.term();
  values["commit"] = raft_.commit();
  values["log_entries"] = raft_.log().size();
  values["is_leader"] = raft_.is_leader() ? 1 : 0;
  values["manifest_version"] = registry_.version();
  values["settled_version"] = settled_version(now);
  values["roster_epoch"] = registry_.roster().epoch;
  values["settled_epoch"] = settled_epoch(now);
  values["claims"] = registry_.claims().size();
  values["runners"] = registry_.runners().size();
  values["runners_ready"] = views_.size();
  values["sessions"] = sessions_.size();
  values["members_living"] = membership_.living(now).size();
  values["beats_passed_over"] = membership_.beats_passed_over();
  values["reports_of_ended"] = reports_of_ended_;
  values["order_rounds_held_back"] = order_rounds_held_back_;
  if (is_leading()) values["nodes_living_unreported"] = living_unreported(now);
  values["replicas"] = raft_.replicas().size();
  values["is_disk_well"] = raft_.is_disk_well(now) ? 1 : 0;
  return values;
}

std::size_t ControlNode::living_unreported(Instant now) const {
  const std::vector<Member> living = membership_.living(now);
  return static_cast<std::size_t>(std::count_if(living.begin(), living.end(), [&](const Member &member) {
    if (is_control_node(member) || ended_.contains(member.id)) return false;
    const auto session = sessions_.find(member.id);
    return session == sessions_.end() || now - session->second.last_pulse >= options_.pilot_silence;
  }));
}

std::string ControlNode::status_json(Instant now) const {
  Json root;
  root["version"] = registry_.version();
  root["settled_version"] = settled_version(now);
  root["roster_epoch"] = registry_.roster().epoch;
  root["settled_epoch"] = settled_epoch(now);
  root["term"] = raft_.term();
  root["group"] = std::to_string(raft_.group());
  if (outlook_.version != 0) {
    Json item{{"version", outlook_.version},
              {"is_measured", outlook_.trial.is_measured},
              {"is_judged", outlook_.is_judged}};
    std::uint32_t foretold = 0;
    for (const auto &[name, service] : outlook_.trial.next.services) foretold += service.runners;
    item["runners"] = {{"foretold", foretold}};
    if (outlook_.is_judged) item["runners"]["came"] = outlook_.runners;
    for (const auto &[tenant, one] : outlook_.trial.next.tenants) {
      item["tenants"][tenant] = {{"foretold_refused_percent", one.refused_percent}};
      const auto came = outlook_.came.find(tenant);
      if (came == outlook_.came.end()) continue;
      item["tenants"][tenant]["came_refused_percent"] = came->second;
      item["tenants"][tenant]["error"] = came->second - one.refused_percent;
    }
    root["last_change"] = std::move(item);
  }
  if (const std::string why = why_unheld(now); !why.empty()) root["why_not_held"] = why;
  root["replicas"] = Json::array();
  for (const Replica &replica : raft_.replicas()) {
    const Member *member = membership_.find(replica.id);
    root["replicas"].push_back({{"id", std::to_string(replica.id)},
                                {"address", member == nullptr ? "" : member->address},
                                {"zone", replica.zone},
                                {"is_voter", replica.is_voter},
                                {"is_leader", replica.id == raft_.leader()},
                                {"is_living", membership_.is_living(replica.id, now)}});
  }
  root["pilots"] = Json::array();
  for (const auto &[pilot, session] : sessions_) {
    const Member *member = membership_.find(pilot);
    const auto &roster = registry_.roster().pilots;
    root["pilots"].push_back(
        {{"id", std::to_string(pilot)},
         {"http", member == nullptr ? "" : member->http},
         {"zone", member == nullptr ? "" : member->zone},
         {"version", session.version},
         {"epoch", session.epoch},
         {"is_fresh", session.permit_until > now},
         {"is_enrolled", std::find(roster.begin(), roster.end(), pilot) != roster.end()}});
  }
  if (charter_) {
    for (const Tenant &tenant : charter_->tenants) {
      const auto ranked = rank_nodes(registry_.roster().owners(), tenant.name, purser_salt);
      root["pursers"][tenant.name] = {{"owner", ranked.empty() ? "" : std::to_string(ranked[0])},
                                      {"replica", ranked.size() < 2 ? "" : std::to_string(ranked[1])}};
    }
    for (const Service &service : charter_->services) {
      const NodeId owner = top_ranked_node(registry_.roster().owners(), service.name, scheduler_salt);
      Json item = {{"scheduler", owner == 0 ? "" : std::to_string(owner)}, {"runners", Json::array()}};
      std::size_t ready = 0, wanted = static_cast<std::size_t>(service.least);
      for (const auto &[id, record] : registry_.runners()) {
        if (record.service != service.name) continue;
        const bool is_ready = views_.contains(id);
        ready += is_ready && !record.is_leaving ? 1 : 0;
        item["runners"].push_back({{"id", id},
                                   {"worker", record.worker},
                                   {"is_ready", is_ready},
                                   {"is_leaving", record.is_leaving}});
      }
      if (owner != 0) {
        const auto session = sessions_.find(owner);
        if (session != sessions_.end()) {
          const auto want = session->second.wants.find(service.name);
          if (want != session->second.wants.end()) {
            wanted = std::max<std::size_t>(wanted, want->second.runners);
            item["wanted"] = want->second.runners;
            item["pending"] = want->second.pending;
            item["slots_taken"] = want->second.taken;
          }
        }
      }
      if (const std::string why = why_unsettled(service, ready, wanted, now); !why.empty())
        item["why_unsettled"] = why;
      root["services"][service.name] = std::move(item);
    }
  }
  return root.dump(2) + "\n";
}

} // namespace wharf
