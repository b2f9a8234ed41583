#include "moorings/arrival.hpp"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace wharf {

namespace {
/// Copies of a request's bytes while it is served: as read, as parsed, and as passed on.
constexpr std::size_t request_copies = 3;
/// What all copies of one header take.
constexpr std::size_t header_bytes = 640;
/// The value of a header in a request's head, and how often it stands there.
std::size_t find_header(std::string_view head, std::string_view name, std::string_view &value) {
  std::size_t count = 0;
  for (std::size_t at = head.find("\r\n"); at != std::string_view::npos; at = head.find("\r\n", at + 2)) {
    std::string_view line = head.substr(at + 2);
    line = line.substr(0, line.find("\r\n"));
    if (line.size() <= name.size() || line[name.size()] != ':' ||
        strncasecmp(line.data(), name.data(), name.size()) != 0)
      continue;
    ++count;
    value = line.substr(name.size() + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ') value.remove_suffix(1);
  }
  return count;
}

/// Looks on from `at`, where a chunk begins, for the end of a body in chunks.
Arrival arrival_of_chunks(std::string_view bytes, std::size_t &at, const MooringOptions &options) {
  while (true) {
    const auto line_end = bytes.find("\r\n", at);
    if (line_end == std::string_view::npos)
      return bytes.size() - at > options.head_most ? Arrival::whole : Arrival::partial;
    std::size_t size = 0;
    const auto read = std::from_chars(bytes.data() + at, bytes.data() + line_end, size, 16);
    if (read.ec != std::errc() || size > options.body_most || line_end > options.body_most * 2)
      return Arrival::whole;
    if (size == 0) {
      const bool has_end = bytes.find("\r\n\r\n", line_end) != std::string_view::npos;
      return has_end || bytes.size() - line_end > options.head_most ? Arrival::whole : Arrival::partial;
    }
    const std::size_t next = line_end + 2 + size + 2;
    if (next > bytes.size()) return Arrival::partial;
    at = next;
  }
}
} // namespace

/// What serving a whole request takes besides the bytes that hold it.
std::size_t bytes_to_serve(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
  return request_copies * bytes.size() + header_bytes * lines;
}

bool asks_to_continue(std::string_view bytes) {
  const auto end = bytes.find("\r\n\r\n");
  std::string_view value;
  return end != std::string_view::npos && find_header(bytes.substr(0, end + 2), "Expect", value) == 1 &&
         value == "100-continue";
}

Arrival arrival_of(std::string_view bytes, const MooringOptions &options, std::size_t &chunk_at) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos)
    return bytes.size() > options.head_most ? Arrival::whole : Arrival::partial;
  const std::string_view head = bytes.substr(0, end + 2);
  std::string_view value;
  const std::size_t expectations = find_header(head, "Expect", value);
  if (expectations > 1 || (expectations == 1 && value != "100-continue")) return Arrival::whole;
  const std::size_t codings = find_header(head, "Transfer-Encoding", value);
  if (codings > 0) {
    const bool is_chunked =
        codings == 1 && value == "chunked" && find_header(head, "Content-Length", value) == 0;
    if (!is_chunked) return Arrival::whole;
    chunk_at = std::max(chunk_at, end + 4);
    return arrival_of_chunks(bytes, chunk_at, options);
  }
  const std::size_t lengths = find_header(head, "Content-Length", value);
  if (lengths != 1) return Arrival::whole;
  std::size_t length = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), length);
  if (read.ec != std::errc() || read.ptr != value.data() + value.size() || length > options.body_most)
    return Arrival::whole;
  return bytes.size() - end - 4 >= length ? Arrival::whole : Arrival::partial;
}

} // namespace wharf
