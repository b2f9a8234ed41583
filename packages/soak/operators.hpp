#pragma once
// Operators of the stand-in deployment: they change the configuration again and again, in every way that is
// allowed and some that are not, and read it back.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "anchorage/http_calls.hpp"
#include "soak/clients.hpp"
#include "soak/random.hpp"
#include "soak/wire.hpp"

namespace wharf::soak {

struct OperatorOptions {
  /// Addresses of the control processes' operator side.
  std::vector<std::string> controls;
  std::vector<ServiceSpec> services;
  Span pause_least = milliseconds(300), pause_most = seconds(2);
};

class Operators {
public:
  Operators(Loop &loop, const Wire &wire, OperatorOptions options, std::uint64_t seed,
            std::vector<ChangeRecord> &changes, std::vector<ReadRecord> &reads);
  void tick(Instant now);
  /// Makes the next change now, as trouble begins or ends.
  void change_soon(Instant now) { next_at_ = std::min(next_at_, now); }
  /// No more changes; reads go on.
  void stop_changes() { is_stopping_ = true; }
  /// The newest version that was acknowledged; 0 for none.
  std::int64_t acknowledged() const { return acknowledged_; }
  bool is_waiting() const { return !under_way_.empty(); }
  /// Path of the route that only a version and the next few have.
  static std::string probe_path(std::int64_t version);
  /// The newest version read since `since`; 0 where none was.
  std::int64_t read_since(Instant since) const;

private:
  /// An order on its way, sent again to other processes until its answer is clear.
  struct Order {
    std::size_t record = 0;
    HttpMessage request;
    std::int64_t version = 0;
    int tries = 0, redirects = 0;
    Instant again_at = 0, until = 0;
    bool is_out = false;
  };
  void make_change(Instant now);
  void put(std::int64_t version, std::int64_t base, int race, Instant at);
  void change_named(std::int64_t version, std::int64_t base, const std::vector<std::string> &removed,
                    Instant at);
  void put_invalid(std::int64_t base, Instant now);
  /// Changes that are under way at once, each built on the one before.
  void change_in_chain(Instant now);
  /// Adds an order that is sent at a moment.
  void begin(HttpMessage request, ChangeRecord record, Instant at);
  void send(std::uint64_t number, const std::string &address, Instant now);
  void answered(std::uint64_t number, CallAnswer &&answer);
  void read(Instant now);
  void ask_reading(std::size_t at, const std::string &address, int redirects);
  /// The address that a redirection names; empty where the answer is none.
  static std::string redirected_to(const HttpMessage &response);
  ConfigurationSpec configuration(std::int64_t version) const;
  static RouteSpec probe_route(std::int64_t version);
  const std::string &any_control();

  const Wire &wire_;
  OperatorOptions options_;
  Random random_;
  std::vector<ChangeRecord> &changes_;
  std::vector<ReadRecord> &reads_;
  SteadyTide clock_;
  HttpCalls calls_;
  std::map<std::uint64_t, Order> under_way_;
  std::uint64_t next_order_ = 1;
  int races_ = 0;
  std::int64_t acknowledged_ = 0, highest_ = 0;
  /// The newest version known from an answer or a reading: what the next change builds on.
  std::int64_t base_ = 0;
  /// The probe routes of the configuration in force.
  std::vector<std::int64_t> probes_;
  Instant next_at_ = 0, read_at_ = 0;
  bool is_stopping_ = false;
};

} // namespace wharf::soak
