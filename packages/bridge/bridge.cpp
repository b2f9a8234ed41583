#include "bridge/bridge.hpp"

#include "hawser/hawser.hpp"
#include "json_limits/json_limits.hpp"
#include "moorings/moorings.hpp"
#include "seal/seal.hpp"

namespace wharf {

namespace {
std::string header_of(const httplib::Headers &headers, const char *name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

/// Copies of an order's text that are held until it is decided, besides the request.
constexpr std::size_t order_copies = 3;

void say(httplib::Response &response, int status, const std::string &body) {
  response.status = status;
  response.set_content(body, "application/json");
}
} // namespace

Bridge::Bridge(ControlDesk &desk, std::string token) : desk_(desk), token_(std::move(token)) {}

void Bridge::pass_on(const std::string &leader, const httplib::Request &request,
                     const httplib::Headers &original, bool is_write, httplib::Response &response) const {
  std::string ip;
  int port = 0;
  if (!split_address(leader, ip, port)) {
    say(response, 503,
        R"({"outcome": "not-taken", "why": "the leader's address is not known"})"
        "\n");
    return;
  }
  httplib::Client client(ip, port);
  client.set_connection_timeout(0, 500'000);
  client.set_read_timeout(12, 0);
  client.set_follow_location(false);
  client.set_url_encode(false);
  httplib::Request passed;
  passed.method = request.method;
  passed.path = request.target;
  passed.body = request.body;
  for (const char *name : {"Authorization", "If-Match", "X-Wharf-Write"})
    if (original.count(name) == 1) passed.headers.emplace(name, header_of(original, name));
  passed.headers.emplace("X-Wharf-Passed", "1");
  const auto result = client.send(passed);
  if (!result) {
    const bool is_unsent =
        result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
    const std::string outcome = !is_write ? "not-read" : is_unsent ? "not-taken" : "unknown";
    say(response, 503, "{\"outcome\": \"" + outcome + "\", \"why\": \"the leader did not answer\"}\n");
    response.set_header("Retry-After", "1");
    return;
  }
  say(response, result->status, result->body);
  for (const char *name : {"ETag", "Retry-After"})
    if (result->has_header(name)) response.set_header(name, result->get_header_value(name));
}

void Bridge::serve(const httplib::Request &request, const httplib::Headers &original,
                   httplib::Response &response) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/v1/counters" && request.method == "GET") {
    say(response, 200, desk_.counters_json());
    return;
  }
  if (original.count("Authorization") != 1 ||
      !same_text(header_of(original, "Authorization"), "Bearer " + token_)) {
    say(response, 401,
        R"({"outcome": "not-taken", "why": "the operators' token is missing or wrong"})"
        "\n");
    return;
  }
  OperatorAsk ask;
  if (path == "/v1/manifest" && request.method == "GET")
    ask.verb = OperatorVerb::get_manifest;
  else if (path == "/v1/manifest" && request.method == "PUT")
    ask.verb = OperatorVerb::put_manifest;
  else if (path == "/v1/manifest" && request.method == "PATCH")
    ask.verb = OperatorVerb::patch_manifest;
  else if (path == "/v1/trial" && request.method == "PUT")
    ask.verb = OperatorVerb::try_manifest;
  else if (path == "/v1/trial" && request.method == "PATCH")
    ask.verb = OperatorVerb::try_patch;
  else if (path == "/v1/version" && request.method == "GET")
    ask.verb = OperatorVerb::get_version;
  else if (path == "/v1/status" && request.method == "GET")
    ask.verb = OperatorVerb::get_status;
  else {
    say(response, 404,
        R"({"outcome": "not-taken", "why": "no such path or method"})"
        "\n");
    return;
  }
  const bool is_write = ask.verb == OperatorVerb::put_manifest || ask.verb == OperatorVerb::patch_manifest;
  if (original.count("Content-Encoding") != 0) {
    say(response, 415,
        R"({"outcome": "not-taken", "why": "encoded bodies are not taken"})"
        "\n");
    return;
  }
  const std::size_t parsed = shape_of_json(request.body).parsed_bytes();
  if (!Moorings::hold_more(order_copies * request.body.size() + parsed)) {
    say(response, 503,
        R"({"outcome": "not-taken", "why": "no memory"})"
        "\n");
    response.set_header("Retry-After", "1");
    return;
  }
  ask.body = request.body;
  ask.if_match = header_of(original, "If-Match");
  ask.write_id = header_of(original, "X-Wharf-Write");
  const OperatorSay answer = desk_.ask(std::move(ask));
  if (!answer.leader_http.empty() && original.count("X-Wharf-Passed") == 0) {
    pass_on(answer.leader_http, request, original, is_write, response);
    return;
  }
  if (answer.status == 0) {
    say(response, 503,
        std::string("{\"outcome\": \"") + (is_write ? "unknown" : "not-read") +
            "\", \"why\": \"no answer in time\"}\n");
    response.set_header("Retry-After", "1");
    return;
  }
  say(response, answer.status, answer.body);
  if (answer.version != 0) response.set_header("ETag", "\"v" + std::to_string(answer.version) + "\"");
  if (answer.status == 503) response.set_header("Retry-After", "1");
}

} // namespace wharf
