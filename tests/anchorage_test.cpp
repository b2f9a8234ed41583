#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

#include "anchorage/cables.hpp"
#include "anchorage/http_calls.hpp"
#include "anchorage/http_door.hpp"
#include "fault_proxy/held_port.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// A runner that answers each request with bytes the test has laid out, and may end its link then.
class Scripted final : public Watched {
public:
  Scripted(Loop &loop, std::string address) : loop_(loop), listener_(open_listener(address, 8)) {
    loop_.add(listener_, 1, *this);
  }
  ~Scripted() override {
    close(listener_);
    if (link_ >= 0) close(link_);
  }
  void ready(std::uint32_t) override {
    if (link_ < 0) {
      link_ = accept(listener_, nullptr, nullptr);
      ++links;
    }
    char bytes[4096];
    const ssize_t count = recv(link_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
      if (count == 0) end();
      loop_.add(link_ >= 0 ? link_ : listener_, 1, *this);
      return;
    }
    seen.append(bytes, static_cast<std::size_t>(count));
    if (!answer.empty()) (void)!send(link_, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (must_end) end();
  }
  void end() {
    loop_.remove(link_);
    const linger at_once{1, 0};
    if (must_reset) setsockopt(link_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(link_);
    link_ = -1;
  }
  std::string seen, answer;
  bool must_end = false, must_reset = false;
  int links = 0;

private:
  Loop &loop_;
  int listener_, link_ = -1;
};

struct Caller {
  Loop loop;
  HeldPort port;
  std::string address = port.address();
  HttpCalls calls{loop, HttpCallOptions{}};
  SteadyTide tide;
  std::optional<CallAnswer> answer;

  CallAnswer call(const std::string &method = "GET", Span within = milliseconds(300)) {
    answer.reset();
    HttpCall one;
    one.address = address;
    one.peer = "r";
    one.request.method = method;
    one.request.target = "/x";
    one.request.set("Id", "mine");
    one.deadline = tide.now() + within;
    one.is_mine = [](const HttpMessage &response, bool) {
      const std::string *id = response.find("Id");
      return id == nullptr || *id == "mine";
    };
    one.done = [this](CallAnswer &&given) { answer = std::move(given); };
    calls.call(std::move(one));
    for (int turn = 0; turn < 400 && !answer; ++turn) {
      loop.turn(milliseconds(5));
      calls.tick(tide.now());
    }
    CHECK(answer.has_value());
    return *answer;
  }
};

class Echo final : public HttpDoorSink {
public:
  void asked(LinkId link, HttpMessage &&request) override {
    requests.push_back(request);
    if (is_slow) {
      waiting = link;
      return;
    }
    HttpMessage response;
    response.status = 200;
    response.body = request.method + " " + request.target + " " + request.body;
    door->answer(link, response, true);
  }
  void left(LinkId) override { ++gone; }
  HttpDoor *door = nullptr;
  std::vector<HttpMessage> requests;
  LinkId waiting = 0;
  int gone = 0;
  bool is_slow = false;
};

struct Doored {
  Loop loop;
  HeldPort port;
  std::string address = port.address();
  Echo echo;
  HttpDoor door{loop, address, echo, HttpDoorOptions{}};
  int link = -1;
  Doored() {
    echo.door = &door;
    link = open_call(address, seconds(1));
    turn();
  }
  ~Doored() {
    if (link >= 0) close(link);
  }
  void turn() {
    for (int at = 0; at < 6; ++at) loop.turn(milliseconds(1));
  }
  std::string say(const std::string &bytes) {
    if (!bytes.empty()) (void)!send(link, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    turn();
    char buffer[65536];
    const ssize_t count = recv(link, buffer, sizeof buffer, MSG_DONTWAIT);
    return count > 0 ? std::string(buffer, static_cast<std::size_t>(count)) : std::string();
  }
};
} // namespace

TEST_GROUP(Anchorage){};

TEST(Anchorage, a_request_is_the_same_however_its_bytes_are_cut) {
  const std::string bytes = "POST /a?b=%20c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "4\r\nbody\r\n3\r\n-ed\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    HttpReader reader(HttpReader::Side::requests);
    std::vector<HttpMessage> messages;
    for (std::string_view part :
         {std::string_view(bytes).substr(0, cut), std::string_view(bytes).substr(cut)})
      while (!part.empty()) {
        std::size_t used = 0;
        const Reading reading = reader.feed(part, used);
        CHECK(reading == Reading::whole || reading == Reading::partial);
        part.remove_prefix(used);
        if (reading == Reading::whole) messages.push_back(reader.take());
      }
    LONGS_EQUAL(2, messages.size());
    STRCMP_EQUAL("/a?b=%20c", messages[0].target.c_str());
    STRCMP_EQUAL("body-ed", messages[0].body.c_str());
    STRCMP_EQUAL("/next", messages[1].target.c_str());
  }
}

TEST(Anchorage, doubtful_framing_and_what_is_too_large_is_refused_and_ends_the_link) {
  const std::pair<std::string, const char *> cases[] = {
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "400"},
      {"NONSENSE\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413"}};
  for (const auto &[bytes, status] : cases) {
    Doored doored;
    std::string answer = doored.say(bytes);
    for (int at = 0; at < 20 && answer.empty(); ++at) answer = doored.say("");
    STRCMP_CONTAINS((std::string("HTTP/1.1 ") + status).c_str(), answer.c_str());
    STRCMP_CONTAINS("Connection: close", answer.c_str());
    CHECK(doored.echo.requests.empty());
  }
}

