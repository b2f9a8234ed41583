#include "bosun/options.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include "bosun/words.hpp"
#include "hawser/hawser.hpp"

namespace wharf {

namespace {
bool is_any(std::string_view) { return true; }
bool is_decimal_or_none(std::string_view text) {
  if (text.empty()) return true;
  const std::string whole(text);
  char *end = nullptr;
  const double value = std::strtod(whole.c_str(), &end);
  return *end == '\0' && value >= 0 && value <= 1e6;
}

bool is_word(std::string_view text) {
  return !text.empty() && text.size() <= 32 &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) || letter == '-' || letter == '_';
         });
}
bool is_address_or_none(std::string_view text) { return text.empty() || is_address(text); }
bool is_level(std::string_view text) {
  return text == "trace" || text == "debug" || text == "info" || text == "warning" || text == "error";
}
bool is_seeds(std::string_view text) {
  const auto parts = split_commas(text);
  return !parts.empty() && parts.size() <= 3 && std::all_of(parts.begin(), parts.end(), is_address);
}

struct Given {
  std::string value, place;
};

std::string trim(std::string_view text) {
  const auto from = text.find_first_not_of(" \t\r");
  if (from == std::string_view::npos) return {};
  return std::string(text.substr(from, text.find_last_not_of(" \t\r") - from + 1));
}

void read_file(const std::string &path, std::map<std::string, Given> &given,
               std::vector<std::string> &faults) {
  std::ifstream file(path);
  if (!file) {
    faults.push_back(path + ": cannot be read");
    return;
  }
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::string text = trim(line);
    if (text.empty() || text.front() == '#') continue;
    const std::string place = path + ":" + std::to_string(number);
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
      faults.push_back(place + ": 'name = value' is expected");
      continue;
    }
    const std::string name = trim(text.substr(0, equals));
    if (given.contains(name)) faults.push_back(place + ": '" + name + "' is given twice");
    given[name] = {trim(text.substr(equals + 1)), place};
  }
}

bool fits(ProgramKind kind, std::string_view name) {
  const bool is_control_only = name == "data" || name == "platform" || name == "operator_token" ||
                               name == "pace" || name == "may_found" || name == "in_memory" ||
                               name == "replica";
  const bool is_edge_only = name == "readiness" || name == "link_mbps" || name == "cpu_share";
  return kind == ProgramKind::harbourd ? !is_edge_only : !is_control_only;
}

struct Known {
  std::string name, meaning, start;
};

#define WHARF_KNOWN_TEXT(name, start, check, meaning) {#name, meaning, start},
#define WHARF_KNOWN_NUMBER(name, start, least, most, meaning) {#name, meaning, #start},
const std::vector<Known> &known_options() {
  static const std::vector<Known> list = {WHARF_PROCESS_OPTIONS(WHARF_KNOWN_TEXT, WHARF_KNOWN_NUMBER)};
  return list;
}
} // namespace

bool must_trace(const ProcessOptions &options) {
  return options.log_level == "debug" || options.log_level == "trace";
}

bool is_address(std::string_view text) {
  std::string ip;
  int port = 0;
  return split_address(text, ip, port) && port > 0;
}

std::uint32_t thousandths_of(const std::string &decimal) {
  return decimal.empty() ? 0 : static_cast<std::uint32_t>(std::strtod(decimal.c_str(), nullptr) * 1000);
}

std::vector<std::string> ProcessOptions::seed_list() const {
  std::vector<std::string> list = split_commas(seeds);
  for (std::string &seed : list)
    if (seed_port != 0) seed = seed.substr(0, seed.rfind(':') + 1) + std::to_string(seed_port);
  return list;
}

std::variant<Launch, EndNow> read_launch(ProgramKind kind, int count, const char *const *words) {
  const std::string program = kind == ProgramKind::pilotd ? "pilotd" : "harbourd";
  Launch launch;
  std::vector<std::string> faults;
  std::map<std::string, Given> given, flags;

  Flags line(program, "");
  line.other(
      "options", [&](const std::string &path) { return read_file(path, given, faults), std::string(); },
      "Options file of 'name = value' lines");
  line.mark("check", launch.is_check_only, "Check the options and end");
  for (const Known &known : known_options()) {
    if (!fits(kind, known.name)) continue;
    std::string flag = known.name;
    std::replace(flag.begin(), flag.end(), '_', '-');
    const std::string tail = known.start.empty() ? "" : " Default: " + known.start + ".";
    line.other(
        flag,
        [&flags, name = known.name, flag](const std::string &value) {
          return flags[name] = {value, "--" + flag}, std::string();
        },
        known.meaning + tail);
  }
  const auto line_read = line.read(count, words);
  if (const auto *end = std::get_if<EndNow>(&line_read)) {
    if (end->code == 0) return *end;
    std::istringstream lines(end->text);
    for (std::string fault; std::getline(lines, fault);) faults.push_back(fault.substr(program.size() + 2));
  }
  for (const auto &[name, item] : flags) given[name] = item;
  ProcessOptions &options = launch.options;
#define WHARF_TAKE_TEXT(name, start, check, meaning)                                                         \
  if (const auto found = given.find(#name); found != given.end()) {                                          \
    if (!fits(kind, #name))                                                                                  \
      faults.push_back(found->second.place + ": '" #name "' is not for " + program);                         \
    else if (!check(found->second.value))                                                                    \
      faults.push_back(found->second.place + ": '" + found->second.value +                                   \
                       "' will not do for " #name ". " meaning);                                             \
    options.name = found->second.value;                                                                      \
    given.erase(found);                                                                                      \
  } else if (fits(kind, #name) && !check(options.name)) {                                                    \
    faults.push_back("--" #name ": is missing. " meaning);                                                   \
  }
#define WHARF_TAKE_NUMBER(name, start, least, most, meaning)                                                 \
  if (const auto found = given.find(#name); found != given.end()) {                                          \
    const std::string &text = found->second.value;                                                           \
    const auto read = std::from_chars(text.data(), text.data() + text.size(), options.name);                 \
    const std::string_view rest(read.ptr, static_cast<std::size_t>(text.data() + text.size() - read.ptr));   \
    const bool is_whole =                                                                                    \
        rest.empty() || (rest.front() == '.' && rest.find_first_not_of('0', 1) == std::string_view::npos);   \
    if (read.ec != std::errc() || !is_whole || options.name < least || options.name > most)                  \
      faults.push_back(found->second.place + ": " #name " must be from " #least " to " #most);               \
    given.erase(found);                                                                                      \
  }
  WHARF_PROCESS_OPTIONS(WHARF_TAKE_TEXT, WHARF_TAKE_NUMBER)
  if (split_commas(options.seeds).size() == 2 && options.few_seeds == 0)
    faults.push_back("--seeds: two will not do without few_seeds. One or three addresses are expected.");
  for (const auto &[name, item] : given) faults.push_back(item.place + ": unknown option '" + name + "'");
  if (kind == ProgramKind::harbourd) {
    if (options.data.empty() && options.in_memory == 0)
      faults.push_back("--data: is missing. Data folder; harbourd only.");
    if (options.operator_token.size() < 8)
      faults.push_back("--operator-token: at least 8 letters are needed.");
  }
  if (!faults.empty()) {
    std::string text;
    for (const std::string &fault : faults) text += program + ": " + fault + "\n";
    return EndNow{2, text};
  }
  if (launch.is_check_only) return EndNow{0, program + ": options are fine\n"};
  return launch;
}

} // namespace wharf
