#pragma once

// Takes targets that fail more than the others out of use for a while.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <span>
#include <vector>

namespace savoryscale::routing {

struct service_view;
struct target_state;

// Counts the end of an attempt. A target whose failures stand out from the service's mean is
// ejected for a second, doubled each time in a row up to half a minute; a crash ejects at once.
// When all targets fail alike, none stands out.
void count_outcome(service_view&, target_state&, attempt_end, time_point now);

// The target did not answer a probe. It is left out for half a second, then probed again.
void eject_unanswering(target_state&, time_point now);

// Whether the target may get an attempt: not ejected, and one at a time until its first success
// after an ejection.
bool is_in_use(const target_state&, time_point now);

// Keeps the targets in use, or all when fewer than half are: then ejection would only move the load
// onto the rest.
void drop_ejected(const service_view&, std::vector<target_index>& eligible, time_point now);

// Share of failures above the service's mean (0 to 1); fades when nothing more is heard.
double failures_above_mean(const service_view&, const target_state&, time_point now);

} // namespace savoryscale::routing
