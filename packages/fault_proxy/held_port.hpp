#pragma once
// Ports for processes that are started later: taken by binding and kept bound, so that nobody else gets them.
#include <string>

namespace wharf {

/// A port of the loopback address that is bound here as long as this lives. It does not listen, and allows a
/// process that sets SO_REUSEADDR or SO_REUSEPORT to bind and listen there, also again after a restart; the
/// system gives it to nobody who asks for any free port.
class HeldPort {
public:
  /// Binds a free port; throws std::runtime_error when there is none.
  HeldPort();
  ~HeldPort();
  HeldPort(HeldPort &&other) noexcept;
  HeldPort &operator=(HeldPort &&other) noexcept;
  HeldPort(const HeldPort &) = delete;
  HeldPort &operator=(const HeldPort &) = delete;
  int port() const { return port_; }
  /// "127.0.0.1:PORT".
  std::string address() const;

private:
  int descriptor_ = -1, port_ = 0;
};

} // namespace wharf
