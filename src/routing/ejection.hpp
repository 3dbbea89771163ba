#pragma once

// Ejects targets that fail more often than the others for a limited time (outlier ejection).

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <span>
#include <vector>

namespace savoryscale::routing {

struct service_view;
struct target_state;

// Counts the end of an attempt. A target whose failure ratio is well above the service's mean is
// ejected for one second, doubled with each consecutive ejection up to 32 s; a crash ejects at
// once. When all targets fail equally often, none is an outlier.
void count_outcome(service_view&, target_state&, attempt_end, time_point now);

// The target did not answer a probe. It is ejected for half a second, then probed again.
void eject_unresponsive(target_state&, time_point now);

// Whether the target may get an attempt: it is not ejected, and after an ejection it gets one
// attempt at a time until the first success.
bool is_available(const target_state&, time_point now);

// Removes the ejected targets, unless they are more than half of all: removing them would then
// overload the remaining ones.
void drop_ejected(const service_view&, std::vector<target_index>& eligible, time_point now);

// Failure ratio above the service's mean (0 to 1); decays with the age of the last outcome.
double failure_ratio_above_mean(const service_view&, const target_state&, time_point now);

} // namespace savoryscale::routing
