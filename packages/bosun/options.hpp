#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bosun/flags.hpp"

namespace wharf {

/// Every option of our daemons, declared once: name, default, check, meaning.
#define WHARF_PROCESS_OPTIONS(TEXT, NUMBER)                                                                  \
  TEXT(address, "", is_address, "Address other processes of ours reach this one at, ip:port.")               \
  TEXT(listen, "", is_address_or_none, "Address to listen on for them, when it is another one.")             \
  TEXT(http, "", is_address, "Address the HTTP side listens on, ip:port.")                                   \
  TEXT(readiness, "", is_address_or_none, "Address that says whether this process is ready; pilotd only.")   \
  TEXT(name, "", is_any, "This machine's name, as its platform knows it.")                                   \
  TEXT(link_mbps, "", is_decimal_or_none, "Width of this machine's link in Mbit/s; pilotd only.")            \
  TEXT(cpu_share, "", is_decimal_or_none, "Share of a core that this process may use; pilotd only.")         \
  TEXT(memory_mb, "", is_decimal_or_none, "Memory that this process may take, in MB; 256 if not named.")     \
  TEXT(fd_limit, "", is_decimal_or_none,                                                                     \
       "Descriptors it may have open; what the system allows if not named.")                                 \
  TEXT(zone, "a", is_word, "Zone this machine is in.")                                                       \
  TEXT(seeds, "", is_seeds, "One or three addresses of other processes, separated by commas.")               \
  TEXT(data, "", is_any, "Data folder; harbourd only.")                                                      \
  TEXT(disk_trial, "", is_any, "File naming a mood for the disk to suffer, for trials; harbourd only.")      \
  TEXT(platform, "", is_address_or_none, "Address of the platform's API, ip:port; harbourd only.")           \
  TEXT(operator_token, "", is_any, "Token operators present; harbourd only.")                                \
  TEXT(log_level, "info", is_level, "trace, debug, info, warning or error.")                                 \
  NUMBER(few_seeds, 0, 0, 1, "Whether two seeds will do, 1 or 0: a group of two bears no loss.")             \
  NUMBER(seed_port, 0, 0, 65535, "Port where seeds listen for other processes, if not the one named.")       \
  NUMBER(may_found, 1, 0, 1, "Whether this process may found a group, 1 or 0; harbourd only.")               \
  NUMBER(in_memory, 0, 0, 1,                                                                                 \
         "Whether state is kept in memory only, 1 or 0, where there is no disk; harbourd only.")             \
  NUMBER(replica, 1, 0, 1, "Whether this process is a replica of the group, 1 or 0; harbourd only.")         \
  NUMBER(beside_control, 0, 0, 1,                                                                            \
         "Whether a replica of the group runs on this machine, 1 or 0; pilotd only.")                        \
  NUMBER(start_price, 0, 0, 1000000,                                                                         \
         "What one start costs, in thousandths of a call's worth, where operators name no prices; pilotd "   \
         "only.")                                                                                            \
  NUMBER(memory_price, 0, 0, 1000000,                                                                        \
         "What a gigabyte of runners costs a second, likewise; 0 for not known; pilotd only.")               \
  NUMBER(threads, 192, 4, 4096, "Threads at the HTTP door.")                                                 \
  NUMBER(pace, 80, 1, 10000, "Starts and stops the platform allows a second; harbourd only.")

#define WHARF_OPTION_TEXT(name, start, check, meaning) std::string name = start;
#define WHARF_OPTION_NUMBER(name, start, least, most, meaning) std::int64_t name = start;

/// A daemon's options after reading file and flags.
struct ProcessOptions {
  WHARF_PROCESS_OPTIONS(WHARF_OPTION_TEXT, WHARF_OPTION_NUMBER)
  std::vector<std::string> seed_list() const;
};

/// What the command line asked for.
struct Launch {
  ProcessOptions options;
  bool is_check_only = false;
};
enum class ProgramKind : std::uint8_t { pilotd, harbourd };

/// Reads `--options FILE` and flags (flags win); names every fault with its file and line or its flag.
std::variant<Launch, EndNow> read_launch(ProgramKind kind, int count, const char *const *words);

/// Whether calls and runners are to be told one by one in the log.
bool must_trace(const ProcessOptions &options);
bool is_address(std::string_view text);
/// A decimal text times 1,000; 0 for an empty one.
std::uint32_t thousandths_of(const std::string &decimal);

} // namespace wharf
