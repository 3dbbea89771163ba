#pragma once

// Whether this host reaches any target of a service, from what its own requests and probes see. A
// service whose targets are all gone looks the same.

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace savoryscale::routing {

struct reachability {
    std::optional<time_point> lost_at_; // none: targets answer
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

// Call for each request that needs a target.
void on_request(reachability&);

} // namespace savoryscale::routing
