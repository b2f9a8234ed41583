#include "gangway/gangway.hpp"

#include <algorithm>
#include <charconv>

#include "seal/seal.hpp"

namespace wharf {

std::shared_ptr<PilotWaiter> WaitingDoor::open(const std::string &errand) {
  auto waiter = std::make_shared<PilotWaiter>();
  std::lock_guard guard(mutex_);
  waiters_[errand] = waiter;
  return waiter;
}

void WaitingDoor::close(const std::string &errand) {
  std::lock_guard guard(mutex_);
  waiters_.erase(errand);
}

void WaitingDoor::give(const std::string &errand, PilotWord word) {
  std::shared_ptr<PilotWaiter> waiter;
  {
    std::lock_guard guard(mutex_);
    const auto found = waiters_.find(errand);
    if (found == waiters_.end()) return;
    waiter = found->second;
  }
  waiter->give(std::move(word));
}

std::size_t WaitingDoor::size() const {
  std::lock_guard guard(mutex_);
  return waiters_.size();
}

Gangway::Gangway(PilotDesk &desk, WaitingDoor &door) : desk_(desk), door_(door) {}

namespace {
std::string lower_of(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

std::string header_of(const httplib::Headers &headers, const char *name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

/// Names the caller's Connection header takes out of the request.
std::vector<std::string> named_hops(const httplib::Headers &headers) {
  std::vector<std::string> names;
  const auto range = headers.equal_range("Connection");
  for (auto item = range.first; item != range.second; ++item) {
    std::string_view text = item->second;
    while (!text.empty()) {
      const auto comma = text.find(',');
      std::string name(text.substr(0, comma));
      std::erase_if(name, [](unsigned char letter) { return std::isspace(letter); });
      names.push_back(lower_of(name));
      if (comma == std::string_view::npos) break;
      text.remove_prefix(comma + 1);
    }
  }
  return names;
}

bool read_wait(const httplib::Headers &headers, std::int64_t &wait_ms) {
  const std::string text = header_of(headers, "X-Wharf-Wait-Ms");
  if (text.empty()) return headers.count("X-Wharf-Wait-Ms") == 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), wait_ms);
  return read.ec == std::errc() && read.ptr == text.data() + text.size() && wait_ms > 0 &&
         wait_ms <= 86'400'000;
}
} // namespace

void Gangway::answer(const std::string &errand, Fate fate, Span retry_after, const std::string &why,
                     httplib::Response &response) const {
  const Outcome outcome = outcome_of(fate);
  response.status = outcome.status;
  response.set_header("X-Wharf-Errand", errand);
  response.set_header("X-Wharf-Verdict", std::string(verdict_name(outcome.verdict)));
  response.set_header("X-Wharf-Reason", std::string(outcome.reason));
  if (outcome.has_retry_after) response.set_header("Retry-After", std::to_string(retry_seconds(retry_after)));
  std::string body = "{\"verdict\": \"" + std::string(verdict_name(outcome.verdict)) + "\", \"reason\": \"" +
                     std::string(outcome.reason) + "\"";
  if (!why.empty()) body += ", \"why\": \"" + why + "\"";
  response.set_content(body + ", \"errand\": \"" + errand + "\"}\n", "application/json");
}

void Gangway::serve(const httplib::Request &request, const httplib::Headers &original,
                    httplib::Response &response) {
  if (request.method == "GET" && request.target == "/.wharf/counters") {
    response.set_content(desk_.counters_json(), "application/json");
    return;
  }
  constexpr std::string_view story_path = "/.wharf/errand/";
  if (request.method == "GET" && request.target.starts_with(story_path)) {
    const std::string story = desk_.story_json(request.target.substr(story_path.size()));
    response.status = story.empty() ? 404 : 200;
    response.set_content(story.empty() ? "{\"why\": \"not remembered here\"}\n" : story, "application/json");
    return;
  }
  ErrandHead head;
  head.id = random_id();
  head.method = request.method;
  head.target = request.target;
  head.body_size = request.body.size();
  const std::string credential = header_of(original, "Authorization");
  if (original.count("Authorization") == 1 && credential.starts_with("Bearer "))
    head.key = credential.substr(7);
  head.idempotency_key = header_of(original, "Idempotency-Key");
  const bool is_malformed = !read_wait(original, head.wait_ms) || original.count("Authorization") > 1 ||
                            original.count("Idempotency-Key") > 1 || head.idempotency_key.size() > 256 ||
                            (original.count("Idempotency-Key") == 1 && head.idempotency_key.empty());
  if (is_malformed) {
    answer(head.id, Fate::malformed, 0, {}, response);
    return;
  }
  if (!head.idempotency_key.empty()) head.body_digest = digest_hex(request.body);
  auto planned = desk_.front(head);
  if (const auto *fate = std::get_if<Fate>(&planned)) {
    answer(head.id, *fate, seconds(1), {}, response);
    return;
  }
  const auto waiter = door_.open(head.id);
  if (!desk_.hand_in(std::get<Waybill>(std::move(planned)))) {
    door_.close(head.id);
    answer(head.id, Fate::no_runner, seconds(1), "pilot-full", response);
    return;
  }
  Moorings::on_caller_gone([this, errand = head.id] { desk_.caller_gone(errand); });
  Cargo cargo{request.method, request.target, request.body, {}, Moorings::hold_more};
  const auto hops = named_hops(original);
  for (const auto &[name, value] : original) {
    if (is_own_header(name) || std::find(hops.begin(), hops.end(), lower_of(name)) != hops.end()) continue;
    cargo.headers.emplace(name, value);
  }
  Returned returned;
  while (true) {
    PilotWord word;
    if (!waiter->take(word, 700'000)) {
      door_.close(head.id);
      answer(head.id, Fate::waited_sent, seconds(1), "core-silent", response);
      return;
    }
    if (const auto *carry = std::get_if<Carry>(&word)) {
      returned = {};
      desk_.call_ended(lighter_.carry(*carry, cargo, desk_.body_most(), returned));
      continue;
    }
    const Reply &reply = std::get<Reply>(word);
    door_.close(head.id);
    if (reply.fate != Fate::answered && reply.fate != Fate::replayed) {
      answer(head.id, reply.fate, reply.retry_after, reply.why, response);
      return;
    }
    const bool is_replay = reply.fate == Fate::replayed;
    response.status = is_replay ? reply.status : returned.status;
    if (is_replay)
      for (const KeptHeader &header : reply.headers) response.headers.emplace(header.name, header.value);
    else
      for (const auto &[name, value] : returned.headers)
        if (!is_own_header(name) && lower_of(name) != "content-type") response.headers.emplace(name, value);
    const std::string &type = is_replay ? reply.type : returned.type;
    if (is_replay)
      response.body = reply.body;
    else
      response.body = std::move(returned.body);
    if (!type.empty()) response.set_header("Content-Type", type);
    response.set_header("X-Wharf-Errand", is_replay && !reply.why.empty() ? reply.why : head.id);
    response.set_header("X-Wharf-Verdict", "run");
    response.set_header("X-Wharf-Reason", std::string(outcome_of(reply.fate).reason));
    response.set_header("X-Wharf-Runner", reply.runner);
    return;
  }
}

} // namespace wharf
