#pragma once

// JSON elements shared by the edited file and the stored configuration: names, plans and
// allowances, with their limits.

#include "plans/lists.hpp"
#include "settings/json_node.hpp"

#include <string>
#include <string_view>

namespace savoryscale::plans {

// Limits of name lengths, in bytes, and of the values in an allowance.
inline constexpr settings::limits name_bytes{1, 64};
inline constexpr settings::limits calls_per_second_limits{0, 1'000'000};
inline constexpr settings::limits burst_calls_limits{1, 1'000'000};
inline constexpr settings::limits concurrency_limits{1, 100'000};

// Records an error unless `name` is a valid customer or plan name: letters, digits and "._@:-".
void check_name(const settings::json_node& at, std::string_view name);

// Reads a priority from its name.
void read(const settings::json_node& at, priority& out, settings::limits bounds);

// Reads the allowances of a plan: an object with one member per service.
void read(const settings::json_node& at, std::vector<allowance>& out, settings::limits bounds);

// Runs `read_member(node, name)` for each member of an object.
template<class Read>
void read_members(const settings::json_node& at, Read read_member)
{
    if (!at.value_.is_object()) {
        at.fail("is not an object", "write its entries in curly braces");
        return;
    }
    for (const auto& member : at.value_.items()) {
        const settings::json_node node{member.value(), at.child_pointer(member.key()), at.errors_};
        read_member(node, member.key());
    }
}

// Records an error for each customer on a plan that is not in the list of plans.
void check_plans_exist(const lists& value, settings::error_list& errors);

// Prints the allowances of a plan on one line.
std::string print_allowances(const std::vector<allowance>& allowances);

// Returns the text as a quoted JSON string.
std::string json_string(std::string_view text);

// Prints a digest as 16 hexadecimal digits.
std::string print_digest(std::uint64_t digest);

// Reads a digest in the format of print_digest.
void read_digest(const settings::json_node& at, std::uint64_t& out);

// Prints an object with one member per line, each formatted by `print_member(item)`.
template<class Items, class Print>
std::string print_members(const Items& items, std::string_view indent, Print print_member)
{
    std::string text = "{";
    for (const auto& item : items) {
        text += text.size() == 1 ? "\n" : ",\n";
        text += indent;
        text += print_member(item);
    }
    return text + "}";
}

} // namespace savoryscale::plans
