#pragma once
// Clients that don't behave: each sends what it was told to, and reads nothing.
#include <cstddef>
#include <string>
#include <vector>

namespace wharf {

/// What one client of a crowd does.
struct CrowdScript {
  /// What it sends once its connection is up.
  std::string opening;
  /// What it sends again and again after that, as long as the process takes it; may be empty.
  std::string repeated;
  /// It connects anew once its connection has ended.
  bool must_return = false;
  /// It closes its connection once all of `opening` has been sent.
  bool must_leave = false;
  /// It ends only its own half of the connection then.
  bool must_half_close = false;
};

/// Many connections to one address, served by whoever calls `press`.
class Crowd {
public:
  /// `address` is "ip:port".
  Crowd(std::string address, std::size_t size, CrowdScript script);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  /// Sends for so many seconds whatever the connections take.
  void press(double seconds);
  /// Ends all connections.
  void release();
  /// Connections made since the crowd was formed.
  std::size_t connections() const { return connections_; }
  /// All bytes that were sent.
  std::size_t sent() const { return sent_; }

private:
  struct Client {
    int descriptor = -1;
    std::size_t sent = 0;
    bool has_gone = false;
  };
  void connect(Client &client);
  void send_more(Client &client);
  void end(Client &client);
  static bool has_ended(const Client &client);

  std::string address_;
  CrowdScript script_;
  std::vector<Client> clients_;
  std::size_t connections_ = 0, sent_ = 0;
};

/// A frame of our processes that never ends: mark, length, checksum and all of its body but a byte.
std::string half_frame(std::size_t bytes);

} // namespace wharf
