#include "anchorage/http.hpp"

#include <algorithm>
#include <cctype>
#include <strings.h>

namespace wharf {

bool is_same_name(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string *HttpMessage::find(std::string_view name) const {
  for (const HttpHeader &header : headers)
    if (is_same_name(header.name, name)) return &header.value;
  return nullptr;
}

std::size_t HttpMessage::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [&](const HttpHeader &header) { return is_same_name(header.name, name); }));
}

std::size_t HttpMessage::held_bytes() const {
  std::size_t bytes =
      headers.capacity() * sizeof(HttpHeader) + heap_bytes(method) + heap_bytes(target) + heap_bytes(body);
  for (const HttpHeader &header : headers) bytes += heap_bytes(header.name) + heap_bytes(header.value);
  return bytes;
}

bool is_hop_header(std::string_view name) {
  static constexpr std::string_view hops[] = {"connection",
                                              "keep-alive",
                                              "proxy-authenticate",
                                              "proxy-authorization",
                                              "proxy-connection",
                                              "te",
                                              "transfer-encoding",
                                              "trailer",
                                              "upgrade",
                                              "content-length",
                                              "expect"};
  return std::any_of(std::begin(hops), std::end(hops),
                     [&](std::string_view hop) { return is_same_name(hop, name); });
}

std::vector<std::string> hop_names(const HttpMessage &message) {
  std::vector<std::string> names;
  for (const HttpHeader &header : message.headers) {
    if (!is_same_name(header.name, "connection")) continue;
    std::string_view text = header.value;
    while (!text.empty()) {
      const auto comma = text.find(',');
      std::string name(text.substr(0, comma));
      std::erase_if(name, [](unsigned char letter) { return std::isspace(letter); });
      if (!name.empty()) names.push_back(std::move(name));
      if (comma == std::string_view::npos) break;
      text.remove_prefix(comma + 1);
    }
  }
  return names;
}

namespace {
void write_headers(const HttpMessage &message, std::string &bytes) {
  for (const HttpHeader &header : message.headers) {
    bytes += header.name;
    bytes += ": ";
    bytes += header.value;
    bytes += "\r\n";
  }
}

const char *reason_of(int status) {
  switch (status) {
#define WHARF_REASON(number, name, text)                                                                     \
  case number:                                                                                               \
    return #text;
    HTTP_STATUS_MAP(WHARF_REASON)
#undef WHARF_REASON
  default:
    return "Unknown";
  }
}
} // namespace

std::string request_head(const HttpMessage &request) {
  std::string bytes;
  bytes.reserve(512);
  bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  write_headers(request, bytes);
  const bool may_have_body = request.method != "GET" && request.method != "HEAD";
  if (!request.body.empty() || may_have_body)
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  bytes += "\r\n";
  return bytes;
}

std::string request_bytes(const HttpMessage &request) { return request_head(request) + request.body; }

bool has_body_to_send(const HttpMessage &response, bool is_head) {
  return !is_head && response.status != 204 && response.status != 304;
}

std::string response_head(const HttpMessage &response, bool keeps_link) {
  std::string bytes;
  bytes.reserve(512);
  bytes = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_of(response.status) + "\r\n";
  write_headers(response, bytes);
  const bool is_bare = response.status == 204 || response.status == 304;
  if (!is_bare) bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (!keeps_link) bytes += "Connection: close\r\n";
  bytes += "\r\n";
  return bytes;
}

std::string response_bytes(const HttpMessage &response, bool keeps_link, bool is_head) {
  std::string bytes = response_head(response, keeps_link);
  if (has_body_to_send(response, is_head)) bytes += response.body;
  return bytes;
}

HttpReader::HttpReader(Side side) : side_(side) { reset(); }

