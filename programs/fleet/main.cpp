#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

#include "bosun/door.hpp"
#include "bosun/flags.hpp"
#include "bosun/words.hpp"
#include "fault_proxy/fault_proxy.hpp"
#include "fault_proxy/held_port.hpp"
#include "hawser/hawser.hpp"

namespace {
using namespace wharf;
namespace fs = std::filesystem;

struct FleetOptions {
  std::string deployment = "udruga", folder, binaries, examples, storm;
  double rate = 300, seconds_long = 20;
  long threads = 96, seed = 1;
  bool must_stay = false;
};

struct Shape {
  int controls = 4, pilots = 7, zones = 4, workers = 12, memory_mb = 6144;
};

/// One process of the deployment, started here and ended here.
struct Process {
  std::string name, address, http;
  pid_t pid = 0;
  std::vector<std::string> words;
  std::string listen;
};

/// A whole deployment on this machine.
class Fleet {
public:
  explicit Fleet(FleetOptions options) : options_(std::move(options)) {
    if (options_.deployment == "masa-verde") shape_ = {3, 9, 3, 12, 8192};
    if (options_.deployment == "small") shape_ = {3, 3, 3, 4, 4096};
    if (options_.deployment == "single") shape_ = {1, 1, 1, 2, 4096};
    const bool is_little = options_.deployment == "single" || options_.deployment == "small";
    const std::string stem = options_.examples + "/" + (is_little ? "quickstart" : options_.deployment);
    manifest_ = stem + ".manifest.json";
    mix_ = stem + ".mix.json";
  }

