#pragma once

// The ways a target can be chosen. All share one view, so that they can be compared.

#include <cstdint>

namespace savoryscale::routing {

enum class policy : std::uint8_t {
    random,         // uniform over the eligible targets
    round_robin,    // each eligible target in turn
    least_requests, // fewest own requests in flight
    power_of_two,   // the one of two random targets with fewer own requests in flight
    hot_cold,       // Prequal: probe pool, hot and cold by a quantile of requests in flight
    least_wait      // shortest expected wait, from every signal discounted by its age
};

} // namespace savoryscale::routing
