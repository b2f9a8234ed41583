// The deployed daemons' first moments, as real processes.
#include "platform/names.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace {
/// The state in which a daemon ends that gets SIGHUP while it reads its options, which are then empty. The
/// options file is a pipe, so that the daemon is known to read it when the signal is sent.
int end_after_hang_up_while_reading_options(const char *program) {
  char folder[] = "/tmp/wharf-startup-XXXXXX";
  CHECK(mkdtemp(folder) != nullptr);
  const std::string options = std::string(folder) + "/options";
  LONGS_EQUAL(0, mkfifo(options.c_str(), 0600));
  const pid_t child = fork();
  if (child == 0) {
    setenv(wharf::platform::settings_variable, options.c_str(), 1);
    const int nowhere = open("/dev/null", O_WRONLY);
    dup2(nowhere, STDERR_FILENO);
    execl(program, program, static_cast<char *>(nullptr));
    _exit(127);
  }
  const int writing_end = open(options.c_str(), O_WRONLY);
  kill(child, SIGHUP);
  close(writing_end);
  int state = 0;
  waitpid(child, &state, 0);
  unlink(options.c_str());
  rmdir(folder);
  return state;
}
} // namespace

TEST_GROUP(Startup){};

// Guards against: a process that is told of changed settings before it has read its first ones ends by the
// signal.
TEST(Startup, a_daemon_told_of_changed_settings_while_it_reads_its_first_ones_goes_on) {
  for (const char *program : {EDGE_PROGRAM, CONTROL_PROGRAM}) {
    const int state = end_after_hang_up_while_reading_options(program);
    CHECK_TEXT(WIFEXITED(state), program);
    LONGS_EQUAL(2, WEXITSTATUS(state));
  }
}
