#pragma once
#include <cstddef>
#include <deque>
#include <string>

namespace wharf {

/// What a connection has still to send, piece by piece and without copying.
class OutgoingBytes {
public:
  void add(std::string piece) {
    if (piece.empty()) return;
    held_ += piece.capacity();
    pieces_.push_back(std::move(piece));
  }
  /// A head and the body that follows it; a short one goes in the same piece.
  void add_message(std::string head, std::string body) {
    constexpr std::size_t short_body_bytes = 8192;
    if (body.size() <= short_body_bytes) {
      head += body;
      body = {};
    }
    add(std::move(head));
    add(std::move(body));
  }
  bool is_empty() const { return pieces_.empty(); }
  /// Bytes of memory that the pieces take.
  std::size_t held_bytes() const { return held_; }
  /// Sends what the connection takes now; false when it is lost. `sent` tells how many bytes went.
  bool send(int descriptor, std::size_t &sent);
  void clear();

private:
  std::deque<std::string> pieces_;
  /// How much of the first piece has gone.
  std::size_t at_ = 0;
  std::size_t held_ = 0;
};

} // namespace wharf
