// Clients that don't behave, at the doors of the older daemons, which serve a request by a thread: no process
// ends or hangs, each stays within the memory of its machine, and an ordinary request is answered while the
// crowd is still there and after it has gone.
#include "misbehaving_clients/crowd.hpp"
#include "misbehaving_clients/older_rig.hpp"

#include "misbehaving_clients/all_is_well.hpp"

using namespace wharf;

namespace {
constexpr std::size_t kib = 1024, mib = 1024 * kib;
constexpr std::size_t long_answer = 2 * mib;

std::string head_without_length(const std::string &more) {
  const std::string head = OlderRig::head_of("POST", "/short/x", 0);
  return head.substr(0, head.find("Content-Length")) + more;
}
} // namespace

TEST_GROUP(OlderClients) { OlderRig rig{BINARIES, long_answer}; };

TEST(OlderClients, edge_long_answers_read_by_nobody) {
  Crowd crowd(rig.front(), 64, {request_bytes(OlderRig::request(true)), {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_pipelined_answers_read_by_nobody) {
  const std::string ask = request_bytes(OlderRig::request(true));
  Crowd crowd(rig.front(), 32, {ask + ask, ask, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_bodies_that_never_end) {
  const std::string body(4 * mib - 1, 'b');
  Crowd crowd(rig.front(), 48, {OlderRig::head_of("POST", "/short/x", 4 * mib) + body, {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_bodies_in_chunks_that_never_end) {
  Crowd crowd(
      rig.front(), 64,
      {head_without_length("Transfer-Encoding: chunked\r\n\r\n100000\r\n") + std::string(mib - 1, 'b'),
       {},
       true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_bodies_that_wait_to_be_asked_for) {
  Crowd crowd(rig.front(), 64,
              {head_without_length("Content-Length: 1000\r\nExpect: 100-continue\r\n\r\n"), {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_whole_bodies_that_wait) {
  const std::string body(2 * mib, 'b');
  Crowd crowd(rig.front(), 96, {OlderRig::head_of("POST", "/slow/x", 2 * mib) + body, {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_whole_heads_of_tiny_headers_that_wait) {
  std::string ask = OlderRig::head_of("POST", "/slow/x", 0);
  std::string headers;
  while (headers.size() < 60 * kib) headers += "a:b\r\n";
  ask.insert(ask.find("\r\n") + 2, headers);
  Crowd crowd(rig.front(), 200, {ask, {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, edge_connections_that_rest) {
  Crowd crowd(rig.front(), 1500, {{}, {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, control_orders_that_never_end) {
  Crowd crowd(rig.operators(), 60,
              {OlderRig::head_of("PUT", "/v1/manifest", 3 * mib) + std::string(3 * mib - 1, ' '), {}, true});
  press_and_check(rig, crowd);
}

TEST(OlderClients, control_an_order_of_nested_lists) {
  constexpr std::size_t depth = 100'000;
  const std::string body = R"({"more":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
  for (const char *method : {"PUT", "PATCH"})
    for (const char *target : {"/v1/manifest", "/v1/trial"})
      LONGS_EQUAL(400, rig.operate(method, target, body).status);
  Crowd nobody(rig.operators(), 0, {});
  check_all_is_well(rig, nobody);
}

TEST(OlderClients, inner_frames_that_never_end) {
  const std::string opening = half_frame(24 * mib);
  Crowd at_edge(rig.edge_inner(), 8, {opening, {}, true});
  Crowd at_control(rig.control_inner(), 8, {opening, {}, true});
  at_edge.press(press_s);
  at_control.press(press_s);
  check_all_is_well(rig, at_edge);
}

TEST(OlderClients, inner_connections_that_rest) {
  Crowd at_edge(rig.edge_inner(), 800, {{}, {}, true});
  Crowd at_control(rig.control_inner(), 800, {{}, {}, true});
  at_edge.press(press_s);
  at_control.press(press_s);
  check_all_is_well(rig, at_edge);
}

TEST_GROUP(OlderAnswers) { OlderRig rig{BINARIES, 60 * kib}; };

// Guards against: what a process remembers of an answered request keeps the memory of its answer.
TEST(OlderAnswers, edge_many_repeats_answered_from_the_record) {
  constexpr int calls = 1600;
  call_until(
      rig.front(), [] { return OlderRig::kept_request(); },
      [](const HttpMessage &answer) { return answer.status == 200; }, 30);
  int served = 0;
  for (int call = 0; call < calls; ++call)
    served += call_once(rig.front(), OlderRig::kept_request()).status == 200 ? 1 : 0;
  CHECK(served > calls / 2);
  Crowd nobody(rig.front(), 0, {});
  check_all_is_well(rig, nobody);
}

// Guards against: the answers that are kept for repeats outgrow the control process.
TEST(OlderAnswers, control_many_answers_kept_for_repeats) {
  constexpr int calls = 1600;
  int served = 0;
  for (int call = 0; call < calls; ++call)
    served +=
        call_once(rig.front(), OlderRig::kept_request("key-" + std::to_string(call))).status == 200 ? 1 : 0;
  CHECK(served > calls / 2);
  Crowd nobody(rig.front(), 0, {});
  check_all_is_well(rig, nobody);
}

TEST_GROUP(OlderCalm) { OlderRig rig{BINARIES, 8 * mib}; };

TEST(OlderCalm, a_long_answer_to_one_slow_reader_arrives_whole) {
  const ReadingPace slow{64 * kib, 150, 20'000, 64 * kib};
  const HttpMessage answer = call_once(rig.front(), OlderRig::request(true), slow);
  LONGS_EQUAL(200, answer.status);
  LONGS_EQUAL(8 * mib, answer.body.size());
  STRCMP_EQUAL("", rig.broken_bound().c_str());
}
