#pragma once

// What one host knows about one target of a service.

#include "base/clock.hpp"
#include "routing/target.hpp"
#include "routing/target_limit.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryscale::routing {

// A load report of a target, with the time at which it was received.
struct received_load {
    double requests_in_flight_ = 0; // of all hosts
    double others_in_flight_ = 0;   // of the other hosts: without our own at that time
    time_point at_{};
};

// All values are this host's own observations of the target's current incarnation.
struct target_state {
    target_info info_;
    bool listed_ = true;              // in the latest list of targets
    std::uint32_t in_flight_ = 0;     // this host's attempts in flight
    std::vector<time_point> started_; // start times of these attempts, oldest first
    std::optional<received_load> load_;
    std::optional<target_limit> limit_; // named by the target; none: it takes what it has room for
    std::uint32_t granted_ = 0;         // requests granted to this host in the current second
    std::optional<time_point> drain_reported_at_; // last report that the target drains
    std::optional<time_point> cold_since_;        // start of its cold start; none: warm
    time_point warm_at_{};                        // end of its reported warm-up
    double failure_ratio_ = 0;                    // moving average over attempts
    std::uint32_t outcomes_ = 0;                  // attempts counted since the last ejection
    time_point outcome_at_{};                     // time of the last outcome
    time_point ejected_until_{};
    std::uint32_t ejections_ = 0; // consecutive ones
    bool is_half_open_ = false;   // back from ejection, without a success yet
    double latency_ns_ = 0;       // moving average of answered attempts
    time_point latency_at_{};     // time of its last change
    time_point probed_at_{};      // when the last probe was sent
    bool probe_pending_ = false;
};

} // namespace savoryscale::routing
