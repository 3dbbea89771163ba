#pragma once

// JSON of a store in which other programs write as well. One value that cannot be represented must
// not make the document that contains it unreadable, or end the process.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace savoryscale::store {

// Copying and writing a value recurse into it.
inline constexpr std::size_t json_depth_max = 64;

// The document with null in place of what is nested deeper than json_depth_max, of numbers beyond
// the range of a double, and of strings that are not UTF-8 (as names: empty). Discarded if it is
// no JSON at all.
nlohmann::json parse_tolerantly(std::string_view text);

} // namespace savoryscale::store
