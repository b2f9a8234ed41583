#include "compass/compass.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace wharf {

namespace {
struct Word {
  std::string_view text;
  int line = 1, column = 1;
};

std::vector<Word> words_of(std::string_view text) {
  std::vector<Word> words;
  int line = 1, column = 1;
  std::size_t at = 0;
  while (at < text.size()) {
    const char letter = text[at];
    if (letter == '\n') {
      ++line, column = 1, ++at;
    } else if (letter == ' ' || letter == '\t' || letter == '\r') {
      ++column, ++at;
    } else if (letter == ',') {
      words.push_back({text.substr(at, 1), line, column});
      ++column, ++at;
    } else {
      const std::size_t end = std::min(text.find_first_of(" \t\r\n,", at), text.size());
      words.push_back({text.substr(at, end - at), line, column});
      column += static_cast<int>(end - at);
      at = end;
    }
  }
  words.push_back({{}, line, column});
  return words;
}

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
  });
}

bool is_method(std::string_view text) {
  static constexpr std::string_view known[] = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  return std::find(std::begin(known), std::end(known), text) != std::end(known);
}

std::vector<std::string_view> split_bar(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto bar = text.find('|');
    parts.push_back(text.substr(0, bar));
    if (bar == std::string_view::npos) return parts;
    text.remove_prefix(bar + 1);
  }
}

struct RuleReader {
  std::vector<Word> words;
  std::string name;
  std::size_t at = 0;
  std::optional<RuleError> error;

  const Word &word() const { return words[at]; }
  bool fail(std::string what, int offset = 0) {
    if (!error) error = RuleError{name, word().line, word().column + offset, std::move(what)};
    return false;
  }
  bool read_methods(Rule &rule) {
    if (word().text.empty()) return fail("a method or '*' is expected");
    if (word().text != "*") {
      for (auto part : split_bar(word().text)) {
        if (!is_method(part))
          return fail("'" + std::string(part) + "' is no method",
                      static_cast<int>(part.data() - word().text.data()));
        rule.methods.emplace_back(part);
      }
    }
    ++at;
    return true;
  }
  bool read_path(Rule &rule) {
    std::string_view text = word().text;
    for (char letter : take_host(text)) {
      if (letter <= ' ' || letter == '*') return fail("a host name is expected after '//'");
      rule.host.push_back(letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter);
    }
    if (!text.starts_with('/')) return fail("a path beginning with '/' is expected");
    std::size_t from = 1;
    while (from <= text.size() && text.size() > 1) {
      const std::size_t end = std::min(text.find('/', from), text.size());
      const std::string_view part = text.substr(from, end - from);
      const int offset = static_cast<int>(from);
      if (!rule.path.empty() && rule.path.back().kind == SegmentKind::rest)
        return fail("'**' must come last", offset);
      if (part == "**")
        rule.path.push_back({SegmentKind::rest, {}});
      else if (part == "*")
        rule.path.push_back({SegmentKind::one, {}});
      else if (part.find('*') != std::string_view::npos)
        return fail("'*' must stand for a whole part", offset);
      else if (part.empty())
        return fail("an empty part", offset);
      else if (part == "." || part == "..")
        return fail("dot parts are not allowed", offset);
      else
        rule.path.push_back({SegmentKind::literal, std::string(part)});
      from = end + 1;
    }
    ++at;
    return true;
  }
  bool read_tenants(Rule &rule) {
    if (word().text != "for") return true;
    ++at;
    for (auto part : split_bar(word().text)) {
      if (!is_name(part)) return fail("a tenant's name is expected");
      rule.tenants.emplace_back(part);
    }
    ++at;
    return true;
  }
  bool read_number(std::uint32_t &into, std::uint32_t most) {
    const auto text = word().text;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), into);
    if (text.empty() || read.ec != std::errc() || read.ptr != text.data() + text.size() || into > most)
      return false;
    ++at;
    return true;
  }
  bool read_options(Rule &rule) {
    while (!word().text.empty()) {
      const std::string option(word().text);
      std::uint32_t *number = option == "within"  ? &rule.within_ms
                              : option == "aim"   ? &rule.aim_ms
                              : option == "tries" ? &rule.tries
                              : option == "worth" ? &rule.worth
                                                  : nullptr;
      if (number == nullptr && option != "repeatable" && option != "open")
        return fail("'" + option + "' is not understood");
      ++at;
      rule.is_repeatable = rule.is_repeatable || option == "repeatable";
      rule.is_open = rule.is_open || option == "open";
      if (number != nullptr && (!read_number(*number, 86'400'000) || *number == 0))
        return fail("a number above 0 is expected after '" + option + "'");
    }
    return true;
  }
  bool read_targets(Rule &rule) {
    if (word().text != "to") return fail("'to' is expected");
    do {
      ++at;
      if (!is_name(word().text)) return fail("a service's name is expected");
      for (const Target &target : rule.targets)
        if (target.service == word().text) return fail("the service is named twice");
      Target target{std::string(word().text), 1};
      ++at;
      if (word().text == "weight") {
        ++at;
        if (!read_number(target.weight, 10000)) return fail("a weight from 0 to 10000 is expected");
      }
      rule.weight_sum += target.weight;
      rule.targets.push_back(std::move(target));
    } while (word().text == ",");
    if (!read_options(rule)) return false;
    if (rule.weight_sum == 0) return fail("all weights are 0");
    return true;
  }
};

