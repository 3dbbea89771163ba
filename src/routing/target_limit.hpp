#pragma once

// The limit that a target names in its answers: the requests per second that it takes from all
// hosts together.

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace savoryscale::routing {

struct target_limit {
    double per_second_ = 0;
    time_point named_at_{};  // when this value was first received
    time_point heard_at_{};  // when it was last received
    bool in_probes_ = false; // answers to probes name it too
};

// An answer to a request or a probe named this limit; none: it named no limit. Returns whether the
// limit has changed.
enum class limit_source : std::uint8_t { request, probe };
bool on_limit_heard(std::optional<target_limit>& known, std::optional<double> per_second,
                    limit_source source, time_point now);

} // namespace savoryscale::routing
