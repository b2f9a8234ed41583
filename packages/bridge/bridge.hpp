#pragma once
#include <httplib.h>
#include <string>

#include "bosun/door.hpp"
#include "control/control_node.hpp"

namespace wharf {

/// What the operators' API needs of the control's core duty.
class ControlDesk {
public:
  virtual ~ControlDesk() = default;
  /// Asks the core and waits; status 0 when no answer came in time.
  virtual OperatorSay ask(OperatorAsk ask) = 0;
  virtual std::string counters_json() = 0;
};

/// The operators' adapter: HTTP/JSON, any harbourd takes a call and passes it to the leader.
class Bridge {
public:
  Bridge(ControlDesk &desk, std::string token);
  void serve(const httplib::Request &request, const httplib::Headers &original, httplib::Response &response);

private:
  void pass_on(const std::string &leader, const httplib::Request &request, const httplib::Headers &original,
               bool is_write, httplib::Response &response) const;
  ControlDesk &desk_;
  std::string token_;
};

} // namespace wharf