int openness(const Rule &rule, std::size_t at) {
  if (at >= rule.path.size()) return 0;
  return static_cast<int>(rule.path[at].kind) + 1;
}

bool is_more_specific(const Rule &left, const Rule &right) {
  if (left.host != right.host) return left.host > right.host;
  const std::size_t longest = std::max(left.path.size(), right.path.size());
  for (std::size_t at = 0; at < longest; ++at) {
    const int ours = openness(left, at), theirs = openness(right, at);
    if (ours == 0 || theirs == 0) {
      if (ours != theirs) return theirs == 3 ? true : ours == 3 ? false : ours > theirs;
    }
    if (ours != theirs) return ours < theirs;
  }
  if (left.tenants.empty() != right.tenants.empty()) return !left.tenants.empty();
  if (left.methods.empty() != right.methods.empty()) return !left.methods.empty();
  return left.name < right.name;
}

bool share(const std::vector<std::string> &left, const std::vector<std::string> &right) {
  if (left.empty() || right.empty()) return left.empty() == right.empty();
  return std::any_of(left.begin(), left.end(), [&](const std::string &item) {
    return std::find(right.begin(), right.end(), item) != right.end();
  });
}

bool holds(const std::vector<std::string> &list, std::string_view item) {
  return list.empty() || std::find(list.begin(), list.end(), item) != list.end();
}

bool fits(const Rule &rule, const std::vector<std::string> &segments) {
  for (std::size_t at = 0; at < rule.path.size(); ++at) {
    if (rule.path[at].kind == SegmentKind::rest) return true;
    if (at >= segments.size()) return false;
    if (rule.path[at].kind == SegmentKind::literal && rule.path[at].text != segments[at]) return false;
  }
  return rule.path.size() == segments.size();
}

std::string first_key(std::string_view host, std::string_view part) {
  return std::string(host) + "/" + std::string(part);
}

int hex_digit(char letter) {
  if (letter >= '0' && letter <= '9') return letter - '0';
  if (letter >= 'a' && letter <= 'f') return letter - 'a' + 10;
  if (letter >= 'A' && letter <= 'F') return letter - 'A' + 10;
  return -1;
}
} // namespace

std::variant<Rule, RuleError> compile_rule(std::string_view name, std::string_view text) {
  Rule rule;
  rule.name = name;
  RuleReader reader{words_of(text), std::string(name), 0, {}};
  if (reader.read_methods(rule) && reader.read_path(rule) && reader.read_tenants(rule) &&
      reader.read_targets(rule))
    return rule;
  return *reader.error;
}

