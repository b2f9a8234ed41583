#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bosun/door.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

namespace {
/// A door whose handler says back what it was given.
struct EchoDoor {
  httplib::Server server;
  int port = 0;
  std::unique_ptr<Duty> duty;
  EchoDoor() {
    set_up_door(
        server, 4, 1024,
        [](const httplib::Request &request, const httplib::Headers &original, httplib::Response &response) {
          std::string text = request.method + " " + request.target + " " + request.body + " ";
          for (const char *name : {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range"})
            if (original.count(name) != 0)
              text += std::string(name) + "=" + original.find(name)->second + ";";
          response.set_content(text, "text/plain");
        });
    port = server.bind_to_any_port("127.0.0.1");
    duty = std::make_unique<Duty>("echo", [this] { server.listen_after_bind(); });
  }
  ~EchoDoor() {
    while (!server.is_running()) std::this_thread::yield();
    server.stop();
  }
  /// Sends raw bytes and returns all that comes back until the door closes the link.
  std::string send(const std::string &bytes) const {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place) != 0) return "no link";
    (void)!::write(descriptor, bytes.data(), bytes.size());
    std::string answer;
    char buffer[4096];
    for (ssize_t count = 0; (count = ::read(descriptor, buffer, sizeof buffer)) > 0;)
      answer.append(buffer, static_cast<std::size_t>(count));
    close(descriptor);
    return answer;
  }
};

std::size_t answers_in(const std::string &text) {
  std::size_t count = 0;
  for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1))
    ++count;
  return count;
}
} // namespace

TEST_GROUP(Door){};

TEST(Door, doubtful_framing_is_refused_and_nothing_behind_it_is_read) {
  EchoDoor door;
  const std::string behind = "GET /smuggled HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (const std::string &head : {
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n0\r\n\r\n"),
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc"),
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc"),
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
           std::string("GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"),
           std::string("POST /a HTTP/1.1\r\nHost: x\r\nHost: y\r\nContent-Length: 3\r\n\r\nabc"),
       }) {
    const std::string answer = door.send(head + behind);
    STRCMP_CONTAINS("HTTP/1.1 400", answer.c_str());
    LONGS_EQUAL(1, answers_in(answer));
    CHECK(answer.find("smuggled") == std::string::npos);
  }
}

TEST(Door, target_body_and_headers_come_through_untouched) {
  EchoDoor door;
  const std::string answer = door.send(
      "POST /a%2Fb//c?x=%20&y=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAccept-Encoding: gzip\r\n"
      "Content-Encoding: gzip\r\nContent-Type: application/x-www-form-urlencoded\r\nRange: "
      "bytes=0-1\r\nContent-Length: 5\r\n\r\na=1&b");
  STRCMP_CONTAINS("HTTP/1.1 200", answer.c_str());
  STRCMP_CONTAINS("POST /a%2Fb//c?x=%20&y=1 a=1&b "
                  "Content-Type=application/"
                  "x-www-form-urlencoded;Content-Encoding=gzip;Accept-Encoding=gzip;Range=bytes=0-1;",
                  answer.c_str());
}

TEST(Door, chunked_bodies_are_read_whole_and_large_ones_refused) {
  EchoDoor door;
  STRCMP_CONTAINS("POST /a abcde ",
                  door.send("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
                      .c_str());
  STRCMP_CONTAINS(
      "HTTP/1.1 413",
      door.send("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5000\r\n\r\n" +
                std::string(5000, 'a'))
          .c_str());
}
