#pragma once

// Estimates the load that a new attempt would find at a target, from signals weighted by age.

#include "base/clock.hpp"
#include "routing/target.hpp"

namespace savoryscale::routing {

struct service_view;
struct target_state;

// Requests in flight at the target now. This host's are exact; those of other hosts come from the
// last report, whose weight decays towards the mean of all targets as it ages.
double expected_in_flight(const service_view&, const target_state&, time_point now);

// Relative cost of sending one more attempt to the target; lower is better.
double expected_wait(const service_view&, const target_state&, time_point now);

} // namespace savoryscale::routing
