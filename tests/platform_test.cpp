#include <nlohmann/json.hpp>

#include "charter/charter.hpp"
#include "platform/callers.hpp"
#include "platform/config.hpp"
#include "platform/names.hpp"
#include "platform/operators.hpp"
#include "platform/platform_api.hpp"
#include "platform/runners.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;
using namespace wharf::platform;
using Json = nlohmann::json;

namespace {
HttpMessage message(std::string method, std::string target, std::vector<HttpHeader> headers = {},
                    std::string body = {}) {
  HttpMessage made;
  made.method = std::move(method);
  made.target = std::move(target);
  made.headers = std::move(headers);
  made.body = std::move(body);
  return made;
}
HttpMessage answer(int status, std::vector<HttpHeader> headers = {}, std::string body = {}) {
  HttpMessage made;
  made.status = status;
  made.headers = std::move(headers);
  made.body = std::move(body);
  return made;
}
HttpMessage caller_request() {
  return message("POST", "/pay/now/x?q=1",
                 {{"Host", "Shop.Example:80"},
                  {attempt_header, "9c41"},
                  {deadline_header, "2500"},
                  {"Authorization", "Bearer key-000001"},
                  {tenant_header, "somebody-else"},
                  {expect_header, "i-forged"},
                  {"Connection", "close, X-Hop"},
                  {"X-Hop", "1"},
                  {"X-Kept", "2"}},
                 "body");
}
Json config() {
  return Json::parse(R"({"generation": 7,
    "routeTable": [
      {"name": "r-1", "authority": "shop.example", "pathPrefix": "/pay/now/", "routeKind": "effectful",
       "deadlineMs": 2500, "targetLatencyMs": 500, "rank": 1, "target": "till", "maxTries": 1, "anonymous": false},
      {"name": "r-2", "authority": "shop.example", "pathPrefix": "/pay/", "routeKind": "pure", "deadlineMs": 3000,
       "targetLatencyMs": 1000, "rank": 2, "target": "look", "maxTries": 2, "anonymous": true}],
    "serviceTable": [
      {"name": "till", "healthPath": null, "maxConns": 75, "memoryMb": 512, "bootMs": 750, "concurrency": 4},
      {"name": "look", "healthPath": null, "maxConns": 27, "memoryMb": 128, "bootMs": 500, "concurrency": 1}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerReadMs": 3000, "idleMs": 15000},
    "tenantTable": [{"name": "delo", "apiKeys": ["key-000001", "key-000002"], "rank": 1, "ratePerS": 106, "burst": 50},
                    {"name": "free", "apiKeys": ["key-000003"], "rank": 2}]})");
}
std::shared_ptr<const Charter> charter_of(const Json &from) {
  const auto manifest = manifest_of(from);
  CHECK(std::holds_alternative<std::string>(manifest));
  auto read = read_charter(std::get<std::string>(manifest));
  CHECK(std::holds_alternative<std::shared_ptr<const Charter>>(read));
  return std::get<std::shared_ptr<const Charter>>(read);
}
std::variant<Waybill, Fate> plan(const Charter &charter, const std::string &target, const std::string &key,
                                 const std::string &host = "shop.example") {
  ErrandHead head;
  head.id = "e";
  head.method = "GET";
  head.target = target;
  head.host = host;
  head.key = key;
  head.wait_ms = 9000;
  return plan_errand(charter, 7, head, 0);
}
} // namespace

TEST_GROUP(Platform){};

TEST(Platform, a_callers_request_is_read_and_stripped_of_what_only_we_may_say) {
  HttpMessage request = caller_request();
  Callers callers;
  const auto read = callers.read(request);
  const ErrandHead &head = std::get<ErrandHead>(read);
  STRCMP_EQUAL("shop.example", head.host.c_str());
  STRCMP_EQUAL("key-000001", head.key.c_str());
  LONGS_EQUAL(2500, head.wait_ms);
  for (const char *gone :
       {"Authorization", tenant_header, expect_header, deadline_header, "Connection", "X-Hop"})
    CHECK(request.find(gone) == nullptr);
  for (const char *kept : {"X-Kept", attempt_header, "Host"}) CHECK(request.find(kept) != nullptr);
}

