#pragma once

// Time as the decisions see it: always passed in, never read inside a decision.

#include <chrono>

namespace savoryscale {

using duration = std::chrono::nanoseconds;

// Monotonic time of this process. Only differences have a meaning.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// The current monotonic time; for tasks only.
inline time_point monotonic_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

} // namespace savoryscale
