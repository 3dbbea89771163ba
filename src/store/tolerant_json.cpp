#include "store/tolerant_json.hpp"

#include "base/percent_encoding.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace savoryscale::store {

namespace {

using nlohmann::json;

constexpr std::string_view number_characters = "+-.0123456789eE";

// Member that holds the percent-encoded bytes of a string that is not UTF-8.
constexpr std::string_view unreadable_field = "bytes_not_utf8";

// Position after the string that begins at `at`.
std::size_t end_of_string(std::string_view text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        at += text[at] == '\\' ? 1 : 0;
    }
    return std::min(at + 1, text.size());
}

std::size_t nesting_of(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    for (std::size_t at = 0; at < text.size();) {
        if (text[at] == '"') {
            at = end_of_string(text, at);
            continue;
        }
        if (text[at] == '[' || text[at] == '{') {
            deepest = std::max(deepest, ++depth);
        }
        else if ((text[at] == ']' || text[at] == '}') && depth > 0) {
            --depth;
        }
        ++at;
    }
    return deepest;
}

bool is_number_in_range(std::string_view number)
{
    return std::isfinite(std::strtod(std::string{number}.c_str(), nullptr));
}

// Bytes of a string that is not UTF-8, or enough of them for a name.
std::string decoded(std::string_view quoted)
{
    constexpr std::size_t decoded_max = 2048;
    constexpr std::size_t short_escape = 2; // \n
    constexpr std::size_t code_unit = 6;    // \u0000
    constexpr std::size_t surrogate_pair = 2 * code_unit;
    const std::string replacement = "\xef\xbf\xbd"; // U+FFFD
    std::string bytes;
    std::string_view rest = quoted.substr(1, quoted.size() - 2);
    while (!rest.empty() && bytes.size() < decoded_max) {
        if (rest.front() != '\\') {
            bytes += rest.front();
            rest.remove_prefix(1);
            continue;
        }
        std::optional<std::string> text;
        std::string_view escape;
        for (const std::size_t length : {surrogate_pair, code_unit, short_escape}) {
            escape = rest.substr(0, length);
            const json read = json::parse(fmt::format("\"{}\"", escape), nullptr, false);
            if (read.is_string()) {
                text = read.get<std::string>();
                break;
            }
        }
        if (!text) {
            escape = rest.substr(0, rest.substr(1, 1) == "u" ? code_unit : short_escape);
        }
        bytes += text.value_or(replacement);
        rest.remove_prefix(escape.size());
    }
    return bytes;
}

// Copies one string, or what stands for it.
void append_string(std::string& out, std::string_view quoted, bool is_name)
{
    if (json::accept(quoted)) {
        out += quoted;
    }
    else {
        out += is_name ? std::string{"\"\""}
                       : fmt::format(R"({{"{}":"{}"}})", unreadable_field,
                                     percent_encoded(decoded(quoted)));
    }
}

bool is_name_at(std::string_view text, std::size_t after)
{
    const std::size_t next = text.find_first_not_of(" \t\r\n", after);
    return next != std::string_view::npos && text[next] == ':';
}

// The text with null in place of the values that cannot be represented.
std::string sanitized(std::string_view text)
{
    std::string out;
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const bool kept = depth < json_depth_max;
        const char first = text[at];
        std::size_t end = at + 1;
        if (first == '[' || first == '{') {
            if (++depth == json_depth_max) {
                out += "null";
            }
            else if (depth < json_depth_max) {
                out += first;
            }
        }
        else if (first == ']' || first == '}') {
            if (depth < json_depth_max) {
                out += first;
            }
            depth -= depth > 0 ? 1 : 0;
        }
        else if (first == '"') {
            end = end_of_string(text, at);
            if (kept) {
                append_string(out, text.substr(at, end - at), is_name_at(text, end));
            }
        }
        else if (first == '-' || (first >= '0' && first <= '9')) {
            end = std::min(text.find_first_not_of(number_characters, at), text.size());
            const std::string_view number = text.substr(at, end - at);
            if (kept) {
                out += is_number_in_range(number) ? number : "null";
            }
        }
        else if (kept) {
            out += first;
        }
        at = end;
    }
    return out;
}

} // namespace

std::optional<std::string> bytes_of_unreadable_string(const nlohmann::json& value)
{
    const auto found = value.is_object() ? value.find(unreadable_field) : value.end();
    return found != value.end() && found->is_string()
               ? percent_decoded(found->get_ref<const std::string&>())
               : std::nullopt;
}

nlohmann::json parse_tolerantly(std::string_view text)
{
    if (nesting_of(text) < json_depth_max) {
        json parsed = json::parse(text, nullptr, false);
        if (!parsed.is_discarded()) {
            return parsed;
        }
    }
    return json::parse(sanitized(text), nullptr, false);
}

} // namespace savoryscale::store
