#pragma once
#include <httplib.h>
#include <string>

#include "bosun/door.hpp"
#include "harbour/harbour.hpp"

namespace wharf {

/// What the operators' API needs of the harbour's core duty.
class HarbourDesk {
public:
  virtual ~HarbourDesk() = default;
  /// Asks the core and waits; status 0 when no answer came in time.
  virtual OperatorSay ask(OperatorAsk ask) = 0;
  virtual std::string counters_json() = 0;
};

/// The operators' adapter: HTTP/JSON, any harbourd takes a call and passes it to the leader.
class Bridge {
public:
  Bridge(HarbourDesk &desk, std::string token);
  void serve(const httplib::Request &request, const httplib::Headers &original, httplib::Response &response);

private:
  void pass_on(const std::string &leader, const httplib::Request &request, const httplib::Headers &original,
               bool is_write, httplib::Response &response) const;
  HarbourDesk &desk_;
  std::string token_;
};

} // namespace wharf
