#pragma once
// Clients that keep their connections and go on using them until the process at the other end closes them.
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "anchorage/http.hpp"
#include "anchorage/loop.hpp"
#include "soak/random.hpp"
#include "soak/stall_watch.hpp"
#include "soak/wire.hpp"

namespace wharf::soak {

/// An edge process as clients reach it.
struct EdgeEntry {
  std::string name, address;
};

enum class ClientKind : std::uint8_t {
  /// One request after another.
  kept,
  /// Several requests at once, answered in their order.
  in_line,
  /// A body that arrives in pieces.
  slow_sender,
  /// Leaves while its request is being worked on.
  leaver,
  /// Asks each edge process in turn for routes of the newest versions.
  probe
};

struct ClientOptions {
  std::vector<EdgeEntry> edges;
  std::size_t clients = 30;
  Span pause_least = milliseconds(20), pause_most = milliseconds(200);
  /// Every so often clients press for a while: their pauses are a tenth then, so that runners are short.
  Span press_each = seconds(7), press_lasts = seconds(3);
};

/// A version that was acknowledged and the path of its route, for probes.
struct VersionProbe {
  std::int64_t version = 0;
  std::string path;
};

class ClientPool {
public:
  ClientPool(Loop &loop, const Wire &wire, ClientOptions options, std::uint64_t seed,
             std::vector<RequestRecord> &records);
  ~ClientPool();
  void tick(Instant now);
  /// Routes that probes ask for from now on.
  void set_probe(VersionProbe probe) { probe_ = std::move(probe); }
  /// Sends nothing new any more.
  void stop() { is_stopping_ = true; }
  bool is_idle() const;
  /// The longest time between two rounds of the soak's own loop.
  Span longest_stall() const { return stalls_.longest(); }

private:
  class Client;
  /// How long a client waits until its next request.
  Span draw_pause(Instant now);
  Loop &loop_;
  const Wire &wire_;
  ClientOptions options_;
  Random random_;
  std::vector<RequestRecord> &records_;
  VersionProbe probe_;
  bool is_stopping_ = false;
  StallWatch stalls_;
  bool may_judge_ = true;
  std::uint64_t next_ = 1;
  std::vector<std::shared_ptr<Client>> clients_;
};

} // namespace wharf::soak
