#include "http/load_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <vector>

namespace savoryscale::http {

namespace {

std::optional<double> read_number(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<routing::load_report> read_load(const answer_head& head)
{
    const auto in_flight = read_number(find_field(head, "X-Load-In-Flight"));
    const auto utilization = read_number(find_field(head, "X-Load-Utilization"));
    const bool draining = has_field(head, "X-Draining");
    if (!in_flight && !utilization && !draining) {
        return std::nullopt;
    }
    return routing::load_report{in_flight.value_or(0), utilization.value_or(0), draining};
}

std::optional<routing::load_report> read_compact_load(const answer_head& head,
                                                      std::string_view field_name)
{
    constexpr std::size_t load_values_min = 3;
    std::string_view rest = find_field(head, field_name);
    std::vector<double> load_values;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        const auto load_value = read_number(rest.substr(0, comma));
        if (!load_value) {
            return std::nullopt;
        }
        load_values.push_back(*load_value);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    if (load_values.size() < load_values_min) {
        return std::nullopt;
    }
    routing::load_report load;
    load.requests_in_flight_ = load_values[0] + load_values[1];
    load.slots_ = load_values[2];
    load.utilization_ = load_values[2] > 0 ? std::min(1.0, load_values[0] / load_values[2]) : 0;
    load.slowdown_ = load_values.size() > load_values_min ? load_values[load_values_min] / 100 : 1;
    return load;
}

limit_field read_limit(const answer_head& head, std::string_view field_name)
{
    if (field_name.empty() || !has_field(head, field_name)) {
        return {};
    }
    const std::string_view text = find_field(head, field_name);
    double value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!whole || !(value >= 0 && value <= limit_max)) {
        return {limit_reading::invalid, 0};
    }
    return {limit_reading::valid, value};
}

std::optional<duration> read_warm_up(const answer_head& head, std::string_view field_name)
{
    constexpr double warm_up_max_ms = 3'600'000;
    const auto ms = read_number(find_field(head, field_name));
    if (!ms || *ms > warm_up_max_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(*ms)};
}

std::optional<routing::load_report> parse_load(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto number = [&](const char* name) {
        const auto found = parsed.find(name);
        const bool usable = found != parsed.end() && found->is_number() && *found >= 0;
        return usable ? found->get<double>() : 0.0;
    };
    const auto draining = parsed.find("draining");
    const bool drains = draining != parsed.end() && draining->is_boolean() && draining->get<bool>();
    return routing::load_report{number("in_flight"), number("utilization"), drains};
}

} // namespace savoryscale::http
