#pragma once

// Parsing of delimited text and of numbers in it.

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace savoryscale {

// Removes the text up to the separator, or all of it, from the front of `rest`.
inline std::string_view take_until(std::string_view& rest, char separator)
{
    const std::size_t end = std::min(rest.find(separator), rest.size());
    const std::string_view taken = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return taken;
}

// The whole text as a number from 0 to `max`; none if it is anything else.
template<class Number>
std::optional<Number> read_number(std::string_view text, Number max)
{
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole && value >= Number{} && value <= max ? std::optional{value} : std::nullopt;
}

} // namespace savoryscale
