#include "lighter/lighter.hpp"

#include <algorithm>
#include <strings.h>

#include "hawser/hawser.hpp"
#include "seal/seal.hpp"

namespace wharf {

bool is_own_header(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  static const std::string_view hop[] = {"connection",
                                         "keep-alive",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "te",
                                         "trailer",
                                         "transfer-encoding",
                                         "upgrade",
                                         "content-length",
                                         "authorization",
                                         "proxy-connection",
                                         "expect",
                                         "remote_addr",
                                         "remote_port",
                                         "local_addr",
                                         "local_port"};
  return lower.starts_with("x-wharf-") || std::find(std::begin(hop), std::end(hop), lower) != std::end(hop);
}

Lighter::Lighter() : duty_(std::make_unique<Duty>("lookout", [this] { watch(); })) {}

Lighter::~Lighter() {
  {
    std::lock_guard guard(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  duty_.reset();
}

void Lighter::watch() {
  std::unique_lock guard(mutex_);
  while (!is_stopping_) {
    wake_.wait_for(guard, std::chrono::milliseconds(20));
    const Instant now = tide_.now();
    std::vector<std::shared_ptr<httplib::Client>> late;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      if (auto client = deadlines_.begin()->second.lock()) late.push_back(std::move(client));
      deadlines_.erase(deadlines_.begin());
    }
    if (late.empty()) continue;
    guard.unlock();
    for (auto &client : late) client->stop();
    late.clear();
    guard.lock();
  }
}

namespace {
/// Copies of an answer on its way to the caller: as read, as the answer, and as it waits to be sent.
constexpr std::size_t answer_copies = 3;

/// Lets a body take more memory, where its caller's door has it.
bool grow(std::string &body, std::size_t capacity, const Cargo &cargo) {
  if (capacity <= body.capacity()) return true;
  const std::size_t more = answer_copies * (capacity - body.capacity());
  if (cargo.may_hold && !cargo.may_hold(more)) return false;
  body.reserve(capacity);
  return true;
}
} // namespace

CallEnd Lighter::carry(const Carry &carry, const Cargo &cargo, std::size_t body_most, Returned &returned) {
  CallEnd end;
  end.errand = carry.errand;
  std::string ip;
  int port = 0;
  const Instant started = tide_.now();
  const Span left = carry.deadline - started;
  if (!split_address(carry.address, ip, port) || left <= 0) {
    end.kind = CallKind::unreached;
    return end;
  }
  auto client = std::make_shared<httplib::Client>(ip, port);
  client->set_keep_alive(false);
  client->set_follow_location(false);
  client->set_decompress(false);
  client->set_compress(false);
  client->set_url_encode(false);
  client->set_tcp_nodelay(true);
  const Span connect_left = std::min(left, milliseconds(400));
  client->set_connection_timeout(connect_left / 1'000'000'000, (connect_left / 1000) % 1'000'000);
  client->set_read_timeout(left / 1'000'000'000, (left / 1000) % 1'000'000);
  client->set_write_timeout(left / 1'000'000'000, (left / 1000) % 1'000'000);
  {
    std::lock_guard guard(mutex_);
    deadlines_.emplace(carry.deadline, client);
  }
  httplib::Request request;
  request.method = cargo.method;
  request.path = cargo.target;
  request.headers = cargo.headers;
  request.headers.emplace("X-Wharf-Errand", carry.errand);
  request.headers.emplace("X-Wharf-Tenant", carry.tenant);
  request.headers.emplace("X-Wharf-Service", carry.service);
  request.body = cargo.body;
  std::string body;
  bool is_too_large = false;
  request.response_handler = [&](const httplib::Response &head) {
    const auto announced = head.get_header_value<std::uint64_t>("Content-Length");
    is_too_large = announced > body_most || !grow(body, static_cast<std::size_t>(announced), cargo);
    return !is_too_large;
  };
  request.content_receiver = [&](const char *bytes, std::size_t size, std::uint64_t, std::uint64_t) {
    is_too_large = body.size() + size > body_most;
    if (!is_too_large && body.size() + size > body.capacity())
      is_too_large = !grow(body, std::max(body.size() + size, 2 * body.capacity()), cargo);
    if (!is_too_large) body.append(bytes, size);
    return !is_too_large;
  };
  const httplib::Result result = client->send(request);
  if (!result) {
    const bool is_unreached = result.error() == httplib::Error::Connection ||
                              result.error() == httplib::Error::BindIPAddress ||
                              result.error() == httplib::Error::ConnectionTimeout;
    if (is_unreached)
      end.kind = CallKind::unreached;
    else if (is_too_large)
      end.kind = CallKind::bad_seal;
    else
      end.kind = tide_.now() >= carry.deadline ? CallKind::timed_out : CallKind::lost;
    return end;
  }
  const bool is_refusal = result->get_header_value("X-Wharf-Outcome") == "refusal";
  const std::string type = result->get_header_value("Content-Type");
  const std::string seal = seal_of(carry.seal_key, carry.errand, is_refusal, result->status, type, body);
  if (result->get_header_value_count("X-Wharf-Seal") != 1 ||
      !same_text(seal, result->get_header_value("X-Wharf-Seal"))) {
    end.kind = CallKind::bad_seal;
    return end;
  }
  if (is_refusal) {
    end.kind = CallKind::refused;
    return end;
  }
  end.kind = CallKind::answered;
  end.status = result->status;
  end.type = type;
  // What is larger than a record may be is not kept, whatever follows.
  end.body = body.substr(0, record_bytes_most + 1);
  for (const auto &[name, value] : result->headers)
    if (!is_own_header(name) && strcasecmp(name.c_str(), "content-type") != 0)
      end.headers.push_back({name, value});
  returned.status = result->status;
  returned.type = type;
  returned.body = std::move(body);
  returned.headers = result->headers;
  return end;
}

} // namespace wharf