TEST(Anchorage, one_link_carries_one_request_after_another_in_order) {
  Doored doored;
  doored.echo.is_slow = true;
  CHECK(doored.say("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n").empty());
  LONGS_EQUAL(1, doored.echo.requests.size());
  doored.echo.is_slow = false;
  HttpMessage response;
  response.status = 204;
  doored.door.answer(doored.echo.waiting, response, true);
  const std::string answers = doored.say("");
  CHECK(answers.find("204") < answers.find("GET /2"));
  doored.door.drain();
  STRCMP_CONTAINS("Connection: close", doored.say("GET /3 HTTP/1.1\r\n\r\n").c_str());
}

TEST(Anchorage, a_request_has_begun_when_its_first_byte_came_not_when_it_was_whole) {
  Doored doored;
  const SteadyTide tide;
  doored.echo.is_slow = true;
  doored.say("GET /1 HTTP/1.1\r\n");
  const Instant first_bytes_read = tide.now();
  doored.say("\r\nGET /2 HTTP/1.1\r\n\r\n");
  LONGS_EQUAL(1, doored.echo.requests.size());
  CHECK(doored.echo.requests[0].begun_at != 0);
  CHECK(doored.echo.requests[0].begun_at <= first_bytes_read);
  const Instant second_bytes_read = tide.now();
  // The second one waits behind the first, and its caller with it.
  HttpMessage response;
  response.status = 204;
  doored.door.answer(doored.echo.waiting, response, true);
  LONGS_EQUAL(2, doored.echo.requests.size());
  CHECK(doored.echo.requests[1].begun_at > first_bytes_read);
  CHECK(doored.echo.requests[1].begun_at <= second_bytes_read);
}

TEST(Anchorage, a_caller_that_leaves_is_told_of_once_and_its_answer_goes_nowhere) {
  Doored doored;
  doored.echo.is_slow = true;
  doored.say("GET /1 HTTP/1.1\r\n\r\n");
  close(doored.link);
  doored.link = -1;
  doored.turn();
  LONGS_EQUAL(1, doored.echo.gone);
  HttpMessage response;
  response.status = 200;
  doored.door.answer(doored.echo.waiting, response, true);
  doored.turn();
  LONGS_EQUAL(0, doored.door.links());
}

TEST(Anchorage, a_call_nobody_listens_to_was_not_sent) {
  Caller caller;
  CHECK(caller.call().fate == CallFate::unreached);
}

TEST(Anchorage, a_link_ended_after_the_request_went_out_is_lost_never_unreached) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  runner.must_end = true;
  CHECK(caller.call("POST").fate == CallFate::lost);
}

TEST(Anchorage, an_answer_that_ends_early_or_is_none_is_garbled) {
  for (const std::string bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "no answer at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"}) {
    Caller caller;
    Scripted runner(caller.loop, caller.address);
    runner.answer = bytes;
    runner.must_end = true;
    CHECK(caller.call().fate == CallFate::garbled);
  }
}

TEST(Anchorage, an_answer_to_another_request_is_passed_over) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  runner.answer = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                  "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright";
  const CallAnswer answer = caller.call();
  CHECK(answer.fate == CallFate::answered);
  STRCMP_EQUAL("right", answer.response.body.c_str());
}

