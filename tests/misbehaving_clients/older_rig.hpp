#pragma once
// The older daemons, one of each, as real processes on loopback addresses with little memory.
#include <string>
#include <sys/types.h>
#include <vector>

#include "fault_proxy/held_port.hpp"
#include "misbehaving_clients/plain_call.hpp"

namespace wharf {

class OlderRig {
public:
  /// `answer_bytes` is the size of the answers that the service behind /long/ gives.
  OlderRig(std::string binaries, std::size_t answer_bytes);
  ~OlderRig();
  std::string front() const { return front_.address(); }
  std::string operators() const { return operators_.address(); }
  std::string edge_inner() const { return edge_.address(); }
  std::string control_inner() const { return control_.address(); }
  /// A request of a client to the service of short answers, or to the one of long answers.
  static HttpMessage request(bool is_long = false);
  /// A request that is run once and answered from the record when it is repeated.
  static HttpMessage kept_request(const std::string &key = "the-same-each-time");
  static std::string head_of(const std::string &method, const std::string &target, std::size_t body_bytes);
  bool serves_an_ordinary_request() const;
  bool answers_the_operator() const;
  /// Both daemons run, and never took more memory or descriptors than their machine gives; says what not.
  std::string broken_bound() const;
  HttpMessage operate(const std::string &method, const std::string &target, std::string body = {}) const;

private:
  pid_t start(const std::vector<std::string> &words);
  void stop(pid_t process);
  std::string binaries_, folder_;
  HeldPort platform_, edge_, front_, control_, operators_;
  pid_t platform_process_ = 0, control_process_ = 0, edge_process_ = 0;
};

} // namespace wharf
