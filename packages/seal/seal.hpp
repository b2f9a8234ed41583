#pragma once
#include <string>
#include <string_view>

namespace wharf {

/// HMAC-SHA256, in lower-case hexadecimal.
std::string hmac_hex(std::string_view key, std::string_view bytes);
/// SHA-256, in lower-case hexadecimal.
std::string digest_hex(std::string_view bytes);

/// The seal of an answer: covers the errand, whether it is a refusal, the status and the whole body.
std::string seal_of(std::string_view seal_key, std::string_view errand, bool is_refusal, int status,
                    std::string_view type, std::string_view body);
/// Compares without telling where the first difference is.
bool same_text(std::string_view left, std::string_view right);

} // namespace wharf