TEST(Anchorage, a_link_is_kept_after_a_whole_answer_and_not_after_a_surplus_one) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  const std::string right = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright";
  runner.answer = right;
  CHECK(!caller.call().was_reused);
  CHECK(caller.call().was_reused);
  LONGS_EQUAL(1, caller.calls.opened());
  runner.answer = right + right;
  CHECK(caller.call().fate == CallFate::answered);
  for (int at = 0; at < 5; ++at) caller.loop.turn(milliseconds(1));
  runner.answer = right;
  CHECK(!caller.call().was_reused);
}

TEST(Anchorage, an_answer_before_a_long_body_is_whole_is_passed_on_and_its_link_never_used_again) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  runner.answer = "HTTP/1.1 413 Too Large\r\nId: mine\r\nContent-Length: 5\r\n\r\nearly";
  HttpCall one;
  one.address = caller.address;
  one.peer = "r";
  one.request.method = "POST";
  one.request.target = "/long";
  one.request.body = std::string(8 << 20, 'b');
  one.deadline = caller.tide.now() + seconds(5);
  std::optional<CallAnswer> answer;
  one.done = [&answer](CallAnswer &&given) { answer = std::move(given); };
  caller.calls.call(std::move(one));
  for (int turn = 0; turn < 400 && !answer; ++turn) caller.loop.turn(milliseconds(5));
  CHECK(answer.has_value());
  CHECK(answer->fate == CallFate::answered);
  LONGS_EQUAL(413, answer->response.status);
  // Another request on that link would stand where the rest of the body is due.
  runner.answer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright";
  CHECK(!caller.call().was_reused);
}

TEST(Anchorage, an_answer_without_a_length_is_whole_when_its_link_is_closed_but_not_when_it_is_reset) {
  for (const bool is_reset : {false, true}) {
    Caller caller;
    Scripted runner(caller.loop, caller.address);
    runner.answer = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nsome";
    runner.must_end = true;
    runner.must_reset = is_reset;
    CHECK((caller.call().fate == CallFate::answered) == !is_reset);
  }
}

TEST(Anchorage, a_silent_peer_is_late_at_the_deadline) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  CHECK(caller.call("GET", milliseconds(60)).fate == CallFate::late);
}

TEST(Anchorage, a_cancelled_call_ends_at_once_and_closes_its_link) {
  Caller caller;
  Scripted runner(caller.loop, caller.address);
  HttpCall one;
  one.address = caller.address;
  one.peer = "r";
  one.name = "e1";
  one.request.method = "GET";
  one.request.target = "/x";
  one.deadline = caller.tide.now() + seconds(5);
  std::optional<CallAnswer> answer;
  one.done = [&answer](CallAnswer &&given) { answer = std::move(given); };
  caller.calls.call(std::move(one));
  for (int turn = 0; turn < 100 && runner.seen.empty(); ++turn) caller.loop.turn(milliseconds(1));
  CHECK(!runner.seen.empty());
  caller.calls.cancel("another");
  CHECK(!answer.has_value());
  caller.calls.cancel("e1");
  CHECK(answer.has_value());
  CHECK(answer->fate == CallFate::lost);
  LONGS_EQUAL(0, caller.calls.under_way());
}

// Guards against: what was decided while it was allowed is sent when it is so no more, as after a freeze.
TEST(Anchorage, a_call_that_may_no_longer_be_sent_once_its_link_is_up_sends_nothing) {
  Caller caller;
  Scripted platform(caller.loop, caller.address);
  bool may_send = true;
  HttpCall one;
  one.address = caller.address;
  one.peer = "r";
  one.request.method = "POST";
  one.request.target = "/x";
  one.deadline = caller.tide.now() + seconds(5);
  one.may_send = [&may_send] { return may_send; };
  std::optional<CallAnswer> answer;
  one.done = [&answer](CallAnswer &&given) { answer = std::move(given); };
  caller.calls.call(std::move(one));
  may_send = false;
  for (int turn = 0; turn < 100 && !answer; ++turn) caller.loop.turn(milliseconds(1));
  CHECK(answer.has_value());
  CHECK(answer->fate == CallFate::unreached);
  for (int turn = 0; turn < 10; ++turn) caller.loop.turn(milliseconds(1));
  STRCMP_EQUAL("", platform.seen.c_str());
  LONGS_EQUAL(0, caller.calls.under_way());
}

