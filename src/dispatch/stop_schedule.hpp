#pragma once

// The end of a planned stop, as requests see it. A request that is turned away is served by another
// host at once; one that was sent on and is cut off may have run. So a stopping host sends on only
// what it expects to be answered in time.

#include "base/clock.hpp"

namespace savoryscale::dispatch {

struct stop_schedule {
    time_point ends_at_{}; // when the process ends, whatever is in progress
};

// Until when a target may answer. It is told no more time.
time_point target_deadline(const stop_schedule&);

// When a request that is still not answered gets an answer from the host itself.
time_point answer_deadline(const stop_schedule&);

// Whether a request that takes this long is answered before the end if it is sent now.
bool is_answered_before(const stop_schedule&, duration expected, time_point now);

// How long callers are accepted after the stop has begun, of the time asked for: half of the time
// to the end is kept for their requests.
duration accepting_time(const stop_schedule&, duration wanted, time_point now);

} // namespace savoryscale::dispatch