TEST(Platform, doubtful_requests_are_refused) {
  Callers callers;
  const auto refuses = [&](auto change) {
    HttpMessage request = caller_request();
    change(request);
    const auto read = callers.read(request);
    return std::holds_alternative<HttpMessage>(read) && std::get<HttpMessage>(read).status == 400;
  };
  CHECK(refuses([](HttpMessage &request) { request.headers.erase(request.headers.begin()); }));
  CHECK(refuses([](HttpMessage &request) { request.headers.erase(request.headers.begin() + 1); }));
  CHECK(refuses([](HttpMessage &request) { request.set(attempt_header, "other"); }));
  CHECK(refuses([](HttpMessage &request) { request.set("Authorization", "Bearer other"); }));
  CHECK(refuses([](HttpMessage &request) { request.headers[2].value = "soon"; }));
  CHECK(refuses([](HttpMessage &request) { request.headers[2].value = "-5"; }));
}

TEST(Platform, a_runner_gets_deadline_name_and_tenant) {
  HttpMessage request = caller_request();
  Callers callers;
  callers.read(request);
  Runners runners;
  Carry carry;
  carry.handle = "i-7f3a";
  carry.tenant = "delo";
  const HttpMessage call = runners.call(carry, request, milliseconds(1234));
  STRCMP_EQUAL("1234", call.find(deadline_header)->c_str());
  STRCMP_EQUAL("i-7f3a", call.find(expect_header)->c_str());
  STRCMP_EQUAL("delo", call.find(tenant_header)->c_str());
  STRCMP_EQUAL("9c41", call.find(attempt_header)->c_str());
  STRCMP_EQUAL("/pay/now/x?q=1", call.target.c_str());
  STRCMP_EQUAL("body", call.body.c_str());
  LONGS_EQUAL(1, call.count(tenant_header));
}

TEST(Platform, only_the_echoed_id_tells_whose_an_answer_is) {
  HttpMessage request = caller_request();
  Runners runners;
  CHECK(runners.is_answer_to({}, request, answer(200, {{attempt_header, "9c41"}}), true));
  CHECK(!runners.is_answer_to({}, request, answer(200, {{attempt_header, "other"}}), true));
  CHECK(!runners.is_answer_to({}, request, answer(200), true));
  CHECK(runners.is_answer_to({}, request, answer(503, {{not_run_header, "1"}}), true));
  CHECK(!runners.is_answer_to({}, request, answer(503, {{not_run_header, "1"}, {attempt_header, "other"}}),
                              true));
  CHECK(runners.is_answer_to({}, request, answer(421), true));
  CHECK(!runners.is_answer_to({}, request, answer(421), false));
  CHECK(!runners.is_answer_to({}, request, answer(503, {{not_run_header, "1"}}), false));
  CHECK(runners.is_answer_to({}, request, answer(503, {{not_run_header, "1"}, {attempt_header, "9c41"}}),
                             false));
}

TEST(Platform, what_an_answer_comes_to) {
  Runners runners;
  const auto judged = [&](int status, std::vector<HttpHeader> headers, bool is_delimited = true) {
    HttpMessage response = answer(status, std::move(headers));
    response.is_delimited = is_delimited;
    return runners.judge({}, response);
  };
  const HttpHeader seal{seal_header, "3e1b"}, not_run{not_run_header, "1"};
  CHECK(judged(200, {seal}) == CallKind::answered);
  CHECK(judged(200, {}) == CallKind::bad_seal);
  CHECK(judged(200, {seal, seal}) == CallKind::bad_seal);
  CHECK(judged(200, {seal}, false) == CallKind::bad_seal);
  CHECK(judged(200, {seal, {"Content-Encoding", "gzip"}}) == CallKind::bad_seal);
  CHECK(judged(500, {seal}) == CallKind::answered);
  CHECK(judged(504, {}) == CallKind::answered);
  for (int status : {503, 429, 400}) CHECK(judged(status, {not_run}) == CallKind::refused);
  for (int status : {503, 429, 408}) CHECK(judged(status, {seal}) == CallKind::bad_seal);
  CHECK(judged(421, {{"Wharfjunction-Runner-Id", "i-02"}}) == CallKind::unreached);
}