TEST(Anchorage, a_knock_tells_whether_anything_listens) {
  for (const bool listens : {false, true}) {
    Caller caller;
    std::optional<Scripted> runner;
    if (listens) runner.emplace(caller.loop, caller.address);
    std::optional<bool> told;
    caller.calls.knock(caller.address, "r", caller.tide.now() + milliseconds(200),
                       [&](bool is_up) { told = is_up; });
    for (int turn = 0; turn < 100 && !told; ++turn) {
      caller.loop.turn(milliseconds(5));
      caller.calls.tick(caller.tide.now());
    }
    CHECK(told.has_value());
    LONGS_EQUAL(listens, *told);
  }
}

TEST(Anchorage, a_dial_whose_opening_packet_was_lost_is_given_up_for_a_new_one) {
  Loop loop;
  HeldPort own, peer;
  Cables cables(loop, own.address(), [](Envelope &&) {});
  // A queue of new connections that is full drops opening packets, as a machine does that is down.
  const int listener = open_listener(peer.address(), 0);
  std::vector<int> filling;
  for (int count = 0; count < 4; ++count) filling.push_back(open_call(peer.address(), seconds(10)));
  const std::string bytes = frame({1, own.address(), NotLeader{2}});
  const SteadyTide tide;
  const Instant until = tide.now() + seconds(5);
  while (cables.dials_given_up() < 2 && tide.now() < until) {
    cables.send(peer.address(), bytes);
    cables.flush();
    loop.turn(milliseconds(5));
  }
  LONGS_EQUAL(2, cables.dials_given_up());
  for (int descriptor : filling) close(descriptor);
  while (cables.bytes_sent() == 0 && tide.now() < until) {
    for (int taken = accept(listener, nullptr, nullptr); taken >= 0;
         taken = accept(listener, nullptr, nullptr))
      filling.push_back(taken);
    cables.send(peer.address(), bytes);
    cables.flush();
    loop.turn(milliseconds(5));
  }
  CHECK(cables.bytes_sent() > 0);
  for (std::size_t at = 4; at < filling.size(); ++at) close(filling[at]);
  close(listener);
}

