#include <cmath>

#include "drydock/world.hpp"
#include "seal/seal.hpp"

namespace wharf {

void World::start_callers(Instant from, Instant until) {
  Instant moment = from;
  while (moment < until) {
    moment += static_cast<Span>(-std::log(1.0 - dice_.unit()) / shape_.rate * 1e9);
    at(moment, [this] {
      const double roll = dice_.unit();
      const int kind = roll < shape_.hot_share ? 0 : roll < shape_.hot_share + shape_.once_share ? 1 : 2;
      call(static_cast<int>(dice_.below(static_cast<std::uint64_t>(shape_.tenants))), kind,
           kind == 1 ? "k" + std::to_string(dice_.next()) : "", kind == 1 ? 2 : 0);
    });
  }
}

void World::crowd(int tenant, double rate, Instant from, Instant until, int pilot) {
  Instant moment = from;
  while (moment < until) {
    moment += static_cast<Span>(-std::log(1.0 - dice_.unit()) / rate * 1e9);
    at(moment, [this, tenant, pilot] { call(tenant, 0, "", 0, pilot); });
  }
}

void World::crowd_mixed(int tenant, double rate, Instant from, Instant until) {
  Instant moment = from;
  while (moment < until) {
    moment += static_cast<Span>(-std::log(1.0 - dice_.unit()) / rate * 1e9);
    at(moment, [this, tenant] {
      const double roll = dice_.unit();
      const int kind = roll < shape_.hot_share ? 0 : roll < shape_.hot_share + shape_.once_share ? 1 : 2;
      call(tenant, kind, kind == 1 ? "k" + std::to_string(dice_.next()) : "", 0);
    });
  }
}

int World::left_bare(int zone) const {
  int bare = 0;
  for (int kind = 0; kind < 2; ++kind)
    for (int index = 0; index < (kind == 0 ? shape_.hot : shape_.once); ++index) {
      bool is_left = false;
      for (const auto &[id, runner] : runners_)
        is_left = is_left ||
                  (runner.record.service == service_name(kind, index) && runner.is_ready && !runner.is_gone &&
                   !runner.is_stopping && std::stoi(runner.record.worker.substr(1)) % shape_.zones != zone);
      bare += is_left ? 0 : 1;
    }
  return bare;
}

void World::call_service(int tenant, int kind, int index) {
  forced_index_ = index;
  call(tenant, kind, "", 0);
  forced_index_ = -1;
}

void World::repeat_once() {
  if (once_sent_.empty()) return;
  const std::string key = once_sent_[dice_.below(once_sent_.size())];
  call(std::stoi(key.substr(0, key.find('/'))), 1, key.substr(key.find('/') + 1), 0);
}

void World::hang_up(int which) {
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  if (!node.is_up || node.is_frozen || node.waiting.empty()) return;
  const auto item =
      std::next(node.waiting.begin(), static_cast<std::ptrdiff_t>(dice_.below(node.waiting.size())));
  const std::string id = item->first;
  node.waiting.erase(item);
  PilotOutput out;
  node.core->caller_gone(id, local(node), out);
  flush(which, node, out);
  settle_call(id, nullptr);
}

void World::call(int tenant, int kind, const std::string &once_key, int tries_left, int pilot,
                 const std::string &key) {
  const int which = pilot >= 0 ? pilot : static_cast<int>(dice_.below(pilots_.size()));
  PilotNode &node = pilots_[static_cast<std::size_t>(which)];
  const std::string id = "e" + std::to_string(next_errand_++);
  const int count = kind == 0 ? shape_.hot : kind == 1 ? shape_.once : kind == 2 ? shape_.rare : 1;
  CallState state;
  state.tries_left = tries_left;
  state.kind = kind;
  state.tenant = tenant;
  state.key = key;
  state.record.errand = id;
  state.record.tenant = key.empty() ? tenant_name(tenant) : "rolling";
  state.record.method = "POST";
  if (!once_key.empty()) once_sent_.push_back(std::to_string(tenant) + "/" + once_key);
  if (once_sent_.size() > 200) once_sent_.pop_front();
  const std::size_t pick =
      forced_index_ >= 0 ? static_cast<std::size_t>(forced_index_)
      : once_key.empty() ? dice_.below(static_cast<std::uint64_t>(count))
                         : stable_hash(once_key.data(), once_key.size()) % static_cast<std::uint64_t>(count);
  state.record.target = "/" + (kind == 3 ? "roam" : service_name(kind, static_cast<int>(pick))) + "/" +
                        (once_key.empty() ? id : once_key);
  state.record.body_digest = once_key.empty() ? id : once_key;
  state.record.once_key = once_key;
  state.record.sent_ns = now_;
  calls_open_[id] = state;
  const std::string presented = key.empty() ? "key-" + tenant_name(tenant) + "-00000000" : key;
  key_of_errand_[id] = presented;
  if (!node.is_up || node.is_leaving || is_cut("callers", pilot_name(which))) {
    at(now_ + milliseconds(1), [this, id] { settle_call(id, nullptr); });
    return;
  }
  node.waiting[id] = [this, id](const Reply *reply) { settle_call(id, reply); };
  at(now_ + seconds(10), [this, id, which] {
    PilotNode &slow = pilots_[static_cast<std::size_t>(which)];
    if (slow.waiting.erase(id) != 0) settle_call(id, nullptr);
  });
  ErrandHead head;
  head.id = id;
  head.method = "POST";
  head.target = state.record.target;
  head.key = presented;
  head.idempotency_key = once_key;
  head.body_digest = state.record.body_digest;
  head.wait_ms = kind == 2 ? 6000 : 3000;
  defer(node, [this, which, head, incarnation = node.incarnation] {
    PilotNode &target = pilots_[static_cast<std::size_t>(which)];
    if (target.incarnation != incarnation || !target.waiting.contains(head.id)) return;
    PilotOutput out;
    auto planned = target.core->front(head, local(target));
    if (const auto *fate = std::get_if<Fate>(&planned)) {
      Reply reply;
      reply.errand = head.id;
      reply.fate = *fate;
      out.replies.push_back(reply);
    } else {
      target.core->arrive(std::get<Waybill>(std::move(planned)), local(target), out);
    }
    flush(which, target, out);
  });
}

void World::settle_call(const std::string &id, const Reply *reply) {
  const auto found = calls_open_.find(id);
  if (found == calls_open_.end()) return;
  CallState state = found->second;
  state.record.answered_ns = now_;
  if (reply != nullptr) {
    const Outcome outcome = outcome_of(reply->fate);
    state.record.status = outcome.status;
    state.record.verdict = verdict_name(outcome.verdict);
    state.record.reason = outcome.reason;
    if (reply->fate == Fate::answered) state.record.answer_errand = id;
    if (reply->fate == Fate::replayed || reply->fate == Fate::not_kept) state.record.errand = reply->why;
    if (reply->fate == Fate::replayed) {
      const std::string body = defect_ == Defect::emptied_record ? std::string() : reply->body;
      constexpr std::string_view head = "answer to ";
      state.record.answer_errand = body.starts_with(head) ? body.substr(head.size()) : "nothing";
    }
    if (defect_ == Defect::swapped_answers && reply->fate == Fate::answered && dice_.chance(0.02))
      state.record.answer_errand = "e1";
  }
  calls_.push_back(state.record);
  if (state.record.verdict != "run" && state.tries_left > 0)
    call(state.tenant, state.kind, state.record.once_key, state.tries_left - 1, -1, state.key);
}

} // namespace wharf
