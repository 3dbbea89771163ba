#pragma once

// Percent-encoding of the parts of a URL (RFC 3986, 2.1).

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale {

// Encodes all bytes except letters, digits and "-._~", so that any text can stand in a segment of a
// path or in a value of a query.
std::string percent_encoded(std::string_view text);

// The bytes that stand for the text, which may be any; none if a percent sign is not followed by
// two hexadecimal digits.
std::optional<std::string> percent_decoded(std::string_view text);

} // namespace savoryscale