TEST(Platform, every_fate_gets_a_status_that_promises_no_more_than_is_known) {
  Callers callers;
  for (int at = 0; at <= static_cast<int>(Fate::caller_gone); ++at) {
    Reply reply;
    reply.fate = static_cast<Fate>(at);
    reply.retry_after = milliseconds(300);
    if (reply.fate == Fate::answered || reply.fate == Fate::replayed) continue;
    const HttpMessage response = callers.tell(reply, nullptr);
    const bool promises = response.status == 429 || response.status == 503;
    const Outcome outcome = outcome_of(reply.fate);
    CHECK(!promises || outcome.verdict == Verdict::not_run);
    LONGS_EQUAL(promises, response.find("Retry-After") != nullptr);
    if (promises) STRCMP_EQUAL("0.300", response.find("Retry-After")->c_str());
  }
}

TEST(Platform, a_runners_own_answer_goes_back_unchanged_but_for_its_link) {
  Callers callers;
  Reply reply;
  reply.fate = Fate::answered;
  HttpMessage returned =
      answer(500, {{seal_header, "3e1b"}, {"Connection", "close"}, {"Keep-Alive", "timeout=3"}, {"X", "y"}},
             "bytes");
  const HttpMessage response = callers.tell(reply, &returned);
  LONGS_EQUAL(500, response.status);
  STRCMP_EQUAL("bytes", response.body.c_str());
  CHECK(response.find(seal_header) != nullptr && response.find("X") != nullptr);
  CHECK(response.find("Connection") == nullptr && response.find("Keep-Alive") == nullptr);
}

TEST(Platform, a_configuration_becomes_a_manifest_and_is_read_back_as_sent) {
  const auto charter = charter_of(config());
  LONGS_EQUAL(7, charter->number);
  LONGS_EQUAL(2, charter->services.size());
  LONGS_EQUAL(1, charter->service_named("till")->least);
  LONGS_EQUAL(0, charter->service_named("look")->least);
  CHECK(charter->service_named("till")->self_bounding);
  LONGS_EQUAL(16384, charter->limits.head_most_bytes);
  CHECK(charter->tenant_named("free")->unbounded);
  Operators operators;
  const HttpMessage put = message("PUT", "/config", {}, config().dump());
  CHECK(Json::parse(std::get<OperatorAsk>(operators.read(put)).origin) == config());
}

TEST(Platform, the_longest_prefix_wins_and_nothing_but_what_it_begins_matches) {
  const auto charter = charter_of(config());
  const auto service = [&](const std::string &target, const std::string &host = "shop.example") {
    const auto planned = plan(*charter, target, "key-000001", host);
    const auto *bill = std::get_if<Waybill>(&planned);
    return bill == nullptr ? std::string("none") : bill->service;
  };
  STRCMP_EQUAL("till", service("/pay/now/x").c_str());
  STRCMP_EQUAL("till", service("/pay/now/").c_str());
  STRCMP_EQUAL("look", service("/pay/now").c_str());
  STRCMP_EQUAL("look", service("/pay/nowhere/x").c_str());
  STRCMP_EQUAL("none", service("/pay").c_str());
  STRCMP_EQUAL("none", service("/other/").c_str());
  STRCMP_EQUAL("none", service("/pay/now/x", "else.example").c_str());
}

TEST(Platform, keys_kinds_deadlines_and_tries_hold) {
  const auto charter = charter_of(config());
  const auto paid = std::get<Waybill>(plan(*charter, "/pay/now/x", "key-000002"));
  STRCMP_EQUAL("delo", paid.tenant.c_str());
  CHECK(!paid.is_repeatable && paid.steps.front() == Step::pay);
  LONGS_EQUAL(1, paid.tries);
  CHECK(paid.deadline <= milliseconds(2500));
  const auto open = std::get<Waybill>(plan(*charter, "/pay/x", ""));
  CHECK(open.is_repeatable && open.tenant.empty() && open.steps.front() == Step::slot);
  CHECK(std::get<Fate>(plan(*charter, "/pay/now/x", "")) == Fate::unknown_key);
  CHECK(std::get<Fate>(plan(*charter, "/pay/now/x", "key-gone00")) == Fate::unknown_key);
  CHECK(std::get<Waybill>(plan(*charter, "/pay/now/x", "key-000003")).steps.front() == Step::slot);
  Json keyless = config();
  keyless.erase("tenantTable");
  CHECK(std::get<Waybill>(plan(*charter_of(keyless), "/pay/now/x", "")).is_open);
  CHECK(std::get<Fate>(plan(*charter_of(keyless), "/none/", "")) == Fate::no_rule);
}

