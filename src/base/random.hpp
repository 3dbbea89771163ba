#pragma once

// The random number generator. Every randomized decision takes it by reference.

#include <cstdint>
#include <random>

namespace savoryscale {

using random_source = std::mt19937_64;

// Uniform integer in [0, bound). `bound` must be positive. Implemented here because the standard
// distributions differ between libraries, which would change the bench signature.
inline std::uint64_t uniform_below(random_source& random, std::uint64_t bound)
{
    return random() % bound;
}

// Uniform real in [0, 1).
inline double uniform_unit(random_source& random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random() >> 11) * scale;
}

} // namespace savoryscale
