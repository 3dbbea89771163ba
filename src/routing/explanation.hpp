#pragma once

// Why each target of a service would or would not get a request now, for operators.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace savoryscale::routing {

struct service_view;

struct explained_target {
    target_index target_ = 0;
    std::string_view why_not_;                 // empty: it may get the request
    double own_in_flight_ = 0;                 // this host's attempts there
    std::optional<double> reported_in_flight_; // of all hosts; none: it never reported
    duration report_age_{};
    std::optional<duration> usual_latency_; // none: it has answered nothing
    std::optional<double> limit_per_second_;
    bool is_expected_ = false; // the one that earlier reports speak for
};

// All targets that are listed, those that may get the request first.
std::vector<explained_target> explain_targets(const service_view&, time_point now);

} // namespace savoryscale::routing
