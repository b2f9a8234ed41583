#include "misbehaving_clients/older_rig.hpp"

#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "misbehaving_clients/process_usage.hpp"

namespace wharf {

namespace {
constexpr double patience_s = 30;
constexpr std::size_t memory_mb = 96, threads = 16, descriptors = 512;
constexpr const char *token = "operator-token-0123", *key = "key-0123456789abcdef";

bool is_served(const HttpMessage &answer) { return answer.status == 200; }

std::string manifest(std::size_t answer_bytes) {
  return R"({"tenants": {"t": {"keys": [")" + std::string(key) + R"("], "unbounded": true}},
    "services": {
      "short": {"image": "stand-in:ms=5", "memory_mb": 64, "slots": 16, "least": 1, "most": 4},
      "long": {"image": "stand-in:ms=5,bytes=)" +
         std::to_string(answer_bytes) + R"(", "memory_mb": 64, "slots": 16, "least": 1, "most": 4},
      "kept": {"image": "stand-in:ms=5,bytes=)" +
         std::to_string(answer_bytes) +
         R"(", "memory_mb": 64, "slots": 16, "least": 1, "most": 4, "once": true},
      "slow": {"image": "stand-in:ms=6000", "memory_mb": 64, "slots": 16, "least": 1, "most": 4}},
    "rules": {"short": "* /short/** to short repeatable", "long": "* /long/** to long repeatable",
              "slow": "* /slow/** to slow", "kept": "POST /kept/** to kept"},
    "limits": {"body_most_bytes": 16777216, "wait_default_ms": 20000}})";
}
} // namespace

OlderRig::OlderRig(std::string binaries, std::size_t answer_bytes) : binaries_(std::move(binaries)) {
  char made[] = "/tmp/wharf-older-XXXXXX";
  folder_ = mkdtemp(made);
  const std::string memory = std::to_string(memory_mb), limit = std::to_string(descriptors);
  platform_process_ = start({"dockyard", "--address", platform_.address(), "--workers", "2", "--zones", "1",
                             "--memory-mb", "4096", "--journal", folder_ + "/visits.jsonl"});
  control_process_ =
      start({"harbourd", "--address", control_.address(), "--http", operators_.address(), "--seeds",
             control_.address(), "--data", folder_ + "/data", "--platform", platform_.address(),
             "--operator-token", token, "--memory-mb", memory, "--fd-limit", limit});
  edge_process_ = start({"pilotd", "--address", edge_.address(), "--http", front_.address(), "--seeds",
                         control_.address(), "--threads", std::to_string(threads), "--memory-mb", memory,
                         "--fd-limit", limit});
  call_until(
      operators(),
      [answer_bytes] {
        HttpMessage order;
        order.method = "PUT";
        order.target = "/v1/manifest";
        order.set("Host", "h");
        order.set("Authorization", std::string("Bearer ") + token);
        order.body = manifest(answer_bytes);
        return order;
      },
      is_served, patience_s);
  serves_an_ordinary_request();
}

OlderRig::~OlderRig() {
  for (const pid_t process : {edge_process_, control_process_, platform_process_}) stop(process);
  std::filesystem::remove_all(folder_);
}

pid_t OlderRig::start(const std::vector<std::string> &words) {
  const pid_t process = fork();
  if (process != 0) return process;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open((folder_ + "/" + words[0] + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char *> raw;
  for (const std::string &word : words) raw.push_back(const_cast<char *>(word.c_str()));
  raw.push_back(nullptr);
  execv((binaries_ + "/" + words[0]).c_str(), raw.data());
  _exit(127);
}

void OlderRig::stop(pid_t process) {
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
}

HttpMessage OlderRig::request(bool is_long) {
  HttpMessage made;
  made.method = "GET";
  made.target = is_long ? "/long/x" : "/short/x";
  made.set("Host", "h");
  made.set("Authorization", std::string("Bearer ") + key);
  return made;
}

HttpMessage OlderRig::kept_request(const std::string &key_of_request) {
  HttpMessage made = request();
  made.method = "POST";
  made.target = "/kept/x";
  made.set("Idempotency-Key", key_of_request);
  return made;
}

std::string OlderRig::head_of(const std::string &method, const std::string &target, std::size_t body_bytes) {
  return method + " " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

bool OlderRig::serves_an_ordinary_request() const {
  return is_served(call_until(
      front(), [] { return request(); }, is_served, patience_s));
}

HttpMessage OlderRig::operate(const std::string &method, const std::string &target, std::string body) const {
  HttpMessage order;
  order.method = method;
  order.target = target;
  order.set("Host", "h");
  order.set("Authorization", std::string("Bearer ") + token);
  order.body = std::move(body);
  return call_once(operators(), order);
}

bool OlderRig::answers_the_operator() const {
  return is_served(call_until(
      operators(),
      [] {
        HttpMessage ask;
        ask.method = "GET";
        ask.target = "/v1/version";
        ask.set("Host", "h");
        ask.set("Authorization", std::string("Bearer ") + token);
        return ask;
      },
      is_served, patience_s));
}

std::string OlderRig::broken_bound() const {
  std::string broken;
  for (const auto &[name, process] : {std::pair{"pilotd", edge_process_}, {"harbourd", control_process_}}) {
    if (!is_process_running(process)) broken += std::string(name) + " has ended; ";
    const std::size_t memory_kb = peak_memory_kb(process), open = open_descriptors(process);
    if (open > descriptors) broken += std::string(name) + " holds " + std::to_string(open) + " descriptors; ";
    std::cout << '\n' << name << " took " << memory_kb << " KiB at most";
    if (memory_kb > memory_mb * 1024)
      broken += std::string(name) + " took " + std::to_string(memory_kb) + " KiB; ";
  }
  return broken;
}

} // namespace wharf
