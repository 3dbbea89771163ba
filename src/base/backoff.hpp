#pragma once

// Exponential backoff with jitter between failing calls.

#include "base/clock.hpp"
#include "base/random.hpp"

#include <algorithm>
#include <cstdint>

namespace savoryscale {

// Number of doublings after which the pause no longer grows; keeps the shift from overflowing.
inline constexpr std::uint32_t backoff_doublings_max = 16;

// The pause after `failures` earlier failures in a row, uniform between half its ceiling and the
// ceiling: `shortest`, doubled for each failure, at most `longest`.
inline duration backoff(duration shortest, duration longest, std::uint32_t failures,
                        random_source& random)
{
    const auto doublings = std::min(failures, backoff_doublings_max);
    const duration ceiling = std::min(longest, shortest * (std::int64_t{1} << doublings));
    const auto half = static_cast<std::uint64_t>(ceiling.count() / 2);
    return duration{static_cast<std::int64_t>(half + uniform_below(random, half + 1))};
}

} // namespace savoryscale