TEST(Platform, each_part_of_a_split_gets_its_share_of_the_requests) {
  Json split = config();
  split["routeTable"][0]["target"] = Json{{"till", 3}, {"look", 1}};
  const auto charter = charter_of(split);
  constexpr int requests = 4000;
  int to_till = 0;
  for (int at = 0; at < requests; ++at) {
    ErrandHead head;
    head.id = "request-" + std::to_string(at);
    head.method = "GET";
    head.host = "shop.example";
    head.target = split["routeTable"][0]["pathPrefix"].get<std::string>() + "x";
    head.key = "key-000002";
    to_till += std::get<Waybill>(plan_errand(*charter, 1, head, 0)).service == "till" ? 1 : 0;
  }
  // Three quarters, within three in a hundred; users bear twenty.
  CHECK(to_till > requests * 72 / 100 && to_till < requests * 78 / 100);
}

TEST(Platform, every_invalid_configuration_is_refused) {
  const auto refuses = [](auto change) {
    Json changed = config();
    change(changed);
    return std::holds_alternative<ConfigError>(manifest_of(changed));
  };
  CHECK(!refuses([](Json &) {}));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["target"] = "nobody"; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["pathPrefix"] = "/pay/"; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["target"] = Json{{"till", 0}, {"look", 0}}; }));
  CHECK(!refuses([](Json &item) { item["routeTable"][0]["target"] = Json{{"till", 3}, {"look", 1}}; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["deadlineMs"] = 0; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["routeKind"] = "odd"; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0]["name"] = "r-2"; }));
  CHECK(refuses([](Json &item) { item["routeTable"][0].erase("authority"); }));
  CHECK(refuses([](Json &item) { item["routeTable"] = 5; }));
  CHECK(refuses([](Json &item) { item["generation"] = "7"; }));
  CHECK(refuses([](Json &item) { item.erase("generation"); }));
  CHECK(refuses([](Json &item) { item["generation"] = 0; }));
  CHECK(refuses([](Json &item) { item["tenantTable"][1]["apiKeys"][0] = "key-000002"; }));
  CHECK(refuses([](Json &item) { item["serviceTable"][1]["name"] = "till"; }));
  for (const char *bytes : {"", "{", "[]", "7", "{\"generation\": 7} x"})
    CHECK(std::holds_alternative<ConfigError>(read_config(bytes)));
}

TEST(Platform, a_change_puts_in_and_takes_out_named_items) {
  const Json change = Json::parse(R"({"generation": 9, "upsert": {"routeTable": [
      {"name": "r-2", "authority": "shop.example", "pathPrefix": "/pay/", "routeKind": "pure", "deadlineMs": 100,
       "target": "till", "maxTries": 2},
      {"name": "r-3", "authority": "b.example", "pathPrefix": "/", "routeKind": "pure", "deadlineMs": 100,
       "target": "look"}]}, "remove": {"routeTable": ["r-1", "r-unknown"]}})");
  const auto merged = merge_config(config(), change);
  const Json &result = std::get<Json>(merged);
  LONGS_EQUAL(9, result["generation"].get<int>());
  LONGS_EQUAL(2, result["routeTable"].size());
  STRCMP_EQUAL("till", result["routeTable"][0]["target"].get<std::string>().c_str());
  const auto charter = charter_of(result);
  STRCMP_EQUAL("look", std::get<Waybill>(plan(*charter, "/", "key-000001", "b.example")).service.c_str());
  for (const char *broken : {R"({"upsert": {}})", R"({"generation": 9, "upsert": {"routeTable": [{}]}})",
                             R"({"generation": 9, "remove": {"routeTable": 5}})", R"([])"})
    CHECK(std::holds_alternative<ConfigError>(merge_config(config(), Json::parse(broken))));
}

