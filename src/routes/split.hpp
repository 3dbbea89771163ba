#pragma once

// Divides a route's requests among its parts in the proportion of their weights, evenly also over
// short spans.

#include "base/random.hpp"
#include "routes/route.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace savoryscale::routes {

// What each part is owed, in requests. Hosts begin at random places, so that together they do not
// all turn to the same part first.
struct split_state {
    std::vector<route_part> parts_;
    std::vector<double> owed_;
};

// The part that takes the next request. Other parts or weights than last time start anew.
std::size_t next_part(split_state&, std::span<const route_part> parts, random_source&);

} // namespace savoryscale::routes
