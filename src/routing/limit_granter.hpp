#pragma once

// Keeps the sum of the requests of all hosts to a target within the limit that the target names,
// although each host sees only its own requests. Before a host sends a request to such a target,
// one of a few granters must grant it.
//
// Granters do not know of each other either: each grants an equal part of every limit, at all
// times. So the sum stays within the limit however many hosts there are and whichever of them, or
// of the granters, are cut off, frozen or restarted; the part of a granter that is down is unused.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savoryscale::routing {

// One target that would do for a request, with the limit that the asking host believes.
struct grant_wish {
    std::string target_;
    double per_second_ = 0; // of all hosts
    duration age_{};        // since the target named it

    friend bool operator==(const grant_wish&, const grant_wish&) = default;
};

struct grant_request {
    std::uint32_t priority_ = 0; // 0 is the most urgent
    std::vector<grant_wish> wishes_;

    friend bool operator==(const grant_request&, const grant_request&) = default;
};

struct grant_answer {
    std::optional<std::size_t> granted_; // index of the wish; none: denied
    std::vector<duration> waits_;        // if denied, for each wish: time to the next grant

    friend bool operator==(const grant_answer&, const grant_answer&) = default;
};

struct grant_bucket {
    double per_second_ = 0; // this granter's part of the limit
    double grants_ = 0;     // available now
    time_point filled_at_{};
    time_point heard_at_{}; // when the target named the limit, by the newest wish
    time_point asked_at_{};
};

struct limit_granter {
    std::size_t granters_ = 0; // number of hosts that grant; 0: this host grants nothing
    time_point started_{};
    std::map<std::string, grant_bucket, std::less<>> buckets_; // by target
    std::map<std::uint32_t, time_point> denied_at_; // last denial, by priority; recent ones
    std::uint32_t urgent_grants_ = 0; // in a row, while less urgent requests were denied
};

// Grants the first wish whose target has a grant left.
grant_answer grant(limit_granter&, const grant_request&, time_point now);

} // namespace savoryscale::routing