TEST(Platform, an_operators_order_is_put_read_changed_and_sent_on) {
  Operators operators;
  const HttpMessage put = message("PUT", "/config", {{"If-Match", "5"}}, config().dump());
  const auto ask = std::get<OperatorAsk>(operators.read(put));
  CHECK(ask.verb == OperatorVerb::put_manifest);
  STRCMP_EQUAL("5", ask.if_match.c_str());
  STRCMP_EQUAL(ask.write_id.c_str(), std::get<OperatorAsk>(operators.read(put)).write_id.c_str());
  const auto status = [&](const HttpMessage &request, OperatorSay say) {
    return operators.tell(request, say).status;
  };
  LONGS_EQUAL(200, status(put, {1, 200, 7, "{}", {}}));
  LONGS_EQUAL(412, status(put, {1, 412, 6, "{}", {}}));
  LONGS_EQUAL(400, status(put, {1, 422, 6, "{}", {}}));
  LONGS_EQUAL(503, status(put, {1, 503, 0, {}, {}}));
  const HttpMessage moved = operators.tell(put, {1, 503, 0, {}, "10.0.0.4:8080"});
  LONGS_EQUAL(307, moved.status);
  STRCMP_EQUAL("http://10.0.0.4:8080/config", moved.find("Location")->c_str());

  const HttpMessage get = message("GET", "/config");
  CHECK(std::get<OperatorAsk>(operators.read(get)).verb == OperatorVerb::get_manifest);
  OperatorSay in_force{2, 200, 7, std::get<std::string>(manifest_of(config())), {}};
  in_force.origin = config().dump();
  CHECK(Json::parse(operators.tell(get, in_force).body) == config());
  LONGS_EQUAL(404, status(get, {2, 404, 0, {}, {}}));

  const HttpMessage patch = message("PATCH", "/config", {{"If-Match", "7"}},
                                    R"({"generation": 9, "remove": {"routeTable": ["r-2"]}})");
  const auto change = std::get<OperatorAsk>(operators.read(patch));
  CHECK(change.verb == OperatorVerb::patch_manifest);
  STRCMP_EQUAL("7", change.if_match.c_str());
  CHECK(!change.write_id.empty());
  STRCMP_EQUAL(change.write_id.c_str(), std::get<OperatorAsk>(operators.read(patch)).write_id.c_str());
  const auto merged = std::get<ConfigurationText>(change.merge(config().dump()));
  LONGS_EQUAL(9, Json::parse(merged.origin)["generation"].get<int>());
  LONGS_EQUAL(1, Json::parse(merged.origin)["routeTable"].size());
  STRCMP_EQUAL(std::get<std::string>(manifest_of(Json::parse(merged.origin))).c_str(),
               merged.manifest.c_str());
  LONGS_EQUAL(200, status(patch, {3, 200, 9, "{}", {}}));
  LONGS_EQUAL(412, status(patch, {3, 412, 8, "{}", {}}));
  const HttpMessage broken = message("PATCH", "/config", {{"If-Match", "7"}},
                                     R"({"generation": 9, "upsert": {"routeTable": [{"name": "r-1"}]}})");
  const auto refused = std::get<OperatorAsk>(operators.read(broken)).merge(config().dump());
  CHECK(std::get<CharterErrors>(refused).is_syntax);
  LONGS_EQUAL(400, status(broken, {3, 400, 7, "{}", {}}));

  for (const char *method : {"PUT", "PATCH"})
    LONGS_EQUAL(400, std::get<HttpMessage>(operators.read(message(method, "/config", {}, "{"))).status);
  LONGS_EQUAL(404, std::get<HttpMessage>(operators.read(message("GET", "/other"))).status);
  LONGS_EQUAL(405, std::get<HttpMessage>(operators.read(message("DELETE", "/config"))).status);
  LONGS_EQUAL(503, operators.silent(put).status);
}

