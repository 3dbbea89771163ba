#pragma once

// The policies for choosing a target. All work on the same view, so that they can be compared.

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::routing {

enum class policy : std::uint8_t {
    random,         // uniform over the eligible targets
    round_robin,    // each eligible target in turn
    least_requests, // fewest own requests in flight
    power_of_two,   // the one of two random targets with fewer own requests in flight
    hot_cold,       // Prequal: probe pool, hot and cold by a quantile of requests in flight
    least_wait,     // shortest expected wait, from every signal discounted by its age
    probed          // least cost among a few targets probed just before sending; see placement.hpp
};

// Policy names in settings, in the order of the enumeration.
inline constexpr std::array<std::string_view, 7> policy_names{
    "random", "round_robin", "least_requests", "power_of_two", "hot_cold", "least_wait", "probed"};

// The policy with this name; none for an unknown name.
constexpr std::optional<policy> policy_named(std::string_view name)
{
    const auto* const found = std::find(policy_names.begin(), policy_names.end(), name);
    if (found == policy_names.end()) {
        return std::nullopt;
    }
    return static_cast<policy>(found - policy_names.begin());
}

} // namespace savoryscale::routing
