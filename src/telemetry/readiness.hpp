#pragma once

// Whether this host should receive callers, and if not, why.

#include <array>
#include <cstdint>
#include <string_view>

namespace savoryscale::telemetry {

// Kept in an atomic that the deciding task writes and the admin task reads.
enum class readiness : std::uint8_t {
    starting,         // not every task runs yet
    no_configuration, // neither the store nor a peer has told the lists
    ready,
    stopping, // a planned stop has begun
};

// The state in words, as /ready answers it.
constexpr std::string_view to_string(readiness state)
{
    constexpr std::array<std::string_view, 4> names{"starting", "no configuration", "ready",
                                                    "stopping"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace savoryscale::telemetry
