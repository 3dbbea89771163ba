#include "http/load_fields.hpp"

#include <charconv>
#include <cmath>

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

} // namespace savoryscale::http
