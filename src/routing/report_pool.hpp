#pragma once

// The pool of load reports that the hot-cold policy chooses from (Prequal, NSDI 2024). Reports from
// probes and from answers are both added, which favours the policy when probes are few.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace savoryscale::routing {

struct pooled_report {
    target_index target_ = 0;
    double requests_in_flight_ = 0;
    time_point received_at_{};
    std::uint32_t uses_ = 0;
};

inline constexpr std::size_t in_flight_counts = 64;

struct report_pool {
    std::vector<pooled_report> reports_;                 // at most one per target, oldest first
    std::array<std::uint32_t, in_flight_counts> seen_{}; // histogram of reported requests in flight
    std::uint32_t seen_total_ = 0;
};

// Adds a report; when the pool is full, the oldest one is evicted.
void add(report_pool&, const pooled_report&);

// Evicts reports that are too old or were used too often.
void evict_stale(report_pool&, time_point now);

// Requests in flight above which a target is hot.
double hot_limit(const report_pool&);

} // namespace savoryscale::routing
