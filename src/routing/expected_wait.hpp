#pragma once

// What a new attempt would meet at a target, estimated from every signal at its age.

#include "base/clock.hpp"
#include "routing/target.hpp"

namespace savoryscale::routing {

struct service_view;
struct target_state;

// Requests in flight at the target now: own ones are exact; those of other hosts are the last
// report, fading towards the mean of all targets as it ages.
double expected_in_flight(const service_view&, const target_state&, time_point now);

// Relative cost of sending one more attempt to the target; lower is better.
double expected_wait(const service_view&, const target_state&, time_point now);

} // namespace savoryscale::routing
