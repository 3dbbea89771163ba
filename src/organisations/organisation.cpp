#include "organisations/organisation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace savoryscale::organisations {

namespace {

constexpr unsigned char delete_character = 0x7f;

tl::unexpected<error> invalid(std::string what)
{
    return tl::unexpected(error{error_kind::invalid, "organisations", std::move(what),
                                "correct the desired state; the one in force stays"});
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

// Keys are not named in errors, since errors are logged.
result<void> check_keys(const organisation& each,
                        std::unordered_map<std::string_view, const organisation*>& holders)
{
    for (const std::string& key : each.keys_) {
        if (key.empty() || key.size() > key_max_bytes) {
            return invalid(fmt::format("organisation '{}' has a key of {} bytes; 1 to {} are valid",
                                       each.name_, key.size(), key_max_bytes));
        }
        const organisation* holder = holders.try_emplace(key, &each).first->second;
        if (holder != &each) {
            return invalid(fmt::format("organisations '{}' and '{}' have the same key",
                                       holder->name_, each.name_));
        }
        if (holders.size() > keys_max) {
            return invalid(fmt::format("there are more than {} keys", keys_max));
        }
    }
    return {};
}

} // namespace

bool is_field_value(std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](char each) {
        const auto byte = static_cast<unsigned char>(each);
        return byte >= ' ' && byte != delete_character;
    });
    return plain && !text.empty() && text.front() != ' ' && text.back() != ' ';
}

result<void> check_organisations(std::span<const organisation> all)
{
    if (all.size() > organisations_max) {
        return invalid(
            fmt::format("there are {} of them; {} are allowed", all.size(), organisations_max));
    }
    std::unordered_set<std::string_view> names;
    std::unordered_map<std::string_view, const organisation*> holders;
    for (const organisation& each : all) {
        if (!is_field_value(each.name_) || each.name_.size() > name_max_bytes) {
            return invalid(fmt::format("a name is empty, longer than {} bytes, or not a value that "
                                       "a header field can have",
                                       name_max_bytes));
        }
        if (!names.insert(each.name_).second) {
            return invalid(fmt::format("the name '{}' is used twice", each.name_));
        }
        if (!is_amount(each.allotment_.per_second_) || !is_amount(each.allotment_.burst_)) {
            return invalid(fmt::format("the allotment of '{}' is not a finite number of at least 0",
                                       each.name_));
        }
        if (auto checked = check_keys(each, holders); !checked) {
            return checked;
        }
    }
    return {};
}

} // namespace savoryscale::organisations
