#pragma once

// What one host knows about one target of a service.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryscale::routing {

// A target's word about its load, with the time it was heard.
struct heard_load {
    double requests_in_flight_ = 0; // of all hosts
    double foreign_ = 0;            // of the other hosts: less our own at that time
    time_point at_{};
};

// Everything is this host's own observation, of the target's present incarnation.
struct target_state {
    target_info info_;
    bool listed_ = true;              // in the latest list of targets
    std::uint32_t in_flight_ = 0;     // own attempts that have not ended
    std::vector<time_point> started_; // when they started, oldest first
    std::optional<heard_load> load_;
    std::optional<time_point> drain_heard_; // the target said that it drains
    std::optional<time_point> born_;        // start of the slow start; none: warm
    time_point warm_at_{};                  // until then it has said to be slow
    double failure_ratio_ = 0;              // moving average over attempts
    std::uint32_t outcomes_ = 0;            // attempts counted since the last ejection
    time_point outcome_at_{};               // of the last one
    time_point ejected_until_{};
    std::uint32_t ejections_ = 0; // in a row
    bool on_trial_ = false;       // back from ejection and not proven yet
    double latency_ns_ = 0;       // moving average of answered attempts
    time_point latency_at_{};     // of its last change
    time_point probed_at_{};      // last probe sent
    bool probe_pending_ = false;
};

} // namespace savoryscale::routing
