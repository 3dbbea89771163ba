#pragma once

// Clock types. Decision code never reads the clock: its callers pass the time in.

#include <chrono>

namespace savoryscale {

using duration = std::chrono::nanoseconds;

// Monotonic time of this process. Only differences are meaningful.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// The current monotonic time. Only tasks call this; decision code gets the time as an argument.
inline time_point monotonic_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

} // namespace savoryscale
