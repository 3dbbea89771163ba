#include "store/tolerant_json.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace savoryscale::store {

namespace {

using nlohmann::json;

constexpr std::string_view number_characters = "+-.0123456789eE";

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

// Copies one string, or what stands for it.
void append_string(std::string& out, std::string_view quoted, bool is_name)
{
    if (json::accept(quoted)) {
        out += quoted;
    }
    else {
        out += is_name ? "\"\"" : "null";
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