TEST(Platform, lists_are_read_page_by_page_and_broken_ones_not_at_all) {
  PlatformApi api("edge-a-1");
  std::vector<WorkerSeen> workers;
  CHECK(api.read_workers(answer(200, {}, R"({"workerPool": [
      {"name": "w-3", "zone": "a", "memoryMb": 4096, "freeMemoryMb": 1280, "phase": "ready"},
      {"name": "w-4", "zone": "b", "memoryMb": 4096, "freeMemoryMb": 1280, "phase": "draining"}]})"),
                         workers));
  LONGS_EQUAL(2, workers.size());
  CHECK(!workers[0].is_draining && workers[1].is_draining);
  LONGS_EQUAL(4096, workers[0].memory_mb);
  std::vector<RunnerSeen> runners;
  std::string next;
  CHECK(api.read_runners(
      answer(200, {}, R"({"runners": [{"target": "till", "address": "10.1.0.9:80", "zone": "a",
      "generation": "v1", "capacity": 8, "phase": "draining", "coldLeftMs": 0, "id": "i-7", "workerId": "w-3"}],
      "nextToken": "p-50"})"),
      runners, next));
  STRCMP_EQUAL("p-50", next.c_str());
  CHECK(runners[0].phase == RunnerPhase::stopping && runners[0].worker == "w-3" && runners[0].id == "i-7");
  CHECK(api.read_runners(answer(200, {}, R"({"runners": [], "nextToken": null})"), runners, next));
  CHECK(next.empty());
  STRCMP_EQUAL("/runners?pageToken=p-50%2F", api.ask_runners("p-50/").target.c_str());
  for (const HttpMessage &broken : {answer(429), answer(200, {}, "{"), answer(200, {}, "[]"), answer(503)}) {
    CHECK(!api.read_workers(broken, workers));
    CHECK(!api.read_runners(broken, runners, next));
  }
}

TEST(Platform, starts_and_stops_carry_holder_fence_and_a_name_that_can_be_said_again) {
  PlatformApi api("edge-a-1");
  PlatformOrder start;
  start.runner.id = "r5-1";
  start.runner.service = "till";
  start.runner.worker = "w-3";
  start.term = 12;
  const HttpMessage begun = api.order(start);
  STRCMP_EQUAL("/begin", begun.target.c_str());
  STRCMP_EQUAL("edge-a-1", begun.find(holder_header)->c_str());
  STRCMP_EQUAL("12", begun.find(fence_header)->c_str());
  CHECK(Json::parse(begun.body) == Json::parse(R"({"target": "till", "workerId": "w-3", "nonce": "r5-1"})"));
  const auto end = [&](const PlatformOrder &order, const HttpMessage &response) {
    return api.read_order(order, &response).end;
  };
  const HttpMessage done = answer(200, {}, R"({"id": "i-7", "address": "10.1.0.9:80"})");
  const PlatformSay said = api.read_order(start, &done);
  CHECK(said.end == OrderEnd::done && said.handle == "i-7" && said.address == "10.1.0.9:80");
  CHECK(end(start, answer(200, {}, "{}")) == OrderEnd::unknown);
  CHECK(end(start, answer(409)) == OrderEnd::refused);
  CHECK(end(start, answer(400)) == OrderEnd::refused);
  CHECK(end(start, answer(429)) == OrderEnd::busy);
  CHECK(end(start, answer(500)) == OrderEnd::unknown);
  CHECK(api.read_order(start, nullptr).end == OrderEnd::unknown);
  PlatformOrder stop = start;
  stop.is_start = false;
  stop.runner.handle = "i-7";
  CHECK(Json::parse(api.order(stop).body) == Json::parse(R"({"id": "i-7"})"));
  CHECK(end(stop, answer(404)) == OrderEnd::refused);
  CHECK(end(stop, answer(200)) == OrderEnd::done);
}

TEST(Platform, readiness_is_told_on_its_own_path_only) {
  Callers callers;
  LONGS_EQUAL(200, callers.readiness(message("GET", "/ready"), true).status);
  LONGS_EQUAL(503, callers.readiness(message("GET", "/ready"), false).status);
  LONGS_EQUAL(404, callers.readiness(message("GET", "/other"), true).status);
}
