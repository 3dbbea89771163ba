#pragma once

// Recent latencies of one service in logarithmic buckets; periodic halving ages out old ones.

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace savoryscale::routing {

// Bucket bounds grow by a quarter of an octave, from 1 us to more than an hour.
struct latency_histogram {
    static constexpr std::size_t bucket_count = 128;

    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t total_ = 0;
    std::uint32_t since_halving_ = 0;
};

// Adds one latency. All counts are halved after every 4,096 additions.
void add(latency_histogram&, duration latency);

// Upper bound of the bucket that holds the quantile (0 to 1); none before 200 latencies were added.
std::optional<duration> quantile(const latency_histogram&, double fraction);

} // namespace savoryscale::routing
