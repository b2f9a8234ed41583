#pragma once
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream_buffer.hpp>
#include <boost/serialization/map.hpp>
#include <boost/serialization/set.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <sstream>

#include "signals/signals.hpp"

namespace wharf {

constexpr unsigned pack_flags = boost::archive::no_header | boost::archive::no_codecvt;

template <typename Value> std::string pack(const Value &value) {
  std::stringbuf buffer(std::ios::out);
  {
    boost::archive::binary_oarchive archive(buffer, pack_flags);
    archive << value;
  }
  return buffer.str();
}

template <typename Value> bool unpack(std::string_view bytes, Value &value) {
  try {
    boost::iostreams::stream_buffer<boost::iostreams::array_source> buffer(bytes.data(), bytes.size());
    boost::archive::binary_iarchive archive(buffer, pack_flags);
    archive >> value;
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

template <typename Choice, std::size_t At = 0>
bool unpack_choice(std::size_t kind, std::string_view bytes, Choice &choice) {
  if constexpr (At < std::variant_size_v<Choice>) {
    if (kind != At) return unpack_choice<Choice, At + 1>(kind, bytes, choice);
    return unpack(bytes, choice.template emplace<At>());
  } else {
    (void)kind, (void)bytes, (void)choice;
    return false;
  }
}

} // namespace wharf
