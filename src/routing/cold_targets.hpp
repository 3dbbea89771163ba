#pragma once

// Cold targets: for a time after its start, or when it says so, a target bears only a few requests
// a second from all hosts together. Such a target is one with a limit that it did not name itself,
// so that each request to it needs a grant; see limit_granter.hpp.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <optional>

namespace savoryscale::routing {

struct service_view;
struct target_state;

// The limit that binds a target now, named by it or for its cold time; the lower of the two.
struct request_limit {
    double per_second_ = 0; // from all hosts together
    time_point heard_at_{}; // when the target last said so
};
std::optional<request_limit> limit_at(const service_view&, const target_state&, time_point now);

// Whether a limit binds the target now.
bool is_limited(const service_view&, const target_state&, time_point now);

bool is_cold(const target_state&, time_point now);

// The requests to grant each second, so that no second sees more than the bounds allow for a target
// that bears `per_second`, although each granter may have saved some. 0: no limit is needed.
double cold_rate(const settings::cold_bounds&, double per_second, std::size_t granters);

// The target's status check named the time that it stays cold; none: it named none, so it is warm.
// Returns whether the target has turned cold.
bool on_warm_up_heard(target_state&, std::optional<duration> left, time_point now);

// How long targets of the service are cold after their start, and the rate that all hosts together
// may send to a cold one; 0: any rate.
void set_cold(service_view&, duration warm_up, double per_second);

} // namespace savoryscale::routing
