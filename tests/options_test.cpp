#include <cstdlib>
#include <fstream>

#include "bosun/options.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;

TEST_GROUP(Options){std::string end_of(ProgramKind kind, std::vector<const char *> words,
                                       int *code = nullptr){words.insert(words.begin(), "program");
const auto read = read_launch(kind, static_cast<int>(words.size()), words.data());
const auto *end = std::get_if<EndNow>(&read);
if (code != nullptr) *code = end == nullptr ? -1 : end->code;
return end == nullptr ? "" : end->text;
}
}
;

TEST(Options, every_fault_is_named_at_once_by_its_flag) {
  int code = 0;
  const std::string text = end_of(
      ProgramKind::pilotd,
      {"--address", "nowhere", "--seeds", "1.2.3.4:5,1.2.3.4:6", "--threads", "1", "--data", "x"}, &code);
  LONGS_EQUAL(2, code);
  for (const char *part : {"--address: 'nowhere'", "--seeds:", "--threads:", "--http: is missing", "--data"})
    STRCMP_CONTAINS(part, text.c_str());
}

TEST(Options, faults_in_a_file_are_named_by_line_and_flags_win) {
  char path[] = "/tmp/options-XXXXXX";
  const int descriptor = mkstemp(path);
  CHECK(descriptor >= 0);
  std::ofstream(path) << "# a comment\naddress = 127.0.0.1:7000\nhttp = 127.0.0.1:7001\nseeds = "
                         "127.0.0.1:7000\nzone = not a word\ncolour = blue\nzone = b\nnonsense\n";
  int code = 0;
  const std::string text = end_of(ProgramKind::pilotd, {"--options", path}, &code);
  LONGS_EQUAL(2, code);
  for (const char *part : {":6: unknown option 'colour'", ":7: 'zone' is given twice", ":8: 'name = value'"})
    STRCMP_CONTAINS((path + std::string(part)).c_str(), text.c_str());
  std::ofstream(path)
      << "address = 127.0.0.1:7000\nhttp = 127.0.0.1:7001\nseeds = 127.0.0.1:7000\nzone = !\n";
  STRCMP_CONTAINS(":4: '!' will not do for zone", end_of(ProgramKind::pilotd, {"--options", path}).c_str());
  STRCMP_CONTAINS("options are fine",
                  end_of(ProgramKind::pilotd, {"--options", path, "--zone", "b", "--check"}, &code).c_str());
  LONGS_EQUAL(0, code);
  std::remove(path);
}

TEST(Options, harbourd_needs_data_and_a_token) {
  const std::string text = end_of(
      ProgramKind::harbourd, {"--address", "127.0.0.1:1", "--http", "127.0.0.1:2", "--seeds", "127.0.0.1:1"});
  STRCMP_CONTAINS("--data: is missing", text.c_str());
  STRCMP_CONTAINS("--operator-token", text.c_str());
}

TEST(Options, help_and_version_end_well) {
  int code = 1;
  STRCMP_CONTAINS("--operator-token", end_of(ProgramKind::harbourd, {"--help"}, &code).c_str());
  LONGS_EQUAL(0, code);
  STRCMP_CONTAINS(WHARF_VERSION, end_of(ProgramKind::pilotd, {"--version"}, &code).c_str());
  LONGS_EQUAL(0, code);
  end_of(ProgramKind::pilotd, {"--no-such-flag"}, &code);
  LONGS_EQUAL(2, code);
}
