#pragma once

// Applies a view's policy to pick one of its eligible targets.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "routing/target.hpp"

#include <span>

namespace savoryscale::routing {

struct service_view;

// Picks a target by the view's policy. `eligible` is in ascending order and not empty.
target_index select(service_view&, std::span<const target_index> eligible, time_point now,
                    random_source&);

} // namespace savoryscale::routing
