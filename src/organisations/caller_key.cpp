#include "organisations/caller_key.hpp"

#include "organisations/organisation.hpp"

#include <algorithm>
#include <cctype>

namespace savoryscale::organisations {

namespace {

bool is_same_scheme(std::string_view one, std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](char left, char right) {
                          return std::tolower(static_cast<unsigned char>(left)) ==
                                 std::tolower(static_cast<unsigned char>(right));
                      });
}

bool is_key(std::string_view text)
{
    return !text.empty() && text.size() <= key_max_bytes &&
           std::all_of(text.begin(), text.end(), [](char each) {
               return std::isgraph(static_cast<unsigned char>(each)) != 0;
           });
}

} // namespace

caller_key read_caller_key(std::span<const std::string_view> values, std::string_view scheme)
{
    if (values.empty()) {
        return {};
    }
    const std::string_view value = values.front();
    const std::size_t space = value.find(' ');
    if (values.size() > 1 || space == std::string_view::npos ||
        !is_same_scheme(value.substr(0, space), scheme)) {
        return {key_reading::malformed, {}};
    }
    const std::string_view key =
        value.substr(std::min(value.find_first_not_of(' ', space), value.size()));
    return is_key(key) ? caller_key{key_reading::valid, key}
                       : caller_key{key_reading::malformed, {}};
}

} // namespace savoryscale::organisations
