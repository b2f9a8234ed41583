#include <algorithm>
#include <nlohmann/json.hpp>

#include "drydock/world.hpp"

namespace wharf {

namespace {
using Json = nlohmann::json;
/// How long a node that serves and can reach a settled leader may be without its orders.
constexpr Span unled_most = seconds(5);
} // namespace

void World::judge_writes(Audit &result) const {
  Version newest = 0;
  std::map<std::string, int> taken_over;
  std::set<Version> versions;
  for (const WriteRecord &write : writes_) {
    ++result.counts["writes_" + write.outcome];
    if (write.is_starving) ++result.counts["starving_" + write.outcome];
    if (write.is_starving && write.outcome == "taken")
      result.add("starving-change-taken", std::to_string(write.number));
    if (write.outcome != "taken") continue;
    newest = std::max(newest, write.version);
    if (!versions.insert(write.version).second)
      result.add("same-version-twice", std::to_string(write.version));
    if (!write.if_match.empty() && ++taken_over[write.if_match] > 1) result.add("both-won", write.if_match);
    result.counts["worst_write_ms"] =
        std::max<std::uint64_t>(result.counts["worst_write_ms"],
                                static_cast<std::uint64_t>((write.answered - write.sent) / 1'000'000));
  }
  if (writes_.empty()) return;
  if (last_read_status_ != 200) {
    result.add("not-read-back", std::to_string(last_read_status_));
    return;
  }
  if (last_read_version_ < newest)
    result.add("read-older", std::to_string(last_read_version_) + " < " + std::to_string(newest));
  const Json read = Json::parse(last_read_, nullptr, false);
  const int marker = read["tenants"]["marker"].value("base", 0) - 1;
  for (const WriteRecord &write : writes_) {
    if (write.outcome == "not-taken" && write.number == marker)
      result.add("refused-took-hold", std::to_string(marker));
    if (write.outcome == "taken" && write.version == last_read_version_ && !write.is_patch &&
        write.bytes != last_read_)
      result.add("read-differs", std::to_string(marker));
    if (write.outcome == "taken" && write.version == last_read_version_ && write.number != marker)
      result.add("read-differs", std::to_string(marker));
  }
}

void World::judge_keys(Audit &result) const {
  struct Held {
    const WriteRecord *write = nullptr;
    std::string key;
    bool has_roamer = false;
  };
  std::vector<Held> held;
  for (const WriteRecord &write : writes_) {
    if (write.is_patch || write.outcome == "not-taken") continue;
    const Json sent = Json::parse(write.bytes, nullptr, false);
    held.push_back({&write, sent["tenants"]["rolling"]["keys"][0], sent["services"].contains("roam")});
  }
  const auto revoked_at = [&](const std::string &key) -> Instant {
    Instant earliest = -1;
    for (const Held &other : held) {
      if (other.write->outcome != "taken" || other.key == key) continue;
      const bool may_hold_later = std::any_of(held.begin(), held.end(), [&](const Held &holder) {
        if (holder.key != key) return false;
        return holder.write->outcome == "taken" ? holder.write->version > other.write->version : true;
      });
      if (!may_hold_later && (earliest < 0 || other.write->answered < earliest))
        earliest = other.write->answered;
    }
    return earliest;
  };
  const auto is_roamer_gone = [&](Instant moment) {
    const Held *newest = nullptr;
    for (const Held &one : held) {
      const bool is_over = one.write->outcome == "taken" && one.write->answered < moment - milliseconds(50);
      if (is_over && (newest == nullptr || one.write->version > newest->write->version)) newest = &one;
    }
    if (newest == nullptr || newest->has_roamer) return false;
    return std::none_of(held.begin(), held.end(), [&](const Held &one) {
      return one.has_roamer && one.write->sent < moment &&
             (one.write->outcome != "taken" || one.write->version > newest->write->version);
    });
  };
  for (const VisitRecord &visit : visits_)
    if (visit.service == "roam" && is_roamer_gone(visit.begun_ns))
      result.add("removed-service-ran", visit.errand);
  std::map<std::string, Instant> revoked;
  for (const VisitRecord &visit : visits_) {
    const auto key = key_of_errand_.find(visit.errand);
    if (key == key_of_errand_.end() || key->second.starts_with("key-")) continue;
    if (key->second.starts_with("never-")) result.add("unheld-key-ran", key->second);
    if (!revoked.contains(key->second)) revoked[key->second] = revoked_at(key->second);
    const Instant moment = revoked[key->second];
    if (moment >= 0 && visit.begun_ns > moment + milliseconds(50))
      result.add("revoked-key-ran",
                 key->second + " " + std::to_string((visit.begun_ns - moment) / 1'000'000) + " ms after");
  }
}

void World::judge_held(Audit &result) const {
  for (const CallRecord &call : calls_) {
    const auto key = key_of_errand_.find(call.errand);
    if (key == key_of_errand_.end() || !key->second.starts_with("rolling-") || call.status != 401) continue;
    const WriteRecord *newest = nullptr;
    bool is_sure = true;
    for (const WriteRecord &write : writes_) {
      if (write.is_patch || write.outcome == "not-taken") continue;
      const bool is_over = write.outcome == "taken" && write.answered < call.sent_ns;
      if (is_over && (newest == nullptr || write.version > newest->version)) newest = &write;
    }
    if (newest == nullptr || newest->bytes.find('"' + key->second + '"') == std::string::npos) continue;
    for (const WriteRecord &write : writes_) {
      if (write.is_patch || write.outcome == "not-taken" || &write == newest) continue;
      const bool is_older = write.outcome == "taken" && write.version < newest->version;
      if (!is_older && write.sent < call.answered_ns) is_sure = false;
    }
    if (is_sure) result.add("held-key-refused", call.errand);
  }
}

void World::judge_refusals(Audit &result, Instant healed_at) const {
  std::uint64_t late = 0;
  for (const CallRecord &call : calls_)
    if (call.sent_ns > healed_at + seconds(12) && call.reason == "no-permit") ++late;
  result.counts["late_no_permit"] = late;
  if (late > 3) result.add("still-no-permit", std::to_string(late));
  if (result.counts["wrongly_refused"] > refusals_most_)
    result.add("proper-refused", std::to_string(result.counts["wrongly_refused"]) + " of " +
                                     std::to_string(result.counts["proper_calls"]));
}

void World::judge_recovery(Audit &result, Instant healed_at) const {
  std::map<std::int64_t, std::pair<int, int>> by_second;
  for (const CallRecord &call : calls_) {
    if (call.sent_ns < healed_at || call.tenant == "rolling" || call.target.starts_with("/roam")) continue;
    auto &[good, all] = by_second[(call.sent_ns - healed_at) / seconds(1)];
    ++all;
    if (call.verdict == "run" || call.status == 429) ++good;
  }
  std::int64_t back = 0;
  for (const auto &[second, counts] : by_second)
    if (counts.first * 100 < counts.second * 95) back = second + 1;
  result.counts["back_after_s"] = static_cast<std::uint64_t>(back);
  if (back > 12) {
    result.add("slow-return", std::to_string(back) + " s");
  }
}

Audit World::judge(Instant healed_at) {
  auto read = read_charter(manifest_text(0, key_number_));
  const auto &charter = *std::get<std::shared_ptr<const Charter>>(read);
  Audit result = audit(charter, calls_, visits_, tries_);
  result.counts["open_calls"] = calls_open_.size() - calls_.size();
  std::vector<std::int64_t> rare;
  for (const CallRecord &call : calls_)
    if (call.verdict == "run" && call.target.starts_with("/rare"))
      rare.push_back((call.answered_ns - call.sent_ns) / 1'000'000);
  std::sort(rare.begin(), rare.end());
  if (!rare.empty()) {
    result.counts["rare_p95_ms"] = static_cast<std::uint64_t>(rare[rare.size() * 95 / 100]);
    result.counts["rare_most_ms"] = static_cast<std::uint64_t>(rare.back());
  }
  for (const std::string &fault : raft_faults_) result.add("raft", fault);
  result.counts["longest_drain_ms"] = static_cast<std::uint64_t>(longest_drain_ / 1'000'000);
  if (dropped_in_drain_ > 0) {
    result.counts["fault_dropped-in-drain"] = dropped_in_drain_;
    result.faults.push_back("dropped-in-drain: " + std::to_string(dropped_in_drain_));
  }
  for (const CallRecord &call : calls_) {
    if (call.tenant == "rolling") continue;
    const std::string kind = call.target.starts_with("/hot")    ? "hot"
                             : call.target.starts_with("/once") ? "once"
                                                                : "rare";
    const std::uint64_t worth = kind == "hot" ? 20 : kind == "once" ? 100 : 1;
    ++result.counts["sent_" + kind];
    if (call.verdict != "run") continue;
    ++result.counts["run_" + kind];
    result.counts["run_worth"] += worth;
  }
  result.counts["zones_looked_at"] = zones_looked_at_;
  result.counts["left_bare"] = left_bare_;
  result.counts["longest_unled_ms"] = static_cast<std::uint64_t>(longest_unled_ / milliseconds(1));
  if (longest_unled_ > unled_most)
    result.add("not-led",
               longest_unled_node_ + " for " + std::to_string(longest_unled_ / milliseconds(1)) + " ms");
  judge_writes(result);
  judge_keys(result);
  judge_held(result);
  judge_refusals(result, healed_at);
  judge_recovery(result, healed_at);
  return result;
}

} // namespace wharf
