#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace wharf {

/// Writes a text as what differs from an earlier one, compressed. The same texts always give the same bytes.
/// With an empty base the result is the whole text, compressed.
std::string encode_delta(std::string_view base, std::string_view target);

/// True for bytes that `encode_delta` wrote; no JSON text begins like them.
bool is_delta(std::string_view bytes);

/// The text a delta was made for, or nothing when the bytes are damaged or the base is another one.
std::optional<std::string> decode_delta(std::string_view base, std::string_view delta);

} // namespace wharf
