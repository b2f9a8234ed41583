#include "bosun/flags.hpp"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

namespace wharf {

namespace {
struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
struct FreeText {
  void operator()(char *text) const { std::free(text); }
};

template <typename Number> std::string take_number(const std::string &text, Number &into) {
  const auto read = std::from_chars(text.data(), text.data() + text.size(), into);
  return read.ec == std::errc() && read.ptr == text.data() + text.size()
             ? ""
             : "a number is expected, not '" + text + "'";
}
} // namespace

int EndNow::say() const {
  (code == 0 ? std::cout : std::cerr) << text;
  return code;
}

Flags::Flags(std::string program, std::string rest) : program_(std::move(program)), rest_(std::move(rest)) {}

void Flags::other(std::string name, std::function<std::string(const std::string &)> take,
                  std::string meaning) {
  flags_.push_back({std::move(name), std::move(meaning), true, std::move(take)});
}

void Flags::text(std::string name, std::string &into, std::string meaning) {
  other(
      std::move(name), [&into](const std::string &value) { return into = value, std::string(); },
      std::move(meaning));
}

void Flags::whole(std::string name, long &into, std::string meaning) {
  other(
      std::move(name), [&into](const std::string &value) { return take_number(value, into); },
      std::move(meaning));
}

void Flags::real(std::string name, double &into, std::string meaning) {
  other(
      std::move(name), [&into](const std::string &value) { return take_number(value, into); },
      std::move(meaning));
}

void Flags::mark(std::string name, bool &into, std::string meaning) {
  flags_.push_back({std::move(name), std::move(meaning), false,
                    [&into](const std::string &) { return into = true, std::string(); }});
}

std::variant<std::vector<std::string>, EndNow> Flags::read(int count, const char *const *words) {
  constexpr int help = 1, version = 2, first = 100;
  std::vector<poptOption> table;
  table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, help, nullptr, nullptr});
  table.push_back({"version", 0, POPT_ARG_NONE, nullptr, version, nullptr, nullptr});
  for (std::size_t at = 0; at < flags_.size(); ++at)
    table.push_back({flags_[at].name.c_str(), 0,
                     static_cast<unsigned>(flags_[at].has_value ? POPT_ARG_STRING : POPT_ARG_NONE), nullptr,
                     first + static_cast<int>(at), nullptr, nullptr});
  table.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  std::vector<const char *> given(words, words + count);
  const std::unique_ptr<poptContext_s, FreeContext> context(
      poptGetContext(program_.c_str(), count, given.data(), table.data(), 0));
  std::string faults;
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) >= 0) {
    const std::unique_ptr<char, FreeText> value(poptGetOptArg(context.get()));
    if (code == version) return EndNow{0, program_ + " " WHARF_VERSION "\n"};
    if (code == help) {
      std::ostringstream page;
      page << "Usage: " << program_ << " [--FLAG ...]" << (rest_.empty() ? "" : " " + rest_) << "\n\n";
      for (const Flag &flag : flags_)
        page << "  --" << flag.name << (flag.has_value ? " VALUE" : "") << "\n      " << flag.meaning << "\n";
      return EndNow{0, page.str()};
    }
    const Flag &flag = flags_[static_cast<std::size_t>(code - first)];
    const std::string fault = flag.take(value ? value.get() : "");
    if (!fault.empty()) faults += program_ + ": --" + flag.name + ": " + fault + "\n";
  }
  if (code < -1)
    faults += program_ + ": " + poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) + ": " +
              poptStrerror(code) + "\n";
  std::vector<std::string> left;
  while (const char *word = poptGetArg(context.get())) left.emplace_back(word);
  if (rest_.empty() && !left.empty()) faults += program_ + ": '" + left.front() + "' is not an option\n";
  if (!faults.empty()) return EndNow{2, faults};
  return left;
}

} // namespace wharf
