#pragma once

// Whether this host should receive requests from callers, and if not, why.

#include <array>
#include <cstdint>
#include <string_view>

namespace savoryscale::telemetry {

// Held in an atomic that the task which decides on readiness writes and the admin task reads.
enum class readiness : std::uint8_t {
    starting,         // not all tasks are running yet
    no_configuration, // the lists have not been received from the store or a peer yet
    ready,
    stopping, // a planned stop has begun
};

// Returns the text that /ready answers for the state.
constexpr std::string_view to_string(readiness state)
{
    constexpr std::array<std::string_view, 4> names{"starting", "no configuration", "ready",
                                                    "stopping"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace savoryscale::telemetry
