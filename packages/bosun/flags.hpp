#pragma once
#include <functional>
#include <popt.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wharf {

/// The program should end now with this code, having printed this.
struct EndNow {
  int code = 0;
  std::string text;
  /// Prints the text, on standard error unless the end is a good one; the code to end with.
  int say() const;
};

/// A tool's command line, read by popt; owns all that popt hands out.
class Flags {
public:
  /// `rest` describes the words that are no flags; empty when there are none.
  Flags(std::string program, std::string rest);
  void text(std::string name, std::string &into, std::string meaning);
  void whole(std::string name, long &into, std::string meaning);
  void real(std::string name, double &into, std::string meaning);
  void mark(std::string name, bool &into, std::string meaning);
  /// Any other use of a value; an empty answer means it was taken, else it says what is wrong.
  void other(std::string name, std::function<std::string(const std::string &)> take, std::string meaning);
  /// Reads everything; the words left over, or why to end.
  std::variant<std::vector<std::string>, EndNow> read(int count, const char *const *words);

private:
  struct Flag {
    std::string name, meaning;
    bool has_value = true;
    std::function<std::string(const std::string &)> take;
  };
  std::string program_, rest_;
  std::vector<Flag> flags_;
};

} // namespace wharf
