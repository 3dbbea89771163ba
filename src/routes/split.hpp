#pragma once

// Divides a route's requests among its weighted services by smooth weighted round robin: the
// proportions hold over short runs of requests too.

#include "base/random.hpp"
#include "routes/route.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace savoryscale::routes {

// The credit of each service, in requests. Each host starts with random credits, so that the hosts
// do not all choose the same service first.
struct split_state {
    std::vector<weighted_service> weighted_services_;
    std::vector<double> credits_;
};

// The index of the service that gets the next request. A change of services or weights since the
// last call resets the credits.
std::size_t next_service(split_state&, std::span<const weighted_service> services, random_source&);

} // namespace savoryscale::routes
