#include "bosun/door.hpp"

#include <algorithm>
#include <random>

namespace wharf {

DoorCrew::DoorCrew(std::size_t threads, std::size_t backlog) : backlog_(backlog) {
  for (std::size_t at = 0; at < threads; ++at)
    crew_.push_back(std::make_unique<Duty>("door", [this] { work(); }));
}

void DoorCrew::enqueue(std::function<void()> job) {
  {
    std::unique_lock guard(mutex_);
    room_.wait(guard, [this] { return is_closing_ || jobs_.size() < backlog_; });
    jobs_.push_back(std::move(job));
  }
  ready_.notify_one();
}

void DoorCrew::work() {
  while (true) {
    std::function<void()> job;
    {
      std::unique_lock guard(mutex_);
      ready_.wait(guard, [this] { return is_closing_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    room_.notify_one();
    job();
  }
}

void DoorCrew::shutdown() {
  {
    std::lock_guard guard(mutex_);
    is_closing_ = true;
  }
  ready_.notify_all();
  room_.notify_all();
  for (auto &duty : crew_) duty->join();
}

namespace {
thread_local httplib::Headers original_headers;

bool is_ambiguous(const httplib::Request &request) {
  const auto lengths = request.get_header_value_count("Content-Length");
  const auto codings = request.get_header_value_count("Transfer-Encoding");
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) return true;
  if (lengths == 1) {
    const std::string length = request.get_header_value("Content-Length");
    if (length.empty() || length.size() > 12 || length.find_first_not_of("0123456789") != std::string::npos)
      return true;
  }
  if (codings == 1) {
    std::string coding = request.get_header_value("Transfer-Encoding");
    std::transform(coding.begin(), coding.end(), coding.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    if (coding != "chunked") return true;
  }
  return request.get_header_value_count("Host") > 1;
}

bool reads_body(const std::string &method) {
  return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

bool break_off(std::size_t, std::size_t, httplib::DataSink &) { return false; }

/// Answers 400 and breaks the link off, so that nothing after a doubtful request is read as another.
void refuse_framing(httplib::Response &response) {
  response.status = 400;
  response.set_header("X-Wharf-Verdict", "not-run");
  response.set_header("X-Wharf-Reason", "malformed");
  response.set_header("Connection", "close");
  response.set_content_provider(1, "text/plain", break_off);
}

struct PreRouting {
  httplib::Server::HandlerResponse operator()(const httplib::Request &seen,
                                              httplib::Response &response) const {
    auto &request = const_cast<httplib::Request &>(seen);
    const bool has_body =
        request.has_header("Transfer-Encoding") ||
        (request.has_header("Content-Length") && request.get_header_value("Content-Length") != "0");
    if (is_ambiguous(request) || (has_body && !reads_body(request.method))) {
      refuse_framing(response);
      return httplib::Server::HandlerResponse::Handled;
    }
    original_headers = request.headers;
    for (const char *name : {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range", "If-Range"})
      request.headers.erase(name);
    request.ranges.clear();
    request.path = "/";
    return httplib::Server::HandlerResponse::Unhandled;
  }
};

struct PassOn {
  DoorHandler handler;
  void operator()(const httplib::Request &request, httplib::Response &response) const {
    handler(request, original_headers, response);
  }
};
} // namespace

void set_up_door(httplib::Server &server, std::size_t threads, std::size_t body_most, DoorHandler handler) {
  server.new_task_queue = [threads] { return new DoorCrew(threads, 1024); };
  set_up_door(server, body_most, std::move(handler));
}

void set_up_door(httplib::Server &server, std::size_t body_most, DoorHandler handler) {
  server.set_payload_max_length(body_most);
  server.set_keep_alive_max_count(1000);
  server.set_keep_alive_timeout(2);
  server.set_read_timeout(10);
  server.set_write_timeout(10);
  server.set_tcp_nodelay(true);
  server.set_pre_routing_handler(PreRouting{});
  const PassOn pass{std::move(handler)};
  server.Get("/", pass).Post("/", pass).Put("/", pass).Patch("/", pass).Delete("/", pass).Options("/", pass);
}

namespace {
std::atomic<int> stop_count{0};
void on_stop(int) { ++stop_count; }
} // namespace

void catch_stops() {
  struct sigaction action {};
  action.sa_handler = on_stop;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

int stops_caught() { return stop_count; }

std::string random_id() {
  thread_local std::mt19937_64 generator{[] {
    std::random_device source;
    std::seed_seq seed{source(), source(), source(), source()};
    return std::mt19937_64(seed);
  }()};
  constexpr char digits[] = "0123456789abcdef";
  std::string text;
  for (int word = 0; word < 2; ++word) {
    std::uint64_t value = generator();
    for (int at = 0; at < 16; ++at, value >>= 4) text.push_back(digits[value & 15]);
  }
  return text;
}

} // namespace wharf
