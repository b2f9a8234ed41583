#include "moorings/moorings.hpp"

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bosun/door.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// A door of two threads; `/held` waits until it is let go.
struct TwoThreads {
  MooringOptions options = [] {
    MooringOptions made;
    made.threads = 2;
    made.waiting_most = 2;
    made.waiting_within = seconds(60);
    return made;
  }();
  Moorings server{options};
  std::promise<void> let_go;
  std::shared_future<void> held{let_go.get_future()};
  std::atomic<int> holding{0}, gone{0};
  std::promise<void> is_gone;
  int port = 0;
  std::unique_ptr<Duty> duty;
  bool is_open = true;

  TwoThreads() {
    set_up_door(
        server, 1024,
        [this](const httplib::Request &request, const httplib::Headers &, httplib::Response &response) {
          if (request.target == "/held") {
            Moorings::on_caller_gone([this] {
              if (++gone == 1) is_gone.set_value();
            });
            ++holding;
            held.wait();
          }
          response.set_content(request.method + " " + request.target + " " + request.body, "text/plain");
        });
    port = server.bind_to_any_port("127.0.0.1");
    server.widen();
    duty = std::make_unique<Duty>("listen", [this] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::yield();
  }
  ~TwoThreads() {
    free();
    server.stop();
  }
  void free() {
    if (is_open) let_go.set_value();
    is_open = false;
  }
  int link() const {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return connect(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place) == 0 ? descriptor : -1;
  }
  static void put(int descriptor, const std::string &bytes) {
    (void)!send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads until the text has come or the link ends.
  static std::string get(int descriptor, const std::string &until) {
    std::string all;
    char buffer[4096];
    while (all.find(until) == std::string::npos) {
      const ssize_t count = read(descriptor, buffer, sizeof buffer);
      if (count <= 0) break;
      all.append(buffer, static_cast<std::size_t>(count));
    }
    return all;
  }
  std::string ask(const std::string &path) const {
    const int descriptor = link();
    put(descriptor, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string answer = get(descriptor, "\r\n\r\nnever");
    close(descriptor);
    return answer;
  }
};
} // namespace

TEST_GROUP(Moorings){};

TEST(Moorings, five_hundred_idle_links_and_slow_senders_hold_up_nobody) {
  TwoThreads door;
  std::vector<int> links;
  for (int at = 0; at < 500; ++at) {
    links.push_back(door.link());
    CHECK(links.back() >= 0);
    if (at % 2 == 0)
      TwoThreads::put(links.back(), "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf");
  }
  STRCMP_CONTAINS("GET /quick ", door.ask("/quick").c_str());
  TwoThreads::put(links[0], std::string(46, 'x'));
  STRCMP_CONTAINS("POST /slow half", TwoThreads::get(links[0], "xx").c_str());
  for (int descriptor : links) close(descriptor);
}

TEST(Moorings, beyond_its_threads_and_waiting_places_a_request_is_refused_at_once_with_retry_after) {
  TwoThreads door;
  std::vector<int> links;
  for (int at = 0; at < 4; ++at) {
    links.push_back(door.link());
    TwoThreads::put(links.back(), "GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    while (door.holding < std::min(at + 1, 2)) std::this_thread::yield();
  }
  while (door.server.counters()["door_jobs"] < 2) std::this_thread::yield();
  const std::string refused = door.ask("/quick");
  STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
  STRCMP_CONTAINS("Retry-After: 1", refused.c_str());
  STRCMP_CONTAINS("X-Wharf-Verdict: not-run", refused.c_str());
  door.free();
  for (int descriptor : links) {
    STRCMP_CONTAINS("GET /held", TwoThreads::get(descriptor, "GET /held").c_str());
    close(descriptor);
  }
}

TEST(Moorings, a_caller_that_hangs_up_is_noticed_while_its_request_waits) {
  TwoThreads door;
  const int descriptor = door.link();
  TwoThreads::put(descriptor, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  while (door.holding < 1) std::this_thread::yield();
  close(descriptor);
  CHECK(door.is_gone.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready);
}

TEST(Moorings, a_stop_serves_what_was_sent_and_what_is_kept_alive_is_closed) {
  TwoThreads door;
  const int kept = door.link(), half = door.link();
  TwoThreads::put(kept, "GET /one HTTP/1.1\r\nHost: x\r\n\r\nGET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  STRCMP_CONTAINS("GET /two", TwoThreads::get(kept, "GET /two").c_str());
  TwoThreads::put(half, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  while (door.holding < 1) std::this_thread::yield();
  Duty stopping("stop", [&door] { door.server.stop(); });
  STRCMP_EQUAL("", TwoThreads::get(kept, "never").c_str());
  door.free();
  STRCMP_CONTAINS("GET /held", TwoThreads::get(half, "GET /held").c_str());
  close(kept);
  close(half);
}

TEST(Moorings, a_request_cut_anywhere_is_partial_until_its_last_byte) {
  const std::string whole = "POST /a HTTP/1.1\r\nHost: x\r\ncontent-length: 5\r\n\r\nabcde";
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK(arrival_of(std::string_view(whole).substr(0, size), {}) == Arrival::partial);
  CHECK(arrival_of(whole, {}) == Arrival::whole);
  for (const char *doubtful : {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
                               "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                               "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n"})
    CHECK(arrival_of(doubtful, {}) == Arrival::whole);
}

TEST(Moorings, a_body_in_chunks_is_partial_until_its_last_byte) {
  const std::string whole = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3;x=y\r\nabc\r\nA\r\n0\r\n\r\n45678\r\n0\r\n\r\n";
  std::size_t chunk_at = 0;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK(arrival_of(std::string_view(whole).substr(0, size), {}) == Arrival::partial);
    CHECK(arrival_of(std::string_view(whole).substr(0, size), {}, chunk_at) == Arrival::partial);
  }
  CHECK(arrival_of(whole, {}) == Arrival::whole);
  CHECK(arrival_of(whole, {}, chunk_at) == Arrival::whole);
  const std::string broken = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n";
  CHECK(arrival_of(broken, {}) == Arrival::whole);
}

// Guards against: threads wait for bodies that are slow to come, and none is left for others.
TEST(Moorings, bodies_in_chunks_and_bodies_to_be_asked_for_hold_up_nobody) {
  TwoThreads door;
  std::vector<int> links;
  for (int at = 0; at < 6; ++at) {
    links.push_back(door.link());
    TwoThreads::put(
        links.back(),
        at % 2 == 0 ? "POST /slow HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha"
                    : "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
  }
  STRCMP_CONTAINS("HTTP/1.1 100 Continue", TwoThreads::get(links[1], "\r\n\r\n").c_str());
  STRCMP_CONTAINS("GET /quick ", door.ask("/quick").c_str());
  TwoThreads::put(links[0], "lf\r\n0\r\n\r\n");
  STRCMP_CONTAINS("POST /slow half", TwoThreads::get(links[0], "half").c_str());
  TwoThreads::put(links[1], "half");
  const std::string answer = TwoThreads::get(links[1], "half");
  STRCMP_CONTAINS("POST /slow half", answer.c_str());
  CHECK(answer.find("100 Continue") == std::string::npos);
  for (int descriptor : links) close(descriptor);
}
