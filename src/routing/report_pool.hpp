#pragma once

// The pool of load reports that the hot-cold rule chooses from (Prequal, NSDI 2024). Reports of
// probes and those that came with answers enter alike, which favours the rule when probes are few.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace savoryscale::routing {

struct pooled_report {
    target_index target_ = 0;
    double requests_in_flight_ = 0;
    time_point heard_at_{};
    std::uint32_t uses_ = 0;
};

inline constexpr std::size_t in_flight_counts = 64;

struct report_pool {
    std::vector<pooled_report> reports_;                 // at most one a target, oldest first
    std::array<std::uint32_t, in_flight_counts> seen_{}; // requests in flight in recent reports
    std::uint32_t seen_total_ = 0;
};

// Adds a report; the oldest leaves a full pool.
void add(report_pool&, const pooled_report&);

// Drops reports that are too old or were used too often.
void drop_spent(report_pool&, time_point now);

// Requests in flight above which a target is hot.
double hot_limit(const report_pool&);

} // namespace savoryscale::routing