std::variant<Compass, std::vector<RuleError>>
Compass::compile(const std::map<std::string, std::string> &texts) {
  Compass compass;
  std::vector<RuleError> errors;
  for (const auto &[name, text] : texts) {
    auto compiled = compile_rule(name, text);
    if (auto *error = std::get_if<RuleError>(&compiled))
      errors.push_back(*error);
    else
      compass.rules_.push_back(std::get<Rule>(std::move(compiled)));
  }
  std::sort(compass.rules_.begin(), compass.rules_.end(), is_more_specific);
  auto &rules = compass.rules_;
  for (std::size_t left = 0; left < rules.size(); ++left)
    for (std::size_t right = left + 1; right < rules.size() && rules[right].host == rules[left].host &&
                                       rules[right].path == rules[left].path;
         ++right)
      if (share(rules[left].methods, rules[right].methods) &&
          share(rules[left].tenants, rules[right].tenants))
        errors.push_back(
            {rules[right].name, 1, 1, "cannot be told apart from rule '" + rules[left].name + "'"});
  if (!errors.empty()) return errors;
  for (std::uint32_t at = 0; at < rules.size(); ++at) {
    if (!rules[at].path.empty() && rules[at].path[0].kind == SegmentKind::literal)
      compass.by_first_[first_key(rules[at].host, rules[at].path[0].text)].push_back(at);
    else
      compass.open_first_.push_back(at);
  }
  return compass;
}

const Rule *Compass::find(std::string_view method, const std::vector<std::string> &segments,
                          std::string_view tenant, std::string_view host) const {
  const auto first_fit = [&](const std::vector<std::uint32_t> &among) -> const Rule * {
    for (std::uint32_t at : among) {
      const Rule &rule = rules_[at];
      if ((rule.host.empty() || rule.host == host) && holds(rule.methods, method) &&
          holds(rule.tenants, tenant) && fits(rule, segments))
        return &rule;
    }
    return nullptr;
  };
  for (std::string_view bound : {host, std::string_view()}) {
    if (segments.empty()) break;
    const auto found = by_first_.find(first_key(bound, segments[0]));
    if (found != by_first_.end())
      if (const Rule *rule = first_fit(found->second)) return rule;
    if (bound.empty()) break;
  }
  return first_fit(open_first_);
}

const Target &elect_target(const Rule &rule, std::uint64_t hash) {
  std::uint64_t mark = hash % rule.weight_sum;
  for (const Target &target : rule.targets) {
    if (mark < target.weight) return target;
    mark -= target.weight;
  }
  return rule.targets.back();
}

std::string_view take_host(std::string_view &target) {
  if (!target.starts_with("//")) return {};
  const std::size_t end = std::min(target.find('/', 2), target.size());
  const std::string_view host = target.substr(2, end - 2);
  target.remove_prefix(end);
  return host;
}

bool split_path(std::string_view target, std::vector<std::string> &segments) {
  segments.clear();
  target = target.substr(0, target.find_first_of("?#"));
  if (!target.starts_with('/')) return false;
  target.remove_prefix(1);
  if (target.empty()) return true;
  while (true) {
    const std::size_t end = std::min(target.find('/'), target.size());
    std::string part;
    for (std::size_t at = 0; at < end; ++at) {
      if (target[at] != '%') {
        part.push_back(target[at]);
        continue;
      }
      if (at + 2 >= end) return false;
      const int high = hex_digit(target[at + 1]), low = hex_digit(target[at + 2]);
      if (high < 0 || low < 0) return false;
      part.push_back(static_cast<char>(high * 16 + low));
      at += 2;
    }
    if (part == "." || part == ".." || part.find('\0') != std::string::npos) return false;
    segments.push_back(std::move(part));
    if (end == target.size()) return segments.size() <= 256;
    target.remove_prefix(end + 1);
  }
}

} // namespace wharf
