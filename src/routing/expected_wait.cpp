#include "routing/expected_wait.hpp"

#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr double fade_latencies = 2;   // a report fades over this many mean latencies
constexpr double unknown_weight = 1.7; // on the mean where nothing recent is known
constexpr double far_penalty =
    0.7; // requests in flight that a target in another data centre must have less

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
    return expected_in_flight(view, target, now) + (is_far ? far_penalty : 0);
}

} // namespace savoryscale::routing