namespace {
/// A door whose answers are as long as is asked for, with an account.
class LongAnswers final : public HttpDoorSink {
public:
  void asked(LinkId link, HttpMessage &&request) override {
    ++requests;
    body_bytes = request.body.size();
    HttpMessage response;
    response.status = 200;
    response.body.assign(std::strtoul(request.target.c_str() + 1, nullptr, 10), '.');
    door.answer(link, std::move(response), true);
  }
  void left(LinkId) override {}
  void turn(int turns = 20) {
    for (int at = 0; at < turns; ++at) loop.turn(milliseconds(1));
  }
  int connect() {
    const int link = open_call(port.address(), seconds(1));
    turn(4);
    return link;
  }
  static void put(int link, const std::string &bytes) {
    (void)!send(link, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  static std::string ask(std::size_t answer_bytes) {
    return "GET /" + std::to_string(answer_bytes) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  HttpDoorOptions options() {
    HttpDoorOptions made;
    made.memory = &memory;
    made.links_most = 8;
    return made;
  }
  Loop loop;
  HeldPort port;
  MemoryAccount memory{16u << 20};
  int requests = 0;
  std::size_t body_bytes = 0;
  HttpDoor door{loop, port.address(), *this, options()};
};

std::size_t read_all(LongAnswers &rig, int link) {
  std::size_t sum = 0;
  std::vector<char> bytes(1u << 16);
  for (int idle = 0; idle < 20;) {
    rig.turn(1);
    const ssize_t count = recv(link, bytes.data(), bytes.size(), MSG_DONTWAIT);
    idle = count > 0 ? 0 : idle + 1;
    sum += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  return sum;
}
} // namespace

// Guards against: answers to pipelined requests pile up for a client that reads none.
TEST(Anchorage, the_next_of_several_requests_in_line_is_read_once_the_answer_before_has_gone) {
  LongAnswers rig;
  constexpr std::size_t answer_bytes = 5u << 20;
  const int link = rig.connect();
  LongAnswers::put(link,
                   LongAnswers::ask(answer_bytes) + LongAnswers::ask(answer_bytes) + LongAnswers::ask(1));
  rig.turn();
  LONGS_EQUAL(1, rig.requests);
  CHECK(read_all(rig, link) > 2 * answer_bytes);
  LONGS_EQUAL(3, rig.requests);
  close(link);
  rig.turn();
  LONGS_EQUAL(0, rig.memory.used());
}

TEST(Anchorage, a_client_that_ends_its_half_gets_the_whole_of_a_long_answer) {
  LongAnswers rig;
  constexpr std::size_t answer_bytes = 5u << 20;
  const int link = rig.connect();
  LongAnswers::put(link, LongAnswers::ask(answer_bytes));
  rig.turn();
  shutdown(link, SHUT_WR);
  CHECK(read_all(rig, link) > answer_bytes);
  close(link);
}

TEST(Anchorage, a_full_door_ends_its_oldest_resting_link_for_a_new_one) {
  LongAnswers rig;
  std::vector<int> links;
  for (int at = 0; at < 9; ++at) links.push_back(rig.connect());
  LONGS_EQUAL(8, rig.door.links());
  char byte = 0;
  LONGS_EQUAL(0, recv(links[0], &byte, 1, MSG_DONTWAIT));
  LongAnswers::put(links[8], LongAnswers::ask(1));
  rig.turn();
  LONGS_EQUAL(1, rig.requests);
  for (const int link : links) close(link);
}

TEST(Anchorage, when_memory_is_short_the_largest_unfinished_request_is_refused_and_may_come_again) {
  LongAnswers rig;
  const int small = rig.connect(), large = rig.connect();
  LongAnswers::put(small,
                   "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + std::string(10000, 'b'));
  LongAnswers::put(large, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" +
                              std::string(100000, 'b'));
  rig.turn();
  CHECK(rig.memory.make_room_for((16u << 20) / 4 * 3 - 80'000));
  rig.turn();
  char answer[512] = {};
  CHECK(recv(large, answer, sizeof answer - 1, MSG_DONTWAIT) > 0);
  STRCMP_CONTAINS("HTTP/1.1 503", answer);
  STRCMP_CONTAINS("Retry-After: 1", answer);
  LongAnswers::put(small, std::string(10000, 'b'));
  rig.turn();
  LONGS_EQUAL(1, rig.requests);
  close(small);
  close(large);
}

TEST(Anchorage, a_long_answer_waits_with_its_runner_until_there_is_memory) {
  Loop loop;
  HeldPort port;
  const std::string address = port.address();
  Scripted runner(loop, address);
  constexpr std::size_t body_bytes = 300'000;
  runner.answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                  std::string(body_bytes, 'x');
  MemoryAccount memory(1u << 20);
  HttpCallOptions options;
  options.memory = &memory;
  HttpCalls calls(loop, options);
  const SteadyTide tide;
  std::optional<CallAnswer> answer;
  HttpCall call;
  call.address = address;
  call.peer = "r";
  call.request.method = "GET";
  call.request.target = "/x";
  call.deadline = tide.now() + seconds(20);
  call.done = [&](CallAnswer &&given) { answer = std::move(given); };
  MemoryCharge other(&memory, 900'000);
  calls.call(std::move(call));
  const auto pass = [&] {
    for (int turn = 0; turn < 40 && !answer; ++turn) {
      loop.turn(milliseconds(5));
      calls.tick(tide.now());
    }
  };
  pass();
  CHECK(!answer);
  LONGS_EQUAL(1, calls.held_back());
  CHECK(memory.used() < 900'000 + 100'000);
  other.set(0);
  pass();
  CHECK(answer && answer->fate == CallFate::answered);
  LONGS_EQUAL(body_bytes, answer->response.body.size());
}

// Guards against: the length that a head names is that of a body which has been moved away already.
TEST(Anchorage, answers_and_calls_of_any_size_are_read_as_they_were_given) {
  for (const std::size_t size : {0, 1, 8192, 8193, 300'000}) {
    LongAnswers rig;
    HttpCalls calls(rig.loop, HttpCallOptions{});
    const SteadyTide tide;
    std::optional<CallAnswer> answer;
    HttpCall call;
    call.address = rig.port.address();
    call.peer = "r";
    call.request.method = "POST";
    call.request.target = "/" + std::to_string(size);
    call.request.set("Host", "h");
    call.request.body.assign(size, 'b');
    call.deadline = tide.now() + seconds(20);
    call.done = [&](CallAnswer &&given) { answer = std::move(given); };
    calls.call(std::move(call));
    for (int turn = 0; turn < 400 && !answer; ++turn) rig.loop.turn(milliseconds(5));
    CHECK(answer && answer->fate == CallFate::answered);
    LONGS_EQUAL(size, answer->response.body.size());
    LONGS_EQUAL(size, rig.body_bytes);
  }
}