  int run() {
    fs::create_directories(options_.folder);
    lay_out();
    for (Process &process : processes_) start(process);
    const int outcome = drive();
    if (options_.must_stay && outcome == 0) {
      std::cout << "operators at " << control_https() << ", callers at " << pilot_https() << ", token "
                << token_ << "; Ctrl-C ends it\n"
                << std::flush;
      while (stops_caught() == 0) usleep(100'000);
    }
    const int left_over = stop_all();
    int damaged = 0;
    for (const Process &process : processes_)
      if (process.name.starts_with("harbourd") && fs::exists(options_.folder + "/" + process.name))
        damaged += call({"harbourd", "--verify", options_.folder + "/" + process.name});
    return outcome != 0 ? outcome : left_over != 0 ? left_over : damaged;
  }

private:
  /// An address for a process that is started later; nobody else gets its port.
  std::string place_here() {
    ports_.emplace_back();
    return ports_.back().address();
  }

  void lay_out() {
    Process yard{"dockyard", place_here(), "", 0, {}, {}};
    yard.words = {"dockyard",
                  "--address",
                  yard.address,
                  "--journal",
                  options_.folder + "/visits.jsonl",
                  "--workers",
                  std::to_string(shape_.workers),
                  "--zones",
                  std::to_string(shape_.zones),
                  "--memory-mb",
                  std::to_string(shape_.memory_mb)};
    std::string seeds;
    for (int at = 0; at < shape_.controls; ++at) {
      Process process{"harbourd-" + std::to_string(at + 1), "", place_here(), 0, {}, {}};
      process.listen = place_here();
      process.address = relay_.open(process.listen);
      if (at < (shape_.controls >= 3 ? 3 : 1)) seeds += (seeds.empty() ? "" : ",") + process.address;
      processes_.push_back(process);
    }
    for (int at = 0; at < shape_.pilots; ++at) {
      Process process{"pilotd-" + std::to_string(at + 1), "", place_here(), 0, {}, {}};
      process.listen = place_here();
      process.address = relay_.open(process.listen);
      processes_.push_back(process);
    }
    int number = 0;
    for (Process &process : processes_) {
      const bool is_control_node = process.name.starts_with("harbourd");
      const std::string zone(1, static_cast<char>('a' + number++ % shape_.zones));
      process.words = {is_control_node ? "harbourd" : "pilotd",
                       "--address",
                       process.address,
                       "--listen",
                       process.listen,
                       "--http",
                       process.http,
                       "--zone",
                       zone,
                       "--seeds",
                       seeds};
      if (!is_control_node) continue;
      for (const std::string &word :
           {std::string("--data"), options_.folder + "/" + process.name, std::string("--platform"),
            yard.address, std::string("--operator-token"), token_, std::string("--disk-trial"),
            mood_file(process)})
        process.words.push_back(word);
    }
    processes_.insert(processes_.begin(), yard);
  }

  std::string mood_file(const Process &process) const {
    return options_.folder + "/" + process.name + ".mood";
  }

  void cut_off(const Process &process, bool is_cut, bool only_mates) {
    for (const Process &other : processes_) {
      if (other.name == process.name || other.listen.empty()) continue;
      if (only_mates && !other.name.starts_with("harbourd")) continue;
      relay_.set_cut(process.address, other.address, is_cut);
      relay_.set_cut(other.address, process.address, is_cut);
    }
  }

  void strike_cut(Process *process) {
    if (process == nullptr) return;
    const bool only_mates = dice_.chance(0.3);
    tell("cut off " + process->name + (only_mates ? " from the control group" : ""));
    cut_off(*process, true, only_mates);
    rests(1 + 4 * dice_.unit());
    cut_off(*process, false, only_mates);
    rests(1);
  }

  void strike_disk(Process *process) {
    if (process == nullptr) return;
    const double roll = dice_.unit();
    const std::string mood = roll < 0.35 ? "slow" : roll < 0.7 ? "stalled" : "full";
    tell("disk of " + process->name + ": " + mood);
    std::ofstream(mood_file(*process)) << mood << "\n";
    rests(1 + 3 * dice_.unit());
    std::ofstream(mood_file(*process)) << "well\n";
    rests(1);
  }

  void start(Process &process) {
    process.pid = spawn(process.words, options_.folder + "/" + process.name + ".log");
  }

  pid_t spawn(const std::vector<std::string> &words, const std::string &log) {
    const pid_t pid = fork();
    if (pid != 0) return pid;
    if (!log.empty()) {
      const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(descriptor, 1);
      dup2(descriptor, 2);
    }
    std::vector<char *> raw;
    for (const std::string &word : words) raw.push_back(const_cast<char *>(word.c_str()));
    raw.push_back(nullptr);
    execv((options_.binaries + "/" + words[0]).c_str(), raw.data());
    _exit(127);
  }

  int call(const std::vector<std::string> &words) {
    const pid_t pid = spawn(words, "");
    int state = 0;
    waitpid(pid, &state, 0);
    return WIFEXITED(state) ? WEXITSTATUS(state) : 99;
  }

  std::string https_of(const std::string &kind) const {
    std::string list;
    for (const Process &process : processes_)
      if (process.name.starts_with(kind)) list += (list.empty() ? "" : ",") + process.http;
    return list;
  }
  std::string control_https() const { return https_of("harbourd"); }
  std::string pilot_https() const { return https_of("pilotd"); }

  std::vector<std::string> control(std::vector<std::string> rest) const {
    std::vector<std::string> words{"wharfctl", "--at", control_https(), "--token", token_};
    words.insert(words.end(), rest.begin(), rest.end());
    return words;
  }

  int drive() {
    std::cout << "applying " << manifest_ << "\n" << std::flush;
    if (call(control({"apply", manifest_})) != 0) return fail("the manifest was not applied");
    if (call(control({"wait"})) != 0) return fail("the deployment did not settle");
    if (!wait_pilots()) return fail("not every pilot became ready");
    if (options_.seconds_long <= 0) return 0;
    const std::string calls = options_.folder + "/calls.jsonl";
    std::cout << "sending " << options_.rate << " errands a second for " << options_.seconds_long << " s\n"
              << std::flush;
    std::unique_ptr<Duty> storm;
    if (!options_.storm.empty()) storm = std::make_unique<Duty>("storm", [this] { run_storm(); });
    const int sent =
        call({"shipper", "--pilots", pilot_https(), "--manifest", manifest_, "--mix", mix_, "--rate",
              std::to_string(options_.rate), "--seconds", std::to_string(options_.seconds_long), "--threads",
              std::to_string(options_.threads), "--journal", calls});
    storm.reset();
    if (sent != 0) return fail("the callers failed");
    if (!options_.storm.empty() && !check_return()) return fail("service did not return");
    if (!is_read_back()) return fail("the manifest read back is not the one applied");
    std::cout << "read back: the very bytes\n" << std::flush;
    return call({"shipper", "--manifest", manifest_, "--journal", calls, "--audit",
                 options_.folder + "/visits.jsonl"});
  }

  Process *pick(const std::string &kind) {
    std::vector<Process *> found;
    for (Process &process : processes_)
      if (process.name.starts_with(kind) && process.pid > 0) found.push_back(&process);
    return found.empty() ? nullptr : found[dice_.below(found.size())];
  }

  void end(Process &process, int signal) {
    if (process.pid <= 0) return;
    kill(process.pid, signal);
    int state = 0;
    waitpid(process.pid, &state, 0);
    if (signal == SIGTERM && (!WIFEXITED(state) || WEXITSTATUS(state) != 0)) ++unclean_;
    process.pid = 0;
  }

  bool rests(double span) {
    const Instant until = tide_.now() + static_cast<Span>(span * 1e9);
    while (tide_.now() < until && stops_caught() == 0) usleep(20'000);
    return tide_.now() < storm_until_ && stops_caught() == 0;
  }

  Process *leader() {
    for (Process &process : processes_) {
      if (!process.name.starts_with("harbourd") || process.pid <= 0) continue;
      const auto root = counters(process.http, "/v1/counters");
      if (root.is_object() && root.value("is_leader", 0) == 1) return &process;
    }
    return nullptr;
  }

  static nlohmann::json counters(const std::string &place, const std::string &path) {
    std::string ip;
    int port = 0;
    split_address(place, ip, port);
    httplib::Client client(ip, port);
    client.set_connection_timeout(0, 300'000);
    client.set_read_timeout(1);
    const auto result = client.Get(path);
    return result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
  }

  void touch_yard(const std::string &path, const std::string &body) {
    std::string ip;
    int port = 0;
    split_address(processes_.front().address, ip, port);
    httplib::Client client(ip, port);
    client.Post(path, body, "application/json");
  }

  void set_mischief(const std::string &shares) {
    for (const std::string service : {"hold-1", "confirm-1", "table-1", "ranking-1", "hello", "book"})
      touch_yard("/v1/mischief", "{\"service\": \"" + service + "\"" + shares + "}");
  }

  void tell(const std::string &what) { std::cout << "storm: " << what << "\n" << std::flush; }

  /// Brings the named failures about while callers send; all is mended again at its end.
  void run_storm() {
    storm_until_ = tide_.now() + static_cast<Span>((options_.seconds_long - 2) * 1e9);
    const std::string &storm = options_.storm;
    while (rests(1.5)) {
      if (storm == "kill-leader" || storm == "lose-disk") {
        strike_leader(storm == "lose-disk");
      } else if (storm == "kill-pilot") {
        Process *process = pick("pilotd");
        tell("kill " + process->name);
        end(*process, SIGKILL);
        rests(1);
        start(*process);
        rests(1.5);
      } else if (storm == "freeze") {
        Process *process = pick(dice_.chance(0.5) ? "pilotd" : "harbourd");
        tell("freeze " + process->name);
        kill(process->pid, SIGSTOP);
        rests(0.5 + 4 * dice_.unit());
        kill(process->pid, SIGCONT);
      } else if (storm == "kill-all") {
        tell("kill all");
        for (Process &process : processes_)
          if (process.name != "dockyard") end(process, SIGKILL);
        rests(0.5);
        for (Process &process : processes_)
          if (process.name != "dockyard") start(process);
        return;
      } else if (storm == "restart") {
        restart_in_turn();
        return;
      } else if (storm == "cut") {
        strike_cut(pick(dice_.chance(0.6) ? "pilotd" : "harbourd"));
      } else if (storm == "cut-leader") {
        strike_cut(leader());
      } else if (storm == "late") {
        tell("everything 20 to 40 ms late");
        relay_.set_delay(milliseconds(20));
        rests(4);
        relay_.set_delay(0);
      } else if (storm == "disk") {
        strike_disk(dice_.chance(0.6) ? leader() : pick("harbourd"));
      } else if (storm == "runners") {
        tell("runners misbehave, a worker drains, another crashes");
        set_mischief(
            ", \"refuse\": 0.05, \"lose\": 0.01, \"garbage\": 0.02, \"truncate\": 0.01, \"foreign\": 0.01, "
            "\"hang\": 0.002, \"crash\": 0.005");
        touch_yard("/v1/workers/w1/drain", "");
        rests(4);
        touch_yard("/v1/workers/w1/restore", "");
        touch_yard("/v1/workers/w2/crash", "");
        rests(4);
        touch_yard("/v1/workers/w2/restore", "");
      }
    }
    relay_.heal();
    if (storm == "runners") set_mischief("");
  }

  void strike_leader(bool takes_disk) {
    Process *process = leader();
    if (process == nullptr) return;
    tell((takes_disk ? "lose the disk of " : "kill ") + process->name);
    end(*process, SIGKILL);
    if (takes_disk) fs::remove_all(options_.folder + "/" + process->name);
    rests(1.5);
    start(*process);
    if (takes_disk) rests(5);
  }

  void restart_in_turn() {
    for (Process &process : processes_) {
      if (process.name == "dockyard") continue;
      tell("restart " + process.name);
      end(process, SIGTERM);
      start(process);
      if (!rests(0.5)) return;
    }
  }

  /// Sends a little more once all is mended; nearly all of it must be answered.
  bool check_return() {
    const Instant mended = tide_.now();
    while (tide_.now() - mended < seconds(12)) {
      if (!wait_pilots()) return false;
      const std::string journal = options_.folder + "/after.jsonl";
      fs::remove(journal);
      call({"shipper", "--pilots", pilot_https(), "--manifest", manifest_, "--mix", mix_, "--rate", "60",
            "--seconds", "1", "--threads", "32", "--seed", std::to_string(++after_seed_), "--journal",
            journal});
      std::ifstream lines(journal);
      int good = 0, all = 0;
      for (std::string line; std::getline(lines, line); ++all)
        good += line.find("\"verdict\":\"run\"") != std::string::npos ? 1 : 0;
      std::ofstream(options_.folder + "/calls.jsonl", std::ios::app) << std::ifstream(journal).rdbuf();
      if (all > 0 && good * 100 >= all * 95) {
        std::cout << "service is back, seen " << (tide_.now() - mended) / 1'000'000 << " ms after the storm\n"
                  << std::flush;
        return true;
      }
    }
    return false;
  }

  bool is_read_back() {
    const pid_t pid = spawn(control({"get"}), options_.folder + "/read-back.json");
    int state = 0;
    waitpid(pid, &state, 0);
    const auto sent = slurp(manifest_);
    return sent && sent == slurp(options_.folder + "/read-back.json");
  }

  bool wait_pilots() {
    for (int round = 0; round < 300; ++round) {
      std::size_t ready = 0, pilots = 0;
      for (const Process &process : processes_) {
        if (!process.name.starts_with("pilotd")) continue;
        ++pilots;
        const auto root = counters(process.http, "/.wharf/counters");
        ready += root.is_object() && root.value("is_settled", 0) == 1 && root.value("manifest_version", 0) > 0
                     ? 1
                     : 0;
      }
      if (ready == pilots) return true;
      usleep(100'000);
    }
    return false;
  }

  int fail(const std::string &what) {
    std::cerr << "fleet: " << what << "; logs are in " << options_.folder << "\n";
    return 1;
  }

  int stop_all() {
    int bad = unclean_ == 0 ? 0 : 1;
    if (unclean_ > 0) std::cerr << "fleet: " << unclean_ << " planned restarts did not end cleanly\n";
    for (const std::string kind : {"pilotd", "harbourd", "dockyard"}) {
      for (Process &process : processes_)
        if (process.pid > 0 && process.name.starts_with(kind)) kill(process.pid, SIGTERM);
      for (Process &process : processes_) {
        if (process.pid <= 0 || !process.name.starts_with(kind)) continue;
        int state = 0;
        bool has_ended = false;
        for (int round = 0; round < 1000 && !has_ended; ++round) {
          has_ended = waitpid(process.pid, &state, WNOHANG) == process.pid;
          if (!has_ended) usleep(10'000);
        }
        if (!has_ended) {
          kill(process.pid, SIGKILL);
          waitpid(process.pid, &state, 0);
        }
        if (!has_ended || !WIFEXITED(state) || WEXITSTATUS(state) != 0) {
          std::cerr << "fleet: " << process.name << " did not end cleanly\n";
          bad = 1;
        }
      }
    }
    return bad;
  }

  FleetOptions options_;
  Shape shape_;
  std::string manifest_, mix_, token_ = "fleet-operator-token";
  std::vector<Process> processes_;
  std::vector<HeldPort> ports_;
  FaultProxy relay_;
  SteadyTide tide_;
  Dice dice_{static_cast<std::uint64_t>(options_.seed)};
  Instant storm_until_ = 0;
  int unclean_ = 0;
  long after_seed_ = 1000;
};
} // namespace

int main(int count, char **words) {
  FleetOptions options;
  options.examples = "examples";
  Flags flags("fleet", "");
  flags.text("deployment", options.deployment, "udruga, masa-verde, small or single");
  flags.text("folder", options.folder, "Where data, logs and records go");
  flags.text("examples", options.examples, "Where the example manifests are");
  flags.real("rate", options.rate, "Errands a second");
  flags.real("seconds", options.seconds_long, "How long to send; 0 sends nothing");
  flags.whole("threads", options.threads, "Callers at the same time");
  flags.text("storm", options.storm,
             "What fails meanwhile: kill-leader, lose-disk, kill-pilot, freeze, kill-all, restart, runners, "
             "cut, cut-leader, late or disk");
  flags.whole("seed", options.seed, "Seed of the storm");
  flags.mark("stay", options.must_stay, "Keep the deployment up afterwards");
  const auto read_flags = flags.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&read_flags)) return end->say();
  static const std::set<std::string> storms{"",       "kill-leader", "lose-disk", "kill-pilot",
                                            "freeze", "kill-all",    "restart",   "runners",
                                            "cut",    "cut-leader",  "late",      "disk"};
  if (!storms.contains(options.storm)) {
    std::cerr << "fleet: no storm is called '" << options.storm << "'\n";
    return 2;
  }
  options.binaries = fs::canonical("/proc/self/exe").parent_path();
  const bool is_own_folder = options.folder.empty();
  if (is_own_folder)
    options.folder = (fs::temp_directory_path() / ("fleet-" + std::to_string(getpid()))).string();
  catch_stops();
  Fleet fleet(options);
  const int outcome = fleet.run();
  if (is_own_folder && outcome == 0) fs::remove_all(options.folder);
  return outcome;
}
