#include "routing/expected_wait.hpp"

#include "routing/ejection.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr double fade_latencies = 2;   // a report fades over this many mean latencies
constexpr double unknown_weight = 1.7; // on the mean where nothing recent is known
// A target in another data centre must have this many requests in flight less than a near one.
constexpr double far_penalty = 0.7;

// Requests in flight that count like one mean latency above the mean.
constexpr double slow_penalty = 0.5;
constexpr double slow_latencies_max = 10;
constexpr double slow_fade_ns = 1e9;

// Requests in flight that count like failing every time while the others never do.
constexpr double failure_penalty = 20;

// How many mean latencies the target's own are above the mean; fades when nothing more is heard.
double latencies_above_mean(const service_view& view, const target_state& target, time_point now)
{
    if (target.latency_ns_ <= view.mean_latency_ns_ || view.mean_latency_ns_ <= 0) {
        return 0;
    }
    const auto age = static_cast<double>((now - target.latency_at_).count());
    const double above = target.latency_ns_ / view.mean_latency_ns_ - 1;
    return std::min(above, slow_latencies_max) * std::exp(-age / slow_fade_ns);
}

// Requests in flight that count like being started just now; fades over the cold start.
constexpr double cold_penalty = 1;

// The part of its cold start that the target has before it (0 to 1).
double cold_part(const service_view& view, const target_state& target, time_point now)
{
    if (!target.born_ || view.cold_start_ <= duration::zero()) {
        return 0;
    }
    const auto age = static_cast<double>((now - *target.born_).count());
    return std::max(0.0, 1 - age / static_cast<double>(view.cold_start_.count()));
}

} // namespace

double expected_in_flight(const service_view& view, const target_state& target, time_point now)
{
    const double unknown = unknown_weight * view.mean_foreign_;
    if (!target.load_) {
        return target.in_flight_ + unknown;
    }
    const auto age = static_cast<double>((now - target.load_->at_).count());
    const double fade = std::max(1.0, fade_latencies * view.mean_latency_ns_);
    return target.in_flight_ + unknown + (target.load_->foreign_ - unknown) * std::exp(-age / fade);
}

double expected_wait(const service_view& view, const target_state& target, time_point now)
{
    const bool is_far = target.info_.data_centre_ != view.data_centre_;
    return expected_in_flight(view, target, now) + (is_far ? far_penalty : 0) +
           cold_penalty * cold_part(view, target, now) +
           failure_penalty * failures_above_mean(view, target, now) +
           slow_penalty * latencies_above_mean(view, target, now);
}

} // namespace savoryscale::routing
