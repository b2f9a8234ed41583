#pragma once
#include <cstdint>
#include <http_parser.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "memory/memory_account.hpp"
#include "tide/tide.hpp"

namespace wharf {

struct HttpHeader {
  std::string name, value;
};

/// One whole HTTP/1.1 request or response.
struct HttpMessage {
  std::string method, target;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  bool keeps_link = true;
  /// False when only the end of the link ended the body.
  bool is_delimited = true;
  /// When the first byte of a request arrived at the door that read it, on the monotonic clock; 0 elsewhere.
  Instant begun_at = 0;

  /// The value of a header, or nullptr; names compare without case.
  const std::string *find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  void set(std::string name, std::string value) { headers.push_back({std::move(name), std::move(value)}); }
  /// Bytes of memory that the message takes besides itself.
  std::size_t held_bytes() const;
};

bool is_same_name(std::string_view left, std::string_view right);
/// True for headers that concern one link only, or are framing.
bool is_hop_header(std::string_view name);
/// Names that a message's Connection headers take out of it.
std::vector<std::string> hop_names(const HttpMessage &message);

/// Bytes of a message, framed by its length.
std::string request_head(const HttpMessage &request);
std::string request_bytes(const HttpMessage &request);
std::string response_bytes(const HttpMessage &response, bool keeps_link, bool is_head);
/// The same without the body, which follows where `has_body_to_send` says so.
std::string response_head(const HttpMessage &response, bool keeps_link);
bool has_body_to_send(const HttpMessage &response, bool is_head);

enum class Reading : std::uint8_t { partial, whole, broken, head_too_large, body_too_large };

struct HttpBounds {
  std::size_t head_most = 65536, body_most = 16u << 20;
};

/// Reads messages of one link one after another, by http-parser.
class HttpReader {
public:
  enum class Side : std::uint8_t { requests, responses };
  explicit HttpReader(Side side);
  void set_bounds(HttpBounds bounds) { bounds_ = bounds; }
  /// The next response answers a HEAD request and has no body.
  void expect_no_body() { has_no_body_ = true; }
  /// Takes bytes up to the end of one message; `used` tells how many.
  Reading feed(std::string_view bytes, std::size_t &used);
  /// The link ended; whole when that ends the message properly.
  Reading end();
  /// The message just read; the reader is ready for the next.
  HttpMessage take();
  /// Gives up the message being read, with all that it holds.
  void drop() { take(); }
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;
  bool has_begun() const { return has_begun_; }
  bool has_head() const { return has_head_; }
  const HttpMessage &message() const { return message_; }
  /// Bytes of memory that the message being read takes besides the reader itself.
  std::size_t held_bytes() const;
  /// What the head says of the body's length; 0 where it says nothing or has not been read.
  std::size_t announced_body() const { return announced_body_; }
  /// Makes room for the announced body at once, so that it takes no more than its length.
  void reserve_body() { message_.body.reserve(announced_body_); }

private:
  static HttpReader &self(http_parser *parser) { return *static_cast<HttpReader *>(parser->data); }
  static const http_parser_settings &settings();
  void reset();
  void begin_header();
  bool note_head(std::size_t size);

  Side side_;
  HttpBounds bounds_;
  http_parser parser_{};
  HttpMessage message_;
  std::size_t head_size_ = 0, announced_body_ = 0;
  /// What the texts of all headers but the last take.
  std::size_t header_heap_ = 0;
  bool has_begun_ = false, has_head_ = false, is_whole_ = false, is_value_ = false, has_no_body_ = false;
  Reading fault_ = Reading::partial;
};

} // namespace wharf
