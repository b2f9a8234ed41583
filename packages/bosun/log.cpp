#include "bosun/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <mutex>

namespace wharf {

void start_log(std::string_view program, std::string_view level) {
  namespace logging = boost::log;
  namespace expr = boost::log::expressions;
  logging::add_common_attributes();
  const std::string name(program);
  logging::add_console_log(
      std::clog,
      logging::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                            "%Y-%m-%d %H:%M:%S.%f")
                        << " " << name << " [" << logging::trivial::severity << "] " << expr::smessage),
      logging::keywords::auto_flush = true);
  auto least = logging::trivial::info;
  logging::trivial::from_string(level.data(), level.size(), least);
  logging::core::get()->set_filter(logging::trivial::severity >= least);
}

namespace {
std::mutex line_mutex;
}

void log_line(std::string_view text) {
  std::lock_guard guard(line_mutex);
  BOOST_LOG_TRIVIAL(info) << text;
}

void log_warning(std::string_view text) {
  std::lock_guard guard(line_mutex);
  BOOST_LOG_TRIVIAL(warning) << text;
}

} // namespace wharf
