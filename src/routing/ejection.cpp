#include "routing/ejection.hpp"

#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr double outcome_weight = 0.2;
constexpr double mean_outcome_weight = 0.01;
constexpr std::uint32_t outcomes_min = 5;
constexpr double ejection_failure_ratio = 0.5; // of the target's recent attempts failed
constexpr double ejection_excess_ratio = 0.25; // above the service's mean failure ratio
constexpr duration initial_ejection = std::chrono::seconds{1};
constexpr duration probe_failure_ejection = std::chrono::milliseconds{500};
constexpr std::uint32_t doublings_max = 5;
constexpr std::uint32_t outcomes_to_reset_ejections = 20;
constexpr double failure_decay_ns = 1e9;

void eject(target_state& target, time_point now)
{
    target.ejected_until_ = now + initial_ejection * (1U << target.ejections_);
    target.ejections_ = std::min(target.ejections_ + 1, doublings_max);
    target.is_half_open_ = true;
    target.outcomes_ = 0;
}

void count_success(target_state& target)
{
    if (target.is_half_open_) {
        target.failure_ratio_ /= 2;
        target.is_half_open_ = false;
    }
    if (target.outcomes_ >= outcomes_to_reset_ejections &&
        target.failure_ratio_ < ejection_failure_ratio) {
        target.ejections_ = 0;
    }
}

bool is_outlier(const service_view& view, const target_state& target)
{
    return target.failure_ratio_ > ejection_failure_ratio &&
           target.failure_ratio_ > view.mean_failure_ratio_ + ejection_excess_ratio;
}

} // namespace

void count_outcome(service_view& view, target_state& target, attempt_end end, time_point now)
{
    if (end == attempt_end::abandoned || end == attempt_end::shed) {
        return;
    }
    const bool success = end == attempt_end::answered;
    const double failure = success ? 0 : 1;
    target.failure_ratio_ += outcome_weight * (failure - target.failure_ratio_);
    target.outcome_at_ = now;
    ++target.outcomes_;
    view.mean_failure_ratio_ += mean_outcome_weight * (failure - view.mean_failure_ratio_);
    if (success) {
        return count_success(target);
    }
    const bool has_enough_outcomes = target.is_half_open_ || target.outcomes_ >= outcomes_min;
    const bool already_ejected = now < target.ejected_until_;
    if (already_ejected) {
        return;
    }
    if (end == attempt_end::crashed || (has_enough_outcomes && is_outlier(view, target))) {
        eject(target, now);
    }
}

void eject_unresponsive(target_state& target, time_point now)
{
    target.ejected_until_ = std::max(target.ejected_until_, now + probe_failure_ejection);
}

bool is_available(const target_state& target, time_point now)
{
    return now >= target.ejected_until_ && !(target.is_half_open_ && target.in_flight_ > 0);
}

void drop_ejected(const service_view& view, std::vector<target_index>& eligible, time_point now)
{
    const auto is_free = [&](target_index index) {
        return is_available(view.targets_[index], now);
    };
    const auto left =
        static_cast<std::size_t>(std::count_if(eligible.begin(), eligible.end(), is_free));
    if (2 * left >= eligible.size()) {
        std::erase_if(eligible, [&](target_index index) { return !is_free(index); });
    }
}

double failure_ratio_above_mean(const service_view& view, const target_state& target,
                                time_point now)
{
    const double above = std::max(0.0, target.failure_ratio_ - view.mean_failure_ratio_);
    const auto age = static_cast<double>((now - target.outcome_at_).count());
    return above * std::exp(-age / failure_decay_ns);
}

} // namespace savoryscale::routing