void HttpReader::reset() {
  http_parser_init(&parser_, side_ == Side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  message_ = {};
  head_size_ = announced_body_ = header_heap_ = 0;
  has_begun_ = has_head_ = is_whole_ = is_value_ = false;
  fault_ = Reading::partial;
}

std::size_t HttpReader::held_bytes() const {
  std::size_t bytes = message_.headers.capacity() * sizeof(HttpHeader) + heap_bytes(message_.target) +
                      heap_bytes(message_.body) + header_heap_;
  if (!message_.headers.empty())
    bytes += heap_bytes(message_.headers.back().name) + heap_bytes(message_.headers.back().value);
  return bytes;
}

bool HttpReader::note_head(std::size_t size) {
  head_size_ += size;
  if (head_size_ <= bounds_.head_most) return true;
  fault_ = Reading::head_too_large;
  return false;
}

void HttpReader::begin_header() {
  if (!message_.headers.empty())
    header_heap_ += heap_bytes(message_.headers.back().name) + heap_bytes(message_.headers.back().value);
  message_.headers.emplace_back();
}

const http_parser_settings &HttpReader::settings() {
  static const http_parser_settings made = [] {
    http_parser_settings set;
    http_parser_settings_init(&set);
    set.on_message_begin = [](http_parser *parser) {
      self(parser).has_begun_ = true;
      return 0;
    };
    set.on_url = [](http_parser *parser, const char *bytes, std::size_t size) {
      self(parser).message_.target.append(bytes, size);
      return self(parser).note_head(size) ? 0 : 1;
    };
    set.on_header_field = [](http_parser *parser, const char *bytes, std::size_t size) {
      HttpReader &reader = self(parser);
      if (reader.has_head_) return 0;
      if (reader.is_value_ || reader.message_.headers.empty()) reader.begin_header();
      reader.is_value_ = false;
      reader.message_.headers.back().name.append(bytes, size);
      return reader.note_head(size + 4) ? 0 : 1;
    };
    set.on_header_value = [](http_parser *parser, const char *bytes, std::size_t size) {
      HttpReader &reader = self(parser);
      if (reader.has_head_) return 0;
      reader.is_value_ = true;
      reader.message_.headers.back().value.append(bytes, size);
      return reader.note_head(size) ? 0 : 1;
    };
    set.on_headers_complete = [](http_parser *parser) {
      HttpReader &reader = self(parser);
      reader.has_head_ = true;
      parser->upgrade = 0;
      if (reader.side_ == Side::requests)
        reader.message_.method = http_method_str(static_cast<http_method>(parser->method));
      else
        reader.message_.status = static_cast<int>(parser->status_code);
      reader.message_.keeps_link = http_should_keep_alive(parser) != 0;
      const bool has_length = parser->content_length != ULLONG_MAX;
      reader.announced_body_ =
          has_length && !reader.has_no_body_ ? static_cast<std::size_t>(parser->content_length) : 0;
      if (has_length && parser->content_length > reader.bounds_.body_most) {
        reader.fault_ = Reading::body_too_large;
        return -1;
      }
      const bool is_bare = parser->status_code / 100 == 1 || parser->status_code == 204 ||
                           parser->status_code == 304 || reader.has_no_body_;
      reader.message_.is_delimited =
          reader.side_ == Side::requests || has_length || (parser->flags & F_CHUNKED) != 0 || is_bare;
      return reader.has_no_body_ ? 1 : 0;
    };
    set.on_body = [](http_parser *parser, const char *bytes, std::size_t size) {
      HttpReader &reader = self(parser);
      if (reader.message_.body.size() + size > reader.bounds_.body_most) {
        reader.fault_ = Reading::body_too_large;
        return 1;
      }
      reader.message_.body.append(bytes, size);
      return 0;
    };
    set.on_message_complete = [](http_parser *parser) {
      self(parser).is_whole_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return set;
  }();
  return made;
}

Reading HttpReader::feed(std::string_view bytes, std::size_t &used) {
  used = 0;
  if (bytes.empty()) return is_whole_ ? Reading::whole : Reading::partial;
  used = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
  if (is_whole_) return Reading::whole;
  if (fault_ != Reading::partial) return fault_;
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_HEADER_OVERFLOW) return Reading::head_too_large;
  return error == HPE_OK ? Reading::partial : Reading::broken;
}

Reading HttpReader::end() {
  if (is_whole_) return Reading::whole;
  http_parser_execute(&parser_, &settings(), nullptr, 0);
  return is_whole_ ? Reading::whole : Reading::broken;
}

HttpMessage HttpReader::take() {
  HttpMessage taken = std::move(message_);
  has_no_body_ = false;
  reset();
  return taken;
}

} // namespace wharf
