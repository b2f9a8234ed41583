#pragma once
#include <boost/archive/archive_exception.hpp>
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_iarchive_impl.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/archive/impl/archive_serializer_map.ipp>
#include <boost/archive/impl/basic_binary_iarchive.ipp>
#include <boost/archive/impl/basic_binary_iprimitive.ipp>
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

/// Reads a binary archive whose claimed sizes never exceed the bytes that are there.
class BoundedArchive : public boost::archive::binary_iarchive_impl<BoundedArchive, std::istream::char_type,
                                                                   std::istream::traits_type> {
public:
  using Base = boost::archive::binary_iarchive_impl<BoundedArchive, std::istream::char_type,
                                                    std::istream::traits_type>;
  friend class boost::archive::detail::interface_iarchive<BoundedArchive>;
  friend class boost::archive::load_access;
  template <typename Value> void load_override(Value &value) { Base::load_override(value); }
  void load_override(boost::serialization::collection_size_type &count) {
    std::size_t claimed = 0;
    load_binary(&claimed, sizeof claimed);
    count = checked(claimed);
  }
  void load_override(bool &is_set) {
    unsigned char byte = 0;
    load_binary(&byte, 1);
    if (byte > 1)
      throw boost::archive::archive_exception(boost::archive::archive_exception::input_stream_error);
    is_set = byte == 1;
  }
  void load_override(std::string &text) {
    std::size_t claimed = 0;
    load_binary(&claimed, sizeof claimed);
    text.resize(checked(claimed));
    if (!text.empty()) load_binary(text.data(), text.size());
  }
  BoundedArchive(std::streambuf &buffer, std::size_t limit) : Base(buffer, pack_flags), limit_(limit) {
    init(pack_flags);
  }

private:
  std::size_t checked(std::size_t claimed) const {
    if (claimed > limit_)
      throw boost::archive::archive_exception(boost::archive::archive_exception::input_stream_error);
    return claimed;
  }
  std::size_t limit_;
};

} // namespace wharf

BOOST_SERIALIZATION_USE_ARRAY_OPTIMIZATION(wharf::BoundedArchive)

namespace wharf {

template <typename Value> bool unpack(std::string_view bytes, Value &value) {
  try {
    boost::iostreams::stream_buffer<boost::iostreams::array_source> buffer(bytes.data(), bytes.size());
    BoundedArchive archive(buffer, bytes.size());
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
