#pragma once

// JSON of a store in which other programs write as well. One value that cannot be represented must
// not make the document that contains it unreadable, or end the process.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::store {

// Copying and writing a value recurse into it.
inline constexpr std::size_t json_depth_max = 64;

// The document with null in place of what is nested deeper than json_depth_max and of numbers
// beyond the range of a double. A string that is not UTF-8 becomes an object that keeps its bytes,
// or as the name of a member an empty one. Discarded if it is no JSON at all.
nlohmann::json parse_tolerantly(std::string_view text);

// The bytes of a string that parse_tolerantly could not represent, with U+FFFD for an escape that
// is half of a surrogate pair; none if the value is anything else.
std::optional<std::string> bytes_of_unreadable_string(const nlohmann::json& value);

} // namespace savoryscale::store
