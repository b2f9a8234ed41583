#include "soak/soak.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/operators.hpp"
#include "soak/platform_standin.hpp"
#include "soak/troubles.hpp"

namespace wharf::soak {

namespace {
struct Shape {
  const char *name;
  std::size_t edges, controls, clients;
  int zones;
};
/// Shapes like the users' deployments: two small ones, a grown one, and one as large as the bounds allow.
constexpr Shape shapes[] = {
    {"single", 1, 1, 16, 1},  {"small", 4, 3, 60, 3},  {"wide", 9, 3, 120, 3},
    {"grown", 24, 5, 140, 4}, {"full", 90, 7, 160, 4},
};

/// A process takes about that much memory; half of the machine's is the most that may be used.
constexpr std::size_t process_kb = 12'288;
constexpr std::size_t processes_few_hundred = 200;

constexpr Span turn = milliseconds(2), usage_each = seconds(1);
constexpr Span start_within = seconds(30), settle_before_traffic = milliseconds(2500),
               settle_within = seconds(15);
constexpr Span traffic_after_recovery = seconds(6), last_answers_within = seconds(5),
               stop_within = seconds(12);
constexpr Span story_margin = milliseconds(500);
constexpr std::size_t stories_most = 5, story_lines_most = 40;

const Shape *shape_named(const std::string &name) {
  const auto *found = std::find_if(std::begin(shapes), std::end(shapes),
                                   [&](const Shape &shape) { return name == shape.name; });
  return found == std::end(shapes) ? nullptr : found;
}

std::size_t memory_kb() {
  std::ifstream file("/proc/meminfo");
  std::string word;
  std::size_t amount = 0;
  file >> word >> amount;
  return amount;
}

/// Latencies of served requests, in milliseconds, in bins that grow with them.
class Latencies {
public:
  void add(double milliseconds) { histogram_(milliseconds); }
  /// The upper end of the bin that holds this share of all.
  double quantile(double share) const {
    double sum = 0, seen = 0;
    for (auto &&bin : boost::histogram::indexed(histogram_)) sum += *bin;
    for (auto &&bin : boost::histogram::indexed(histogram_)) {
      seen += *bin;
      if (seen >= sum * share) return bin.bin().upper();
    }
    return 0;
  }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(120, 0.1, 20'000.0))) histogram_ =
      boost::histogram::make_histogram(Axis(120, 0.1, 20'000.0));
};

class Run {
public:
  Run(const Wire &wire, const RunOptions &options, const Shape &shape)
      : options_(options), shape_(bounded(shape)), random_(options.seed),
        platform_(loop_, wire, platform_options(), records_.runs, records_.orders),
        deployment_(wire, shape_options()),
        operators_(loop_, wire, operator_options(), options.seed * 3 + 1, records_.changes, records_.reads),
        clients_(loop_, wire, client_options(), options.seed * 3 + 2, records_.requests),
        troubles_(deployment_, records_.troubles, records_.ended_by_themselves) {}

  RunReport play() {
    RunReport report = begin_report();
    started_wall_ = std::chrono::system_clock::now();
    started_ = clock_.now();
    deployment_.start_all();
    if (!come_up()) {
      report.failure = "no configuration was acknowledged within 30 s";
      deployment_.stop_all(stop_within);
      return report;
    }
    make_trouble(report);
    recover();
    close_down();
    finish(report);
    return report;
  }

private:
  Shape bounded(Shape shape) {
    const std::size_t by_memory = memory_kb() / 2 / process_kb;
    std::size_t most = std::min(by_memory, processes_few_hundred);
    processes_bound_ = most == by_memory ? "half of the machine's memory" : "a few hundred processes";
    if (options_.processes_most > 0 && options_.processes_most < most) {
      most = options_.processes_most;
      processes_bound_ = "--processes";
    }
    if (shape.edges + shape.controls <= most) processes_bound_ = "the deployment has no more";
    while (shape.edges + shape.controls > most && shape.edges > 1) {
      --shape.edges;
      shape.controls = std::min(shape.controls, shape.edges);
    }
    return shape;
  }

  std::vector<std::string> zones() const {
    std::vector<std::string> list;
    list.reserve(static_cast<std::size_t>(shape_.zones));
    for (int at = 0; at < shape_.zones; ++at) list.emplace_back(1, static_cast<char>('a' + at));
    return list;
  }
  static std::vector<ServiceSpec> services() { return {{"again", 8, 512, 300}, {"once", 4, 256, 200}}; }
  PlatformOptions platform_options() const { return {services(), zones(), 6, 8192, 150}; }
  ShapeOptions shape_options() {
    return {shape_.edges,      shape_.controls,     zones(), options_.folder,
            options_.binaries, platform_.address(), {}};
  }
  OperatorOptions operator_options() { return {deployment_.control_addresses(), services()}; }
  ClientOptions client_options() {
    ClientOptions made;
    made.edges = deployment_.edge_entries();
    made.clients = shape_.clients;
    return made;
  }

  RunReport begin_report() const {
    RunReport report;
    report.deployment = shape_.name;
    report.seed = options_.seed;
    report.is_planned_only = options_.is_planned_only;
    report.processes = deployment_.processes();
    report.processes_bound = processes_bound_;
    return report;
  }

  /// One turn of everything that runs in this process.
  void step(bool with_clients) {
    loop_.turn(turn);
    const Instant now = clock_.now();
    platform_.tick(now);
    operators_.tick(now);
    if (with_clients) {
      clients_.set_probe({operators_.acknowledged(), Operators::probe_path(operators_.acknowledged())});
      clients_.tick(now);
    }
    troubles_.tick(now);
    sample_usage(now);
  }

  void sample_usage(Instant now) {
    if (now < usage_at_) return;
    usage_at_ = now + usage_each;
    for (const Node &node : deployment_.nodes())
      if (node.daemon->is_running() && !node.daemon->is_frozen())
        records_.usage.push_back(node.daemon->usage(now));
  }

  bool come_up() {
    const Instant until = clock_.now() + start_within;
    while (operators_.acknowledged() == 0 && clock_.now() < until) step(false);
    if (operators_.acknowledged() == 0) return false;
    const Instant ready = clock_.now() + settle_before_traffic;
    while (clock_.now() < ready) step(false);
    return true;
  }

  void make_trouble(RunReport &report) {
    records_.began = clock_.now();
    ScheduleOptions schedule;
    schedule.length = options_.length;
    schedule.is_planned_only = options_.is_planned_only;
    const std::vector<Trouble> list = make_schedule(random_, schedule);
    std::size_t next = 0;
    while (clock_.now() - records_.began < options_.length) {
      step(true);
      const Instant now = clock_.now();
      for (; next < list.size() && list[next].at <= now - records_.began; ++next)
        begin(list[next], report, now);
    }
  }

  void begin(const Trouble &trouble, RunReport &report, Instant now) {
    // Changes come just before and just after troubles as well.
    operators_.change_soon(now);
    const bool has_begun = troubles_.begin(trouble, now);
    ++(has_begun ? report.troubles : report.troubles_left_out);
    report.schedule.push_back(std::to_string(trouble.at / 1'000'000) + " ms " + name_of(trouble.kind) +
                              " for " + std::to_string(trouble.lasts / 1'000'000) + " ms, target " +
                              std::to_string(trouble.target) + (has_begun ? "" : ", left out"));
  }

  void recover() {
    const Instant until = clock_.now() + settle_within;
    while (!troubles_.settle(clock_.now()) && clock_.now() < until) step(true);
    records_.troubles_over = clock_.now();
    const Instant end = records_.troubles_over + options_.bounds.recover + traffic_after_recovery;
    while (clock_.now() < end) step(true);
  }

  void close_down() {
    operators_.stop_changes();
    clients_.stop();
    const Instant until = clock_.now() + last_answers_within;
    while (clock_.now() < until && (!clients_.is_idle() || operators_.is_waiting())) step(true);
    const Instant asked = clock_.now();
    const Instant read_until = asked + options_.bounds.in_touch;
    records_.ended = asked;
    while (clock_.now() < read_until && operators_.read_since(asked) == 0) step(true);
    records_.final_version = operators_.read_since(asked);
    for (const std::string &late : deployment_.stop_all(stop_within))
      records_.ended_by_themselves.push_back(late + " (did not end when told to)");
    for (const Node *node : deployment_.controls())
      if (!verifies(node->data_folder)) records_.damaged.push_back(node->data_folder);
  }

  /// Has the control daemon's own check read a data folder.
  bool verifies(const std::string &folder) const {
    const std::string program = options_.binaries + "/harbourd";
    const pid_t pid = fork();
    if (pid == 0) {
      const int null = open("/dev/null", O_WRONLY);
      dup2(null, STDOUT_FILENO);
      execl(program.c_str(), program.c_str(), "--verify", folder.c_str(), static_cast<char *>(nullptr));
      _exit(127);
    }
    int state = 0;
    waitpid(pid, &state, 0);
    return WIFEXITED(state) && WEXITSTATUS(state) == 0;
  }

  void finish(RunReport &report) {
    Latencies latencies;
    for (const RequestRecord &request : records_.requests) {
      const bool is_served = request.end == RequestEnd::answered && request.status / 100 == 2;
      report.served += is_served ? 1 : 0;
      report.refused += request.status == 503 || request.status == 429 ? 1 : 0;
      if (is_served && request.needs_version == 0)
        latencies.add(static_cast<double>(request.ended - request.sent_whole) / 1e6);
    }
    report.longest_stall_ms = static_cast<std::uint64_t>(clients_.longest_stall() / milliseconds(1));
    report.requests = records_.requests.size();
    report.changes = records_.changes.size();
    report.latency_p50_ms = latencies.quantile(0.5);
    report.latency_p99_ms = latencies.quantile(0.99);
    for (const RunRecord &run : records_.runs) ++(run.is_refused ? report.runs_refused : report.runs);
    for (const UsageSample &sample : records_.usage)
      report.peak_memory_kb = std::max(report.peak_memory_kb, sample.memory_kb);
    report.findings = check_all(records_, options_.bounds);
    for (std::size_t at = 0; at < std::min(report.findings.size(), stories_most); ++at)
      tell_story(report.findings[at], report.stories);
  }

  /// What clients and runners saw of a finding's request, and what every process logged at the time.
  void tell_story(const Finding &finding, std::vector<std::string> &lines) const {
    lines.push_back("story of " + finding.rule + " " + finding.subject + ": " + finding.what);
    Instant from = 0, until = 0;
    for (const RequestRecord &request : records_.requests) {
      if (request.id != finding.subject) continue;
      from = request.sent_whole;
      until = request.ended;
      lines.push_back("  " + moment(request.sent_whole) + " sent whole to " + request.process + ", ended " +
                      moment(request.ended) + " with status " + std::to_string(request.status));
    }
    for (const RunRecord &run : records_.runs)
      if (run.id == finding.subject)
        lines.push_back("  " + moment(run.began) + " at runner " + run.runner + " of " + run.service +
                        (run.is_refused ? ", turned away" : ", worked until " + moment(run.ended)));
    for (const TroubleRecord &trouble : records_.troubles) {
      if (from == 0 || trouble.began > until || (trouble.ended != 0 && trouble.ended + seconds(4) < from))
        continue;
      std::string names;
      for (const std::string &name : trouble.processes) names += " " + name;
      lines.push_back("  " + moment(trouble.began) + " " + trouble.kind + names + " until " +
                      moment(trouble.ended));
    }
    if (from != 0) add_log_lines(from - story_margin, until + story_margin, lines);
  }

  std::string moment(Instant at) const {
    return at == 0 ? "never" : std::to_string((at - records_.began) / 1'000'000) + " ms";
  }

  /// The time of day as the daemons' logs write it.
  std::string log_time(Instant at) const {
    const auto wall = started_wall_ + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                                          std::chrono::nanoseconds(at - started_));
    const std::time_t whole = std::chrono::system_clock::to_time_t(wall);
    std::tm parts{};
    localtime_r(&whole, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &parts);
    return text;
  }

  void add_log_lines(Instant from, Instant until, std::vector<std::string> &lines) const {
    const std::string first = log_time(from), last = log_time(until + seconds(1));
    std::size_t count = 0;
    for (const Node &node : deployment_.nodes()) {
      std::ifstream file(options_.folder + "/" + node.daemon->name() + ".log");
      for (std::string line; std::getline(file, line) && count < story_lines_most;) {
        const bool is_in =
            line.compare(0, first.size(), first) >= 0 && line.compare(0, last.size(), last) <= 0;
        if (!is_in || line.find("counters ") != std::string::npos) continue;
        lines.push_back("  " + node.daemon->name() + ": " + line);
        ++count;
      }
    }
  }

  const RunOptions &options_;
  std::string processes_bound_;
  Shape shape_;
  Random random_;
  Loop loop_;
  SteadyTide clock_;
  Records records_;
  PlatformStandin platform_;
  Deployment deployment_;
  Operators operators_;
  ClientPool clients_;
  Troubles troubles_;
  Instant usage_at_ = 0, started_ = 0;
  std::chrono::system_clock::time_point started_wall_;
};
} // namespace

std::vector<std::string> deployment_names() {
  std::vector<std::string> names;
  for (const Shape &shape : shapes) names.emplace_back(shape.name);
  return names;
}

RunReport play(const Wire &wire, const RunOptions &options) {
  const Shape *shape = shape_named(options.deployment);
  if (shape == nullptr) {
    RunReport report;
    report.failure = "no deployment is called '" + options.deployment + "'";
    return report;
  }
  Run run(wire, options, *shape);
  return run.play();
}

} // namespace wharf::soak
