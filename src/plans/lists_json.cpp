#include "plans/lists_json.hpp"

#include "plans/entry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace savoryscale::plans {

namespace {

using settings::error_list;
using settings::json_node;
using settings::object_reader;

constexpr std::size_t digest_digits = 16;

// Names of the priorities, indexed by value.
constexpr std::array<std::string_view, 3> priority_names{"low", "normal", "high"};

bool is_name_character(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || std::string_view{"._@:-"}.find(c) != std::string_view::npos;
}

allowance read_allowance(const json_node& at, std::string service)
{
    allowance result;
    result.service_ = std::move(service);
    object_reader reader{at};
    reader.required("calls_per_second", result.calls_per_second_, calls_per_second_limits);
    reader.required("burst_calls", result.burst_calls_, burst_calls_limits);
    reader.required("concurrency", result.concurrency_, concurrency_limits);
    reader.optional("priority", result.priority_);
    reader.reject_unknown();
    return result;
}

} // namespace

void check_name(const json_node& at, std::string_view name)
{
    const auto length = static_cast<std::int64_t>(name.size());
    if (length < name_bytes.low_ || length > name_bytes.high_ ||
        !std::all_of(name.begin(), name.end(), is_name_character)) {
        at.fail("is not a valid name",
                fmt::format("use {} to {} characters: letters, digits or any of ._@:-",
                            name_bytes.low_, name_bytes.high_));
    }
}

void read(const json_node& at, priority& out, settings::limits /*bounds*/)
{
    const auto text = at.value_.is_string() ? at.value_.get<std::string>() : std::string{};
    const auto* const found = std::find(priority_names.begin(), priority_names.end(), text);
    if (found == priority_names.end()) {
        at.fail("is not a priority", "write \"low\", \"normal\" or \"high\"");
        return;
    }
    out = static_cast<priority>(found - priority_names.begin());
}

void read(const json_node& at, std::vector<allowance>& out, settings::limits /*bounds*/)
{
    read_members(at, [&out](const json_node& service, const std::string& name) {
        check_name(service, name);
        out.push_back(read_allowance(service, name));
    });
}

void check_plans_exist(const lists& value, error_list& errors)
{
    const auto by_name = [](const plan& each, const std::string& name) {
        return each.name_ < name;
    };
    for (const customer& each : value.customers_) {
        const auto found =
            std::lower_bound(value.plans_.begin(), value.plans_.end(), each.plan_, by_name);
        if (found == value.plans_.end() || found->name_ != each.plan_) {
            const entry_id entry{list_kind::customers, each.name_};
            errors.errors_.push_back({error_kind::invalid, errors.file_ + "#" + to_pointer(entry),
                                      fmt::format("is on the unknown plan '{}'", each.plan_),
                                      "use the name of a plan in /plans, or add that plan"});
        }
    }
}

std::string print_allowances(const std::vector<allowance>& allowances)
{
    std::string text;
    for (const allowance& each : allowances) {
        text += fmt::format("{}{}: {{\"calls_per_second\": {}, \"burst_calls\": {}, "
                            "\"concurrency\": {}, \"priority\": \"{}\"}}",
                            text.empty() ? "" : ", ", json_string(each.service_),
                            each.calls_per_second_, each.burst_calls_, each.concurrency_,
                            priority_names.at(static_cast<std::size_t>(each.priority_)));
    }
    return "{" + text + "}";
}

std::string json_string(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string print_digest(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

void read_digest(const json_node& at, std::uint64_t& out)
{
    const auto text = at.value_.is_string() ? at.value_.get<std::string>() : std::string{};
    constexpr int hexadecimal = 16;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out, hexadecimal);
    if (text.size() != digest_digits || parsed.ec != std::errc{} || parsed.ptr != end) {
        at.fail("is not a digest", "pull the lists again and edit the new file");
    }
}

} // namespace savoryscale::plans
