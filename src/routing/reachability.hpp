#pragma once

// Whether this host reaches any target of a service, from what its own requests and probes see. A
// service whose targets are all gone looks the same.

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace savoryscale::routing {

// While no target is reached, one search in this time tries again.
inline constexpr std::chrono::milliseconds reach_check_interval{200};

struct reachability {
    std::optional<time_point> lost_at_; // none: targets answer
    time_point next_check_{};
    time_point heard_at_{};      // last answer of any target
    std::uint64_t requests_ = 0; // since it was lost
};

// An outage that is over.
struct reach_outage {
    duration length_{};
    std::uint64_t requests_ = 0;
};

// A search ended without an answer of any target. Returns whether that is news.
bool on_search_unanswered(reachability&, time_point now);

// A target answered. Returns the outage that this ends.
std::optional<reach_outage> on_target_answered(reachability&, time_point now);

// Whether a target of the service has answered not long ago, so that one that does not answer now
// may be waiting behind this host's busy link.
bool is_heard_lately(const reachability&, time_point now);

// Call for each request that needs a target.
void on_request(reachability&);

// Whether the next request should search for a target: targets answer, or it is time to try again.
bool is_search_due(reachability&, time_point now);

} // namespace savoryscale::routing
