#include "routing/expected_wait.hpp"

#include "routing/ejection.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr double report_decay_latencies = 2; // decay time of a report, in mean latencies
constexpr double unknown_weight = 1.7;       // times the mean, where no recent report exists
// Cost of a target in another data centre, in requests in flight.
constexpr double remote_penalty = 0.7;

// Cost of a latency that exceeds the mean by one mean latency, in requests in flight.
constexpr double slow_penalty = 0.5;
constexpr double slow_latencies_max = 10;
constexpr double slow_decay_ns = 1e9;

// Cost of a target that always fails while the others never do, in requests in flight.
constexpr double failure_penalty = 20;

// By how many mean latencies the target's latency exceeds the mean; decays with its age.
double latencies_above_mean(const service_view& view, const target_state& target, time_point now)
{
    if (target.latency_ns_ <= view.mean_latency_ns_ || view.mean_latency_ns_ <= 0) {
        return 0;
    }
    const auto age = static_cast<double>((now - target.latency_at_).count());
    const double above = target.latency_ns_ / view.mean_latency_ns_ - 1;
    return std::min(above, slow_latencies_max) * std::exp(-age / slow_decay_ns);
}

// Cost of a target that has just started, in requests in flight; falls during the cold start.
constexpr double cold_penalty = 1;

// The fraction of its cold start that the target still has ahead (0 to 1).
double cold_start_fraction_left(const service_view& view, const target_state& target,
                                time_point now)
{
    if (!target.cold_since_ || view.cold_start_ <= duration::zero()) {
        return 0;
    }
    const auto age = static_cast<double>((now - *target.cold_since_).count());
    return std::max(0.0, 1 - age / static_cast<double>(view.cold_start_.count()));
}

} // namespace

double expected_in_flight(const service_view& view, const target_state& target, time_point now)
{
    const double assumed_others = unknown_weight * view.mean_others_in_flight_;
    if (!target.load_) {
        return target.in_flight_ + assumed_others;
    }
    const auto age = static_cast<double>((now - target.load_->at_).count());
    const double decay_ns = std::max(1.0, report_decay_latencies * view.mean_latency_ns_);
    return target.in_flight_ + assumed_others +
           (target.load_->others_in_flight_ - assumed_others) * std::exp(-age / decay_ns);
}

double expected_wait(const service_view& view, const target_state& target, time_point now)
{
    const bool is_remote = target.info_.data_centre_ != view.data_centre_;
    return expected_in_flight(view, target, now) + (is_remote ? remote_penalty : 0) +
           cold_penalty * cold_start_fraction_left(view, target, now) +
           failure_penalty * failure_ratio_above_mean(view, target, now) +
           slow_penalty * latencies_above_mean(view, target, now);
}

} // namespace savoryscale::routing
