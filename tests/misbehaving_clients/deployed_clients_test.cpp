// Clients that don't behave, at every door of the deployed daemons: no process ends, each stays within the
// memory and the descriptors of its machine, and an ordinary request is answered while the crowd is still
// there and after it has gone. The crowds and the bounds are those of the machine's settings; nothing here
// depends on how fast the machine is.
#include "misbehaving_clients/crowd.hpp"
#include "misbehaving_clients/deployed_rig.hpp"
#include "misbehaving_clients/process_usage.hpp"

#include <unistd.h>

#include "misbehaving_clients/all_is_well.hpp"

using namespace wharf;

namespace {
constexpr std::size_t kib = 1024, mib = 1024 * kib;
/// What the configuration of these tests lets a client send.
constexpr std::size_t body_most = 256 * kib, head_most = 16 * kib;
constexpr int short_work_ms = 5, long_work_ms = 6000;

/// A head whose headers are as many as its bytes allow, without its end.
std::string head_of_tiny_headers(const std::string &first_line, std::size_t bytes) {
  std::string head = first_line + "\r\n";
  while (head.size() + 4 <= bytes) head += "a:\r\n";
  return head;
}

std::string post_head(const std::string &target, std::size_t length) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(DeployedClients) { DeployedRig rig{BINARIES}; };

TEST(DeployedClients, edge_long_answers_read_by_nobody) {
  Crowd crowd(rig.front(), 48, {rig.request_text(true, 0, 4 * mib, short_work_ms), {}});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_long_answers_read_by_nobody_who_comes_back) {
  Crowd crowd(rig.front(), 24, {rig.request_text(true, 0, 8 * mib, short_work_ms), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_pipelined_answers_read_by_nobody) {
  const std::string ask = rig.request_text(true, 0, 512 * kib, short_work_ms);
  Crowd crowd(rig.front(), 16, {ask, ask, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_bodies_that_never_end) {
  Crowd crowd(rig.front(), 500,
              {post_head("/once/x", body_most) + std::string(body_most - 1, 'b'), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_whole_bodies_that_wait) {
  Crowd crowd(rig.front(), 500, {rig.request_text(false, body_most, 0, long_work_ms), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_whole_bodies_whose_clients_have_gone) {
  Crowd crowd(rig.front(), 100, {rig.request_text(false, body_most, 0, long_work_ms), {}, true, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_bytes_behind_a_request_that_is_served) {
  Crowd crowd(rig.front(), 1000,
              {rig.request_text(true, 0, 0, long_work_ms),
               post_head("/once/x", body_most) + std::string(body_most, 'b')});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_heads_of_tiny_headers_that_never_end) {
  Crowd crowd(rig.front(), 500,
              {head_of_tiny_headers("GET /again/x HTTP/1.1", head_most / 2), "a:\r\n", true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, edge_whole_heads_of_tiny_headers_that_wait) {
  std::string ask = rig.request_text(true, 0, 0, long_work_ms);
  const auto line_end = ask.find("\r\n");
  ask.insert(line_end + 2, head_of_tiny_headers("", 8 * kib).substr(2));
  Crowd crowd(rig.front(), 800, {ask, {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, readiness_bodies_that_never_end) {
  Crowd crowd(rig.readiness(), 24, {post_head("/ready", 8 * mib) + std::string(8 * mib - 1, 'b'), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, readiness_pipelined_answers_read_by_nobody) {
  std::string asks;
  while (asks.size() < 32 * kib) asks += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  Crowd crowd(rig.readiness(), 24, {asks, asks, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, control_orders_that_never_end) {
  Crowd crowd(rig.operators(), 40, {post_head("/config", 3 * mib) + std::string(3 * mib - 1, ' '), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, control_orders_of_many_small_values) {
  std::string body = R"({"generation":9,"more":[)";
  while (body.size() < 2 * mib) body += "[],";
  body += "0]}";
  const std::string order =
      "PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  Crowd crowd(rig.operators(), 12, {order, order, true});
  press_and_check(rig, crowd);
}

TEST(DeployedClients, control_an_order_of_nested_lists) {
  constexpr std::size_t depth = 100'000;
  const std::string body =
      R"({"generation":9,"more":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
  for (const char *method : {"PUT", "PATCH"}) {
    HttpMessage order;
    order.method = method;
    order.target = "/config";
    order.set("Host", "h");
    order.set("If-Match", "1");
    order.body = body;
    LONGS_EQUAL(400, call_once(rig.operators(), order).status);
  }
  Crowd nobody(rig.operators(), 0, {});
  check_all_is_well(rig, nobody);
}

TEST(DeployedClients, control_pipelined_reads_whose_answers_nobody_reads) {
  HttpMessage order = rig.configuration_order(2, 1);
  order.body.insert(1, R"("note":")" + std::string(512 * kib, 'n') + R"(",)");
  LONGS_EQUAL(200, call_once(rig.operators(), order).status);
  std::string asks;
  while (asks.size() < 16 * kib) asks += "GET /config HTTP/1.1\r\nHost: h\r\n\r\n";
  Crowd crowd(rig.operators(), 24, {asks, asks, true});
  press_and_check(rig, crowd);
}

// Guards against: a connection whose client has ended its half while an order is under way is kept for good.
TEST(DeployedClients, control_operators_that_leave_while_they_wait) {
  const std::size_t before = open_descriptors(rig.control_process());
  rig.set_control_disk("stalled");
  const std::string order = request_bytes(rig.configuration_order(2, 1));
  for (int round = 0; round < 3; ++round) {
    Crowd crowd(rig.operators(), 100, {order, {}, false, false, true});
    crowd.press(1);
  }
  rig.set_control_disk("well");
  Crowd nobody(rig.operators(), 0, {});
  check_all_is_well(rig, nobody);
  CHECK_TEXT(open_descriptors(rig.control_process()) < before + 50,
             "connections of operators that left are kept");
}

TEST(DeployedClients, inner_frames_that_never_end) {
  const std::string opening = half_frame(24 * mib);
  Crowd at_edge(rig.edge_inner(), 8, {opening, {}, true});
  Crowd at_control(rig.control_inner(), 8, {opening, {}, true});
  at_edge.press(press_s);
  at_control.press(press_s);
  check_all_is_well(rig, at_edge);
}

TEST_GROUP(DeployedDescriptors) { DeployedRig rig{BINARIES, {64, 300}}; };

TEST(DeployedDescriptors, front_connections_that_rest) {
  Crowd crowd(rig.front(), 800, {{}, {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedDescriptors, front_connections_that_wait_for_answers) {
  Crowd crowd(rig.front(), 800, {rig.request_text(true, 0, 0, long_work_ms), {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedDescriptors, readiness_connections_that_rest) {
  Crowd crowd(rig.readiness(), 800, {{}, {}, true});
  press_and_check(rig, crowd);
  LONGS_EQUAL(200, call_until(
                       rig.readiness(),
                       [] {
                         HttpMessage ask;
                         ask.method = "GET";
                         ask.target = "/ready";
                         ask.set("Host", "h");
                         return ask;
                       },
                       [](const HttpMessage &answer) { return answer.status == 200; }, 30)
                       .status);
}

TEST(DeployedDescriptors, control_connections_that_rest) {
  Crowd crowd(rig.operators(), 800, {{}, {}, true});
  press_and_check(rig, crowd);
}

TEST(DeployedDescriptors, inner_connections_that_rest) {
  Crowd at_edge(rig.edge_inner(), 500, {{}, {}, true});
  Crowd at_control(rig.control_inner(), 500, {{}, {}, true});
  at_edge.press(press_s);
  at_control.press(press_s);
  check_all_is_well(rig, at_edge);
}

TEST_GROUP(DeployedCalm) { DeployedRig rig{BINARIES}; };

// A reader that is slow but steady takes longer for a long answer than a process waits for one that does not
// read.
TEST(DeployedCalm, a_long_answer_to_one_slow_reader_arrives_whole) {
  const ReadingPace slow{64 * kib, 150, 20'000, 64 * kib};
  const HttpMessage answer = call_once(rig.front(), rig.request(true, 0, 8 * mib, short_work_ms), slow);
  LONGS_EQUAL(200, answer.status);
  LONGS_EQUAL(8 * mib, answer.body.size());
  STRCMP_EQUAL("", rig.broken_bound().c_str());
}

TEST(DeployedCalm, the_longest_body_and_answer_within_the_limits_are_served) {
  const HttpMessage answer = call_once(rig.front(), rig.request(false, body_most, 15 * mib, short_work_ms));
  LONGS_EQUAL(200, answer.status);
  LONGS_EQUAL(15 * mib, answer.body.size());
  STRCMP_EQUAL("", rig.broken_bound().c_str());
}
